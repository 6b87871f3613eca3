package flow

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/wire"
)

// answeredFlow adds a flow to a table that the endpoint has answered and, if isOpen is set, the
// caller has opened.
func answeredFlow(t *Table, number int, seq uint32, isOpen bool) Key {
	key := witnessKey(number)
	t.Offer(0, key)
	t.HandleEndpointPacket(0, &Header{Source: key.Dialed, Destination: key.Caller, IsSYN: true, IsACK: true, Seq: seq})
	if isOpen {
		t.HandleCallerPacket(0, &Header{Source: key.Caller, Destination: key.Dialed, IsACK: true, Ack: seq + 1})
	}
	return key
}

func TestTableKnowsImportedFlows(t *testing.T) {
	g := NewWithT(t)
	before, after := NewTable(), NewTable()
	open, half := answeredFlow(before, 1, 1000, true), answeredFlow(before, 2, 5000, false)
	before.Offer(0, witnessKey(3))
	states := before.Export(2 * time.Second)
	g.Expect(states).To(HaveLen(2), "a flow that was only offered may open at another endpoint")
	after.Import(time.Second, states)
	ack := func(key Key, ack uint32) *Header {
		return &Header{Source: key.Caller, Destination: key.Dialed, IsACK: true, Ack: ack}
	}
	// The endpoint has gone on sending while no agent ran.
	g.Expect(after.HandleCallerPacket(time.Second, ack(open, 200_000))).NotTo(BeNil())
	g.Expect(after.HandleCallerPacket(time.Second, ack(half, 900_000))).To(BeNil(), "opened at another endpoint")
	g.Expect(after.HandleCallerPacket(time.Second, ack(half, 5001))).NotTo(BeNil())
	g.Expect(after.HandleCallerPacket(time.Second, ack(witnessKey(3), 1))).To(BeNil())
	after.Import(time.Second, states)
	g.Expect(after.Len()).To(Equal(2))
}

// A late copy of a SYN reaches an agent before it has got the flows of its previous start.
func TestImportedFlowReplacesALateCopyOfItsSYN(t *testing.T) {
	g := NewWithT(t)
	before, after := NewTable(), NewTable()
	key := answeredFlow(before, 1, 1000, true)
	after.Offer(time.Second, key)
	after.Import(time.Second, before.Export(time.Second))
	g.Expect(after.HandleCallerPacket(time.Second, &Header{Source: key.Caller, Destination: key.Dialed, IsACK: true, Ack: 1001})).NotTo(BeNil())
	g.Expect(after.InFlight()).To(BeZero())
}

func TestForeignStatesAreSeparated(t *testing.T) {
	g := NewWithT(t)
	states := append(flowStates(2), ForeignState(witnessKey(1), 3*time.Second))
	own, foreign := SplitForeign(states)
	g.Expect(own).To(HaveLen(2))
	g.Expect(foreign).To(HaveLen(1))
	g.Expect(KeyOfState(foreign[0])).To(Equal(witnessKey(1)))
	g.Expect(foreign[0].IdleMs).To(Equal(uint32(3000)))
}

func TestImportedFlowsExpire(t *testing.T) {
	g := NewWithT(t)
	before, after := NewTable(), NewTable()
	answeredFlow(before, 1, 1000, true)
	after.Import(0, before.Export(10*time.Second))
	after.Sweep(8*time.Second, 15*time.Second)
	g.Expect(after.Len()).To(Equal(1))
	after.Sweep(10*time.Second, 15*time.Second)
	g.Expect(after.Len()).To(BeZero())
}

func flowStates(count int) []*wire.FlowState {
	states := make([]*wire.FlowState, count)
	for i := range states {
		states[i] = &wire.FlowState{CallerPort: uint32(i)}
	}
	return states
}

// record records the flows of an agent in parts and returns how many the store confirms.
func record(h *Handovers, now time.Duration, agent, incarnation uint64, flows []*wire.FlowState) (confirmed uint32) {
	for start := 0; start == 0 || start < len(flows); start += HandoverFlows {
		end := min(start+HandoverFlows, len(flows))
		confirmed = h.Record(now, &wire.Handover{Agent: agent, Incarnation: incarnation, Offset: uint32(start), Total: uint32(len(flows)), Flows: flows[start:end], AdoptMs: 7}).Offset
	}
	return confirmed
}

// take fetches all flows for a start, and reports whether there are any for it.
func take(h *Handovers, now time.Duration, agent, incarnation uint64) (flows []*wire.FlowState, isFound bool) {
	for {
		answer := h.Take(now, &wire.Handover{Agent: agent, Incarnation: incarnation, Offset: uint32(len(flows))}, 0)
		if !answer.Found {
			return nil, false
		}
		if flows = append(flows, answer.Flows...); len(flows) >= int(answer.Total) {
			return flows, true
		}
	}
}

