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

// world is a network with a control stand-in, balancers, agents with endpoints,
// and callers behind a router that hashes by the list of balancers.
//
// The goroutine of a test holds mu but while it waits, so that tests may read
// and change all parts of the world as they stand.
type world struct {
	mu      sync.Mutex
	g       Gomega
	t       *testing.T
	network *network
	control *controlStandIn
	// isNaive replaces the balancers and agents by naive ones.
	isNaive bool
	// keys seal what instances send one another; nil on an insecure cluster.
	keys      *keyring.Keyring
	balancers []*runningBalancer
	sites     []*site
	callers   map[netip.Addr]*socket
	flows     map[flow.Key]*callerFlow
	nextPort  uint16
	stops     []context.CancelFunc
}

// play runs a test in virtual time with so many balancers and sites.
func play(t *testing.T, isNaive bool, balancers, sites int, run func(w *world)) {
	playKeyed(t, nil, isNaive, balancers, sites, run)
}

// playKeyed runs a test on a cluster with keys.
func playKeyed(t *testing.T, keys *keyring.Keyring, isNaive bool, balancers, sites int, run func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			g: NewWithT(t), t: t, network: newNetwork(), isNaive: isNaive, keys: keys,
			callers: make(map[netip.Addr]*socket), flows: make(map[flow.Key]*callerFlow), nextPort: 1000,
		}
		w.mu.Lock()
		w.control = newControlStandIn(w)
		w.control.route(1, orders, "orders")
		for range sites {
			w.addSite("orders")
		}
		for range balancers {
			w.addBalancer()
		}
		defer w.end()
		w.sleep(2 * time.Second)
		run(w)
	})
}

// sleep lets the world go on for a while.
func (w *world) sleep(length time.Duration) {
	w.mu.Unlock()
	time.Sleep(length)
	w.mu.Lock()
}

// settle lets the world go on until nothing happens but the passing of time.
func (w *world) settle() {
	w.mu.Unlock()
	synctest.Wait()
	w.mu.Lock()
}

func (w *world) end() {
	w.mu.Unlock()
	for _, stop := range w.stops {
		stop()
	}
	for _, s := range w.callers {
		s.Close()
	}
	synctest.Wait()
}

func (w *world) context() (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(context.Background())
	w.stops = append(w.stops, stop)
	return ctx, stop
}

func (w *world) instance(role settings.Role, address netip.Addr, zone string) *machine.Instance {
	s := &settings.Settings{
		Mode: settings.ModeOpaque, Role: role, Instance: address.String(), Zone: zone,
		Cluster: settings.Cluster{IsInsecure: true, Peers: []netip.AddrPort{controlAddress}},
		Link:    settings.Link{Listen: netip.AddrPortFrom(address, linkPort)},
		Opaque: settings.Opaque{
			Packets: netip.AddrPortFrom(address, packetPort), CallerPort: packetPort,
			Outbound: netip.AddrPortFrom(address, outPort), Endpoint: netip.AddrPortFrom(address, servicePort), Service: "orders",
			EndpointCheck: netip.AddrPortFrom(address, servicePort),
			Heartbeat:     time.Second, AddressReuse: 2 * time.Second, FlowLifetime: time.Minute,
			ColdFactor: 1.5, ColdSlack: 5, StopTime: 6 * time.Second,
		},
	}
	instance, err := machine.New(s)
	w.g.Expect(err).NotTo(HaveOccurred())
	instance.Log = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	instance.Keys = w.keys
	instance.DialTCP = func(_ context.Context, address netip.AddrPort) (net.Conn, error) { return w.dialEndpoint(address) }
	instance.ListenUDP = func(address netip.AddrPort) (machine.Socket, error) { return w.network.listen(address), nil }
	return instance
}

// dialEndpoint is refused where no endpoint runs.
func (w *world) dialEndpoint(address netip.AddrPort) (net.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.sites {
		if s.address == address.Addr() && s.endpoint != nil && !s.endpoint.isStopped() {
			conn, _ := net.Pipe()
			return conn, nil
		}
	}
	return nil, syscall.ECONNREFUSED
}

// controlStandIn answers polls as a control instance does.
type controlStandIn struct {
	world  *world
	roster *roster.Roster
	start  time.Time
	table  *wire.RoutingTable
	zones  uint64
	out    []string
	// isDown: polls get no answer.
	isDown bool
	// sealer is nil on an insecure cluster.
	sealer *envelope.Sealer
}

func newControlStandIn(w *world) *controlStandIn {
	c := &controlStandIn{world: w, roster: roster.New(1, 0), start: time.Now(), table: &wire.RoutingTable{}}
	if w.keys != nil {
		var err error
		c.sealer, err = envelope.NewSealer(w.keys)
		w.g.Expect(err).NotTo(HaveOccurred())
	}
	s := w.network.listen(controlAddress)
	w.stops = append(w.stops, func() { s.Close() })
	go c.serve(s)
	return c
}

// restart gives the stand-in the roster of an instance that has just started.
func (c *controlStandIn) restart() {
	c.roster = roster.New(2, time.Since(c.start))
}

func (c *controlStandIn) serve(s *socket) {
	buffer := make([]byte, 4096)
	for {
		n, from, err := s.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		poll := new(wire.Poll)
		question := c.open(buffer[:n])
		if len(question) == 0 || opaque.Kind(question[0]) != opaque.KindPoll || proto.Unmarshal(question[1:], poll) != nil || c.isSilent() {
			continue
		}
		c.world.mu.Lock()
		data, _ := proto.Marshal(c.answer(poll))
		c.world.mu.Unlock()
		_, _ = s.WriteToUDPAddrPort(c.seal(append([]byte{byte(opaque.KindPollAnswer)}, data...)), from)
	}
}

