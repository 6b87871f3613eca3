// Package pathtest tests the path of datagrams through balancers and agents, with real
// QUIC at both ends and an in-memory network between them.
package pathtest

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/exchange"
	"sassafrasturn.example/internal/keyring"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/machine/agent"
	"sassafrasturn.example/internal/machine/balancer"
	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/internal/standin/endpoint"
	"sassafrasturn.example/internal/wire"
	"sassafrasturn.example/internal/zone"
)

const (
	waitTimeout  = 10 * time.Second
	queuePackets = 4096
)

type packet struct {
	data []byte
	from netip.AddrPort
}

// socket is a UDP socket of the in-memory network.
type socket struct {
	cluster *testCluster
	address netip.AddrPort
	send    func(s *socket, p packet, to netip.AddrPort)
	// peer is the only address from which the socket accepts datagrams, if it is set:
	// callers accept datagrams only from the address that they dialed.
	peer netip.AddrPort
	// isMuted is true once the socket discards everything that is sent through it.
	isMuted atomic.Bool
	queue   chan packet
	closed  chan struct{}
	once    sync.Once
	release func()
}

func (s *socket) ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error) {
	select {
	case p := <-s.queue:
		return copy(buffer, p.data), p.from, nil
	case <-s.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (s *socket) WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error) {
	if s.isMuted.Load() {
		return len(data), nil
	}
	s.send(s, packet{data: bytes.Clone(data), from: s.address}, to)
	return len(data), nil
}

func (s *socket) deliver(p packet) {
	if s.peer.IsValid() && p.from != s.peer {
		return
	}
	select {
	case s.queue <- p:
	default:
	}
}

func (s *socket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	n, from, err := s.ReadFromUDPAddrPort(buffer)
	return n, net.UDPAddrFromAddrPort(from), err
}

func (s *socket) WriteTo(data []byte, to net.Addr) (int, error) {
	return s.WriteToUDPAddrPort(data, to.(*net.UDPAddr).AddrPort())
}

func (s *socket) LocalAddr() net.Addr              { return net.UDPAddrFromAddrPort(s.address) }
func (s *socket) SetDeadline(time.Time) error      { return nil }
func (s *socket) SetReadDeadline(time.Time) error  { return nil }
func (s *socket) SetWriteDeadline(time.Time) error { return nil }
func (s *socket) SetReadBuffer(int) error          { return nil }
func (s *socket) SetWriteBuffer(int) error         { return nil }

func (s *socket) Close() error {
	s.once.Do(func() { close(s.closed); s.release() })
	return nil
}

// testCluster is an in-memory network with balancers, agents and callers.
type testCluster struct {
	g Gomega
	t *testing.T

	mu sync.Mutex
	// privateSockets contains envelope and caller sockets by address.
	privateSockets map[netip.AddrPort]*socket
	// serviceSockets contains the service sockets of each balancer by address.
	serviceSockets map[*node]map[netip.AddrPort]*socket
	// fabricBalancers lists the balancers to which the fabric sends datagrams in turn.
	fabricBalancers []*node
	nextBalancer    int
	// onEnvelope, if set, is called with each envelope that is sent.
	onEnvelope func(to netip.AddrPort, message *wire.Envelope)

	sealer  *envelope.Sealer
	callers atomic.Uint32
	records []*wire.Record
}

// node is an instance with its role.
type node struct {
	instance *machine.Instance
	role     machine.Role
	stop     context.CancelFunc
}

func newTestCluster(t *testing.T) *testCluster {
	tc := &testCluster{g: NewWithT(t), t: t, privateSockets: make(map[netip.AddrPort]*socket), serviceSockets: make(map[*node]map[netip.AddrPort]*socket)}
	sealer, err := envelope.NewSealer(tc.keys(1, 1, 2))
	tc.g.Expect(err).NotTo(HaveOccurred())
	tc.sealer = sealer
	for i, name := range []string{"a", "b", "c"} {
		tc.setRecord(wire.Record_KIND_ZONE, name, uint64(i+1), &wire.Zone{Number: uint32(i + 1), Name: name})
	}
	return tc
}

func (tc *testCluster) keys(current keyring.Epoch, epochs ...keyring.Epoch) *keyring.Keyring {
	secrets := make(map[keyring.Epoch][]byte)
	for _, epoch := range epochs {
		secrets[epoch] = bytes.Repeat([]byte{byte(epoch)}, keyring.SecretBytes)
	}
	keys, err := keyring.New(current, secrets)
	tc.g.Expect(err).NotTo(HaveOccurred())
	return keys
}

// setRecord adds a record of control for nodes that are started later, and returns it for
// running nodes; see mergeRecords.
func (tc *testCluster) setRecord(kind wire.Record_Kind, key string, major uint64, value proto.Message) *wire.Record {
	data, err := proto.Marshal(value)
	tc.g.Expect(err).NotTo(HaveOccurred())
	record := &wire.Record{Kind: kind, Key: key, Major: major, Value: data}
	tc.records = append(tc.records, record)
	return record
}

// setDocument adds the service record of a document as setRecord does.
func (tc *testCluster) setDocument(name string, number uint32, major uint64, address, former, allow string) *wire.Record {
	document := fmt.Sprintf("[service]\nname = %s\naddress = %s\nversion = %d\n[endpoints]\nallow = %s\n", name, address, major, allow)
	return tc.setRecord(wire.Record_KIND_SERVICE, name, major, &wire.Service{Number: number, Version: major, Document: []byte(document), FormerAddress: former})
}

func (tc *testCluster) open(address netip.AddrPort, table map[netip.AddrPort]*socket, send func(*socket, packet, netip.AddrPort)) *socket {
	s := &socket{cluster: tc, address: address, send: send, queue: make(chan packet, queuePackets), closed: make(chan struct{})}
	s.release = func() {
		tc.mu.Lock()
		defer tc.mu.Unlock()
		if table[address] == s {
			delete(table, address)
		}
	}
	tc.mu.Lock()
	defer tc.mu.Unlock()
	table[address] = s
	return s
}

// sendPrivate delivers a datagram to an envelope or caller socket.
func (tc *testCluster) sendPrivate(_ *socket, p packet, to netip.AddrPort) {
	tc.mu.Lock()
	s, onEnvelope := tc.privateSockets[to], tc.onEnvelope
	tc.mu.Unlock()
	message := new(wire.Envelope)
	if onEnvelope != nil && tc.sealer.Open(p.data, message) == nil {
		onEnvelope(to, message)
	}
	if s != nil {
		s.deliver(p)
	}
}

// sendViaFabric delivers a caller's datagram to the next balancer of the fabric.
func (tc *testCluster) sendViaFabric(_ *socket, p packet, to netip.AddrPort) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.nextBalancer++
	if len(tc.fabricBalancers) == 0 {
		return
	}
	if s := tc.serviceSockets[tc.fabricBalancers[tc.nextBalancer%len(tc.fabricBalancers)]][to]; s != nil {
		s.deliver(p)
	}
}

