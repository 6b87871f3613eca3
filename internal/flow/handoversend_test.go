package flow

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/wire"
)

// handoverNet is a network in virtual time between an agent and control instances. Instances
// without a store are down.
type handoverNet struct {
	now               time.Duration
	rng               *rand.Rand
	latency           time.Duration
	loss, duplication float64
	stores            []*Handovers
	// heardSince is since when the instances hear of all starts.
	heardSince time.Duration
	events     []handoverEvent
}

type handoverEvent struct {
	at  time.Duration
	run func()
}

func newHandoverNet(seed uint64, stores int) *handoverNet {
	n := &handoverNet{rng: rand.New(rand.NewPCG(seed, seed)), latency: time.Millisecond}
	for range stores {
		n.stores = append(n.stores, NewHandovers())
	}
	return n
}

func controlNumber(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(i)}), 7000)
}

func (n *handoverNet) control() []netip.AddrPort {
	var addresses []netip.AddrPort
	for i := range n.stores {
		addresses = append(addresses, controlNumber(i))
	}
	return addresses
}

// send delivers a datagram after the latency, or not, or late once more.
func (n *handoverNet) send(run func()) {
	delay := n.latency
	for range 2 {
		if n.rng.Float64() >= n.loss {
			n.events = append(n.events, handoverEvent{at: n.now + delay, run: run})
		}
		if n.rng.Float64() >= n.duplication {
			return
		}
		delay += time.Duration(n.rng.Int64N(int64(200 * time.Millisecond)))
	}
}

// request sends a message to an instance and its answer back.
func (n *handoverNet) request(to netip.AddrPort, process func(*Handovers) *wire.Handover, handle func(*wire.Handover)) {
	n.send(func() {
		if store := n.stores[to.Addr().As4()[3]]; store != nil {
			answer := process(store)
			n.send(func() { handle(answer) })
		}
	})
}

// step runs the next event, or lets the time pass.
func (n *handoverNet) step(wait time.Duration) {
	next := -1
	for i, e := range n.events {
		if e.at <= n.now+wait && (next < 0 || e.at < n.events[next].at) {
			next = i
		}
	}
	if next < 0 {
		n.now += max(wait, time.Microsecond)
		return
	}
	event := n.events[next]
	n.events = slices.Delete(n.events, next, next+1)
	n.now = max(n.now, event.at)
	event.run()
}

const stopTime = 4 * time.Second

// handOver hands over the flows of an agent's start, until it is done or killed.
func (n *handoverNet) handOver(agent, incarnation uint64, flows []*wire.FlowState, killedAt time.Duration) *HandoverSender {
	sender := NewHandoverSender(n.now, len(flows), stopTime)
	for !sender.IsDone(n.now) && n.now < killedAt {
		parts, wait := sender.Next(n.now, n.control())
		for _, part := range parts {
			message := &wire.Handover{
				Agent: agent, Incarnation: incarnation, Offset: uint32(part.Start), Total: uint32(len(flows)), Flows: flows[part.Start:part.End],
			}
			n.request(part.To, func(h *Handovers) *wire.Handover { return h.Record(n.now, message) },
				func(answer *wire.Handover) { sender.HandleAnswer(n.now, part.To, answer) })
		}
		n.step(wait)
	}
	return sender
}

// takeOver searches for the flows of an agent's previous start.
func (n *handoverNet) takeOver(agent, incarnation uint64) *Takeover {
	return n.takeOverFrom(agent, incarnation, nil, 0)
}

// takeOverFrom does so for a start that knows the seeds only, until a time has passed.
func (n *handoverNet) takeOverFrom(agent, incarnation uint64, seeds []netip.AddrPort, seedsOnly time.Duration) *Takeover {
	begin, takeover := n.now, NewTakeover(n.now)
	for isKnown := false; !takeover.IsDone(n.now, isKnown); {
		known := seeds
		if isKnown = n.now-begin >= seedsOnly; isKnown {
			known = n.control()
		}
		n.exchange(takeover, agent, incarnation, known)
	}
	return takeover
}

// announce lets a start tell the instances that it runs for a time after its takeover.
func (n *handoverNet) announce(takeover *Takeover, agent, incarnation uint64, duration time.Duration) {
	takeover.End()
	for end := n.now + duration; n.now < end && !takeover.HaveCopiesExpired(n.now); {
		n.exchange(takeover, agent, incarnation, n.control())
	}
}

