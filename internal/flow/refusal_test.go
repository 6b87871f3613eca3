package flow

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// placement decides about a transmission of a SYN with what a balancer knows.
type placement func(l *Loads, now time.Duration, transmission int, agents []Member) Candidates

func placeByReports(l *Loads, now time.Duration, transmission int, agents []Member) Candidates {
	return l.Consider(now, 2, transmission, agents, 0)
}

// placeByWalk offers all flows to all candidates, as before there were reports.
func placeByWalk(_ *Loads, _ time.Duration, _ int, agents []Member) Candidates {
	return Candidates{Agents: agents}
}

// placeByThreshold refuses all flows while the last reports of the candidates say that they are full.
func placeByThreshold(l *Loads, now time.Duration, transmission int, agents []Member) Candidates {
	c := Candidates{Agents: agents, IsRefused: transmission == 0}
	for _, agent := range agents {
		load, _, ok := l.Get(now, agent.Address)
		c.IsRefused = c.IsRefused && ok && load.Waits[2] > MaxSYNWait(0)
	}
	return c
}

const (
	simAgents, simSlots, simBalancers = 16, 3, 5
	simWork                           = 40 * time.Millisecond
	// 3% of the requests need 7 times as long.
	simMeanWork  = simWork * (97 + 3*7) / 100
	simCapacity  = simAgents * simSlots * float64(time.Second) / float64(simMeanWork)
	simObjective = 300 * time.Millisecond
)

type simFlow struct {
	balancer     int
	zone         string
	bornAt       time.Duration
	attempts     int
	attemptAt    time.Duration
	transmission int
	isStarted    bool
	hash         uint64
}

type waitingSYN struct {
	flow *simFlow
	// lastStart is the latest time at which the flow must start to be answered in time, as far as
	// the agent can tell, and until is when it is given up.
	lastStart, until time.Duration
}

type simAgent struct {
	ends       []time.Duration
	queue      []waitingSYN
	saturation Saturation
	limit      *ReportLimit
}

// refusalSimulation is a service under load in steps of a millisecond: agents with slots and a queue for
// the SYNs that find a slot before the next transmission, and balancers that get their reports.
type refusalSimulation struct {
	random *rand.Rand
	place  placement
	view   *View
	agents []simAgent
	loads  [2 * simBalancers]*Loads
	events map[time.Duration][]func(now time.Duration)

	// shareA is the share of the flows that arrive in zone a, which has half of the agents.
	shareA float64

	inTime                                map[string]int
	refused, refusedBesideFreeSlots, hops int
	// busy is the number of slots in use, and refusals that of refusals at balancers, by 100 ms.
	busy, refusals map[time.Duration]int
}

const (
	simStep = time.Millisecond
	simBin  = 100 * time.Millisecond
)

func simView() *View {
	var members []Member
	for number := range simAgents {
		members = append(members, NewMember(loadAgent(number), []string{"zone-a", "zone-b"}[number%2], "orders"))
	}
	return NewView(members)
}

func runSimulation(place placement, seed uint64, shareA float64, duration time.Duration, load func(at time.Duration) float64) *refusalSimulation {
	s := &refusalSimulation{
		random: rand.New(rand.NewPCG(seed, 1)), place: place, shareA: shareA, inTime: make(map[string]int), view: simView(), agents: make([]simAgent, simAgents),
		events: make(map[time.Duration][]func(time.Duration)), busy: make(map[time.Duration]int), refusals: make(map[time.Duration]int),
	}
	for i := range s.loads {
		s.loads[i] = NewLoads()
	}
	for i := range s.agents {
		s.agents[i].limit = NewReportLimit()
	}
	arrived, due := 0, 0.0
	for now := time.Duration(0); now < duration; now += simStep {
		for i := range s.agents {
			s.serve(now, &s.agents[i])
			s.busy[now/simBin] += len(s.agents[i].ends)
		}
		for _, run := range s.events[now] {
			run(now)
		}
		delete(s.events, now)
		for due += load(now) * simCapacity * simStep.Seconds(); float64(arrived) < due; arrived++ {
			f := &simFlow{balancer: s.random.IntN(simBalancers), zone: "zone-b", bornAt: now}
			if s.random.Float64() < s.shareA {
				f.balancer, f.zone = f.balancer+simBalancers, "zone-a"
			}
			s.attempt(now, f)
		}
	}
	return s
}

