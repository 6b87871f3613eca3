package pathtest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/keyring"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/machine/opaque/agent"
	"sassafrasturn.example/internal/machine/opaque/balancer"
	"sassafrasturn.example/internal/roster"
	"sassafrasturn.example/internal/routing"
	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/internal/wire"
)

const (
	linkPort    = 7000
	packetPort  = 7100
	outPort     = 7200
	servicePort = 7300
)

func ip(kind, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(kind), 0, byte(number)})
}

func zoneOf(number int) string { return fmt.Sprintf("zone-%d", number%3) }

var (
	controlAddress = netip.AddrPortFrom(ip(9, 1), linkPort)
	orders         = netip.MustParseAddrPort("198.51.100.1:443")
	drawings       = netip.MustParseAddrPort("198.51.100.2:443")
)

// testCluster is a network with a fake control instance, balancers, agents with
// endpoints, and callers behind a router that hashes flows over the list of balancers.
//
// The goroutine of a test holds mu except while it waits, so that tests can read and
// change all parts of the cluster without further locking.
type testCluster struct {
	mu      sync.Mutex
	g       Gomega
	t       *testing.T
	network *network
	control *fakeControl
	// moreControl are further control instances, which share all but the handovers with control.
	moreControl []*fakeControl
	// isNaive replaces the balancers and agents with naive ones that keep no state.
	isNaive bool
	// keys seal the datagrams between instances. They are nil on an insecure cluster.
	keys      *keyring.Keyring
	balancers []*runningBalancer
	sites     []*site
	callers   map[netip.Addr]*socket
	flows     map[flow.Key]*callerFlow
	nextPort  uint16
	// dialTime is how long connecting to an endpoint takes.
	dialTime time.Duration
	// configure, if set, changes an instance before its role is created.
	configure func(instance *machine.Instance)
	stops     []context.CancelFunc
}

// runInCluster runs a test in virtual time with the given numbers of balancers and sites.
func runInCluster(t *testing.T, isNaive bool, balancers, sites int, run func(tc *testCluster)) {
	runInKeyedCluster(t, nil, isNaive, balancers, sites, run)
}

// runInKeyedCluster is runInCluster on a cluster with keys.
func runInKeyedCluster(t *testing.T, keys *keyring.Keyring, isNaive bool, balancers, sites int, run func(tc *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		tc := &testCluster{
			g: NewWithT(t), t: t, network: newNetwork(), isNaive: isNaive, keys: keys,
			callers: make(map[netip.Addr]*socket), flows: make(map[flow.Key]*callerFlow), nextPort: 1000,
		}
		tc.mu.Lock()
		tc.control = newFakeControl(tc, controlAddress)
		tc.control.setRoute(1, orders, "orders")
		for range sites {
			tc.addSite("orders")
		}
		for range balancers {
			tc.addBalancer()
		}
		defer tc.close()
		tc.sleep(2 * time.Second)
		run(tc)
	})
}

// sleep releases the lock for a duration.
func (tc *testCluster) sleep(duration time.Duration) {
	tc.mu.Unlock()
	time.Sleep(duration)
	tc.mu.Lock()
}

// waitIdle releases the lock until all goroutines are blocked.
func (tc *testCluster) waitIdle() {
	tc.mu.Unlock()
	synctest.Wait()
	tc.mu.Lock()
}

func (tc *testCluster) close() {
	tc.mu.Unlock()
	for _, stop := range tc.stops {
		stop()
	}
	for _, s := range tc.callers {
		s.Close()
	}
	synctest.Wait()
}

func (tc *testCluster) context() (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(context.Background())
	tc.stops = append(tc.stops, stop)
	return ctx, stop
}

func (tc *testCluster) instance(role settings.Role, address netip.Addr, zone string) *machine.Instance {
	s := &settings.Settings{
		Mode: settings.ModeOpaque, Role: role, Instance: address.String(), Zone: zone,
		Cluster: settings.Cluster{IsInsecure: true, Peers: tc.controlAddresses()},
		Link:    settings.Link{Listen: netip.AddrPortFrom(address, linkPort)},
		Opaque: settings.Opaque{
			Packets: netip.AddrPortFrom(address, packetPort), CallerPort: packetPort,
			Outbound: netip.AddrPortFrom(address, outPort), Endpoint: netip.AddrPortFrom(address, servicePort), Service: "orders",
			EndpointCheck:     netip.AddrPortFrom(address, servicePort),
			HeartbeatInterval: time.Second, AddressReuseDelay: 2 * time.Second, MaxFlowLifetime: time.Minute,
			ColdFactor: 1.5, ColdSlack: 5, StopGracePeriod: 6 * time.Second, ZoneLeaveCost: 5 * time.Millisecond,
		},
	}
	instance, err := machine.New(s)
	tc.g.Expect(err).NotTo(HaveOccurred())
	instance.Log = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	instance.Keys = tc.keys
	instance.DialTCP = func(_ context.Context, address netip.AddrPort) (net.Conn, error) {
		time.Sleep(tc.dialTime)
		return tc.dialEndpoint(address)
	}
	instance.ListenUDP = func(address netip.AddrPort) (machine.Socket, error) { return tc.network.listen(address), nil }
	if tc.configure != nil {
		tc.configure(instance)
	}
	return instance
}

