package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"sassafrasturn.example/internal/admit"
	"sassafrasturn.example/internal/contract"
	"sassafrasturn.example/internal/decisionlog"
	"sassafrasturn.example/internal/keyring"
	"sassafrasturn.example/internal/link"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/problem"
	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/internal/wire"
)

const testDocument = `[service]
name = order-desk
address = 10.0.0.1:8443

[endpoints]
allow = 127.0.0.0/8
slots = 2

[requests]
non_idempotent = POST /orders, POST /quotes/*, GET /checkout
streaming = GET /board

[limits]
queue = 1
request_timeout = 2s
`

// proxyFixture is the proxy of an agent with a link server, in front of an endpoint.
type proxyFixture struct {
	*proxy
	agent *Agent
}

// newProxyFixture returns a proxy of the instance called name to the endpoint at an address.
func newProxyFixture(t testing.TB, name, endpoint string) *proxyFixture {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	keys, err := keyring.New(1, map[keyring.Epoch][]byte{1: bytes.Repeat([]byte{7}, keyring.SecretBytes)})
	g.Expect(err).NotTo(HaveOccurred())
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	instance := &machine.Instance{
		Settings:    &settings.Settings{Instance: name, Link: settings.Link{Listen: netip.MustParseAddrPort(listener.Addr().String())}},
		Log:         logger,
		Decisions:   decisionlog.New(logger, 0),
		Keys:        keys,
		Dialer:      &link.Dialer{},
		Metrics:     prometheus.NewRegistry(),
		Incarnation: uint64(time.Now().UnixNano()),
	}
	doc, err := contract.Parse("test", []byte(testDocument))
	g.Expect(err).NotTo(HaveOccurred())
	a := &Agent{instance: instance, metrics: newMetrics(instance.Metrics)}
	s := &serving{agent: a, number: 1, limiter: admit.NewLimiter(admit.Ramp{Start: doc.Slots, Answers: 1, Slots: doc.Slots}, doc.Queue, func(bool) {})}
	s.doc.Store(doc)
	s.proxy, err = newProxy(s, &Announcement{Address: endpoint})
	g.Expect(err).NotTo(HaveOccurred())
	a.serving = s
	server := &link.Server{Handler: linkHandler{a}}
	go server.Serve(t.Context(), listener)
	return &proxyFixture{proxy: s.proxy, agent: a}
}

type linkHandler struct{ agent *Agent }

func (h linkHandler) ServeStream(ctx context.Context, request *wire.Request, stream net.Conn) {
	h.agent.ServeStream(ctx, request, stream)
}

// do sends a request through the proxy, with a key if it is not empty; isReset
// reports whether the stream was reset.
func (f *proxyFixture) do(r *http.Request, key string) (recorder *httptest.ResponseRecorder, isReset bool) {
	if key != "" {
		r.Header.Set(keyHeader, key)
	}
	recorder = httptest.NewRecorder()
	defer func() {
		if cause := recover(); cause != nil {
			isReset = cause == http.ErrAbortHandler
		}
	}()
	f.ServeHTTP(recorder, r)
	return recorder, false
}

func newOrder(body string) *http.Request {
	return httptest.NewRequest(http.MethodPost, "/orders", strings.NewReader(body))
}

// fetchKey returns the key that the proxy issues in its refusal of an order without one.
func (f *proxyFixture) fetchKey(t *testing.T) string {
	answer, _ := f.do(newOrder("order"), "")
	NewWithT(t).Expect(answer.Code).To(Equal(http.StatusPreconditionRequired))
	return answer.Header().Get(keyHeader)
}

func ranOf(t *testing.T, answer *httptest.ResponseRecorder) problem.Ran {
	details, err := problem.Read(answer.Body)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return details.Ran
}

// orderEndpoint counts the requests that it receives, by body.
type orderEndpoint struct {
	handle func(w http.ResponseWriter, r *http.Request)

	mu   sync.Mutex
	runs map[string]int
}

func startOrderEndpoint(t *testing.T, handle func(w http.ResponseWriter, r *http.Request)) (*orderEndpoint, string) {
	e := &orderEndpoint{handle: handle, runs: make(map[string]int)}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return e, server.Listener.Addr().String()
}

func (e *orderEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	e.runs[string(body)]++
	e.mu.Unlock()
	if e.handle != nil {
		e.handle(w, r)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	io.WriteString(w, "done "+string(body))
}

func (e *orderEndpoint) total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := 0
	for _, count := range e.runs {
		sum += count
	}
	return sum
}

// startRawEndpoint starts a TCP server that passes each connection to answer. It
// returns its address and a function that returns the number of connections.
func startRawEndpoint(t *testing.T, answer func(conn net.Conn)) (address string, accepted func() int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { listener.Close() })
	var mu sync.Mutex
	count := 0
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			count++
			mu.Unlock()
			go answer(conn)
		}
	}()
	return listener.Addr().String(), func() int { mu.Lock(); defer mu.Unlock(); return count }
}
