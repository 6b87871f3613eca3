package caller

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// startServer serves HTTP/3 on loopback. The returned client configuration
// accepts the server's certificate.
func startServer(t *testing.T, config *quic.Config, handler http.Handler) (server *http3.Server, address string, client *tls.Config) {
	g := NewWithT(t)
	certificates := httptest.NewTLSServer(nil)
	t.Cleanup(certificates.Close)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	server = &http3.Server{Handler: handler, QUICConfig: config, TLSConfig: http3.ConfigureTLSConfig(&tls.Config{Certificates: certificates.TLS.Certificates})}
	go server.Serve(conn)
	t.Cleanup(func() { server.Close(); conn.Close() })
	roots := x509.NewCertPool()
	roots.AddCert(certificates.Certificate())
	return server, conn.LocalAddr().String(), &tls.Config{RootCAs: roots, ServerName: "example.com"}
}

// relay forwards datagrams between callers and a server. It can block all
// callers that it has seen so far, while new ones are still served.
type relay struct {
	conn   *net.UDPConn
	server netip.AddrPort

	mu      sync.Mutex
	sockets map[netip.AddrPort]*net.UDPConn
	blocked map[netip.AddrPort]bool
}

func startRelay(t *testing.T, server string) *relay {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	r := &relay{conn: conn, server: netip.MustParseAddrPort(server), sockets: make(map[netip.AddrPort]*net.UDPConn), blocked: make(map[netip.AddrPort]bool)}
	t.Cleanup(func() {
		conn.Close()
		r.blockKnownCallers()
	})
	go r.run()
	return r
}

func (r *relay) run() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		out := r.sockets[from]
		if out == nil && !r.blocked[from] {
			out, _ = net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(r.server))
			r.sockets[from] = out
			go r.relayReplies(out, from)
		}
		r.mu.Unlock()
		if out != nil {
			out.Write(buffer[:n])
		}
	}
}

func (r *relay) relayReplies(out *net.UDPConn, to netip.AddrPort) {
	buffer := make([]byte, 2048)
	for {
		n, err := out.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		r.conn.WriteToUDPAddrPort(buffer[:n], to)
	}
}

// blockKnownCallers drops all datagrams to and from the callers seen so far.
func (r *relay) blockKnownCallers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for from, out := range r.sockets {
		r.blocked[from] = true
		out.Close()
		delete(r.sockets, from)
	}
}

// detectionTimeout is the required bound, "within seconds", for detecting a
// connection on which nothing is received.
const detectionTimeout = 8 * time.Second

// TestSilentConnectionIsReplaced blocks the path of a connection permanently
// between two requests. The second request must succeed on a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	_, address, config := startServer(t, nil, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "complete")
	}))
	try := func(transport http.RoundTripper, path *relay) error {
		client := &http.Client{Transport: transport, Timeout: detectionTimeout}
		url := "https://" + path.conn.LocalAddr().String() + "/"
		for i := range 2 {
			response, err := client.Get(url)
			if err != nil {
				return err
			}
			body, err := io.ReadAll(response.Body)
			response.Body.Close()
			if err != nil || string(body) != "complete" {
				return fmt.Errorf("%q: %w", body, err)
			}
			if i == 0 {
				path.blockKnownCallers()
			}
		}
		return nil
	}
	// The naive variant is the unmodified HTTP/3 transport.
	for _, isNaive := range []bool{true, false} {
		t.Run(fmt.Sprintf("naive %t", isNaive), func(t *testing.T) {
			t.Parallel()
			if isNaive {
				stock := &http3.Transport{TLSClientConfig: config}
				defer stock.Close()
				NewWithT(t).Expect(try(stock, startRelay(t, address))).To(HaveOccurred())
				return
			}
			transport := New(config)
			defer transport.Close()
			NewWithT(t).Expect(try(transport, startRelay(t, address))).To(Succeed())
		})
	}
}

// TestGoAwayMovesRequestsToNewConnection checks that after GOAWAY a request in
// flight completes on the old connection, the next request uses a new one, and
// the old one is closed afterwards.
func TestGoAwayMovesRequestsToNewConnection(t *testing.T) {
	g := NewWithT(t)
	began, release := make(chan struct{}), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			w.(http.Flusher).Flush()
			close(began)
			<-release
		}
		io.WriteString(w, r.RemoteAddr)
	})
	first, address, config := startServer(t, nil, handler)
	// The second server has a different certificate.
	config.InsecureSkipVerify = true
	target := startRelay(t, address)
	transport := New(config)
	defer transport.Close()
	client := &http.Client{Transport: transport, Timeout: detectionTimeout}
	get := func(path string) *http.Response {
		response, err := client.Get("https://" + target.conn.LocalAddr().String() + path)
		g.Expect(err).NotTo(HaveOccurred())
		return response
	}
	slow := get("/slow")
	<-began
	down := make(chan error)
	go func() { down <- first.Shutdown(t.Context()) }()
	_, second, _ := startServer(t, nil, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "second")
	}))
	target.redirect(second)
	// Until GOAWAY arrives, requests still go to the first server.
	g.Eventually(func() string {
		response := get("/next")
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(HaveOccurred())
		return string(body)
	}, detectionTimeout).Should(Equal("second"))
	close(release)
	body, err := io.ReadAll(slow.Body)
	slow.Body.Close()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).NotTo(BeEmpty())
	g.Expect(<-down).To(Succeed())
}