// dialEndpoint connects to an endpoint, or returns ECONNREFUSED if none is running, and
// ETIMEDOUT if its queue of connections is full.
func (tc *testCluster) dialEndpoint(address netip.AddrPort) (net.Conn, error) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for _, s := range tc.sites {
		if s.address == address.Addr() && s.endpoint != nil && !s.endpoint.isStopped() {
			if s.endpoint.isQueueFull {
				return nil, syscall.ETIMEDOUT
			}
			conn, _ := net.Pipe()
			return conn, nil
		}
	}
	return nil, syscall.ECONNREFUSED
}

// fakeControl answers polls as a control instance does.
type fakeControl struct {
	cluster *testCluster
	address netip.AddrPort
	// leader is the instance whose state the answers to polls are made from.
	leader    *fakeControl
	roster    *roster.Roster
	start     time.Time
	table     *wire.RoutingTable
	zoneIndex uint64
	zonesOut  []string
	zonesBack []*wire.ZoneReturn
	// isDown is set while polls are not answered.
	isDown bool
	// isRegistering is set if agents are registered in a log that survives restarts,
	// whose state is registry.
	isRegistering bool
	registry      roster.Registry
	// isBehind is set while the answers are not usable.
	isBehind bool
	// isTableWithheld contains the nodes that get no newer routing table.
	isTableWithheld map[netip.Addr]bool
	// coldPerSecond is the rate that cold endpoints of orders are stated to handle.
	coldPerSecond float64
	// isProbing is set if silent agents are probed before they expire.
	isProbing bool
	socket    *socket
	// rosters counts the rosters so far.
	rosters   uint64
	handovers *flow.Handovers
	// missedAt is when the instance last missed a message about flows because it was down.
	missedAt time.Duration
	// sealer is nil on an insecure cluster.
	sealer *envelope.Sealer
}

func newFakeControl(tc *testCluster, address netip.AddrPort) *fakeControl {
	c := &fakeControl{cluster: tc, address: address, roster: roster.New(1, 0), rosters: 1, start: time.Now(), table: &wire.RoutingTable{}, isTableWithheld: make(map[netip.Addr]bool), handovers: flow.NewHandovers()}
	c.leader = c
	if tc.keys != nil {
		var err error
		c.sealer, err = envelope.NewSealer(tc.keys)
		tc.g.Expect(err).NotTo(HaveOccurred())
	}
	s := tc.network.listen(address)
	tc.stops = append(tc.stops, func() { s.Close() })
	c.socket = s
	go c.serve(s)
	return c
}

// addControl adds control instances and waits until all nodes know them.
func (tc *testCluster) addControl(count int) {
	for range count {
		c := newFakeControl(tc, netip.AddrPortFrom(ip(9, 2+len(tc.moreControl)), linkPort))
		c.leader = tc.control
		tc.moreControl = append(tc.moreControl, c)
	}
	tc.sleep(2 * time.Second)
}

// allControl returns all control instances.
func (tc *testCluster) allControl() []*fakeControl {
	return append([]*fakeControl{tc.control}, tc.moreControl...)
}

func (tc *testCluster) controlAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, c := range tc.allControl() {
		addresses = append(addresses, c.address)
	}
	return addresses
}

// loseHandovers restarts an instance, which loses the flows that it keeps, and nothing else.
func (c *fakeControl) loseHandovers() { c.handovers = flow.NewHandovers() }

// restart replaces the roster with that of a recently started instance.
func (c *fakeControl) restart() {
	now := time.Since(c.start)
	c.rosters++
	c.handovers = flow.NewHandovers()
	c.roster = roster.New(c.rosters, now)
	c.roster.SetRegistry(now, c.registry)
}

// register applies the change of the registry that the roster requires.
func (c *fakeControl) register(now time.Duration) {
	if plan := c.roster.PlanRegistration(now); plan != nil {
		c.registry = c.registry.With(plan.Added, plan.Removed)
		c.roster.SetRegistry(now, c.registry)
	}
}

