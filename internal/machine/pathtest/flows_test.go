package pathtest

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/keyring"
	"sassafrasturn.example/internal/route"
	"sassafrasturn.example/internal/wire"
)

const (
	orderDesk  = "192.0.2.1:8443"
	orderDesk2 = "192.0.2.1:9443"
	drawings   = "192.0.2.2:8443"
	allowAll   = "10.0.0.0/8"
)

// startService starts three agents of the order desk, one in each zone, and the given
// number of balancers that have the records of all of them.
func (tc *testCluster) startService(balancers int) (nodes, agents []*node) {
	tc.setDocument("order-desk", 1, 10, orderDesk, "", allowAll)
	tc.setDocument("drawings", 2, 11, drawings, "", allowAll)
	for i, zoneName := range []string{"a", "b", "c"} {
		agents = append(agents, tc.startAgent(i, "order-desk", zoneName))
	}
	for i := range balancers {
		n := tc.startBalancer(i)
		tc.mergeEndpointRecords([]*node{n}, agents)
		nodes = append(nodes, n)
	}
	tc.setFabric(nodes...)
	tc.g.Eventually(func() bool { return tc.listensAt(nodes, orderDesk) }, waitTimeout).Should(BeTrue())
	return nodes, agents
}

func (tc *testCluster) mergeEndpointRecords(nodes, agents []*node) {
	for _, a := range agents {
		mergeRecords(nodes, a.endpoint())
	}
}

// startFlows opens flows and returns them with the names of their endpoints.
func (tc *testCluster) startFlows(count int) (flows []*flow, names []string) {
	for range count {
		f := tc.newFlow(orderDesk)
		var name string
		tc.g.Eventually(func() (err error) { name, err = f.get(); return err }, waitTimeout).Should(Succeed())
		f.dials.Store(1)
		flows, names = append(flows, f), append(names, name)
	}
	return flows, names
}

// expectFlowsIntact asserts that each flow still reaches its endpoint over its first
// connection.
func (tc *testCluster) expectFlowsIntact(change string, flows []*flow, names []string) {
	tc.t.Helper()
	for i, f := range flows {
		name, err := f.get()
		tc.g.Expect(err).NotTo(HaveOccurred(), change)
		tc.g.Expect(name).To(Equal(names[i]), change)
		tc.g.Expect(f.dials.Load()).To(Equal(int32(1)), change)
	}
}

func TestEstablishedFlowsSurvivePlannedChange(t *testing.T) {
	tc := newTestCluster(t)
	nodes, agents := tc.startService(3)
	all := append(append([]*node(nil), nodes...), agents...)
	flows, names := tc.startFlows(12)
	tc.expectFlowsIntact("nothing changed", flows, names)

	for i := range nodes {
		nodes[i].stop()
		nodes[i] = tc.startBalancer(i)
	}
	tc.setFabric(nodes...)
	tc.g.Eventually(func() bool { return tc.listensAt(nodes, orderDesk) }, waitTimeout).Should(BeTrue())
	tc.expectFlowsIntact("every balancer restarted and has no endpoint records", flows, names)

	tc.setFabric(nodes[0])
	tc.expectFlowsIntact("two balancers left", flows, names)
	joined := tc.startBalancer(3)
	tc.setFabric(nodes[0], joined)
	tc.g.Eventually(func() bool { return tc.listensAt([]*node{joined}, orderDesk) }, waitTimeout).Should(BeTrue())
	tc.mergeEndpointRecords([]*node{nodes[0]}, agents[:1])
	tc.expectFlowsIntact("a balancer joined, views differ", flows, names)

	all = append(all[3:], nodes[0], joined)
	mergeRecords(all, tc.setDocument("order-desk", 1, 20, orderDesk, "", "10.9.9.9"))
	tc.expectFlowsIntact("the document no longer allows any of the endpoints", flows, names)

	mergeRecords(all, tc.setDocument("order-desk", 1, 21, orderDesk2, orderDesk, allowAll))
	tc.g.Eventually(func() bool { return tc.listensAt([]*node{nodes[0], joined}, orderDesk2) }, waitTimeout).Should(BeTrue())
	tc.expectFlowsIntact("the address changed", flows, names)

	nodes[1] = tc.startBalancer(1)
	tc.setFabric(nodes[1])
	tc.g.Eventually(func() bool { return tc.listensAt(nodes[1:2], orderDesk) }, waitTimeout).Should(BeTrue())
	tc.expectFlowsIntact("a balancer started after the change of address", flows, names)

	all = append(all, nodes[1])
	for step, keys := range []func() bool{
		func() bool { return replaceKeys(all, tc, 1, 1, 2) },
		func() bool { return replaceKeys(all, tc, 2, 1, 2) },
	} {
		tc.g.Expect(keys()).To(BeTrue())
		tc.expectFlowsIntact(fmt.Sprint("key rotation, step ", step), flows, names)
	}
}