func (s *refusalSimulation) after(now, delay time.Duration, run func(time.Duration)) {
	s.events[now+delay] = append(s.events[now+delay], run)
}

// serve ends work and starts that of waiting flows.
func (s *refusalSimulation) serve(now time.Duration, a *simAgent) {
	kept := a.ends[:0]
	for _, end := range a.ends {
		if end > now {
			kept = append(kept, end)
		}
	}
	a.ends = kept
	a.queue = slices.DeleteFunc(a.queue, func(w waitingSYN) bool { return w.until < now || w.flow.isStarted })
	for len(a.queue) > 0 && len(a.ends) < simSlots {
		// Flows that can still be answered in time come first.
		next := max(0, slices.IndexFunc(a.queue, func(w waitingSYN) bool { return now <= w.lastStart }))
		s.start(now, a, a.queue[next].flow)
		a.queue = slices.Delete(a.queue, next, next+1)
	}
	a.saturation.Observe(now, len(a.ends)+len(a.queue), simSlots)
}

func (s *refusalSimulation) start(now time.Duration, a *simAgent, f *simFlow) {
	work := simWork
	if s.random.IntN(100) < 3 {
		work *= 7
	}
	a.ends = append(a.ends, now+work)
	if f.isStarted = true; now+work-f.bornAt <= simObjective {
		s.inTime[f.zone]++
	}
}

// attempt sends the first SYN of an attempt, from a new port.
func (s *refusalSimulation) attempt(now time.Duration, f *simFlow) {
	f.attempts++
	f.attemptAt, f.transmission, f.hash = now, 0, s.random.Uint64()
	s.transmit(now, f)
}

func (s *refusalSimulation) transmit(now time.Duration, f *simFlow) {
	if f.transmission < 2 {
		attempt, next := f.attempts, f.transmission+1
		s.after(now, f.attemptAt+transmissionTimes[f.transmission]-now, func(now time.Duration) {
			if !f.isStarted && f.attempts == attempt {
				f.transmission = next
				s.transmit(now, f)
			}
		})
	}
	agents := ChooseCandidates(s.view, "orders", f.hash, TagOf(f.zone), func(string) bool { return false })
	c := s.place(s.loads[f.balancer], now, f.transmission, agents)
	if c.IsRefused {
		s.refusals[now/simBin]++
		for _, agent := range c.Agents {
			if len(s.agentAt(agent.Address).ends) < simSlots {
				s.refusedBesideFreeSlots++
			}
		}
		s.reset(now, f)
		return
	}
	for i := range c.Agents {
		s.hops++
		agent := c.Agents[(i+f.transmission)%len(c.Agents)]
		if s.offer(now, agent.Address, f, len(c.Agents)-1-i) {
			return
		}
	}
}

func (s *refusalSimulation) agentAt(address netip.AddrPort) *simAgent {
	return &s.agents[address.Addr().As4()[3]]
}

// offer gives a SYN to an agent, and reports whether it ends there.
func (s *refusalSimulation) offer(now time.Duration, address netip.AddrPort, f *simFlow, left int) bool {
	a := s.agentAt(address)
	if len(a.ends) < simSlots {
		s.start(now, a, f)
		return true
	}
	load := Load{IsReady: true, Slots: simSlots, InFlight: len(a.ends) + len(a.queue), IsSaturated: a.saturation.IsSustained(now)}
	for class := range load.Waits {
		load.Waits[class] = simMeanWork * time.Duration(len(a.queue)+1) / simSlots
	}
	balancer := loadAgent(100 + f.balancer)
	if a.limit.Allow(now, balancer) {
		s.after(now, simStep, func(now time.Duration) { s.loads[f.balancer].Record(now, address, load) })
	}
	wait := MaxSYNWait(f.transmission)
	if left <= 1 && load.Waits[0] <= wait {
		a.queue = append(a.queue, waitingSYN{flow: f, until: now + wait, lastStart: f.attemptAt + simObjective - simMeanWork})
		return true
	}
	if left == 0 && load.IsSaturated && f.transmission == 0 {
		s.reset(now, f)
	}
	return left == 0
}

func (s *refusalSimulation) reset(now time.Duration, f *simFlow) {
	if s.refused++; f.attempts < 3 {
		s.after(now, simStep, func(now time.Duration) { s.attempt(now, f) })
	} else {
		f.attempts++
	}
}

