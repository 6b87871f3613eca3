package flow

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var (
	caller = netip.MustParseAddrPort("100.64.0.7:40001")
	dialed = netip.MustParseAddrPort("198.51.100.1:443")
	key    = Key{Caller: caller, Dialed: dialed}
)

// endpointFirst is the sequence number of the endpoint's SYN, shortly before the
// numbers wrap around.
const endpointFirst = 0xffff_fff0

func fromCaller(ack uint32, length int) *Header {
	return &Header{Source: caller, Destination: dialed, IsACK: true, Ack: ack, Length: length}
}

func fromEndpoint(seq uint32, length int) *Header {
	return &Header{Source: dialed, Destination: caller, IsACK: true, Seq: seq, Length: length}
}

func synAck() *Header {
	return &Header{Source: dialed, Destination: caller, IsSYN: true, IsACK: true, Seq: endpointFirst}
}

// newTableWithOpenFlow returns a table with one open flow.
func newTableWithOpenFlow() *Table {
	t := NewTable()
	t.Offer(0, key)
	t.HandleEndpointPacket(0, synAck())
	t.HandleCallerPacket(0, fromCaller(seqAfter(1), 0))
	return t
}

// seqAfter returns the endpoint's sequence number n bytes after its SYN. It wraps
// around.
func seqAfter(n uint32) uint32 {
	first := uint32(endpointFirst)
	return first + n
}

func TestFlowOpensWhenCallerAcknowledgesEndpoint(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	table.Offer(0, key)
	g.Expect(table.HandleCallerPacket(0, fromCaller(seqAfter(1), 0))).To(BeNil(), "the endpoint has not answered yet")
	table.HandleEndpointPacket(0, synAck())
	g.Expect(table.Get(key).isOpen).To(BeFalse())
	g.Expect(table.HandleCallerPacket(0, fromCaller(seqAfter(1), 0)).isOpen).To(BeTrue())
}

// Two endpoints have answered different transmissions of a SYN. The caller continues
// with one of them, and its packets must not reach the other.
func TestPacketsForOtherEndpointAreRejected(t *testing.T) {
	g := NewWithT(t)
	table := newTableWithOpenFlow()
	g.Expect(table.HandleCallerPacket(0, fromCaller(seqAfter(1)+1<<30, 0))).To(BeNil())
	g.Expect(table.HandleCallerPacket(0, fromCaller(seqAfter(0)-1, 0))).To(BeNil())
	table.HandleEndpointPacket(0, fromEndpoint(seqAfter(1), 1200))
	g.Expect(table.HandleCallerPacket(0, fromCaller(seqAfter(1201), 0))).NotTo(BeNil(), "across the wraparound of sequence numbers")
}

func TestInFlightCountsWaitingRequests(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	table.Offer(0, key)
	g.Expect(table.InFlight()).To(Equal(1), "a new flow includes a request")
	table.Offer(0, key)
	g.Expect(table.InFlight()).To(Equal(1), "a retransmitted SYN includes none")
	table.HandleEndpointPacket(0, synAck())
	table.HandleCallerPacket(0, fromCaller(seqAfter(1), 100))
	table.HandleEndpointPacket(0, fromEndpoint(seqAfter(1), 500))
	g.Expect(table.InFlight()).To(BeZero())
	table.HandleCallerPacket(0, fromCaller(seqAfter(501), 100))
	g.Expect(table.InFlight()).To(Equal(1))
	table.Sweep(inFlightTimeout+time.Millisecond, time.Minute)
	g.Expect(table.InFlight()).To(BeZero(), "neither end sends packets")
	table.Remove(key)
	g.Expect(table.InFlight()).To(BeZero())
}

