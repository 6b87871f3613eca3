package emulate

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"sassafrasturn.example/internal/flow"
)

// ZoneOffering is Offering with candidates by flow.ZoneShares. Each zone has several balancers,
// which decide on their own.
type ZoneOffering struct {
	Offering
	// Balancers is the number of balancers of each zone.
	Balancers int
	Cost      time.Duration
	// IsOut, if not nil, reports whether a zone is out of service.
	IsOut func(at time.Duration, zone string) bool
	// Reaches, if not nil, reports whether answers to requests for load of a zone's balancers
	// arrive from another zone.
	Reaches func(at time.Duration, from, to string) bool

	balancers map[string][]*zoneBalancer
	random    *rand.Rand
	offered   []flow.Member
}

type zoneBalancer struct {
	zone    string
	shares  *flow.ZoneShares
	loads   *flow.Loads
	split   *flow.ZoneSplit
	next    time.Duration
	reports map[string][]timedReport
}

type timedReport struct {
	load flow.Load
	at   time.Duration
}

// roundTripBetweenZones is that of installation A in docs/design/load.md.
const roundTripBetweenZones = time.Millisecond

// Place offers the flow to candidates by the shares of one of the zone's balancers.
func (p *ZoneOffering) Place(s *Simulation, key uint64, zone string) (int, bool) {
	if p.view == nil {
		p.prepare(s)
		p.balancers, p.random = make(map[string][]*zoneBalancer), rand.New(rand.NewPCG(1, 2))
	}
	if p.balancers[zone] == nil {
		for range p.Balancers {
			p.balancers[zone] = append(p.balancers[zone], &zoneBalancer{
				zone: zone, shares: flow.NewZoneShares(zone, p.Cost), loads: flow.NewLoads(),
				next: s.Now + time.Duration(p.random.Int64N(int64(flow.ZoneStepInterval))), reports: make(map[string][]timedReport),
			})
		}
	}
	balancer := p.balancers[zone][key%uint64(p.Balancers)]
	if s.Now >= balancer.next {
		p.step(s, balancer)
	}
	p.ChooseCandidates = func(view *flow.View, key uint64, origin flow.ZoneTag) []flow.Member {
		p.offered = p.choose(s.Now, balancer, view, key, origin)
		return p.offered
	}
	chosen, ok := p.Offering.Place(s, key, zone)
	for _, member := range p.offered {
		at := p.index[member.Address]
		if ok && at == chosen && s.InFlight[at] < s.Endpoints[at].Slots {
			break
		}
		balancer.loads.Record(s.Now, member.Address, p.loadOf(s, at))
		if ok && at == chosen {
			break
		}
	}
	return chosen, ok
}

func (p *ZoneOffering) isOutAt(at time.Duration) func(string) bool {
	return func(zone string) bool { return p.IsOut != nil && p.IsOut(at, zone) }
}

func (p *ZoneOffering) choose(now time.Duration, b *zoneBalancer, view *flow.View, key uint64, origin flow.ZoneTag) []flow.Member {
	isOut := p.isOutAt(now)
	if b.split != nil {
		if members, _ := flow.ChooseZoneCandidates(view, service, key, origin, isOut, b.split); len(members) > 0 {
			return members
		}
	}
	return flow.ChooseCandidates(view, service, key, origin, isOut)
}

func (p *ZoneOffering) loadOf(s *Simulation, endpoint int) flow.Load {
	e := &s.Endpoints[endpoint]
	load := flow.Load{IsReady: true, Slots: e.Slots, InFlight: s.InFlight[endpoint], ServiceTime: s.load.MeanWork}
	if e.isSlow(s.Now) {
		load.ServiceTime = time.Duration(float64(load.ServiceTime) * e.SlowFactor)
	}
	load.Wait = flow.EstimateWait(load.Slots, load.InFlight, load.ServiceTime)
	return load
}

// step lets a balancer decide by the answers to its last requests, and requests the next ones.
// Answers arrive at once here, and count in the next step.
func (p *ZoneOffering) step(s *Simulation, b *zoneBalancer) {
	b.next = s.Now + flow.ZoneStepInterval
	agents := p.view.ReadyByZone(service, p.isOutAt(s.Now))
	if flow.IsZoneShort(s.Now, b.loads, agents[b.zone]) {
		b.shares.RecordShortage(s.Now)
	}
	if !b.shares.NeedsFigures(s.Now) {
		b.split = nil
		clear(b.reports)
		return
	}
	var zones []flow.ZoneLoad
	for zone, members := range agents {
		var reports []flow.ZoneReport
		for _, r := range b.reports[zone] {
			report := flow.ZoneReport{Load: r.load, Age: s.Now - r.at}
			if zone != b.zone {
				report.RoundTrip = roundTripBetweenZones
			}
			reports = append(reports, report)
		}
		zones = append(zones, flow.SumZone(zone, len(members), reports))
	}
	b.split = b.shares.Step(s.Now, zones)
	p.request(s, b, agents)
}

func (p *ZoneOffering) request(s *Simulation, b *zoneBalancer, agents map[string][]netip.AddrPort) {
	for _, zone := range zoneNames(s) {
		members := agents[zone]
		b.reports[zone] = slices.DeleteFunc(b.reports[zone], func(r timedReport) bool { return s.Now-r.at > flow.MaxZoneReportAge })
		if p.Reaches != nil && !p.Reaches(s.Now, b.zone, zone) {
			continue
		}
		p.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		for _, agent := range members[:min(flow.ZoneSample, len(members))] {
			b.reports[zone] = append(b.reports[zone], timedReport{p.loadOf(s, p.index[agent]), s.Now})
		}
	}
}

func zoneNames(s *Simulation) []string {
	var names []string
	for i := range s.Endpoints {
		names = append(names, s.Endpoints[i].Zone)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
