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
	anywhere   = "10.0.0.0/8"
)

// startService starts three agents of the order desk, one in each zone, and
// the given number of balancers that know them all.
func (w *world) startService(balancers int) (nodes, agents []*node) {
	w.setDocument("order-desk", 1, 10, orderDesk, "", anywhere)
	w.setDocument("drawings", 2, 11, drawings, "", anywhere)
	for i, zoneName := range []string{"a", "b", "c"} {
		agents = append(agents, w.startAgent(i, "order-desk", zoneName))
	}
	for i := range balancers {
		n := w.startBalancer(i)
		w.tellAgents([]*node{n}, agents)
		nodes = append(nodes, n)
	}
	w.setFabric(nodes...)
	w.g.Eventually(func() bool { return w.listensAt(nodes, orderDesk) }, patience).Should(BeTrue())
	return nodes, agents
}

func (w *world) tellAgents(nodes, agents []*node) {
	for _, a := range agents {
		tell(nodes, a.endpoint())
	}
}

// startFlows opens flows and returns the name of the endpoint of each.
func (w *world) startFlows(count int) (flows []*flow, names []string) {
	for range count {
		f := w.newFlow(orderDesk)
		var name string
		w.g.Eventually(func() (err error) { name, err = f.get(); return err }, patience).Should(Succeed())
		f.dials.Store(1)
		flows, names = append(flows, f), append(names, name)
	}
	return flows, names
}

// expectWhole asserts that each flow still reaches its endpoint by its first connection.
func (w *world) expectWhole(change string, flows []*flow, names []string) {
	w.t.Helper()
	for i, f := range flows {
		name, err := f.get()
		w.g.Expect(err).NotTo(HaveOccurred(), change)
		w.g.Expect(name).To(Equal(names[i]), change)
		w.g.Expect(f.dials.Load()).To(Equal(int32(1)), change)
	}
}

func TestEstablishedFlowsSurvivePlannedChange(t *testing.T) {
	w := newWorld(t)
	nodes, agents := w.startService(3)
	all := append(append([]*node(nil), nodes...), agents...)
	flows, names := w.startFlows(12)
	w.expectWhole("nothing changed", flows, names)

	for i := range nodes {
		nodes[i].stop()
		nodes[i] = w.startBalancer(i)
	}
	w.setFabric(nodes...)
	w.g.Eventually(func() bool { return w.listensAt(nodes, orderDesk) }, patience).Should(BeTrue())
	w.expectWhole("every balancer restarted, and knows of no endpoint", flows, names)

	w.setFabric(nodes[0])
	w.expectWhole("two balancers left", flows, names)
	joined := w.startBalancer(3)
	w.setFabric(nodes[0], joined)
	w.g.Eventually(func() bool { return w.listensAt([]*node{joined}, orderDesk) }, patience).Should(BeTrue())
	w.tellAgents([]*node{nodes[0]}, agents[:1])
	w.expectWhole("a balancer joined, views are uneven", flows, names)

	all = append(all[3:], nodes[0], joined)
	tell(all, w.setDocument("order-desk", 1, 20, orderDesk, "", "10.9.9.9"))
	w.expectWhole("the document allows none of the endpoints any more", flows, names)

	tell(all, w.setDocument("order-desk", 1, 21, orderDesk2, orderDesk, anywhere))
	w.g.Eventually(func() bool { return w.listensAt([]*node{nodes[0], joined}, orderDesk2) }, patience).Should(BeTrue())
	w.expectWhole("the address changed", flows, names)

	nodes[1] = w.startBalancer(1)
	w.setFabric(nodes[1])
	w.g.Eventually(func() bool { return w.listensAt(nodes[1:2], orderDesk) }, patience).Should(BeTrue())
	w.expectWhole("a balancer started after the address had changed", flows, names)

	all = append(all, nodes[1])
	for step, keys := range []func() bool{
		func() bool { return replaceKeys(all, w, 1, 1, 2) },
		func() bool { return replaceKeys(all, w, 2, 1, 2) },
	} {
		w.g.Expect(keys()).To(BeTrue())
		w.expectWhole(fmt.Sprint("rotation of keys, step ", step), flows, names)
	}
}

func (w *world) listensAt(nodes []*node, address string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range nodes {
		if w.services[n][netip.MustParseAddrPort(address)] == nil {
			return false
		}
	}
	return true
}

// TestNotAllowedEndpointTakesNoNewFlows narrows the allow list: a balancer that
// has not heard of it offers new flows to all, established ones go on.
func TestNotAllowedEndpointTakesNoNewFlows(t *testing.T) {
	w := newWorld(t)
	_, agents := w.startService(1)
	flows, names := w.startFlows(9)
	tell(agents, w.setDocument("order-desk", 1, 20, orderDesk, "", agentAddress(1).Addr().String()))
	// Agents read the document in a goroutine of their own.
	w.g.Eventually(func() string { return w.newFlow(orderDesk).name(w.g) }, patience).Should(Equal("order-desk-agent-1"))
	taken := 0
	for range 12 {
		if w.newFlow(orderDesk).name(w.g) == "order-desk-agent-1" {
			taken++
		}
	}
	w.g.Expect(taken).To(Equal(12))
	w.expectWhole("the document allows one endpoint", flows, names)
}

