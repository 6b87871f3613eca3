package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"sassafrasturn.example/internal/wire"
)

const (
	// maxConnections limits the links that are open on a server at a time.
	maxConnections = 8192
	// maxConnectionsPerHost limits the open links from one IP address.
	maxConnectionsPerHost = 512
	// maxStreamsPerLink limits the streams that are open on one link at a time.
	maxStreamsPerLink = 64
	// handshakeTimeout limits the TLS handshake of an accepted link.
	handshakeTimeout = 5 * time.Second
	// requestTimeout limits the wait for the request at the start of a stream.
	requestTimeout = 5 * time.Second
	// acceptRetryDelay is the delay after a failed accept, for example for lack of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
)

// Handler serves streams. ServeStream receives the request that was read from the
// start of the stream. The stream is closed when ServeStream returns.
type Handler interface {
	ServeStream(ctx context.Context, request *wire.Request, stream net.Conn)
}

// Refusal is the reason why a server refused a link, a stream or a request.
type Refusal int

// Reasons for refusals.
const (
	RefusedTooManyLinks Refusal = iota
	RefusedHandshake
	RefusedTooManyStreams
	RefusedMalformed
	refusalCount
)

// RefusalNames holds the name of every Refusal in metrics.
var RefusalNames = map[Refusal]string{
	RefusedTooManyLinks:   "too-many-links",
	RefusedHandshake:      "handshake",
	RefusedTooManyStreams: "too-many-streams",
	RefusedMalformed:      "malformed",
}

// Server accepts links and passes their streams to Handler.
type Server struct {
	// TLS is nil on a cluster without certificates.
	TLS     *tls.Config
	Handler Handler

	refused [refusalCount]atomic.Uint64
	mu      sync.Mutex
	total   int
	perHost map[netip.Addr]int
}

// Refused returns the number of refusals for the reason.
func (s *Server) Refused(reason Refusal) uint64 {
	return s.refused[reason].Load()
}

// Serve accepts links until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.serveConn(ctx, conn)
	}
}

// acquire counts a new link from host. It returns false if a limit is reached.
func (s *Server) acquire(host netip.Addr) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.perHost == nil {
		s.perHost = make(map[netip.Addr]int)
	}
	if s.total >= maxConnections || s.perHost[host] >= maxConnectionsPerHost {
		s.refused[RefusedTooManyLinks].Add(1)
		return false
	}
	s.total++
	s.perHost[host]++
	return true
}

func (s *Server) release(host netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total--
	s.perHost[host]--
	if s.perHost[host] == 0 {
		delete(s.perHost, host)
	}
}

func hostOf(conn net.Conn) netip.Addr {
	address, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr()
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	host := hostOf(conn)
	if !s.acquire(host) {
		return
	}
	defer s.release(host)
	secured, err := s.handshake(ctx, conn)
	if err != nil {
		s.refused[RefusedHandshake].Add(1)
		return
	}
	session, err := yamux.Server(secured, sessionConfig())
	if err != nil {
		return
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { session.Close() })
	defer stop()
	s.serveSession(ctx, session)
}

// handshake performs the TLS handshake within handshakeTimeout. Without TLS it
// returns conn unchanged.
func (s *Server) handshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if s.TLS == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	secured := tls.Server(conn, s.TLS)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, Error.Wrap(err)
	}
	return secured, nil
}

func (s *Server) serveSession(ctx context.Context, session *yamux.Session) {
	var openStreams atomic.Int32
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		if openStreams.Add(1) > maxStreamsPerLink {
			openStreams.Add(-1)
			s.refused[RefusedTooManyStreams].Add(1)
			stream.Close()
			continue
		}
		go func() {
			defer openStreams.Add(-1)
			s.serveStream(ctx, stream)
		}()
	}
}

func (s *Server) serveStream(ctx context.Context, stream net.Conn) {
	defer stream.Close()
	if stream.SetReadDeadline(time.Now().Add(requestTimeout)) != nil {
		return
	}
	request := new(wire.Request)
	if err := ReadMessage(stream, request); err != nil {
		s.refused[RefusedMalformed].Add(1)
		return
	}
	if stream.SetReadDeadline(time.Time{}) != nil {
		return
	}
	s.Handler.ServeStream(ctx, request, stream)
}