// redirect forwards the datagrams of new callers to another server.
func (r *relay) redirect(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server = netip.MustParseAddrPort(server)
}

func TestCancellationReachesTheServer(t *testing.T) {
	g := NewWithT(t)
	began, ended := make(chan string, 1), make(chan struct{})
	_, address, config := startServer(t, nil, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		began <- r.Header.Get(TimeoutHeader)
		<-r.Context().Done()
		close(ended)
	}))
	transport := New(config)
	defer transport.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+address+"/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	var timeout string
	go func() { timeout = <-began; cancel() }()
	_, err = transport.RoundTrip(r)
	var failed *Error
	g.Expect(errors.As(err, &failed)).To(BeTrue())
	g.Expect(failed.Ran).To(Equal(RanUnknown))
	g.Expect(errors.Is(err, context.Canceled)).To(BeTrue())
	<-ended
	g.Expect(timeout).To(MatchRegexp("^[0-9]{1,5}$"))
}

func TestUnreachableServerReportsNotRun(t *testing.T) {
	g := NewWithT(t)
	silent, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	defer silent.Close()
	transport := New(&tls.Config{InsecureSkipVerify: true})
	defer transport.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		r, err := http.NewRequestWithContext(ctx, method, "https://"+silent.LocalAddr().String()+"/", nil)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = transport.RoundTrip(r)
		var failed *Error
		g.Expect(errors.As(err, &failed)).To(BeTrue())
		g.Expect(failed.Ran).To(Equal(RanNo))
		g.Expect(failed.Timeout()).To(BeTrue())
	}
}

// agentIdleTimeout is the agent's timeout for a flow on which nothing is
// received. The shorter timeout of the two ends applies.
const agentIdleTimeout = 30 * time.Second

// TestServerDetectsLostCaller blocks a caller's path while its request runs. The
// server must cancel the request in time, or flows and requests of lost callers
// accumulate.
func TestServerDetectsLostCaller(t *testing.T) {
	t.Parallel()
	try := func(t *testing.T, transport func(*tls.Config) http.RoundTripper) bool {
		began, ended := make(chan struct{}, 1), make(chan struct{}, 1)
		_, address, config := startServer(t, &quic.Config{MaxIdleTimeout: agentIdleTimeout}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			began <- struct{}{}
			<-r.Context().Done()
			ended <- struct{}{}
		}))
		path := startRelay(t, address)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+path.conn.LocalAddr().String()+"/", nil)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		go transport(config).RoundTrip(r)
		<-began
		path.blockKnownCallers()
		select {
		case <-ended:
			return true
		case <-time.After(detectionTimeout):
			return false
		}
	}
	t.Run("stock transport", func(t *testing.T) {
		t.Parallel()
		NewWithT(t).Expect(try(t, func(config *tls.Config) http.RoundTripper {
			return &http3.Transport{TLSClientConfig: config, QUICConfig: &quic.Config{MaxIdleTimeout: agentIdleTimeout}}
		})).To(BeFalse())
	})
	t.Run("package caller", func(t *testing.T) {
		t.Parallel()
		NewWithT(t).Expect(try(t, func(config *tls.Config) http.RoundTripper { return New(config) })).To(BeTrue())
	})
}

type fakeConn struct{ isClosed bool }

func (f *fakeConn) CloseWithError(quic.ApplicationErrorCode, string) error {
	f.isClosed = true
	return nil
}

// TestReplacedConnectionsAreClosedWhenIdle checks that a connection is closed
// once another one has replaced it and its last request has ended, never before.
func TestReplacedConnectionsAreClosedWhenIdle(t *testing.T) {
	g := NewWithT(t)
	c := newConnections()
	address := func(port int) net.Addr { return &net.UDPAddr{Port: port} }
	conns := make([]fakeConn, 3)
	for i := range conns {
		c.add("host", address(i), &conns[i])
	}
	isClosed := func() []bool { return []bool{conns[0].isClosed, conns[1].isClosed, conns[2].isClosed} }
	long := c.acquire(address(0))
	c.acquire(address(0))()
	g.Expect(isClosed()).To(Equal([]bool{false, false, false}), "no other connection is in use")
	c.acquire(address(1))()
	g.Expect(isClosed()).To(Equal([]bool{false, false, false}), "a request still runs on the first connection")
	c.acquire(address(2))()
	g.Expect(isClosed()).To(Equal([]bool{false, true, false}))
	long()
	g.Expect(isClosed()).To(Equal([]bool{true, true, false}))
	c.remove(address(2))
	c.acquire(address(2))()
	g.Expect(isClosed()).To(Equal([]bool{true, true, false}))
}