func TestHandoverReachesTheNextStart(t *testing.T) {
	for _, count := range []int{0, 1, HandoverFlows, HandoverFlows + 1, 10 * HandoverFlows} {
		g := NewWithT(t)
		h := NewHandovers()
		g.Expect(record(h, 0, 1, 100, flowStates(count))).To(Equal(uint32(count)))
		g.Expect(record(h, 0, 1, 100, flowStates(count))).To(Equal(uint32(count)), "sent again")
		h.RecordStart(1, 100)
		for range 2 {
			flows, isFound := take(h, time.Second, 1, 200)
			g.Expect(isFound).To(BeTrue())
			g.Expect(flows).To(HaveLen(count))
		}
		_, isFound := take(h, time.Second, 2, 200)
		g.Expect(isFound).To(BeFalse(), "another agent")
	}
}

// A start that did not fetch the flows may have opened others, which a later one would not know.
func TestHandoverIsForTheNextStartOnly(t *testing.T) {
	g := NewWithT(t)
	h := NewHandovers()
	record(h, 0, 1, 100, flowStates(3))
	take(h, time.Second, 1, 200)
	_, isFound := take(h, time.Second, 1, 300)
	g.Expect(isFound).To(BeFalse())

	record(h, 0, 1, 400, flowStates(3))
	h.RecordStart(1, 500)
	_, isFound = take(h, time.Second, 1, 500)
	g.Expect(isFound).To(BeTrue())
	_, isFound = take(h, time.Second, 1, 600)
	g.Expect(isFound).To(BeFalse())
	_, isFound = take(h, time.Second, 1, 500)
	g.Expect(isFound).To(BeFalse(), "a newer start is known")
}

func TestIncompleteAndOldHandoversAreNotFound(t *testing.T) {
	g := NewWithT(t)
	h := NewHandovers()
	part := func(offset uint32) uint32 {
		return h.Record(0, &wire.Handover{Agent: 1, Incarnation: 100, Offset: offset, Total: 4, Flows: flowStates(2)}).Offset
	}
	g.Expect(part(2)).To(BeZero(), "the part before is missing")
	g.Expect(part(0)).To(Equal(uint32(2)))
	_, isFound := take(h, 0, 1, 200)
	g.Expect(isFound).To(BeFalse())
	g.Expect(part(2)).To(Equal(uint32(4)))
	_, isFound = take(h, HandoverTTL, 1, 200)
	g.Expect(isFound).To(BeTrue())
	_, isFound = take(h, HandoverTTL+1, 1, 200)
	g.Expect(isFound).To(BeFalse())
}

func TestHandoversAreBounded(t *testing.T) {
	g := NewWithT(t)
	h := NewHandovers()
	for agent := range uint64(100) {
		record(h, 0, agent, 100, flowStates(4000))
	}
	g.Expect(h.flows).To(BeNumerically("<=", maxHandoverFlows))
	_, isFound := take(h, 0, 0, 200)
	g.Expect(isFound).To(BeTrue())
	_, isFound = take(h, 0, 99, 200)
	g.Expect(isFound).To(BeFalse(), "no room")
	h.Sweep(HandoverTTL + 1)
	g.Expect(h.flows).To(BeZero())
	g.Expect(record(h, HandoverTTL+1, 99, 100, flowStates(4000))).To(Equal(uint32(4000)))
}

func FuzzHandovers(f *testing.F) {
	f.Add(uint64(1), uint64(100), uint32(0), uint32(3), 2)
	f.Fuzz(func(t *testing.T, agent, incarnation uint64, offset, total uint32, count int) {
		h := NewHandovers()
		h.Record(0, &wire.Handover{Agent: agent, Incarnation: incarnation, Offset: offset, Total: total, Flows: flowStates(min(max(count, 0), 50))})
		h.Take(0, &wire.Handover{Agent: agent, Incarnation: incarnation + 1, Offset: offset}, 0)
		NewTable().Import(0, []*wire.FlowState{{CallerAddress: offset, CallerPort: total, IdleMs: total}})
		if h.flows > maxHandoverFlows || h.flows < 0 {
			t.Errorf("%d flows", h.flows)
		}
	})
}

func BenchmarkExport(b *testing.B) {
	t := NewTable()
	for number := range 2000 {
		key := Key{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), uint16(number)), Dialed: netip.MustParseAddrPort("198.51.100.1:443")}
		t.HandleEndpointPacket(0, &Header{Source: key.Dialed, Destination: key.Caller, IsACK: true})
	}
	for b.Loop() {
		t.Export(0)
	}
}