func (c *fakeControl) serve(s *socket) {
	buffer := make([]byte, 4096)
	for {
		n, from, err := s.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		poll := new(wire.Poll)
		content := c.open(buffer[:n])
		if len(content) > 0 && opaque.Kind(content[0]) == opaque.KindProbeAnswer {
			c.handleProbeAnswer(content[1:])
			continue
		}
		if len(content) > 0 && c.handleHandover(opaque.Kind(content[0]), content[1:], from) {
			continue
		}
		if len(content) == 0 || opaque.Kind(content[0]) != opaque.KindPoll || proto.Unmarshal(content[1:], poll) != nil || c.isSilent() {
			continue
		}
		c.cluster.mu.Lock()
		if poll.Self != nil {
			c.handovers.RecordStart(uint64(roster.KeyOf(poll.Self)), poll.Self.Incarnation)
		}
		data, _ := proto.Marshal(c.leader.answer(poll, from.Addr()))
		c.cluster.mu.Unlock()
		_, _ = s.WriteToUDPAddrPort(c.seal(append([]byte{byte(opaque.KindPollAnswer)}, data...)), from)
	}
}

// handleHandover keeps flows of agents as a control instance does, and reports whether the
// datagram was about them.
func (c *fakeControl) handleHandover(kind opaque.Kind, data []byte, from netip.AddrPort) bool {
	if kind != opaque.KindHandover && kind != opaque.KindTakeover {
		return false
	}
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	message := new(wire.Handover)
	if c.isDown || proto.Unmarshal(data, message) != nil {
		c.missedAt = time.Since(c.start)
		return true
	}
	now, newest := time.Since(c.start), c.leader.roster.Incarnation(roster.Key(message.Agent))
	answerKind, answer := opaque.KindHandoverAnswer, message
	if kind == opaque.KindHandover {
		answer = c.handovers.Record(now, message)
		c.handovers.RecordStart(message.Agent, newest)
	} else {
		c.handovers.RecordStart(message.Agent, newest)
		answerKind, answer = opaque.KindTakeoverAnswer, c.handovers.Take(now, message, c.missedAt)
	}
	encoded, _ := proto.Marshal(answer)
	_, _ = c.socket.WriteToUDPAddrPort(c.seal(append([]byte{byte(answerKind)}, encoded...)), from)
	return true
}

// open returns the content of a datagram, or nil if the datagram is not properly sealed.
func (c *fakeControl) open(data []byte) []byte {
	if c.sealer == nil {
		return data
	}
	content, _ := c.sealer.OpenBytes(data)
	return content
}

func (c *fakeControl) seal(data []byte) []byte {
	if c.sealer == nil {
		return data
	}
	sealed, err := c.sealer.SealBytes(nil, data)
	c.cluster.g.Expect(err).NotTo(HaveOccurred())
	return sealed
}

func (c *fakeControl) isSilent() bool {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	return c.isDown
}

// probeSilentAgents probes the agents that do not poll.
func (c *fakeControl) probeSilentAgents(now time.Duration) {
	for _, record := range c.roster.DueProbes(now) {
		if !c.isProbing || c.isDown {
			continue
		}
		probe := &wire.Poll{Sequence: uint64(record.Address)<<16 | uint64(record.Port)}
		data, _ := proto.Marshal(probe)
		to := netip.AddrPortFrom(routing.NumberAddress(record.Address), uint16(record.Port))
		_, _ = c.socket.WriteToUDPAddrPort(c.seal(append([]byte{byte(opaque.KindProbe)}, data...)), to)
	}
}

func (c *fakeControl) handleProbeAnswer(data []byte) {
	answer := new(wire.PollAnswer)
	if proto.Unmarshal(data, answer) != nil {
		return
	}
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	agent := netip.AddrPortFrom(routing.NumberAddress(uint32(answer.Sequence>>16)), uint16(answer.Sequence))
	c.roster.RecordProbeAnswer(time.Since(c.start), roster.KeyOfAddress(agent))
}

func (c *fakeControl) answer(poll *wire.Poll, from netip.Addr) *wire.PollAnswer {
	now := time.Since(c.start)
	c.roster.Sweep(now)
	c.probeSilentAgents(now)
	answer := &wire.PollAnswer{Sequence: poll.Sequence, Fresh: !c.isBehind, ZoneIndex: c.zoneIndex, ZonesOut: c.zonesOut, RoutingVersion: c.table.Version}
	for _, zone := range c.zonesBack {
		if zone.Index > poll.ZoneIndex {
			answer.ZonesBack = append(answer.ZonesBack, zone)
		}
	}
	for _, address := range c.cluster.controlAddresses() {
		answer.Control = append(answer.Control, address.String())
	}
	if poll.Self != nil {
		answer.Incarnation = c.roster.RecordPoll(now, poll.Self)
	}
	if c.isRegistering {
		c.register(now)
	}
	delta := c.roster.Since(now, roster.PositionOf(poll), 500)
	delta.AddTo(answer)
	data, _ := proto.Marshal(c.table)
	answer.TableBytes = uint32(len(data))
	if poll.RoutingVersion < c.table.Version && !c.isTableWithheld[from] {
		offset := 0
		if poll.FetchVersion == c.table.Version {
			offset = int(poll.FetchOffset)
		}
		answer.PartVersion, answer.PartOffset = c.table.Version, uint32(offset)
		answer.Part = data[offset:min(offset+40, len(data))]
	}
	return answer
}

