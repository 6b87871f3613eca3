package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/internal/wire"
)

const testSettings = `[instance]
role = agent
name = agent
zone = a
[cluster]
keys = cluster.keys
[link]
listen = 127.0.0.1:1
[log]
level = error
[agent]
envelope = %s
announce = 127.0.0.1:0
`

const testRampAnswers = 8

// startAgent runs an agent whose store has the services "one" and "two".
func startAgent(t *testing.T) *Agent {
	g := NewWithT(t)
	folder := t.TempDir()
	port, err := net.ListenPacket("udp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := port.LocalAddr().String()
	g.Expect(port.Close()).To(Succeed())
	keys := "[keys]\ncurrent = 1\n1 = " + strings.Repeat("5a", 32) + "\n"
	g.Expect(os.WriteFile(filepath.Join(folder, "cluster.keys"), []byte(keys), 0o600)).To(Succeed())
	path := filepath.Join(folder, "agent.ini")
	g.Expect(os.WriteFile(path, fmt.Appendf(nil, testSettings, address), 0o600)).To(Succeed())
	s, err := settings.Load(path)
	g.Expect(err).NotTo(HaveOccurred())
	instance, err := machine.New(s)
	g.Expect(err).NotTo(HaveOccurred())
	merge(g, instance, wire.Record_KIND_ZONE, "a", &wire.Zone{Number: 1, Name: "a"})
	for i, name := range []string{"one", "two"} {
		document := fmt.Sprintf("[service]\nname = %s\naddress = 127.0.0.1:%d\n[endpoints]\nallow = 127.0.0.0/8\n[ramp]\nanswers = %d\n", name, 8443+i, testRampAnswers)
		merge(g, instance, wire.Record_KIND_SERVICE, name, &wire.Service{Number: uint32(i + 1), Document: []byte(document)})
	}
	a, err := New(instance)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go a.Run(ctx)
	return a
}

func merge(g *WithT, instance *machine.Instance, kind wire.Record_Kind, key string, value proto.Message) {
	data, err := proto.Marshal(value)
	g.Expect(err).NotTo(HaveOccurred())
	instance.Store.Merge([]*wire.Record{{Kind: kind, Key: key, Major: 1, Value: data}})
}

// startEndpoint starts an endpoint that answers every request with its name. It
// returns the server, its address and the number of requests received.
func startEndpoint(t *testing.T, name, address string) (server *http.Server, listen string, received *atomic.Int64) {
	received = new(atomic.Int64)
	listener, err := net.Listen("tcp", address)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		received.Add(1)
		fmt.Fprint(w, name)
	})}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return server, listener.Addr().String(), received
}

func announceAndWait(t *testing.T, a *Agent, service, address string) *serving {
	g := NewWithT(t)
	g.Expect(a.announce(&Announcement{Service: service, Address: address})).To(Succeed())
	g.Eventually(func() *serving { return currentServing(a) }).ShouldNot(BeNil())
	return currentServing(a)
}

func currentServing(a *Agent) *serving {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.serving
}

// relay simulates a balancer of one service. After the agent's first reply, it
// delays callers' datagrams by delay.
type relay struct {
	callers, agents *net.UDPConn
	delay           time.Duration
	candidates      [][]byte
	replied         chan struct{}
}

func startRelay(t *testing.T, a *Agent, service uint32, delay time.Duration, candidates ...[]byte) *relay {
	g := NewWithT(t)
	r := &relay{delay: delay, candidates: candidates, replied: make(chan struct{})}
	for _, conn := range []**net.UDPConn{&r.callers, &r.agents} {
		var err error
		*conn, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { (*conn).Close() })
	}
	go r.forward(a, service)
	go r.reply(a)
	return r
}

func (r *relay) forward(a *Agent, service uint32) {
	buffer := make([]byte, 4096)
	dialed := r.callers.LocalAddr().(*net.UDPAddr).AddrPort()
	for {
		n, caller, err := r.callers.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		message := &wire.Envelope{
			Kind: wire.Envelope_KIND_FORWARD, Service: service, Payload: buffer[:n],
			Caller: envelope.PackAddress(caller), Dialed: envelope.PackAddress(dialed),
			Candidates: r.candidates,
		}
		sealed, err := a.sealer.Seal(nil, message)
		if err != nil {
			return
		}
		send := func() { r.agents.WriteToUDPAddrPort(sealed, a.instance.Settings.Agent.Envelope) }
		select {
		case <-r.replied:
			time.AfterFunc(r.delay, send)
		default:
			send()
		}
	}
}

