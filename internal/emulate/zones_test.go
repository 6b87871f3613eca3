package emulate

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/flow"
)

// zoneScenario is a load on three zones. Rates are in units of what twelve endpoints of three
// slots serve; changes take place at zoneChange and, where they end, at zoneEnd.
type zoneScenario struct {
	name      string
	endpoints [3]int
	rates     func(at time.Duration) [3]float64
	change    func(e *Endpoint)
	isOut     func(at time.Duration, zone string) bool
}

const (
	zoneChange = 5 * time.Second
	zoneEnd    = 20 * time.Second
	zoneRun    = 25 * time.Second
	// capacityPerZone is what twelve endpoints of three slots serve in a second.
	capacityPerZone = 12 * 3 * 25
)

func steady(a, b, c float64) func(time.Duration) [3]float64 {
	return func(time.Duration) [3]float64 { return [3]float64{a, b, c} }
}

func stepping(before, during [3]float64) func(time.Duration) [3]float64 {
	return func(at time.Duration) [3]float64 {
		if at >= zoneChange && at < zoneEnd {
			return during
		}
		return before
	}
}

func isChanged(at time.Duration) bool { return at >= zoneChange && at < zoneEnd }

func zoneScenarios() []zoneScenario {
	equal := [3]int{12, 12, 12}
	isAOut := func(at time.Duration, zone string) bool { return zone == "a" && isChanged(at) }
	return []zoneScenario{
		{name: "calm", endpoints: equal, rates: steady(0.6, 0.6, 0.6)},
		{name: "step", endpoints: equal, rates: stepping([3]float64{0.5, 0.5, 0.5}, [3]float64{1.4, 0.5, 0.5})},
		{name: "high step", endpoints: equal, rates: stepping([3]float64{0.6, 0.6, 0.6}, [3]float64{1.6, 0.6, 0.6})},
		{name: "waves", endpoints: equal, rates: func(at time.Duration) [3]float64 {
			wave := 0.5 * math.Sin(2*math.Pi*at.Seconds()/8)
			return [3]float64{0.75 + wave, 0.75 - wave, 0.5}
		}},
		{name: "two short", endpoints: equal, rates: stepping([3]float64{0.5, 0.5, 0.5}, [3]float64{1.2, 1.2, 0.2})},
		{name: "unequal", endpoints: [3]int{4, 12, 20}, rates: steady(0.7, 0.7, 0.7)},
		{name: "slow zone", endpoints: equal, rates: steady(0.65, 0.65, 0.65), change: func(e *Endpoint) {
			if e.Zone == "a" {
				e.SlowFactor, e.SlowFrom = 2, zoneChange
			}
		}},
		{name: "evacuation", endpoints: equal, rates: steady(0.55, 0.55, 0.55), isOut: isAOut, change: func(e *Endpoint) {
			if e.Zone == "a" {
				e.RestartsAt, e.ColdFor, e.ColdFactor = zoneEnd, 2*time.Second, 1.6
			}
		}},
		{name: "all full", endpoints: equal, rates: stepping([3]float64{0.5, 0.5, 0.5}, [3]float64{1.3, 1.3, 1.3})},
		{name: "one agent", endpoints: [3]int{1, 12, 12}, rates: steady(0.3, 0.6, 0.6)},
	}
}

// zoneTrace is a placer that counts by interval and zone where another one places flows.
type zoneTrace struct {
	Placer
	left, placed map[string][]float64
}

const zoneTraceInterval = 500 * time.Millisecond

func (p *zoneTrace) Place(s *Simulation, key uint64, zone string) (int, bool) {
	chosen, ok := p.Placer.Place(s, key, zone)
	if p.placed[zone] == nil {
		p.placed[zone], p.left[zone] = make([]float64, zoneRun/zoneTraceInterval+10), make([]float64, zoneRun/zoneTraceInterval+10)
	}
	if at := int(s.Now / zoneTraceInterval); ok && at < len(p.placed[zone]) {
		p.placed[zone][at]++
		if s.Endpoints[chosen].Zone != zone {
			p.left[zone][at]++
		}
	}
	return chosen, ok
}

func (p *zoneTrace) DropsRefused() bool {
	d, ok := p.Placer.(Dropper)
	return ok && d.DropsRefused()
}

func (p *zoneTrace) shareAt(zone string, at int) float64 {
	return p.left[zone][at] / max(p.placed[zone][at], 1)
}

// settled returns how long after zoneChange the share of a zone's flows that leave is within a
// tenth of its mean in the second half of the change for good.
func (p *zoneTrace) settled(zone string) time.Duration {
	first, last := int(zoneChange/zoneTraceInterval), int(zoneEnd/zoneTraceInterval)
	mean := 0.0
	half := (first + last) / 2
	for at := half; at < last; at++ {
		mean += p.shareAt(zone, at) / float64(last-half)
	}
	for at := last - 1; at >= first; at-- {
		if math.Abs(p.shareAt(zone, at)-mean) > 0.1 {
			return time.Duration(at+1-first) * zoneTraceInterval
		}
	}
	return 0
}

