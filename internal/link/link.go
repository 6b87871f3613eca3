// Package link connects instances: it exchanges length-prefixed protobuf messages
// on yamux sessions over TCP, with TLS if certificates are configured.
package link

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/zeebo/errs"

	"sassafrasturn.example/internal/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("link")

const (
	dialTimeout       = 2 * time.Second
	keepAliveInterval = 5 * time.Second
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

// Dial opens a link to the instance at address.
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

// IsClosed reports whether err means that the link was closed before the response
// arrived, as a server with TLS does to a client without. The error depends on the
// stage of the request, because yamux returns errors of the connection unchanged.
func IsClosed(err error) bool {
	for _, closed := range []error{
		yamux.ErrStreamClosed, yamux.ErrSessionShutdown, yamux.ErrConnectionReset,
		io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, syscall.EPIPE, syscall.ECONNRESET,
	} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}