// open returns what a datagram holds, nothing of one that is not sealed as it must be.
func (c *controlStandIn) open(data []byte) []byte {
	if c.sealer == nil {
		return data
	}
	content, _ := c.sealer.OpenBytes(data)
	return content
}

func (c *controlStandIn) seal(data []byte) []byte {
	if c.sealer == nil {
		return data
	}
	sealed, err := c.sealer.SealBytes(nil, data)
	c.world.g.Expect(err).NotTo(HaveOccurred())
	return sealed
}

func (c *controlStandIn) isSilent() bool {
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	return c.isDown
}

func (c *controlStandIn) answer(poll *wire.Poll) *wire.PollAnswer {
	now := time.Since(c.start)
	c.roster.Sweep(now)
	answer := &wire.PollAnswer{Sequence: poll.Sequence, Fresh: true, ZoneIndex: c.zones, ZonesOut: c.out, RoutingVersion: c.table.Version}
	if poll.Self != nil {
		answer.Incarnation = c.roster.RecordPoll(now, poll.Self)
	}
	delta := c.roster.Since(now, poll.Roster, poll.Revision, 500)
	answer.Roster, answer.Revision, answer.Records = delta.Roster, delta.Revision, delta.Records
	answer.More, answer.Restart, answer.Settled = delta.More, delta.Restart, delta.IsConverged
	data, _ := proto.Marshal(c.table)
	answer.TableBytes = uint32(len(data))
	if poll.RoutingVersion < c.table.Version {
		offset := 0
		if poll.FetchVersion == c.table.Version {
			offset = int(poll.FetchOffset)
		}
		answer.PartVersion, answer.PartOffset = c.table.Version, uint32(offset)
		answer.Part = data[offset:min(offset+40, len(data))]
	}
	return answer
}

// route makes one route lead to a service, under a new version.
func (c *controlStandIn) route(version uint64, dialed netip.AddrPort, services ...string) {
	next := &wire.RoutingTable{Version: version, IdleTimeoutMs: 15000, Services: []*wire.ServiceBounds{{Service: "orders"}, {Service: "drawings"}}}
	for _, held := range c.table.Routes {
		if held.Address != routing.AddressNumber(dialed.Addr()) && len(held.Services) > 0 {
			next.Routes = append(next.Routes, held)
		}
	}
	if len(services) > 0 {
		route := &wire.Route{Address: routing.AddressNumber(dialed.Addr()), Port: uint32(dialed.Port())}
		for _, service := range services {
			route.Services = append(route.Services, &wire.WeightedService{Service: service, Weight: 1})
		}
		next.Routes = append(next.Routes, route)
	}
	routing.CarryOver(c.table, next)
	c.table = next
}

type runningBalancer struct {
	address netip.AddrPort
	role    *balancer.Balancer
	isReady bool
	// isDown: its process is gone for the moment.
	isDown bool
	stop   context.CancelFunc
}

func (w *world) addBalancer() *runningBalancer {
	number := len(w.balancers) + 1
	b := &runningBalancer{address: netip.AddrPortFrom(ip(1, number), packetPort), isReady: true}
	w.balancers = append(w.balancers, b)
	w.startBalancer(b, number)
	return b
}

func (w *world) startBalancer(b *runningBalancer, number int) {
	ctx, stop := w.context()
	b.stop = stop
	if w.isNaive {
		go w.runNaiveBalancer(ctx, w.network.listen(b.address))
		return
	}
	role, err := balancer.New(w.instance(settings.RoleBalancer, b.address.Addr(), zoneOf(number)), codec{})
	w.g.Expect(err).NotTo(HaveOccurred())
	b.role = role
	go func() { _ = role.Run(ctx) }()
}

// site is an endpoint with its agent.
type site struct {
	world    *world
	number   int
	address  netip.Addr
	agent    *agent.Agent
	stop     context.CancelFunc
	endpoint *endpoint
}

func (w *world) addSite(service string) *site {
	s := &site{world: w, number: len(w.sites), address: ip(2, len(w.sites)+1)}
	w.sites = append(w.sites, s)
	s.startAgent()
	s.startEndpoint(service)
	return s
}

func (s *site) startAgent() {
	ctx, stop := s.world.context()
	s.stop = stop
	if s.world.isNaive {
		go s.world.runNaiveAgent(ctx, s)
		return
	}
	a, err := agent.New(s.world.instance(settings.RoleAgent, s.address, zoneOf(s.number)), codec{})
	s.world.g.Expect(err).NotTo(HaveOccurred())
	s.agent = a
	go func() { _ = a.Run(ctx) }()
}

// restartAgent ends the agent and starts another one after a moment.
func (s *site) restartAgent(after time.Duration) {
	s.stop()
	s.world.settle()
	s.world.sleep(after)
	s.startAgent()
}

// startEndpoint starts an endpoint that announces itself once a second.
func (s *site) startEndpoint(service string) {
	s.startUnheardEndpoint(service)
	s.endpoint.isMute = false
	s.endpoint.announce()
}

// startUnheardEndpoint starts an endpoint that does not announce itself.
func (s *site) startUnheardEndpoint(service string) {
	if s.endpoint != nil {
		s.endpoint.stop()
	}
	s.endpoint = newEndpoint(s, service)
	s.endpoint.isMute = true
}
