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
	// maxConnections bounds the links that a server holds at a time.
	maxConnections = 8192
	// maxConnectionsPerHost bounds those from one IP address.
	maxConnectionsPerHost = 512
	// maxStreamsPerLink bounds the streams that are open on one link at a time.
	maxStreamsPerLink = 64
	// handshakeTimeout bounds the TLS handshake of an accepted link.
	handshakeTimeout = 5 * time.Second
	// requestTimeout bounds the wait for the request that opens a stream.
	requestTimeout = 5 * time.Second
	// acceptRetryDelay follows an accept that failed, for want of file descriptors for example.
	acceptRetryDelay = 50 * time.Millisecond
)

// Handler serves one stream; the request that opened it has been read. The
// stream is closed when the handler returns.
type Handler interface {
	ServeStream(ctx context.Context, request *wire.Request, stream net.Conn)
}

// Refusal says why a server took no link, no stream or no request.
type Refusal int

// Refusals.
const (
	RefusedTooManyLinks Refusal = iota
	RefusedHandshake
	RefusedTooManyStreams
	RefusedMalformed
	refusalCount
)

// RefusalNames lists every Refusal with its name.
var RefusalNames = map[Refusal]string{
	RefusedTooManyLinks:   "too-many-links",
	RefusedHandshake:      "handshake",
	RefusedTooManyStreams: "too-many-streams",
	RefusedMalformed:      "malformed",
}

// Server accepts links.
type Server struct {
	// TLS is nil on a cluster without certificates.
	TLS     *tls.Config
	Handler Handler

	refused [refusalCount]atomic.Uint64
	mu      sync.Mutex
	total   int
	perHost map[netip.Addr]int
}

// Refused returns how often the server refused for the reason.
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

// acquire counts a link of the host unless a bound is reached.
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

// handshake does the TLS handshake, within its time.
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