func (r *relay) reply(a *Agent) {
	buffer := make([]byte, 4096)
	for isFirst := true; ; isFirst = false {
		n, _, err := r.agents.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		message := new(wire.Envelope)
		if a.sealer.Open(buffer[:n], message) != nil {
			continue
		}
		caller, _ := envelope.UnpackAddress(message.Caller)
		r.callers.WriteToUDPAddrPort(message.Payload, netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port()))
		if isFirst {
			close(r.replied)
		}
	}
}

func (r *relay) url() string { return "https://" + r.callers.LocalAddr().String() + "/" }

func h3Client(t *testing.T) *http.Client {
	transport := &http3.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	t.Cleanup(func() { transport.Close() })
	return &http.Client{Transport: transport, Timeout: 3 * time.Second}
}

// fetch returns the status code and the body, separated by a space.
func fetch(client *http.Client, url string) (string, error) {
	answer, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return fmt.Sprintf("%d %s", answer.StatusCode, body), err
}

func TestDrainAnswersOrRejectsConcurrentRequests(t *testing.T) {
	g := NewWithT(t)
	a := startAgent(t)
	_, address, received := startEndpoint(t, "endpoint of one", "127.0.0.1:0")
	s := announceAndWait(t, a, "one", address)
	s.closeGrace = 500 * time.Millisecond
	r := startRelay(t, a, 1, 5*time.Millisecond)
	var wait sync.WaitGroup
	var answered, rejected atomic.Int64
	for range 20 {
		wait.Go(func() {
			for requestOnOwnConnection(t, r, &answered, &rejected) {
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	g.Expect(s.drain(t.Context())).To(BeTrue())
	wait.Wait()
	g.Expect(answered.Load()).To(BeNumerically(">", 0))
	g.Expect(received.Load()).To(Equal(answered.Load()), "requests run at the endpoint, compared with complete answers")
	t.Logf("answered %d, rejected %d", answered.Load(), rejected.Load())
}

// requestOnOwnConnection sends a request on a new connection. It returns false
// once the agent accepts no new flows. It fails the test if the request is
// neither answered completely nor rejected before it ran.
func requestOnOwnConnection(t *testing.T, r *relay, answered, rejected *atomic.Int64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	config := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}}
	conn, err := quic.DialAddr(ctx, r.callers.LocalAddr().String(), config, nil)
	if err != nil {
		return false
	}
	defer conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	request, err := http.NewRequest(http.MethodGet, r.url(), nil)
	if err != nil {
		t.Error(err)
		return false
	}
	answer, err := new(http3.Transport).NewClientConn(conn).RoundTrip(request)
	if err != nil {
		var reset *http3.Error
		isRejected := errors.As(err, &reset) && reset.ErrorCode == http3.ErrCodeRequestRejected
		if !isRejected && !strings.Contains(err.Error(), "graceful shutdown") {
			t.Errorf("neither answered nor rejected: %v", err)
		}
		rejected.Add(1)
		return true
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil || string(body) != "endpoint of one" {
		t.Errorf("answer truncated: %q, %v", body, err)
	}
	answered.Add(1)
	return true
}

func TestDrainClosesIdleConnectionsWithoutError(t *testing.T) {
	g := NewWithT(t)
	a := startAgent(t)
	_, address, _ := startEndpoint(t, "endpoint of one", "127.0.0.1:0")
	s := announceAndWait(t, a, "one", address)
	s.closeGrace = 100 * time.Millisecond
	r := startRelay(t, a, 1, 0)
	// A caller that ignores GOAWAY.
	config := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}}
	conn, err := quic.DialAddr(t.Context(), r.callers.LocalAddr().String(), config, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.drain(t.Context())).To(BeTrue())
	g.Eventually(conn.Context().Done()).Should(BeClosed())
	var closed *quic.ApplicationError
	g.Expect(errors.As(context.Cause(conn.Context()), &closed)).To(BeTrue())
	g.Expect(closed.ErrorCode).To(Equal(quic.ApplicationErrorCode(http3.ErrCodeNoError)))
}

func TestDrainForwardsNewFlowsUntilBalancersAreUpdated(t *testing.T) {
	g := NewWithT(t)
	a := startAgent(t)
	_, address, _ := startEndpoint(t, "endpoint of one", "127.0.0.1:0")
	announceAndWait(t, a, "one", address)
	next, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { next.Close() })
	r := startRelay(t, a, 1, 0, envelope.PackAddress(next.LocalAddr().(*net.UDPAddr).AddrPort()))
	drained := make(chan bool, 1)
	go func() { drained <- a.drainEndpoint(t.Context(), "test") }()
	// Nothing is in flight, but a balancer's view may still be stale.
	time.Sleep(propagationTime / 2)
	go fetch(h3Client(t), r.url())
	g.Expect(next.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
	buffer := make([]byte, 4096)
	n, err := next.Read(buffer)
	g.Expect(err).NotTo(HaveOccurred(), "the flow was not forwarded")
	forwarded := new(wire.Envelope)
	g.Expect(a.sealer.Open(buffer[:n], forwarded)).To(Succeed())
	g.Expect(forwarded.Hop).To(Equal(uint32(1)))
	g.Expect(forwarded.Candidates).To(BeEmpty(), "the draining agent must not add itself as a candidate")
	g.Expect(<-drained).To(BeTrue())
}

func TestReplacementServiceReceivesNoEarlierRequests(t *testing.T) {
	g := NewWithT(t)
	a := startAgent(t)
	_, first, _ := startEndpoint(t, "endpoint of one", "127.0.0.1:0")
	announceAndWait(t, a, "one", first)
	one, two := startRelay(t, a, 1, 0), startRelay(t, a, 2, 0)
	old := h3Client(t)
	g.Expect(fetch(old, one.url())).To(Equal("200 endpoint of one"))
	_, second, received := startEndpoint(t, "endpoint of two", "127.0.0.1:0")
	g.Expect(a.announce(&Announcement{Service: "two", Address: second})).To(Succeed())
	body, err := fetch(old, one.url())
	g.Expect(err).To(HaveOccurred(), body)
	g.Expect(received.Load()).To(BeZero())
	g.Eventually(func() (string, error) {
		return fetch(h3Client(t), two.url())
	}).Should(Equal("200 endpoint of two"))
}

func TestReusedPortReceivesNoRequests(t *testing.T) {
	g := NewWithT(t)
	a := startAgent(t)
	server, address, _ := startEndpoint(t, "endpoint of one", "127.0.0.1:0")
	s := announceAndWait(t, a, "one", address)
	r := startRelay(t, a, 1, 0)
	client := h3Client(t)
	g.Expect(fetch(client, r.url())).To(Equal("200 endpoint of one"))
	g.Expect(server.Close()).To(Succeed())
	g.Eventually(s.acceptsFlows.Load).Should(BeFalse(), "endpoint stopped without draining")
	_, _, received := startEndpoint(t, "endpoint of two", address)
	g.Expect(fetch(client, r.url())).To(HavePrefix("503"))
	g.Expect(received.Load()).To(BeZero())
	g.Expect(a.announce(&Announcement{Service: "one", Address: address})).To(Succeed())
	g.Expect(fetch(client, r.url())).To(Equal("200 endpoint of two"), "after the new endpoint has announced itself")
}

func TestLongBodiesDoNotLowerLimit(t *testing.T) {
	g := NewWithT(t)
	a := startAgent(t)
	var isLong atomic.Bool
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		w.(http.Flusher).Flush()
		if isLong.Load() {
			time.Sleep(300 * time.Millisecond)
		}
		fmt.Fprint(w, "complete")
	}))
	t.Cleanup(endpoint.Close)
	s := announceAndWait(t, a, "one", endpoint.Listener.Addr().String())
	r, client := startRelay(t, a, 1, 0), h3Client(t)
	for range 2 * testRampAnswers {
		g.Expect(fetch(client, r.url())).To(Equal("200 complete"))
	}
	before := s.limiter.Load().Slots
	g.Expect(before).To(BeNumerically(">", 1))
	isLong.Store(true)
	for range 5 {
		g.Expect(fetch(client, r.url())).To(Equal("200 complete"))
	}
	g.Expect(s.limiter.Load().Slots).To(Equal(before))
}
