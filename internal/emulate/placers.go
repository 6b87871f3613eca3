package emulate

import (
	"net/netip"
	"slices"
	"time"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/rendezvous"
)

// finish adds the percentiles to the result and returns it.
func (s *Simulation) finish() Result {
	slices.Sort(s.latencies)
	if n := len(s.latencies); n > 0 {
		s.result.P50, s.result.P99 = s.latencies[n/2], s.latencies[n*99/100]
	}
	return s.result
}

// Hash is the naive placer. It maps the hash of a flow to the list of endpoints.
type Hash struct{}

// Place chooses the endpoint by the flow modulo the number of endpoints.
func (Hash) Place(s *Simulation, flow uint64, _ string) (int, bool) {
	return int(flow % uint64(len(s.Endpoints))), true
}

// LeastReported chooses the endpoint with the fewest requests in flight by the last
// reports, like a balancer that receives periodic load reports.
type LeastReported struct {
	// Interval is the time between reports.
	Interval time.Duration

	reported []int
	next     time.Duration
}

// Place chooses the endpoint with the lowest reported number.
func (p *LeastReported) Place(s *Simulation, flow uint64, _ string) (int, bool) {
	if s.Now >= p.next {
		p.reported = slices.Clone(s.InFlight)
		p.next = s.Now + p.Interval
	}
	best := int(flow % uint64(len(p.reported)))
	for i, count := range p.reported {
		if count < p.reported[best] {
			best = i
		}
	}
	return best, true
}

// Offering is the strategy of sassafrasturn. The flow is offered to the candidates
// one after another, and each agent's gate decides by the state of its own
// endpoint: requests in flight, response time and failures.
type Offering struct {
	// ChooseCandidates returns the agents to which a flow is offered; nil means
	// flow.ChooseCandidates.
	ChooseCandidates func(view *flow.View, flow uint64, origin flow.ZoneTag) []flow.Member
	// ResetsAtOnce makes agents reset every flow that they refuse, also in a rush.
	ResetsAtOnce bool
	// Gate decides whether an agent accepts a flow; nil means flow.Gate.
	Gate func(endpoint *flow.Endpoint, request flow.AdmissionRequest) flow.Reason
	// CountsLongRequests makes agents take an endpoint for stuck that works on a long request,
	// also while it answers others.
	CountsLongRequests bool
	// BySpeed makes balancers know the service times that agents report.
	BySpeed bool
	// Reports counts the changes of the service times in agents' records.
	Reports int

	// Offers counts the agents that flows were offered to, and Crossings the hops between zones
	// on the way to them.
	Offers, Crossings int

	members     []flow.Member
	nextReports time.Duration
	view        *flow.View
	index       map[netip.AddrPort]int
	// saturations are those of the endpoints. isRush is whether the last flow was refused
	// in a rush.
	saturations []flow.Saturation
	isRush      bool
}

const service = "service"

// Place offers the flow to its candidates until one accepts it.
func (p *Offering) Place(s *Simulation, key uint64, zone string) (int, bool) {
	if p.view == nil {
		p.prepare(s)
	}
	if p.BySpeed && s.Now >= p.nextReports {
		p.readReports(s)
	}
	candidates := p.candidates(rendezvous.Mix(key), flow.TagOf(zone))
	for i, candidate := range candidates {
		p.Offers++
		if candidate.Zone != zone {
			p.Crossings++
		}
		zone = candidate.Zone
		chosen := p.index[candidate.Address]
		endpoint := &flow.Endpoint{Service: service, Slots: s.Endpoints[chosen].Slots, LastSeen: s.Now}
		request := flow.AdmissionRequest{
			IsRouteAllowed: true, CandidatesLeft: len(candidates) - 1 - i, InFlight: s.InFlight[chosen],
			ResponseTime: s.ResponseTimes[chosen].Mean(s.Now), LongestWait: s.LongestWait(chosen), Objective: s.load.Objective,
			ServiceTime: s.ServiceTimes[chosen].Recent(), IsSlowForService: p.view.IsSlow(candidate.Address), FailureRate: s.FailureRates[chosen].Value(s.Now),
		}
		if !p.CountsLongRequests {
			request.LongestWait = min(request.LongestWait, s.SinceAnswer(chosen))
		}
		p.saturations[chosen].Observe(s.Now, s.InFlight[chosen], endpoint.Slots)
		if p.decide(s.Now, endpoint, request) == flow.Accepted {
			return chosen, true
		}
		p.isRush = !p.saturations[chosen].IsSustained(s.Now)
	}
	return 0, false
}

// DropsRefused reports whether the last candidate of the refused flow is in a rush.
func (p *Offering) DropsRefused() bool { return p.isRush && !p.ResetsAtOnce }

func (p *Offering) candidates(key uint64, origin flow.ZoneTag) []flow.Member {
	if p.ChooseCandidates != nil {
		return p.ChooseCandidates(p.view, key, origin)
	}
	return flow.ChooseCandidates(p.view, service, key, origin, func(string) bool { return false })
}

func (p *Offering) decide(now time.Duration, endpoint *flow.Endpoint, request flow.AdmissionRequest) flow.Reason {
	if p.Gate != nil {
		return p.Gate(endpoint, request)
	}
	gate := flow.Gate{SilenceTimeout: time.Second}
	return gate.Decide(now, endpoint, 0, request)
}

// prepare builds the view with one agent for each endpoint.
func (p *Offering) prepare(s *Simulation) {
	p.index = make(map[netip.AddrPort]int)
	p.saturations = make([]flow.Saturation, len(s.Endpoints))
	for i, endpoint := range s.Endpoints {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
		p.index[address] = i
		p.members = append(p.members, flow.NewMember(address, endpoint.Zone, service))
	}
	p.view = flow.NewView(p.members)
}

// reportInterval is the time until a change of a record has reached all balancers: two polls and
// a round of gossip, which take up to 500 ms each.
const reportInterval = 1500 * time.Millisecond

// readReports updates the view with the service times that have changed.
func (p *Offering) readReports(s *Simulation) {
	p.nextReports = s.Now + reportInterval
	changes := 0
	for i := range p.members {
		if reported := flow.ServiceTimeOf(s.ServiceTimes[i].Reported()); reported != p.members[i].ServiceTime {
			p.members[i].ServiceTime = reported
			changes++
		}
	}
	if changes > 0 {
		p.Reports += changes
		p.view = flow.NewView(p.members)
	}
}