// The response time is the time from a request to the first byte of its answer. The
// time that the caller takes after the handshake is not included.
func TestResponseTimeExcludesCaller(t *testing.T) {
	const ms = time.Millisecond
	g := NewWithT(t)
	table := NewTable()
	table.Offer(0, key)
	g.Expect(table.LongestWait(60*ms)).To(Equal(60*ms), "the SYN has not been answered")
	table.HandleEndpointPacket(100*ms, synAck())
	g.Expect(table.LongestWait(200*ms)).To(BeZero(), "the endpoint has answered")
	now := 300 * ms
	sent := uint32(1)
	for range 50 {
		table.HandleCallerPacket(now, fromCaller(seqAfter(sent), 100))
		table.HandleEndpointPacket(now+10*ms, fromEndpoint(seqAfter(sent), 0))
		table.HandleEndpointPacket(now+40*ms, fromEndpoint(seqAfter(sent), 500))
		table.HandleEndpointPacket(now+90*ms, fromEndpoint(seqAfter(sent+500), 500))
		sent += 1000
		now += 200 * ms
	}
	g.Expect(table.ResponseTime(now)).To(BeNumerically("~", 40*ms, 2*ms))
	table.HandleCallerPacket(now, fromCaller(seqAfter(sent), 100))
	table.HandleCallerPacket(now+100*ms, fromCaller(seqAfter(sent), 100))
	g.Expect(table.LongestWait(now+150*ms)).To(Equal(150*ms), "a retransmitted request starts no new wait")
	table.Sweep(now+100*ms+inFlightTimeout+ms, time.Minute)
	g.Expect(table.LongestWait(now+3*time.Second)).To(BeZero(), "neither end sends packets")
}

// A reset instead of an answer is a failure. A reset of a flow on which no answer is
// pending is not.
func TestFailureRateCountsResetsInsteadOfAnswers(t *testing.T) {
	g := NewWithT(t)
	table := newTableWithOpenFlow()
	table.HandleEndpointPacket(0, &Header{Source: dialed, Destination: caller, IsRST: true, Seq: seqAfter(1)})
	g.Expect(table.FailureRate(0)).To(BeZero())
	fail := func() {
		table.Offer(0, key)
		table.HandleEndpointPacket(0, synAck())
		table.HandleCallerPacket(0, fromCaller(seqAfter(1), 100))
		table.HandleEndpointPacket(0, &Header{Source: dialed, Destination: caller, IsRST: true, Seq: seqAfter(1)})
	}
	fail()
	g.Expect(table.FailureRate(0)).To(BeNumerically("~", sampleWeight, 1e-9))
	fail()
	g.Expect(table.FailureRate(0)).To(BeNumerically(">", maxFailureRate))
	g.Expect(table.FailureRate(2*decayHalfLife)).To(BeNumerically("<", maxFailureRate/2), "the endpoint is tried again")
}

// The measurements of one endpoint must not affect the next endpoint of the agent.
func TestClearDiscardsMeasurements(t *testing.T) {
	const ms = time.Millisecond
	g := NewWithT(t)
	table := NewTable()
	for i := range time.Duration(4) {
		table.Offer(i*ms, key)
		table.HandleEndpointPacket(i*ms, synAck())
		table.HandleCallerPacket(i*ms, fromCaller(seqAfter(1), 100))
		table.HandleEndpointPacket(i*ms+800*ms, fromEndpoint(seqAfter(1), 100))
		table.HandleCallerPacket(i*ms+800*ms, fromCaller(seqAfter(101), 100))
		table.HandleEndpointPacket(i*ms+801*ms, &Header{Source: dialed, Destination: caller, IsRST: true, Seq: seqAfter(101)})
	}
	g.Expect(table.ResponseTime(810 * ms)).NotTo(BeZero())
	g.Expect(table.FailureRate(810 * ms)).NotTo(BeZero())
	table.Clear()
	g.Expect(table.ResponseTime(810 * ms)).To(BeZero())
	g.Expect(table.FailureRate(810 * ms)).To(BeZero())
	g.Expect(table.LongestWait(810 * ms)).To(BeZero())
}