func (tc *testCluster) newNode(name, zoneName string, s settings.Settings) *node {
	s.Instance, s.Zone = name, zoneName
	n := new(node)
	table := make(map[netip.AddrPort]*socket)
	n.instance = &machine.Instance{
		Settings:    &s,
		Log:         &log.Logger{Level: log.PanicLevel},
		Keys:        tc.keys(1, 1),
		Store:       exchange.NewStore(),
		Metrics:     prometheus.NewRegistry(),
		Lease:       zone.NewLeaseHolder(),
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	n.instance.Store.Merge(tc.records)
	n.instance.Lease.SetAppliedIndex(3)
	n.instance.Lease.UpdateLease(time.Now(), zone.Lease{Term: 1, ZoneIndex: 3, Duration: time.Hour})
	n.instance.ListenUDP = func(address netip.AddrPort) (machine.Socket, error) {
		if address == s.Balancer.Envelope || address == s.Agent.Envelope {
			return tc.open(address, tc.privateSockets, tc.sendPrivate), nil
		}
		return tc.open(address, table, tc.sendPrivate), nil
	}
	tc.mu.Lock()
	tc.serviceSockets[n] = table
	tc.mu.Unlock()
	return n
}

// run runs a role of the node until it is stopped.
func (tc *testCluster) run(n *node, role machine.Role) {
	ctx, cancel := context.WithCancel(context.Background())
	n.role = role
	ended := make(chan struct{})
	n.stop = func() { cancel(); <-ended }
	tc.t.Cleanup(n.stop)
	go func() {
		defer close(ended)
		_ = role.Run(ctx)
	}()
}

// kill stops an agent as a crash would: it sends nothing more to its callers.
func (tc *testCluster) kill(n *node) {
	tc.mu.Lock()
	tc.privateSockets[n.instance.Settings.Agent.Envelope].isMuted.Store(true)
	tc.mu.Unlock()
	n.stop()
}

// startBalancer starts a balancer. Tests add the records of its endpoints with
// mergeEndpointRecords.
func (tc *testCluster) startBalancer(i int) *node {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 7500)
	n := tc.newNode(fmt.Sprintf("balancer-%d", i), "a", settings.Settings{
		Role:     settings.RoleBalancer,
		Balancer: settings.Balancer{Delivery: settings.DeliveryServiceAddress, Envelope: address},
	})
	role, err := balancer.New(n.instance)
	tc.g.Expect(err).NotTo(HaveOccurred())
	tc.run(n, role)
	return n
}