// minBusy returns the smallest share of slots in use in a bin between two times.
func (s *refusalSimulation) minBusy(from, to time.Duration) float64 {
	least := 1.0
	for bin := from / simBin; bin < to/simBin; bin++ {
		least = min(least, float64(s.busy[bin])/float64(simAgents*simSlots*int(simBin/simStep)))
	}
	return least
}

func (s *refusalSimulation) refusalsBetween(from, to time.Duration) (count int) {
	for bin := from / simBin; bin < to/simBin; bin++ {
		count += s.refusals[bin]
	}
	return count
}

// loadStep is a load, as a share of the capacity, of high between two times and of low otherwise.
func loadStep(high, low float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return high
		}
		return low
	}
}

// loadWaves alternates between a quarter and twice the capacity every 2 s.
func loadWaves(at time.Duration) float64 {
	if at/(2*time.Second)%2 == 1 {
		return 2
	}
	return 0.25
}

const (
	overloadFrom, overloadTo, simEnd = 2 * time.Second, 10 * time.Second, 12 * time.Second
	// settleTime is how long refusals may last beyond an overload: until a caller whose SYN was
	// dropped instead would have sent it again.
	settleTime = 200 * time.Millisecond
)

// Refusals must leave no slot idle and end with the overload, and must not come and go during one.
// 80% of the flows arrive in a zone that has half of the agents; callers of both zones are to be
// served equally. The naive threshold refuses flows beside free slots, and goes on after the
// overload. Without refusals, flows walk over more agents.
func TestRefusalsEndWithTheOverload(t *testing.T) {
	const shareA = 0.8
	naiveBesideFreeSlots, naiveLate := 0, 0
	for name, load := range map[string]func(time.Duration) float64{
		"step to 1.3": loadStep(1.3, 0.6, overloadFrom, overloadTo),
		"burst of 2":  loadStep(2, 0.6, overloadFrom, overloadTo),
		"burst of 3":  loadStep(3, 0.6, overloadFrom, overloadTo),
		"waves":       loadWaves,
	} {
		lateRefusals := func(s *refusalSimulation) (late int) {
			for at := simBin; at+simBin <= simEnd; at += simBin {
				if load(at) < 1 && load(max(0, at-settleTime)) < 1 {
					late += s.refusalsBetween(at, at+simBin)
				}
			}
			return late
		}
		for seed := range uint64(2) {
			g := NewWithT(t)
			walk, reports, naive := runSimulation(placeByWalk, seed, shareA, simEnd, load),
				runSimulation(placeByReports, seed, shareA, simEnd, load), runSimulation(placeByThreshold, seed, shareA, simEnd, load)
			for policy, s := range map[string]*refusalSimulation{"walk": walk, "reports": reports, "naive": naive} {
				t.Logf("%s, seed %d, %s: %d and %d answers in time by zone, %d hops, %d refusals at balancers (%d candidates with free slots, %d after the overload), slots in use %.3f",
					name, seed, policy, s.inTime["zone-a"], s.inTime["zone-b"], s.hops, s.refusalsBetween(0, simEnd), s.refusedBesideFreeSlots, lateRefusals(s), s.minBusy(overloadFrom+time.Second, overloadTo))
			}
			naiveBesideFreeSlots, naiveLate = naiveBesideFreeSlots+naive.refusedBesideFreeSlots, naiveLate+lateRefusals(naive)
			g.Expect(reports.refusedBesideFreeSlots).To(BeZero(), "refusals beside free slots, %s, seed %d", name, seed)
			g.Expect(lateRefusals(reports)).To(BeZero(), "refusals after the overload, %s, seed %d", name, seed)
			g.Expect(reports.hops).To(BeNumerically("<", walk.hops), "%s, seed %d", name, seed)
			if name != "waves" {
				g.Expect(reports.minBusy(overloadFrom+time.Second, overloadTo)).To(BeNumerically(">", 0.95), "%s, seed %d", name, seed)
			}
			perFlow := float64(reports.inTime["zone-a"]) / shareA / (float64(reports.inTime["zone-b"]) / (1 - shareA))
			g.Expect(perFlow).To(BeNumerically("~", 1, 0.1), "%s, seed %d", name, seed)
		}
	}
	NewWithT(t).Expect(naiveBesideFreeSlots).To(BeNumerically(">", 0))
	NewWithT(t).Expect(naiveLate).To(BeNumerically(">", 0))
}