// Closed flows are kept for late packets, but do not count as flows of the endpoint.
func TestClosedFlowsAreNotActive(t *testing.T) {
	g := NewWithT(t)
	table := newTableWithOpenFlow()
	g.Expect(table.Active()).To(Equal(1))
	end := fromCaller(seqAfter(1), 0)
	end.IsFIN = true
	table.HandleCallerPacket(0, end)
	g.Expect(table.Active()).To(Equal(1), "the endpoint has not closed its end")
	for range 2 {
		last := fromEndpoint(seqAfter(1), 0)
		last.IsFIN = true
		table.HandleEndpointPacket(0, last)
		g.Expect(table.Active()).To(BeZero(), "also after a retransmitted FIN")
	}
	g.Expect(table.Len()).To(Equal(1))
	table.Sweep(closedRetention+time.Millisecond, time.Minute)
	g.Expect(table.Len()).To(BeZero())
	g.Expect(table.Active()).To(BeZero())
}

// A request counts once regardless of its number of packets, and the first request of
// a flow is counted with the SYN.
func TestRecentRequestsCountsNewAndOpenFlows(t *testing.T) {
	g := NewWithT(t)
	table := newTableWithOpenFlow()
	g.Expect(table.RecentRequests(0)).To(Equal(1))
	table.HandleCallerPacket(time.Millisecond, fromCaller(seqAfter(1), 100))
	table.HandleCallerPacket(2*time.Millisecond, fromCaller(seqAfter(1), 100))
	g.Expect(table.RecentRequests(2*time.Millisecond)).To(Equal(1), "the first request of the flow spans two packets")
	for second := 1; second <= 3; second++ {
		now := time.Duration(second) * 100 * time.Millisecond
		table.HandleEndpointPacket(now, fromEndpoint(seqAfter(uint32(second)), 1))
		table.HandleCallerPacket(now+time.Millisecond, fromCaller(seqAfter(uint32(second+1)), 0))
		table.HandleCallerPacket(now+2*time.Millisecond, fromCaller(seqAfter(uint32(second+1)), 100))
	}
	g.Expect(table.RecentRequests(400 * time.Millisecond)).To(Equal(4))
	g.Expect(table.RecentRequests(1150 * time.Millisecond)).To(Equal(2))
	g.Expect(table.RecentRequests(3 * time.Second)).To(BeZero())
}

func TestResponseTimeAdaptsAndDecays(t *testing.T) {
	const ms = time.Millisecond
	g := NewWithT(t)
	var response ResponseTime
	response.Observe(0, 800*ms)
	g.Expect(response.Mean(0)).To(Equal(100*ms), "a single slow answer has little effect")
	for i := range time.Duration(40) {
		response.Observe(i*10*ms, 200*ms)
	}
	g.Expect(response.Mean(400 * ms)).To(BeNumerically("~", 200*ms, 3*ms))
	g.Expect(response.Mean(400*ms + decayHalfLife)).To(BeNumerically("~", 100*ms, 3*ms))
	g.Expect(response.Mean(24 * time.Hour)).To(BeZero())
}

// An agent that has restarted learns the flows of its endpoint from the endpoint's
// packets.
func TestFlowsOlderThanTheTableAreAdopted(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	g.Expect(table.HandleCallerPacket(0, fromCaller(seqAfter(5000), 0))).To(BeNil())
	table.HandleEndpointPacket(0, fromEndpoint(seqAfter(5000), 300))
	g.Expect(table.HandleCallerPacket(0, fromCaller(seqAfter(5300), 100))).NotTo(BeNil())
	g.Expect(table.HandleCallerPacket(0, fromCaller(seqAfter(4000), 0))).NotTo(BeNil(), "an earlier acknowledgement")
	g.Expect(table.HandleCallerPacket(0, fromCaller(seqAfter(5300)+1<<30, 0))).To(BeNil(), "the packet belongs to another endpoint")
}