func (tc *testCluster) setFabric(nodes ...*node) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.fabricBalancers = slices.Clone(nodes)
}

func agentAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(i)}), 7500)
}

// startAgent starts an agent and its endpoint.
func (tc *testCluster) startAgent(i int, service, zoneName string) *node {
	name := fmt.Sprintf("%s-agent-%d", service, i)
	server := httptest.NewServer(endpoint.New(name))
	tc.t.Cleanup(server.Close)
	announce := freeAddress(tc.g)
	n := tc.newNode(name, zoneName, settings.Settings{
		Role:  settings.RoleAgent,
		Agent: settings.Agent{Envelope: agentAddress(i), Announce: announce},
	})
	role, err := agent.New(n.instance)
	tc.g.Expect(err).NotTo(HaveOccurred())
	tc.run(n, role)
	text := fmt.Sprintf(`{"service":%q,"address":%q,"slots":50}`, service, strings.TrimPrefix(server.URL, "http://"))
	tc.g.Eventually(func() error {
		answer, err := http.Post("http://"+announce.String()+"/v1/endpoint", "application/json", strings.NewReader(text))
		if err == nil {
			answer.Body.Close()
		}
		return err
	}, waitTimeout).Should(Succeed())
	tc.g.Eventually(func() any { return n.endpoint() }, waitTimeout).ShouldNot(BeNil())
	return n
}

func freeAddress(g Gomega) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// endpoint returns the endpoint record that the agent has published, or nil.
func (n *node) endpoint() *wire.Record {
	return n.instance.Store.Get(wire.Record_KIND_ENDPOINT, n.instance.Settings.Instance)
}

// mergeRecords merges records into the stores of the nodes.
func mergeRecords(nodes []*node, records ...*wire.Record) {
	for _, n := range nodes {
		n.instance.Store.Merge(records)
	}
}

// counterValue returns the value of a counter of the node whose first label has the given
// value, or the sum over all label values if label is empty.
func (n *node) counterValue(name, label string) (total float64) {
	families, _ := n.instance.Metrics.Gather()
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.Metric {
			if label == "" || metric.Label[0].GetValue() == label {
				total += metric.Counter.GetValue()
			}
		}
	}
	return total
}

// flow is a caller with one connection at a time.
type flow struct {
	client *http.Client
	// dials counts the connections that the caller has opened.
	dials atomic.Int32
	conn  atomic.Pointer[quic.Conn]
	url   string
}

func (tc *testCluster) newFlow(address string) *flow {
	f := &flow{url: "https://" + address + "/name"}
	number := tc.callers.Add(1)
	local := tc.open(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)}), 4000), tc.privateSockets, tc.sendViaFabric)
	local.peer = netip.MustParseAddrPort(address)
	transport := &quic.Transport{Conn: local}
	roundTripper := &http3.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true},
		QUICConfig:      &quic.Config{MaxIdleTimeout: 30 * time.Second, HandshakeIdleTimeout: 2 * time.Second},
		Dial: func(ctx context.Context, _ string, tlsConfig *tls.Config, config *quic.Config) (*quic.Conn, error) {
			f.dials.Add(1)
			conn, err := transport.DialEarly(ctx, net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)), tlsConfig, config)
			f.conn.Store(conn)
			return conn, err
		},
	}
	tc.t.Cleanup(func() { roundTripper.Close(); local.Close(); transport.Close() })
	f.client = &http.Client{Transport: roundTripper, Timeout: waitTimeout}
	return f
}

// get requests the name of the endpoint.
func (f *flow) get() (string, error) {
	answer, err := f.client.Get(f.url)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return strings.TrimSpace(string(body)), err
}

// endpointName returns the name of the endpoint that the flow reaches.
func (f *flow) endpointName(g Gomega) string {
	name, err := f.get()
	g.Expect(err).NotTo(HaveOccurred())
	return name
}