func (n *handoverNet) exchange(takeover *Takeover, agent, incarnation uint64, known []netip.AddrPort) {
	requests, wait := takeover.Next(n.now, known)
	for _, r := range requests {
		message := &wire.Handover{Agent: agent, Incarnation: incarnation, Offset: uint32(r.Offset)}
		n.request(r.To, func(h *Handovers) *wire.Handover { return h.Take(n.now, message, n.heardSince) },
			func(answer *wire.Handover) { takeover.HandleAnswer(n.now, r.To, answer) })
	}
	n.step(wait)
}

// expectAll asserts that a takeover has got all flows, in order.
func expectAll(g Gomega, takeover *Takeover, flows []*wire.FlowState) {
	taken, _, _, ok := takeover.Flows()
	g.Expect(ok).To(BeTrue())
	g.Expect(taken).To(HaveLen(len(flows)))
	for i := range taken {
		g.Expect(taken[i]).To(BeIdenticalTo(flows[i]))
	}
}

// Two instances get the flows while any two answer, whatever others are down, and the agent's next
// start gets all of them although one of the two restarts.
func TestHandoverNeedsTwoInstancesThatAnswer(t *testing.T) {
	for _, count := range []int{0, 1, 245, 2000} {
		for alive := range 4 {
			g, n := NewWithT(t), newHandoverNet(1, 5)
			for down := range 5 - alive {
				n.stores[down] = nil
			}
			flows := flowStates(count)
			copies := n.handOver(1, 100, flows, stopTime).Complete()
			g.Expect(copies).To(HaveLen(min(alive, handoverCopies)))
			if alive == 0 {
				g.Expect(n.now).To(Equal(HandoverTime(count, stopTime)))
				continue
			}
			g.Expect(n.now).To(BeNumerically("<", time.Second))
			if alive > 1 {
				n.stores[4] = NewHandovers()
			}
			begin := n.now
			expectAll(g, n.takeOver(1, 200), flows)
			g.Expect(n.now - begin).To(BeNumerically("<", takeoverSearchTime))
		}
	}
}

// All instances are down when an agent stops, and one starts within the time of a planned restart.
func TestHandoverWaitsForControlThatRestarts(t *testing.T) {
	g, n := NewWithT(t), newHandoverNet(1, 3)
	n.stores[0], n.stores[1], n.stores[2] = nil, nil, nil
	n.events = append(n.events, handoverEvent{at: 500 * time.Millisecond, run: func() { n.stores[1] = NewHandovers() }})
	g.Expect(n.handOver(1, 100, flowStates(245), stopTime).Complete()).To(Equal([]netip.AddrPort{controlNumber(1)}))
}

// Datagrams are lost, doubled and late, instances restart, and the agent is killed: what an
// instance gives out is always complete, and what was confirmed is found unless it was lost.
func TestHandoverOverABadNetwork(t *testing.T) {
	for seed := range uint64(300) {
		g, n := NewWithT(t), newHandoverNet(seed, 1+int(seed%5))
		n.loss, n.duplication = 0.1, 0.2
		flows := flowStates(n.rng.IntN(2000))
		killedAt, restartAt, restarted := stopTime, time.Duration(n.rng.Int64N(int64(300*time.Millisecond))), n.rng.IntN(len(n.stores))
		if seed%4 == 0 {
			killedAt = time.Duration(n.rng.Int64N(int64(300 * time.Millisecond)))
		}
		n.events = append(n.events, handoverEvent{at: restartAt, run: func() { n.stores[restarted] = NewHandovers() }})
		copies := n.handOver(1, 100, flows, killedAt).Complete()
		if killedAt == stopTime {
			g.Expect(copies).NotTo(BeEmpty(), "seed %d", seed)
		}
		copies = slices.DeleteFunc(copies, func(a netip.AddrPort) bool { return a == controlNumber(restarted) })
		takeover := n.takeOver(1, 200)
		if taken, _, _, ok := takeover.Flows(); ok {
			g.Expect(len(taken)).To(Equal(len(flows)), "seed %d", seed)
			expectAll(g, takeover, flows)
		} else {
			g.Expect(copies).To(BeEmpty(), "seed %d", seed)
		}
	}
}

// A start has taken the flows of one copy, and ends. The next one does not take the other copy,
// although its instance has seen neither: the first says that the flows were another start's.
func TestSecondCopyIsForTheSameStart(t *testing.T) {
	g, n, flows := NewWithT(t), newHandoverNet(1, 3), flowStates(50)
	n.handOver(1, 100, flows, stopTime)
	second := n.stores[1]
	n.stores[1] = nil
	expectAll(g, n.takeOver(1, 200), flows)
	n.stores[1] = second
	takeover := n.takeOver(1, 300)
	_, _, _, ok := takeover.Flows()
	g.Expect(ok).To(BeFalse())
	g.Expect(takeover.IsRefused()).To(BeTrue())
}