func TestSweepRemovesEndedFlows(t *testing.T) {
	cases := []struct {
		name      string
		apply     func(*Table)
		after     time.Duration
		isRemoved bool
	}{
		{name: "open and in use", after: 10 * time.Second},
		{name: "idle too long", after: 15*time.Second + closedRetention + 1, isRemoved: true},
		{name: "closed by one end", apply: func(t *Table) { t.HandleCallerPacket(0, &Header{Source: caller, Destination: dialed, IsFIN: true}) }, after: 10 * time.Second},
		{
			name: "closed by both ends", apply: func(t *Table) {
				t.HandleCallerPacket(0, &Header{Source: caller, Destination: dialed, IsFIN: true})
				t.HandleEndpointPacket(0, &Header{Source: dialed, Destination: caller, IsFIN: true, Seq: seqAfter(1)})
			}, after: closedRetention + 1, isRemoved: true,
		},
		{name: "reset by the caller", apply: func(t *Table) { t.HandleCallerPacket(0, &Header{Source: caller, Destination: dialed, IsRST: true}) }, isRemoved: true},
		{name: "reset by the endpoint", apply: func(t *Table) {
			t.HandleEndpointPacket(0, &Header{Source: dialed, Destination: caller, IsRST: true, Seq: seqAfter(1)})
		}, isRemoved: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTableWithOpenFlow()
			if c.apply != nil {
				c.apply(table)
			}
			table.Sweep(c.after, 15*time.Second)
			NewWithT(t).Expect(table.Get(key) == nil).To(Equal(c.isRemoved))
		})
	}
}

func TestSweepRemovesUnacceptedOffers(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	table.Offer(0, key)
	table.Sweep(handshakeTimeout, time.Minute)
	g.Expect(table.Get(key)).NotTo(BeNil())
	table.Sweep(handshakeTimeout+closedRetention+1, time.Minute)
	g.Expect(table.Get(key)).To(BeNil())
}

func TestClearReturnsOpenFlows(t *testing.T) {
	g := NewWithT(t)
	table := newTableWithOpenFlow()
	table.Offer(0, Key{Caller: dialed, Dialed: caller})
	cleared := table.Clear()
	g.Expect(cleared).To(HaveLen(1))
	g.Expect(cleared[0].CallerAck).To(Equal(seqAfter(1)))
	g.Expect(table.Len()).To(BeZero())
	g.Expect(table.InFlight()).To(BeZero())
}

func TestRefuseKeepsOpenFlows(t *testing.T) {
	g := NewWithT(t)
	table := newTableWithOpenFlow()
	table.Refuse(key)
	g.Expect(table.Get(key)).NotTo(BeNil(), "a retransmitted SYN was bounced late")
	table.Offer(0, Key{Caller: dialed, Dialed: caller})
	table.Refuse(Key{Caller: dialed, Dialed: caller})
	g.Expect(table.Len()).To(Equal(1))
}

// Packets of an endpoint that answers and closes at once may arrive in another order. The answer must
// be measured also if the FIN comes first, and a FIN without an answer must not be.
func TestResponseTimeIsMeasuredWhenTheFINOvertakesTheAnswer(t *testing.T) {
	const ms = time.Millisecond
	g := NewWithT(t)
	fin := func(seq uint32) *Header {
		h := fromEndpoint(seq, 0)
		h.IsFIN = true
		return h
	}
	table := newTableWithOpenFlow()
	table.HandleCallerPacket(10*ms, fromCaller(seqAfter(1), 200))
	table.HandleEndpointPacket(50*ms, fin(seqAfter(1+1333)))
	table.HandleEndpointPacket(50*ms, fromEndpoint(seqAfter(1+1200), 133))
	table.HandleEndpointPacket(50*ms, fromEndpoint(seqAfter(1), 1200))
	g.Expect(table.ResponseTime(50 * ms)).To(Equal(40 * ms / 8))
	g.Expect(table.InFlight()).To(BeZero())

	table = newTableWithOpenFlow()
	table.HandleCallerPacket(10*ms, fromCaller(seqAfter(1), 200))
	table.HandleEndpointPacket(50*ms, fin(seqAfter(1)))
	g.Expect(table.ResponseTime(50 * ms)).To(BeZero())
}
