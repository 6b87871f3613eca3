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

// attacker is a network peer that sends arbitrary datagrams.
type attacker struct {
	*socket
	codec *token.Codec
}

func (tc *testCluster) newAttacker() *attacker {
	codec, err := token.NewCodec(tc.keys(1, 1))
	tc.g.Expect(err).NotTo(HaveOccurred())
	s := tc.open(netip.MustParseAddrPort("10.66.0.1:66"), tc.privateSockets, tc.sendPrivate)
	return &attacker{socket: s, codec: codec}
}

// datagram returns a short header packet with the connection ID of a route.
func (a *attacker) datagram(route token.Route) []byte {
	id := a.codec.Encode(route)
	return append(append([]byte{0x40}, id[:]...), make([]byte, 60)...)
}

// TestHostileDatagrams sends forged, stale and damaged datagrams to a balancer and to an
// agent. None may reach the endpoint, and each must be counted under its drop reason.
func TestHostileDatagrams(t *testing.T) {
	tc := newTestCluster(t)
	nodes, agents := tc.startService(1)
	a := tc.newAttacker()
	random := rand.New(rand.NewPCG(3, 3))
	noise := make([]byte, 1300)
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	own := token.Route{Agent: agentAddress(0), Zone: 1, Service: 1}
	with := func(change func(*token.Route)) []byte {
		r := own
		change(&r)
		return a.datagram(r)
	}
	forged := a.datagram(own)
	forged[3]++

	toBalancer := []struct {
		name, reason string
		datagram     []byte
	}{
		{"nothing", "malformed", nil},
		{"truncated", "malformed", a.datagram(own)[:12]},
		{"oversized", "malformed", bytes.Repeat([]byte{0x40}, 60_000)},
		{"random short header", "unknown-token", append([]byte{0x40}, noise[:200]...)},
		{"random long header, too small to open a flow", "unknown-token", append([]byte{0xc0, 0, 0, 0, 1, 8}, noise[:200]...)},
		{"forged connection ID", "unknown-token", forged},
		{"token of another service", "other-service", with(func(r *token.Route) { r.Service = 2 })},
	}
	for _, c := range toBalancer {
		expectDrop(tc, nodes[0], agents, "sassafrasturn_balancer_dropped_datagrams_total", c.name, c.reason, func() {
			tc.mu.Lock()
			service := tc.serviceSockets[nodes[0]][netip.MustParseAddrPort(orderDesk)]
			tc.mu.Unlock()
			service.deliver(packet{data: c.datagram, from: a.address})
		})
	}

	forward := func(service uint32, datagram []byte) *wire.Envelope {
		return &wire.Envelope{
			Kind: wire.Envelope_KIND_FORWARD, Service: service, Payload: datagram,
			Caller: envelope.PackAddress(a.address), Dialed: envelope.PackAddress(netip.MustParseAddrPort(orderDesk)),
		}
	}
	seal := func(message *wire.Envelope) []byte {
		sealed, err := tc.sealer.Seal(nil, message)
		tc.g.Expect(err).NotTo(HaveOccurred())
		return sealed
	}
	tampered := seal(forward(1, a.datagram(own)))
	tampered[len(tampered)-1]++
	noCaller := forward(1, a.datagram(own))
	noCaller.Caller = nil
	toAgent := []struct {
		name, reason string
		sealed       []byte
	}{
		{"noise", "forged", noise},
		{"truncated envelope", "forged", seal(forward(1, a.datagram(own)))[:40]},
		{"tampered envelope", "forged", tampered},
		{"reply to an agent", "unexpected", seal(&wire.Envelope{Kind: wire.Envelope_KIND_REPLY})},
		{"datagram of another service", "other-service", seal(forward(2, with(func(r *token.Route) { r.Service = 2 })))},
		{"token of another service under this service's number", "other-service", seal(forward(1, with(func(r *token.Route) { r.Service = 2 })))},
		{"token of another agent", "other-agent", seal(forward(1, with(func(r *token.Route) { r.Agent = agentAddress(1) })))},
		{"token of another zone", "other-zone", seal(forward(1, with(func(r *token.Route) { r.Zone = 2 })))},
		{"no caller", "malformed", seal(noCaller)},
		{"no QUIC", "malformed", seal(forward(1, []byte{1}))},
	}
	for _, c := range toAgent {
		expectDrop(tc, agents[0], agents, "sassafrasturn_agent_dropped_datagrams_total", c.name, c.reason, func() {
			_, _ = a.WriteToUDPAddrPort(c.sealed, agentAddress(0))
		})
	}
	flows, names := tc.startFlows(3)
	tc.expectFlowsIntact("after the hostile datagrams", flows, names)
}

// expectDrop calls send and asserts that the node counts one drop under reason and that no
// agent accepts a datagram.
func expectDrop(tc *testCluster, at *node, agents []*node, metric, name, reason string, send func()) {
	tc.t.Helper()
	before, accepted := at.counterValue(metric, reason), acceptedDatagrams(agents)
	send()
	tc.g.Eventually(func() float64 { return at.counterValue(metric, reason) }, waitTimeout).Should(Equal(before+1), name)
	tc.g.Expect(acceptedDatagrams(agents)).To(Equal(accepted), name)
}