func (tc *testCluster) listensAt(nodes []*node, address string) bool {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for _, n := range nodes {
		if tc.serviceSockets[n][netip.MustParseAddrPort(address)] == nil {
			return false
		}
	}
	return true
}

// TestNotAllowedEndpointAcceptsNoNewFlows narrows the allow list. Although a balancer that
// has not received the change still offers new flows to all endpoints, only the allowed
// one accepts them. Established flows continue.
func TestNotAllowedEndpointAcceptsNoNewFlows(t *testing.T) {
	tc := newTestCluster(t)
	_, agents := tc.startService(1)
	flows, names := tc.startFlows(9)
	mergeRecords(agents, tc.setDocument("order-desk", 1, 20, orderDesk, "", agentAddress(1).Addr().String()))
	// Agents apply the document asynchronously.
	tc.g.Eventually(func() string { return tc.newFlow(orderDesk).endpointName(tc.g) }, waitTimeout).Should(Equal("order-desk-agent-1"))
	accepted := 0
	for range 12 {
		if tc.newFlow(orderDesk).endpointName(tc.g) == "order-desk-agent-1" {
			accepted++
		}
	}
	tc.g.Expect(accepted).To(Equal(12))
	tc.expectFlowsIntact("the document allows one endpoint", flows, names)
}

