package pathtest

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/token"
	"sassafrasturn.example/internal/wire"
)

// hostile is a network peer that sends what it likes.
type hostile struct {
	*socket
	codec *token.Codec
}

func (w *world) newHostile() *hostile {
	codec, err := token.NewCodec(w.keys(1, 1))
	w.g.Expect(err).NotTo(HaveOccurred())
	s := w.open(netip.MustParseAddrPort("10.66.0.1:66"), w.private, w.sendPrivate)
	return &hostile{socket: s, codec: codec}
}

// datagram is a short header packet with the connection ID of a route.
func (h *hostile) datagram(route token.Route) []byte {
	id := h.codec.Encode(route)
	return append(append([]byte{0x40}, id[:]...), make([]byte, 60)...)
}

// TestHostileDatagrams sends forged, stale and damaged datagrams to a balancer
// and to the agent behind it: none may reach the endpoint, each is counted.
func TestHostileDatagrams(t *testing.T) {
	w := newWorld(t)
	nodes, agents := w.startService(1)
	h := w.newHostile()
	random := rand.New(rand.NewPCG(3, 3))
	noise := make([]byte, 1300)
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	own := token.Route{Agent: agentAddress(0), Zone: 1, Service: 1}
	with := func(change func(*token.Route)) []byte {
		r := own
		change(&r)
		return h.datagram(r)
	}
	forged := h.datagram(own)
	forged[3]++

	toBalancer := []struct {
		name, reason string
		datagram     []byte
	}{
		{"nothing", "malformed", nil},
		{"truncated", "malformed", h.datagram(own)[:12]},
		{"oversized", "malformed", bytes.Repeat([]byte{0x40}, 60_000)},
		{"random short header", "unknown-token", append([]byte{0x40}, noise[:200]...)},
		{"random long header, too small to open a flow", "unknown-token", append([]byte{0xc0, 0, 0, 0, 1, 8}, noise[:200]...)},
		{"forged connection ID", "unknown-token", forged},
		{"token of another service", "other-service", with(func(r *token.Route) { r.Service = 2 })},
	}
	for _, c := range toBalancer {
		expectDrop(w, nodes[0], agents, "sassafrasturn_balancer_dropped_datagrams_total", c.name, c.reason, func() {
			w.mu.Lock()
			service := w.services[nodes[0]][netip.MustParseAddrPort(orderDesk)]
			w.mu.Unlock()
			service.deliver(packet{data: c.datagram, from: h.address})
		})
	}

	forward := func(service uint32, datagram []byte) *wire.Envelope {
		return &wire.Envelope{
			Kind: wire.Envelope_KIND_FORWARD, Service: service, Payload: datagram,
			Caller: envelope.PackAddress(h.address), Dialed: envelope.PackAddress(netip.MustParseAddrPort(orderDesk)),
		}
	}
	seal := func(message *wire.Envelope) []byte {
		sealed, err := w.sealer.Seal(nil, message)
		w.g.Expect(err).NotTo(HaveOccurred())
		return sealed
	}
	tampered := seal(forward(1, h.datagram(own)))
	tampered[len(tampered)-1]++
	noCaller := forward(1, h.datagram(own))
	noCaller.Caller = nil
	toAgent := []struct {
		name, reason string
		sealed       []byte
	}{
		{"noise", "forged", noise},
		{"truncated envelope", "forged", seal(forward(1, h.datagram(own)))[:40]},
		{"tampered envelope", "forged", tampered},
		{"reply to an agent", "unexpected", seal(&wire.Envelope{Kind: wire.Envelope_KIND_REPLY})},
		{"datagram of another service", "other-service", seal(forward(2, with(func(r *token.Route) { r.Service = 2 })))},
		{"token of another service under this one's number", "other-service", seal(forward(1, with(func(r *token.Route) { r.Service = 2 })))},
		{"token of another agent", "other-agent", seal(forward(1, with(func(r *token.Route) { r.Agent = agentAddress(1) })))},
		{"token of another zone", "other-zone", seal(forward(1, with(func(r *token.Route) { r.Zone = 2 })))},
		{"no caller", "malformed", seal(noCaller)},
		{"no QUIC", "malformed", seal(forward(1, []byte{1}))},
	}
	for _, c := range toAgent {
		expectDrop(w, agents[0], agents, "sassafrasturn_agent_dropped_datagrams_total", c.name, c.reason, func() {
			_, _ = h.WriteToUDPAddrPort(c.sealed, agentAddress(0))
		})
	}
	flows, names := w.startFlows(3)
	w.expectWhole("after all of this", flows, names)
}

// expectDrop sends and asserts that the node counts the drop under its reason
// and that no agent gives anything to its endpoint.
func expectDrop(w *world, at *node, agents []*node, metric, name, reason string, send func()) {
	w.t.Helper()
	before, taken := at.count(metric, reason), takenBy(agents)
	send()
	w.g.Eventually(func() float64 { return at.count(metric, reason) }, patience).Should(Equal(before+1), name)
	w.g.Expect(takenBy(agents)).To(Equal(taken), name)
}