func acceptedDatagrams(agents []*node) (total float64) {
	for _, a := range agents {
		total += a.counterValue("sassafrasturn_agent_taken_datagrams_total", "")
	}
	return total
}

// TestZoneOutAtBalancerAndAgent takes a zone out of service. The balancer and the agent
// must each drop datagrams to the zone independently, flows in other zones must continue,
// and new flows must avoid the zone.
func TestZoneOutAtBalancerAndAgent(t *testing.T) {
	tc := newTestCluster(t)
	nodes, agents := tc.startService(2)
	flows, names := tc.startFlows(12)
	out := tc.setRecord(wire.Record_KIND_ZONE, "a", 30, &wire.Zone{Number: 1, Name: "a", Out: true})
	// Only the agent has received the change. The first datagram makes it correct the view
	// of the balancer that forwarded it.
	mergeRecords(agents[:1], out)
	a := tc.newAttacker()
	datagram := a.datagram(token.Route{Agent: agentAddress(0), Zone: 1, Service: 1})
	tc.mu.Lock()
	service := tc.serviceSockets[nodes[0]][netip.MustParseAddrPort(orderDesk)]
	tc.mu.Unlock()
	service.deliver(packet{data: datagram, from: a.address})
	tc.g.Eventually(func() float64 {
		return agents[0].counterValue("sassafrasturn_agent_dropped_datagrams_total", "zone-out")
	}, waitTimeout).Should(BeNumerically(">=", 1))
	// The agent handles datagrams in order, so all earlier ones have been counted.
	accepted := acceptedDatagrams(agents[:1])
	tc.g.Eventually(nodes[0].role.Details, waitTimeout).Should(ContainElement(ContainSubstring("2 endpoints take new flows")))
	service.deliver(packet{data: datagram, from: a.address})
	tc.g.Eventually(func() float64 {
		return nodes[0].counterValue("sassafrasturn_balancer_dropped_datagrams_total", "zone-out")
	}, waitTimeout).Should(BeNumerically(">=", 1))
	// The second balancer still offers new flows to the zone. The agent there rejects them,
	// and a retry reaches another zone.
	mergeRecords(agents, out)
	mergeRecords(nodes, out)
	tc.g.Eventually(nodes[1].role.Details, waitTimeout).Should(ContainElement(ContainSubstring("2 endpoints take new flows")))
	for range 8 {
		f := tc.newFlow(orderDesk)
		name, err := f.get()
		tc.g.Expect(err).NotTo(HaveOccurred())
		tc.g.Expect(name).NotTo(Equal("order-desk-agent-0"))
	}
	for i, f := range flows {
		if names[i] != "order-desk-agent-0" {
			tc.expectFlowsIntact("another zone is out of service", []*flow{f}, names[i:i+1])
		}
	}
	tc.g.Expect(acceptedDatagrams(agents[:1])).To(Equal(accepted))
}

// TestAgentForwardsNoOfferIntoOutZone guards against an agent that forwards an offer to a
// candidate in a zone that is out of service. The agent receives the record of that
// endpoint only after the zone change.
func TestAgentForwardsNoOfferIntoOutZone(t *testing.T) {
	tc := newTestCluster(t)
	nodes, agents := tc.startService(1)
	mergeRecords(agents[1:2], tc.setDocument("order-desk", 1, 20, orderDesk, "", "10.9.9.9"))
	mergeRecords(agents[1:2], tc.setRecord(wire.Record_KIND_ZONE, "a", 30, &wire.Zone{Number: 1, Name: "a", Out: true}))
	mergeRecords(agents[1:2], agents[0].endpoint())
	reached := make(chan netip.AddrPort, queuePackets)
	tc.mu.Lock()
	tc.onEnvelope = func(to netip.AddrPort, message *wire.Envelope) {
		if message.Hop > 0 {
			reached <- to
		}
	}
	tc.mu.Unlock()
	a := tc.newAttacker()
	opening := append([]byte{0xc0, 0, 0, 0, 1, 8}, make([]byte, 1200)...)
	sealed, err := tc.sealer.Seal(nil, &wire.Envelope{
		Kind: wire.Envelope_KIND_FORWARD, Service: 1, Payload: opening,
		Caller: envelope.PackAddress(a.address), Dialed: envelope.PackAddress(netip.MustParseAddrPort(orderDesk)),
		Balancer:   envelope.PackAddress(nodes[0].instance.Settings.Balancer.Envelope),
		Candidates: [][]byte{envelope.PackAddress(agentAddress(0)), envelope.PackAddress(agentAddress(2))},
	})
	tc.g.Expect(err).NotTo(HaveOccurred())
	// The agent applies the document asynchronously and accepts flows until then.
	tc.g.Eventually(func() int {
		_, _ = a.WriteToUDPAddrPort(sealed, agentAddress(1))
		return len(reached)
	}, waitTimeout).Should(BeNumerically(">", 0))
	for range len(reached) {
		tc.g.Expect(<-reached).To(Equal(agentAddress(2)))
	}
}