type zoneRow struct {
	inTime, left [3]float64
	all          float64
	settled      time.Duration
	// offers are those for each request, and crossings its hops between zones on the way.
	offers, crossings float64
	p99               time.Duration
}

func (r zoneRow) String() string {
	text := fmt.Sprintf("in time %.4f (%.4f %.4f %.4f)  left %.3f %.3f %.3f", r.all, r.inTime[0], r.inTime[1], r.inTime[2], r.left[0], r.left[1], r.left[2])
	return fmt.Sprintf("%s  settled %4.1f s  offers %.2f crossings %.3f p99 %4d ms", text, r.settled.Seconds(), r.offers, r.crossings, r.p99.Milliseconds())
}

func (z *zoneScenario) run(newPlacer func(z *zoneScenario) Placer, runs int) zoneRow {
	row, zones := zoneRow{}, []string{"a", "b", "c"}
	for seed := range uint64(runs) {
		var endpoints []Endpoint
		for i, count := range z.endpoints {
			for range count {
				e := Endpoint{Zone: zones[i], Slots: 3, Queue: 16}
				if z.change != nil {
					z.change(&e)
				}
				endpoints = append(endpoints, e)
			}
		}
		load := Load{
			Duration: zoneRun, RequestsPerSecond: 4.5 * capacityPerZone, MeanWork: 40 * time.Millisecond,
			Objective: 300 * time.Millisecond, Deadline: 3 * time.Second, Retries: 2,
			ZoneRates: func(at time.Duration) map[string]float64 {
				rates := z.rates(at)
				return map[string]float64{"a": rates[0] / 4.5, "b": rates[1] / 4.5, "c": rates[2] / 4.5}
			},
		}
		trace := &zoneTrace{Placer: newPlacer(z), left: make(map[string][]float64), placed: make(map[string][]float64)}
		result := Run(endpoints, load, trace, seed)
		for i, zone := range zones {
			r := result.Zones[zone]
			row.inTime[i] += share(r.WithinObjective, r.Requests) / float64(runs)
			row.left[i] += share(r.Left, r.Requests) / float64(runs)
		}
		row.all += share(result.WithinObjective, result.Requests) / float64(runs)
		offering := offeringOf(trace.Placer)
		row.offers += float64(offering.Offers) / float64(result.Requests*runs)
		row.crossings += float64(offering.Crossings) / float64(result.Requests*runs)
		row.p99 = max(row.p99, result.P99)
		row.settled = max(row.settled, trace.settled("a"))
	}
	return row
}

func offeringOf(p Placer) *Offering {
	if z, ok := p.(*ZoneOffering); ok {
		return &z.Offering
	}
	return &p.(*nowPlacer).Offering
}

func byShares(z *zoneScenario) Placer {
	return &ZoneOffering{Balancers: 8, Cost: 5 * time.Millisecond, IsOut: z.isOut}
}

// outPlacer is Offering with candidates by a function that knows the zones out of service.
func outPlacer(z *zoneScenario, choose func(s *Simulation, isOut func(string) bool, view *flow.View, key uint64, origin flow.ZoneTag) []flow.Member) Placer {
	return &nowPlacer{z: z, choose: choose}
}

type nowPlacer struct {
	Offering
	z      *zoneScenario
	choose func(s *Simulation, isOut func(string) bool, view *flow.View, key uint64, origin flow.ZoneTag) []flow.Member
}

func (p *nowPlacer) Place(s *Simulation, key uint64, zone string) (int, bool) {
	isOut := func(zone string) bool { return p.z.isOut != nil && p.z.isOut(s.Now, zone) }
	p.ChooseCandidates = func(view *flow.View, key uint64, origin flow.ZoneTag) []flow.Member {
		return p.choose(s, isOut, view, key, origin)
	}
	return p.Offering.Place(s, key, zone)
}

func byFixed(z *zoneScenario) Placer {
	return outPlacer(z, func(_ *Simulation, isOut func(string) bool, view *flow.View, key uint64, origin flow.ZoneTag) []flow.Member {
		return flow.ChooseCandidates(view, service, key, origin, isOut)
	})
}

func staying(z *zoneScenario) Placer {
	return outPlacer(z, func(_ *Simulation, isOut func(string) bool, view *flow.View, key uint64, origin flow.ZoneTag) []flow.Member {
		return flow.ChooseCandidates(view, service, key, origin, func(zone string) bool { return isOut(zone) || flow.TagOf(zone) != origin })
	})
}