func takenBy(agents []*node) (total float64) {
	for _, a := range agents {
		total += a.count("sassafrasturn_agent_taken_datagrams_total", "")
	}
	return total
}

// TestZoneOutAtBothEnds takes a zone out: the balancer and the agent each
// refuse alone, other zones' flows go on, and new flows avoid the zone.
func TestZoneOutAtBothEnds(t *testing.T) {
	w := newWorld(t)
	nodes, agents := w.startService(2)
	flows, names := w.startFlows(12)
	out := w.setRecord(wire.Record_KIND_ZONE, "a", 30, &wire.Zone{Number: 1, Name: "a", Out: true})
	// The agent alone knows; the first datagram corrects the balancer that sent it.
	tell(agents[:1], out)
	h := w.newHostile()
	datagram := h.datagram(token.Route{Agent: agentAddress(0), Zone: 1, Service: 1})
	w.mu.Lock()
	service := w.services[nodes[0]][netip.MustParseAddrPort(orderDesk)]
	w.mu.Unlock()
	service.deliver(packet{data: datagram, from: h.address})
	w.g.Eventually(func() float64 { return agents[0].count("sassafrasturn_agent_dropped_datagrams_total", "zone-out") }, patience).Should(BeNumerically(">=", 1))
	// The agent takes one datagram after the other: those of before have been counted.
	taken := takenBy(agents[:1])
	w.g.Eventually(nodes[0].role.Details, patience).Should(ContainElement(ContainSubstring("2 endpoints take new flows")))
	service.deliver(packet{data: datagram, from: h.address})
	w.g.Eventually(func() float64 { return nodes[0].count("sassafrasturn_balancer_dropped_datagrams_total", "zone-out") }, patience).Should(BeNumerically(">=", 1))
	// The second balancer still offers new flows to the zone: its agent refuses, a retry reaches another.
	tell(agents, out)
	tell(nodes, out)
	w.g.Eventually(nodes[1].role.Details, patience).Should(ContainElement(ContainSubstring("2 endpoints take new flows")))
	for range 8 {
		f := w.newFlow(orderDesk)
		name, err := f.get()
		w.g.Expect(err).NotTo(HaveOccurred())
		w.g.Expect(name).NotTo(Equal("order-desk-agent-0"))
	}
	for i, f := range flows {
		if names[i] != "order-desk-agent-0" {
			w.expectWhole("another zone is out", []*flow{f}, names[i:i+1])
		}
	}
	w.g.Expect(takenBy(agents[:1])).To(Equal(taken))
}

// TestAgentHandsOnNothingIntoOutZone lets an agent hand a new flow on whose
// first candidate stands in a zone that is out. The agent learns of that
// endpoint only after it has learned of the zone.
func TestAgentHandsOnNothingIntoOutZone(t *testing.T) {
	w := newWorld(t)
	nodes, agents := w.startService(1)
	tell(agents[1:2], w.setDocument("order-desk", 1, 20, orderDesk, "", "10.9.9.9"))
	tell(agents[1:2], w.setRecord(wire.Record_KIND_ZONE, "a", 30, &wire.Zone{Number: 1, Name: "a", Out: true}))
	tell(agents[1:2], agents[0].endpoint())
	reached := make(chan netip.AddrPort, queueSize)
	w.mu.Lock()
	w.seen = func(to netip.AddrPort, message *wire.Envelope) {
		if message.Hop > 0 {
			reached <- to
		}
	}
	w.mu.Unlock()
	h := w.newHostile()
	opening := append([]byte{0xc0, 0, 0, 0, 1, 8}, make([]byte, 1200)...)
	sealed, err := w.sealer.Seal(nil, &wire.Envelope{
		Kind: wire.Envelope_KIND_FORWARD, Service: 1, Payload: opening,
		Caller: envelope.PackAddress(h.address), Dialed: envelope.PackAddress(netip.MustParseAddrPort(orderDesk)),
		Balancer:   envelope.PackAddress(nodes[0].instance.Settings.Balancer.Envelope),
		Candidates: [][]byte{envelope.PackAddress(agentAddress(0)), envelope.PackAddress(agentAddress(2))},
	})
	w.g.Expect(err).NotTo(HaveOccurred())
	// The agent reads the document in a goroutine of its own: until then it accepts.
	w.g.Eventually(func() int {
		_, _ = h.WriteToUDPAddrPort(sealed, agentAddress(1))
		return len(reached)
	}, patience).Should(BeNumerically(">", 0))
	for range len(reached) {
		w.g.Expect(<-reached).To(Equal(agentAddress(2)))
	}
}