// A start takes the flows from a seed before it knows the other instance that has them, and hands over
// to others. The next start knows only that other instance at first (review 7).
func TestOldCopyAtAnotherSeedIsNotTaken(t *testing.T) {
	for _, isAnnounced := range []bool{false, true} {
		for _, seedsOnly := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
			g, n := NewWithT(t), newHandoverNet(1, 5)
			n.handOver(1, 100, flowStates(10), stopTime)
			first := n.takeOverFrom(1, 200, []netip.AddrPort{controlNumber(0)}, seedsOnly)
			expectCertain(g, first, 100)
			if isAnnounced {
				n.announce(first, 1, 200, time.Second)
			}
			older := n.stores[:2]
			n.stores = append([]*Handovers{nil, nil}, n.stores[2:]...)
			flows := flowStates(12)
			n.handOver(1, 200, flows, n.now+stopTime)
			n.stores[0], n.stores[1] = older[0], older[1]
			second := n.takeOverFrom(1, 300, []netip.AddrPort{controlNumber(1)}, seedsOnly)
			expectCertain(g, second, 200)
			expectAll(g, second, flows)
		}
	}
}

func expectCertain(g Gomega, takeover *Takeover, source uint64) {
	g.Expect(takeover.IsCertain()).To(BeTrue())
	g.Expect(takeover.Source()).To(Equal(source))
}

// An instance with an old copy that was out of reach hears of the start as soon as it is back, and
// gives the copy to no later one, whatever has become of the others.
func TestStartIsAnnouncedToInstancesThatReturn(t *testing.T) {
	g, n := NewWithT(t), newHandoverNet(1, 3)
	n.handOver(1, 100, flowStates(10), stopTime)
	unaware := n.stores[1]
	n.stores[1] = nil
	first := n.takeOver(1, 200)
	n.events = append(n.events, handoverEvent{at: n.now + 3*time.Second, run: func() { n.stores[1] = unaware }})
	n.announce(first, 1, 200, 5*time.Second)
	n.stores[0], n.stores[2] = NewHandovers(), NewHandovers()
	second := n.takeOver(1, 300)
	g.Expect(second.IsRefused()).To(BeTrue())
	_, _, _, ok := second.Flows()
	g.Expect(ok).To(BeFalse())
}

// No instance knows of the start in between. A copy is certain only if its instance would.
func TestCopyOfAnInstanceThatMissedStartsIsNotCertain(t *testing.T) {
	g, n := NewWithT(t), newHandoverNet(1, 3)
	n.handOver(1, 100, flowStates(10), stopTime)
	unaware := n.stores[1]
	n.stores[1] = nil
	n.takeOver(1, 200)
	n.now += time.Second
	n.stores[0], n.stores[1] = NewHandovers(), unaware
	n.heardSince = n.now
	second := n.takeOver(1, 300)
	g.Expect(second.IsCertain()).To(BeFalse())
	flows, _, _, ok := second.Flows()
	g.Expect(ok).To(BeTrue())
	g.Expect(flows).To(HaveLen(10))
}

// A start has only some seeds at first, instances restart or are out of reach, datagrams are lost,
// and some starts are killed. Whatever a start is certain of is what the start before it had.
func TestCertainCopyIsThatOfTheStartBefore(t *testing.T) {
	certain, uncertain := 0, 0
	for seed := range uint64(400) {
		g, n := NewWithT(t), newHandoverNet(seed, 3+int(seed%4))
		n.loss, n.duplication = 0.1, 0.1
		cutAway := make(map[int]*Handovers)
		var handedOver uint64
		for incarnation := uint64(100); incarnation < 1000; incarnation += 100 {
			for i, store := range n.stores {
				switch fault := n.rng.IntN(12); {
				case store == nil && fault < 6:
					n.stores[i] = cutAway[i]
				case store != nil && fault == 0:
					n.stores[i] = NewHandovers()
				case store != nil && fault == 1 && len(cutAway) == 0:
					cutAway[i], n.stores[i] = store, nil
				}
				if n.stores[i] != nil && cutAway[i] != nil {
					delete(cutAway, i)
					// What it has missed in the meantime, it does not hear of any more.
					n.heardSince = n.now
				}
			}
			var seeds []netip.AddrPort
			for _, i := range n.rng.Perm(len(n.stores))[:2] {
				seeds = append(seeds, controlNumber(i))
			}
			takeover := n.takeOverFrom(1, incarnation, seeds, time.Duration(n.rng.IntN(20))*time.Millisecond)
			if takeover.IsCertain() {
				g.Expect(takeover.Source()).To(Equal(handedOver), "seed %d, start %d", seed, incarnation)
				certain++
			} else {
				uncertain++
			}
			n.announce(takeover, 1, incarnation, time.Duration(n.rng.Int64N(int64(6*time.Second))))
			// Half of those that are in reach hear of the start by gossip.
			for _, store := range n.stores {
				if store != nil && n.rng.IntN(2) == 0 {
					store.RecordStart(1, incarnation)
				}
			}
			handedOver = 0
			if n.rng.IntN(6) > 0 {
				n.handOver(1, incarnation, flowStates(n.rng.IntN(60)), n.now+stopTime)
				handedOver = incarnation
			}
			n.now += time.Duration(n.rng.Int64N(int64(time.Second)))
		}
	}
	t.Logf("%d certain, %d not", certain, uncertain)
	NewWithT(t).Expect(certain).To(BeNumerically(">", uncertain))
}