// leastLoaded offers all flows to the zone that had the smallest share of its slots in use when
// the loads were last reported, four times a second.
func leastLoaded(z *zoneScenario) Placer {
	best, next := "", time.Duration(0)
	return outPlacer(z, func(s *Simulation, isOut func(string) bool, view *flow.View, key uint64, origin flow.ZoneTag) []flow.Member {
		if s.Now >= next || isOut(best) {
			next = s.Now + flow.ZoneStepInterval
			use := func(zone string) float64 {
				slots, used := 0, 0
				for i := range s.Endpoints {
					if s.Endpoints[i].Zone == zone {
						slots, used = slots+s.Endpoints[i].Slots, used+s.InFlight[i]
					}
				}
				return float64(used) / float64(slots)
			}
			names := slices.DeleteFunc(zoneNames(s), isOut)
			best = slices.MinFunc(names, func(a, b string) int { return cmp.Compare(use(a), use(b)) })
		}
		return flow.ChooseCandidates(view, service, key, flow.TagOf(best), func(zone string) bool { return zone != best })
	})
}

func findZoneScenario(name string) *zoneScenario {
	scenarios := zoneScenarios()
	return &scenarios[slices.IndexFunc(scenarios, func(z zoneScenario) bool { return z.name == name })]
}

// Guards against shares that hold flows in a zone that is short, or push them into one that is. In
// the high step, only a fourteenth of all slots is free.
func TestZoneSharesServeAShortZone(t *testing.T) {
	for _, name := range []string{"step", "high step", "two short", "slow zone", "evacuation"} {
		g, z := NewWithT(t), findZoneScenario(name)
		got, fixed, stays := z.run(byShares, 1), z.run(byFixed, 1), z.run(staying, 1)
		g.Expect(1-got.all).To(BeNumerically("<", 0.1*(1-stays.all)), name)
		g.Expect(got.all).To(BeNumerically(">", fixed.all-0.001), name)
		g.Expect(got.crossings).To(BeNumerically("<", fixed.crossings), "%s: more hops between zones than with fixed candidates", name)
	}
}

// Guards against a herd of balancers that decide alike by the same reports: the share that
// leaves must settle, also when the loads of zones are exchanged.
func TestZoneSharesSettle(t *testing.T) {
	g := NewWithT(t)
	got, herd := findZoneScenario("step").run(byShares, 1), findZoneScenario("step").run(leastLoaded, 1)
	g.Expect(got.settled).To(BeNumerically("<=", 5*time.Second))
	g.Expect(herd.settled).To(BeNumerically(">", 10*time.Second))
	waves, fixed := findZoneScenario("waves").run(byShares, 1), findZoneScenario("waves").run(byFixed, 1)
	g.Expect(waves.all).To(BeNumerically(">", fixed.all-0.001))
}

// Without figures, flows must be placed as before: no answers arrive, or none of the own zone.
func TestZoneSharesWithoutFiguresAreTheFixedCandidates(t *testing.T) {
	g := NewWithT(t)
	none := func(string, string) bool { return false }
	notOfHome := func(from, to string) bool { return from != to }
	for _, c := range []struct {
		scenario string
		reaches  func(from, to string) bool
	}{{"step", none}, {"evacuation", none}, {"step", notOfHome}} {
		z := findZoneScenario(c.scenario)
		got := z.run(func(z *zoneScenario) Placer {
			placer := byShares(z).(*ZoneOffering)
			placer.Reaches = func(_ time.Duration, from, to string) bool { return c.reaches(from, to) }
			return placer
		}, 1)
		g.Expect(got).To(Equal(z.run(byFixed, 1)), c.scenario)
	}
}

// Nothing is gained by leaving if all zones are full.
func TestZoneSharesStayInAnOverloadOfAllZones(t *testing.T) {
	g := NewWithT(t)
	// With a single seed, the share of one zone varies by more than a hundredth.
	got, fixed := findZoneScenario("all full").run(byShares, seeds), findZoneScenario("all full").run(byFixed, seeds)
	g.Expect(got.crossings).To(BeNumerically("<", fixed.crossings/10))
	for zone := range got.inTime {
		g.Expect(got.left[zone]).To(BeNumerically("<", 0.02))
		g.Expect(got.inTime[zone]).To(BeNumerically(">", fixed.inTime[zone]-0.01))
	}
}

var zoneTable = flag.Bool("zones", false, "print the table of docs/design/zones.md")

func TestZoneSharesComparison(t *testing.T) {
	if !*zoneTable {
		t.Skip("prints a table; run with -zones")
	}
	for _, z := range zoneScenarios() {
		for _, p := range []struct {
			name string
			make func(z *zoneScenario) Placer
		}{{"never", staying}, {"fixed", byFixed}, {"least", leastLoaded}, {"shares", byShares}} {
			t.Logf("%-10s %-7s %s", z.name, p.name, z.run(p.make, 3))
		}
	}
}
