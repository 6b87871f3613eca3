// Package link connects instances: yamux sessions over TCP, with TLS when the
// settings name certificates, and length-prefixed protobuf messages on them.
package link

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/zeebo/errs"

	"sassafrasturn.example/internal/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("link")

const (
	dialTimeout       = 2 * time.Second
	keepAliveInterval = time.Second
	writeTimeout      = 2 * time.Second
	acceptBacklog     = 64
)

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = writeTimeout
	config.LogOutput = io.Discard
	return config
}

// Dialer opens links to other instances.
type Dialer struct {
	// TLS is nil on a cluster without certificates.
	TLS *tls.Config
}

// Dial opens a link.
func (d *Dialer) Dial(ctx context.Context, address string) (*yamux.Session, error) {
	conn, err := d.dialConn(ctx, address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		conn.Close()
		return nil, Error.Wrap(err)
	}
	return session, nil
}

func (d *Dialer) dialConn(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if d.TLS == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	secure := &tls.Dialer{NetDialer: dialer, Config: d.TLS}
	return secure.DialContext(ctx, "tcp", address)
}

// Call opens a link, sends one request and returns its response.
func (d *Dialer) Call(ctx context.Context, address string, request *wire.Request) (*wire.Response, error) {
	session, err := d.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer session.Close()
	return CallOn(ctx, session, request)
}

// CallOn sends one request on an open link and returns its response.
func CallOn(ctx context.Context, session *yamux.Session, request *wire.Request) (*wire.Response, error) {
	stream, err := session.Open()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		if err := stream.SetDeadline(deadline); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	if err := WriteMessage(stream, request); err != nil {
		return nil, err
	}
	response := new(wire.Response)
	if err := ReadMessage(stream, response); err != nil {
		return nil, err
	}
	return response, nil
}

// Handler serves one stream; the request that opened it has been read. The
// stream is closed when the handler returns.
type Handler interface {
	ServeStream(ctx context.Context, request *wire.Request, stream net.Conn)
}

// Server accepts links.
type Server struct {
	// TLS is nil on a cluster without certificates.
	TLS     *tls.Config
	Handler Handler
}

// Serve accepts links until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return Error.Wrap(err)
		}
		go s.serveConn(ctx, conn)
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	if s.TLS != nil {
		conn = tls.Server(conn, s.TLS)
	}
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		conn.Close()
		return
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { session.Close() })
	defer stop()
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		go s.serveStream(ctx, stream)
	}
}

// requestTimeout bounds the wait for the request that opens a stream.
const requestTimeout = 5 * time.Second

func (s *Server) serveStream(ctx context.Context, stream net.Conn) {
	defer stream.Close()
	if stream.SetReadDeadline(time.Now().Add(requestTimeout)) != nil {
		return
	}
	request := new(wire.Request)
	if err := ReadMessage(stream, request); err != nil {
		return
	}
	if stream.SetReadDeadline(time.Time{}) != nil {
		return
	}
	s.Handler.ServeStream(ctx, request, stream)
}