// Late and doubled parts do not bring back flows that a start has taken, nor an older copy.
func TestLatePartsMakeNoCopy(t *testing.T) {
	g, h := NewWithT(t), NewHandovers()
	part := &wire.Handover{Agent: 1, Incarnation: 100, Total: 3, Flows: flowStates(3)}
	h.Record(0, part)
	h.RecordStart(1, 90)
	take(h, 0, 1, 200)
	h.RecordStart(1, 300)
	g.Expect(h.Record(0, part).Refused).To(BeTrue())
	_, isFound := take(h, 0, 1, 400)
	g.Expect(isFound).To(BeFalse())
	record(h, 0, 1, 300, flowStates(2))
	g.Expect(h.Record(0, part).Refused).To(BeTrue(), "an older start")
	flows, _ := take(h, 0, 1, 400)
	g.Expect(flows).To(HaveLen(2))
}

// A quarter of 3,100 agents stop at once: what does not fit is refused at the first part, and the
// copies that fit are complete. A sender that ends halfway gives its room back.
func TestFlowsThatDoNotFitAreRefused(t *testing.T) {
	g, n := NewWithT(t), newHandoverNet(1, 3)
	// A few tens of copies fill the three instances.
	copies, refused, flows := 0, 0, flowStates(4000)
	for agent := range uint64(100) {
		begin := n.now
		sender := n.handOver(agent, 100, flows, n.now+stopTime)
		copies += len(sender.Complete())
		refused += sender.Refused()
		if len(sender.Complete()) == 0 {
			g.Expect(n.now-begin).To(BeNumerically("<=", 4*n.latency), "a round trip for the first two, one for the third")
		}
	}
	g.Expect(copies).To(Equal(3 * (maxHandoverFlows / 4001)))
	g.Expect(refused).To(BeNumerically(">", 100))

	h := NewHandovers()
	start := &wire.Handover{Agent: 1, Incarnation: 100, Total: maxHandoverFlows - 1, Flows: flowStates(20)}
	g.Expect(h.Record(0, start).Refused).To(BeFalse())
	other := &wire.Handover{Agent: 2, Incarnation: 100, Total: 20, Flows: flowStates(20)}
	g.Expect(h.Record(0, other).Refused).To(BeTrue())
	h.Sweep(incompleteTTL + 1)
	g.Expect(h.Record(incompleteTTL+1, other).Offset).To(Equal(uint32(20)))
	g.Expect(h.Record(0, &wire.Handover{Agent: 3, Total: 1 << 31}).Refused).To(BeTrue())
}

// Answers of any content are no fault, and lead to no copy that is not complete.
func FuzzHandoverAnswers(f *testing.F) {
	f.Add(uint32(0), uint32(3), 3, uint64(7), true, false)
	f.Add(uint32(20), uint32(1<<31), 0, uint64(0), false, true)
	f.Fuzz(func(t *testing.T, offset, total uint32, count int, source uint64, found, refused bool) {
		answer := &wire.Handover{Offset: offset, Total: total, Flows: flowStates(min(max(count, 0), 50)), Source: source, Found: found, Refused: refused}
		sender, takeover := NewHandoverSender(0, 50, stopTime), NewTakeover(0)
		control := []netip.AddrPort{controlNumber(0)}
		for now := range 3 * HandoverRetry / time.Millisecond {
			sender.Next(now*time.Millisecond, control)
			sender.HandleAnswer(now*time.Millisecond, control[0], answer)
			takeover.Next(now*time.Millisecond, control)
			takeover.HandleAnswer(now*time.Millisecond, control[0], answer)
		}
		if flows, _, _, ok := takeover.Flows(); ok && len(flows) != int(total) {
			t.Errorf("%d flows of %d", len(flows), total)
		}
	})
}