// setRoute routes an address to the given services, or removes its route if there are
// none, in a new version of the routing table.
func (c *fakeControl) setRoute(version uint64, dialed netip.AddrPort, services ...string) {
	next := &wire.RoutingTable{Version: version, IdleTimeoutMs: 15000, Services: []*wire.ServiceBounds{{Service: "orders", ColdPerSecond: c.coldPerSecond}, {Service: "drawings"}}}
	for _, service := range services {
		if service != "orders" && service != "drawings" {
			next.Services = append(next.Services, &wire.ServiceBounds{Service: service})
		}
	}
	for _, existing := range c.table.Routes {
		if existing.Address != routing.AddressNumber(dialed.Addr()) && len(existing.Services) > 0 {
			next.Routes = append(next.Routes, existing)
		}
	}
	if len(services) > 0 {
		route := &wire.Route{Address: routing.AddressNumber(dialed.Addr()), Port: uint32(dialed.Port())}
		for _, service := range services {
			route.Services = append(route.Services, &wire.WeightedService{Service: service, Weight: 1})
		}
		next.Routes = append(next.Routes, route)
	}
	routing.CarryOver(c.table, next, 0)
	c.table = next
}

type runningBalancer struct {
	address netip.AddrPort
	role    *balancer.Balancer
	isReady bool
	// isDown is set while the process is stopped.
	isDown bool
	stop   context.CancelFunc
}

func (tc *testCluster) addBalancer() *runningBalancer {
	number := len(tc.balancers) + 1
	b := &runningBalancer{address: netip.AddrPortFrom(ip(1, number), packetPort), isReady: true}
	tc.balancers = append(tc.balancers, b)
	tc.startBalancer(b, number)
	return b
}

func (tc *testCluster) startBalancer(b *runningBalancer, number int) {
	ctx, stop := tc.context()
	b.stop = stop
	if tc.isNaive {
		go tc.runNaiveBalancer(ctx, tc.network.listen(b.address))
		return
	}
	role, err := balancer.New(tc.instance(settings.RoleBalancer, b.address.Addr(), zoneOf(number)), codec{})
	tc.g.Expect(err).NotTo(HaveOccurred())
	b.role = role
	go func() { _ = role.Run(ctx) }()
}

// restartBalancers stops all balancers and starts them again.
func (tc *testCluster) restartBalancers() {
	for i, b := range tc.balancers {
		b.stop()
		tc.waitIdle()
		tc.startBalancer(b, i+1)
	}
}

// restartAgents restarts all agents one after the other, so that they adopt flows.
func (tc *testCluster) restartAgents() {
	for _, s := range tc.sites {
		s.restartAgent(100 * time.Millisecond)
		s.endpoint.announce()
	}
}

// site is an endpoint with its agent.
type site struct {
	cluster  *testCluster
	number   int
	address  netip.Addr
	agent    *agent.Agent
	stop     context.CancelFunc
	endpoint *endpoint
}

// addSite starts an agent and, once the agent has found that none is running, an endpoint.
func (tc *testCluster) addSite(service string) *site {
	s := &site{cluster: tc, number: len(tc.sites), address: ip(2, len(tc.sites)+1)}
	tc.sites = append(tc.sites, s)
	s.startAgent()
	tc.waitIdle()
	s.startEndpoint(service)
	return s
}

func (s *site) startAgent() {
	ctx, stop := s.cluster.context()
	s.stop = stop
	if s.cluster.isNaive {
		go s.cluster.runNaiveAgent(ctx, s)
		return
	}
	a, err := agent.New(s.cluster.instance(settings.RoleAgent, s.address, zoneOf(s.number)), codec{})
	s.cluster.g.Expect(err).NotTo(HaveOccurred())
	s.agent = a
	go func() { _ = a.Run(ctx) }()
}

// restartAgent stops the agent and starts another one after a pause.
func (s *site) restartAgent(after time.Duration) {
	s.stop()
	s.cluster.waitIdle()
	s.cluster.sleep(after)
	s.startAgent()
}

// startEndpoint starts an endpoint that announces itself once a second.
func (s *site) startEndpoint(service string) {
	s.startSilentEndpoint(service)
	s.endpoint.isSilent = false
	s.endpoint.announce()
}

// startSilentEndpoint starts an endpoint that does not announce itself.
func (s *site) startSilentEndpoint(service string) {
	if s.endpoint != nil {
		s.endpoint.stop()
	}
	s.endpoint = newEndpoint(s, service)
	s.endpoint.isSilent = true
}