// consider returns what remains of agents 0 to count-1, which have reported waits in milliseconds.
// A negative one stands for no report.
func consider(transmission int, age time.Duration, suspected int, waits ...int) (left []int, isRefused bool) {
	l := NewLoads()
	var agents []Member
	for number, wait := range waits {
		agents = append(agents, NewMember(loadAgent(number), "zone-a", "orders"))
		if wait >= 0 {
			l.Record(0, loadAgent(number), LoadOf(fullReport(number, time.Duration(wait)*time.Millisecond)))
		}
	}
	c := l.Consider(age, 2, transmission, agents, suspected)
	for _, agent := range c.Agents {
		left = append(left, int(agent.Address.Addr().As4()[3]))
	}
	return left, c.IsRefused
}

// Only a flow that no candidate would take is refused, and only on its first transmission.
func TestOnlyFlowsThatNoAgentTakesAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		transmission int
		age          time.Duration
		suspected    int
		waits        []int
		left         []int
		isRefused    bool
	}{
		"all full":                      {waits: []int{300, 300, 300}, left: []int{0, 1, 2}, isRefused: true},
		"one report missing":            {waits: []int{300, -1, 300}, left: []int{1}},
		"one not full":                  {waits: []int{300, 300, 170}, left: []int{2}},
		"decreased with age":            {age: 130 * time.Millisecond, waits: []int{300, 300}, left: []int{0, 1}},
		"too old":                       {age: 210 * time.Millisecond, waits: []int{9000, 9000}, left: []int{0, 1}},
		"no reports":                    {waits: []int{-1, -1}, left: []int{0, 1}},
		"second transmission":           {transmission: 1, waits: []int{300, 500}, left: []int{0}},
		"full for the second one":       {transmission: 1, waits: []int{500, 500}, left: []int{0, 1}},
		"third transmission":            {transmission: 2, waits: []int{790, 700}, left: []int{1}},
		"only a suspect is not full":    {suspected: 1, waits: []int{300, 300, -1}, left: []int{0, 1, 2}},
		"suspects stay last":            {suspected: 1, waits: []int{300, 10, 10}, left: []int{1, 2}},
		"suspects are full with others": {suspected: 1, waits: []int{300, 300}, left: []int{0, 1}, isRefused: true},
		"no candidates":                 {},
	} {
		g := NewWithT(t)
		left, isRefused := consider(c.transmission, c.age, c.suspected, c.waits...)
		g.Expect(left).To(Equal(c.left), name)
		g.Expect(isRefused).To(Equal(c.isRefused), name)
	}
}

// In a rush, agents drop SYNs that they cannot keep, and the callers' next transmissions find a
// slot. A reset would use up the attempt.
func TestARushIsNotRefused(t *testing.T) {
	g := NewWithT(t)
	l, message := NewLoads(), fullReport(0, time.Second)
	message.Saturated = false
	l.Record(0, loadAgent(0), LoadOf(message))
	g.Expect(l.Consider(0, 0, 0, []Member{NewMember(loadAgent(0), "zone-a", "orders")}, 0).IsRefused).To(BeFalse())
}

// The decision on an offer may cost at most 1.2 times that without reports. "before" is the choice of
// the candidates alone, the others add what the balancer does with the reports.
func BenchmarkOfferDecision(b *testing.B) {
	var members []Member
	reports := NewLoads()
	for number := range 46 {
		members = append(members, NewMember(loadAgent(number), []string{"zone-a", "zone-b", "zone-c", "zone-d"}[number%4], "orders"))
		reports.Record(0, loadAgent(number), LoadOf(fullReport(number, time.Duration(100+number*5)*time.Millisecond)))
	}
	view, origin := NewView(members), TagOf("zone-a")
	var mu sync.Mutex
	var offered RecentOffers
	for _, c := range []struct {
		name  string
		loads *Loads
	}{{"before", nil}, {"without reports", NewLoads()}, {"with reports", reports}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				key := Key{Caller: netip.AddrPortFrom(loadAgent(1).Addr(), uint16(i)), Dialed: loadAgent(2)}
				hash := key.Hash()
				agents := ChooseCandidates(view, "orders", hash, origin, func(string) bool { return false })
				if c.loads == nil {
					continue
				}
				mu.Lock()
				c.loads.Consider(time.Millisecond, 2, 0, agents, 0)
				offered.Record(time.Millisecond, hash)
				mu.Unlock()
			}
		})
	}
}
