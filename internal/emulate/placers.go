package emulate

import (
	"net/netip"
	"slices"
	"time"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/rendezvous"
)

// finish completes the result.
func (w *Simulation) finish() Result {
	slices.Sort(w.times)
	if n := len(w.times); n > 0 {
		w.result.P50, w.result.P99 = w.times[n/2], w.times[n*99/100]
	}
	return w.result
}

// Hash is the naive placer: a hash over the list of endpoints.
type Hash struct{}

// Place chooses by the hash.
func (Hash) Place(w *Simulation, flow uint64, _ string) (int, bool) {
	return int(flow % uint64(len(w.Endpoints))), true
}

// LeastReported chooses the endpoint that last reported the least in flight, as
// a balancer does that hears reports now and then.
type LeastReported struct {
	// Interval is how often the endpoints report.
	Interval time.Duration

	reported []int
	next     time.Duration
}

// Place chooses the endpoint with the lowest report.
func (p *LeastReported) Place(w *Simulation, flow uint64, _ string) (int, bool) {
	if w.Now >= p.next {
		p.reported = slices.Clone(w.InFlight)
		p.next = w.Now + p.Interval
	}
	best := int(flow % uint64(len(p.reported)))
	for i, count := range p.reported {
		if count < p.reported[best] {
			best = i
		}
	}
	return best, true
}

// Offering is the product's way: the first agents of the order are offered the
// flow one after the other, and each agent's gate decides by what is in flight
// at its own endpoint.
type Offering struct {
	// ChooseCandidates chooses the agents that are offered a flow; nil is the product's.
	ChooseCandidates func(view *flow.View, flow uint64, origin flow.ZoneTag) []flow.Member
	// Gate decides; nil is the product's.
	Gate func(endpoint *flow.Endpoint, request flow.Request) flow.Reason

	view  *flow.View
	index map[netip.AddrPort]int
}

const service = "service"

// Place offers the flow.
func (p *Offering) Place(w *Simulation, key uint64, zone string) (int, bool) {
	if p.view == nil {
		p.prepare(w)
	}
	offers := p.offers(rendezvous.Mix(key), flow.TagOf(zone))
	for i, offer := range offers {
		chosen := p.index[offer.Address]
		endpoint := &flow.Endpoint{Service: service, Slots: w.Endpoints[chosen].Slots, LastSeen: w.Now}
		request := flow.Request{
			IsRouteAllowed: true, CandidatesLeft: len(offers) - 1 - i, InFlight: w.InFlight[chosen],
			ResponseTime: w.ResponseTimes[chosen].Mean(w.Now), LongestWait: w.LongestWait(chosen), Objective: w.load.Objective,
			FailureRate: w.FailureRates[chosen].Value(w.Now),
		}
		if p.decide(w.Now, endpoint, request) == flow.Accepted {
			return chosen, true
		}
	}
	return 0, false
}

func (p *Offering) offers(key uint64, origin flow.ZoneTag) []flow.Member {
	if p.ChooseCandidates != nil {
		return p.ChooseCandidates(p.view, key, origin)
	}
	return flow.ChooseCandidates(p.view, service, key, origin, func(string) bool { return false })
}

func (p *Offering) decide(now time.Duration, endpoint *flow.Endpoint, request flow.Request) flow.Reason {
	if p.Gate != nil {
		return p.Gate(endpoint, request)
	}
	gate := flow.Gate{SilenceTimeout: time.Second}
	return gate.Decide(now, endpoint, 0, request)
}

func (p *Offering) prepare(w *Simulation) {
	p.index = make(map[netip.AddrPort]int)
	var members []flow.Member
	for i, endpoint := range w.Endpoints {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
		p.index[address] = i
		members = append(members, flow.NewMember(address, endpoint.Zone, service))
	}
	p.view = flow.NewView(members)
}