// TestHandshakeSplitOverUnevenViews deals the datagrams of each ClientHello to
// balancers whose views differ, so that they reach different agents.
func TestHandshakeSplitOverUnevenViews(t *testing.T) {
	w := newWorld(t)
	nodes, agents := w.startService(2)
	flows, names := w.startFlows(4)
	// The first balancer knows agent 0 alone, the second the others.
	views := []*node{w.startBalancer(5), w.startBalancer(6)}
	w.tellAgents(views[:1], agents[:1])
	w.tellAgents(views[1:], agents[1:])
	w.g.Eventually(func() bool { return w.listensAt(views, orderDesk) }, patience).Should(BeTrue())
	for _, n := range nodes {
		n.stop()
	}
	w.setFabric(views...)

	var mu sync.Mutex
	reached := make(map[string]map[netip.AddrPort]bool)
	w.mu.Lock()
	w.seen = func(to netip.AddrPort, message *wire.Envelope) {
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
	w.mu.Unlock()
	const handshakes = 20
	for range handshakes {
		f := w.newFlow(orderDesk)
		w.g.Eventually(func() error { _, err := f.get(); return err }, patience).Should(Succeed())
		w.g.Expect(f.dials.Load()).To(BeNumerically("<=", 2), "it completes, or fails and is retried once")
	}
	w.expectWhole("uneven views", flows, names)
	mu.Lock()
	defer mu.Unlock()
	split := 0
	for _, agents := range reached {
		if len(agents) > 1 {
			split++
		}
	}
	w.g.Expect(split).To(BeNumerically(">=", handshakes/2), "the test must split handshakes")
}

// TestReusedAddressNeverServesOtherService lets an agent of another service
// take over the IP address and port of an agent, while the balancer's view is stale.
func TestReusedAddressNeverServesOtherService(t *testing.T) {
	w := newWorld(t)
	nodes, agents := w.startService(1)
	flows, _ := w.startFlows(12)
	w.kill(agents[0])
	taken := w.startAgent(0, "drawings", "a")
	for _, f := range flows {
		f.client.Timeout = 300 * time.Millisecond
		_, _ = f.get()
	}
	w.g.Expect(taken.count("sassafrasturn_agent_dropped_datagrams_total", "other-service")).To(BeNumerically(">", 0), "flows must arrive there")
	w.g.Expect(taken.count("sassafrasturn_agent_taken_datagrams_total", "")).To(BeZero())
	for _, f := range flows {
		if conn := f.conn.Load(); conn != nil && f.dials.Load() == 1 {
			w.g.Expect(conn.Context().Err()).To(BeNil(), "another service must not reset a connection")
		}
	}
	// The agent has corrected the view: new flows reach the two others.
	w.g.Eventually(func() float64 { return nodes[0].count("sassafrasturn_balancer_corrections_total", "") }, patience).Should(BeNumerically(">", 0))
	w.g.Eventually(func() any { return nodes[0].instance.Store.Get(wire.Record_KIND_ENDPOINT, "drawings-agent-0") }, patience).ShouldNot(BeNil())
	w.g.Eventually(nodes[0].role.Details, patience).Should(ContainElement(ContainSubstring("2 endpoints take new flows")))
	// Callers of lost flows still send there; new callers have higher addresses.
	last := w.callers.Load()
	var strays atomic.Int32
	w.mu.Lock()
	w.seen = func(to netip.AddrPort, message *wire.Envelope) {
		caller, ok := envelope.UnpackAddress(message.Caller)
		if !ok || to != agentAddress(0) {
			return
		}
		if ip := caller.Addr().As4(); uint32(ip[2])<<8|uint32(ip[3]) > last {
			strays.Add(1)
		}
	}
	w.mu.Unlock()
	for range 12 {
		f := w.newFlow(orderDesk)
		_, err := f.get()
		w.g.Expect(err).NotTo(HaveOccurred())
	}
	w.g.Expect(strays.Load()).To(BeZero(), "no new flow goes there any more")
}

// TestNewIncarnationResetsFlowsAtOnce restarts an agent: callers must notice
// within a round trip instead of waiting for a timeout.
func TestNewIncarnationResetsFlowsAtOnce(t *testing.T) {
	w := newWorld(t)
	_, agents := w.startService(1)
	flows, names := w.startFlows(8)
	w.kill(agents[0])
	w.startAgent(0, "order-desk", "a")
	lost := 0
	for i, f := range flows {
		if names[i] != "order-desk-agent-0" {
			continue
		}
		lost++
		conn := f.conn.Load()
		go func() { _, _ = f.get() }()
		w.g.Eventually(conn.Context().Done(), 2*time.Second).Should(BeClosed(), "the silence timeout is 30 s here")
	}
	w.g.Expect(lost).To(BeNumerically(">", 0))
}

// replaceKeys rotates the keys of the nodes; false when one had them already.
func replaceKeys(nodes []*node, w *world, current keyring.Epoch, epochs ...keyring.Epoch) bool {
	isNew := true
	for _, n := range nodes {
		isNew = n.instance.Keys.Replace(w.keys(current, epochs...)) && isNew
	}
	return isNew
}