// TestHandshakeSplitOverDifferingViews sends the datagrams of each ClientHello through
// balancers whose views differ, so that they reach different agents. The handshake must
// complete or fail and be retried once, and established flows must not break.
func TestHandshakeSplitOverDifferingViews(t *testing.T) {
	tc := newTestCluster(t)
	nodes, agents := tc.startService(2)
	flows, names := tc.startFlows(4)
	// The first balancer has only the record of agent 0, the second those of the others.
	views := []*node{tc.startBalancer(5), tc.startBalancer(6)}
	tc.mergeEndpointRecords(views[:1], agents[:1])
	tc.mergeEndpointRecords(views[1:], agents[1:])
	tc.g.Eventually(func() bool { return tc.listensAt(views, orderDesk) }, waitTimeout).Should(BeTrue())
	for _, n := range nodes {
		n.stop()
	}
	tc.setFabric(views...)

	var mu sync.Mutex
	reached := make(map[string]map[netip.AddrPort]bool)
	tc.mu.Lock()
	tc.onEnvelope = func(to netip.AddrPort, message *wire.Envelope) {
		packet, ok := route.ParsePacket(message.Payload)
		if message.Kind != wire.Envelope_KIND_FORWARD || !ok || !packet.IsInitial {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		id := string(packet.Destination)
		if reached[id] == nil {
			reached[id] = make(map[netip.AddrPort]bool)
		}
		reached[id][to] = true
	}
	tc.mu.Unlock()
	const handshakes = 20
	for range handshakes {
		f := tc.newFlow(orderDesk)
		tc.g.Eventually(func() error { _, err := f.get(); return err }, waitTimeout).Should(Succeed())
		tc.g.Expect(f.dials.Load()).To(BeNumerically("<=", 2), "the handshake completes, or fails and is retried once")
	}
	tc.expectFlowsIntact("differing views", flows, names)
	mu.Lock()
	defer mu.Unlock()
	split := 0
	for _, agents := range reached {
		if len(agents) > 1 {
			split++
		}
	}
	tc.g.Expect(split).To(BeNumerically(">=", handshakes/2), "too few handshakes were split over several agents")
}

// TestReusedAddressNeverServesOtherService guards against flows that reach another service
// because one of its agents has reused the IP address and port of a stopped agent while
// the balancer's view is stale.
func TestReusedAddressNeverServesOtherService(t *testing.T) {
	tc := newTestCluster(t)
	nodes, agents := tc.startService(1)
	flows, _ := tc.startFlows(12)
	tc.kill(agents[0])
	replacement := tc.startAgent(0, "drawings", "a")
	for _, f := range flows {
		f.client.Timeout = 300 * time.Millisecond
		_, _ = f.get()
	}
	tc.g.Expect(replacement.counterValue("sassafrasturn_agent_dropped_datagrams_total", "other-service")).To(BeNumerically(">", 0), "datagrams of the old flows must arrive at the new agent")
	tc.g.Expect(replacement.counterValue("sassafrasturn_agent_taken_datagrams_total", "")).To(BeZero())
	for _, f := range flows {
		if conn := f.conn.Load(); conn != nil && f.dials.Load() == 1 {
			tc.g.Expect(conn.Context().Err()).To(BeNil(), "an agent of another service must not reset a connection")
		}
	}
	// The agent has corrected the balancer's view: new flows reach the two other agents.
	tc.g.Eventually(func() float64 { return nodes[0].counterValue("sassafrasturn_balancer_corrections_total", "") }, waitTimeout).Should(BeNumerically(">", 0))
	tc.g.Eventually(func() any { return nodes[0].instance.Store.Get(wire.Record_KIND_ENDPOINT, "drawings-agent-0") }, waitTimeout).ShouldNot(BeNil())
	tc.g.Eventually(nodes[0].role.Details, waitTimeout).Should(ContainElement(ContainSubstring("2 endpoints take new flows")))
	// Callers of lost flows still send to this agent. New callers have higher addresses.
	last := tc.callers.Load()
	var misrouted atomic.Int32
	tc.mu.Lock()
	tc.onEnvelope = func(to netip.AddrPort, message *wire.Envelope) {
		caller, ok := envelope.UnpackAddress(message.Caller)
		if !ok || to != agentAddress(0) {
			return
		}
		if ip := caller.Addr().As4(); uint32(ip[2])<<8|uint32(ip[3]) > last {
			misrouted.Add(1)
		}
	}
	tc.mu.Unlock()
	for range 12 {
		f := tc.newFlow(orderDesk)
		_, err := f.get()
		tc.g.Expect(err).NotTo(HaveOccurred())
	}
	tc.g.Expect(misrouted.Load()).To(BeZero(), "no new flow reaches the agent of the other service any more")
}

// TestNewIncarnationResetsFlowsAtOnce guards against callers that wait for a timeout after
// their agent was restarted. The agent must reset their connections within a round trip.
func TestNewIncarnationResetsFlowsAtOnce(t *testing.T) {
	tc := newTestCluster(t)
	_, agents := tc.startService(1)
	flows, names := tc.startFlows(8)
	tc.kill(agents[0])
	tc.startAgent(0, "order-desk", "a")
	lost := 0
	for i, f := range flows {
		if names[i] != "order-desk-agent-0" {
			continue
		}
		lost++
		conn := f.conn.Load()
		go func() { _, _ = f.get() }()
		tc.g.Eventually(conn.Context().Done(), 2*time.Second).Should(BeClosed(), "the reset must arrive well before the idle timeout of 30 s")
	}
	tc.g.Expect(lost).To(BeNumerically(">", 0))
}

// replaceKeys replaces the keys of the nodes. It returns false if a node had them already.
func replaceKeys(nodes []*node, tc *testCluster, current keyring.Epoch, epochs ...keyring.Epoch) bool {
	isNew := true
	for _, n := range nodes {
		isNew = n.instance.Keys.Replace(tc.keys(current, epochs...)) && isNew
	}
	return isNew
}
