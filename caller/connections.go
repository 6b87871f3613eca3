package caller

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/quic-go/quic-go"
)

// connections tracks every open connection. After GOAWAY or an error the HTTP/3
// transport drops its reference to a connection while requests still use it.
// Such a connection is closed here once these requests have ended, since its
// keep-alive pings would hold it open forever.
type connections struct {
	mu sync.Mutex
	// dialed maps the local address, which is unique per connection, to the open
	// connection.
	dialed map[string]*connection
	// newest maps each host to the connection used by the latest request to it.
	newest map[string]*connection
}

type connection struct {
	quic closer
	host string
	// requests is the number of requests that use the connection.
	requests int
}

// closer is the part of quic.Conn that is used here.
type closer interface {
	CloseWithError(code quic.ApplicationErrorCode, text string) error
}

func newConnections() *connections {
	return &connections{dialed: make(map[string]*connection), newest: make(map[string]*connection)}
}

// dial opens a connection from a new local port, so that a stale path or flow
// entry of an earlier connection does not affect it.
func (c *connections) dial(ctx context.Context, address string, tlsConfig *tls.Config, config *quic.Config) (*quic.Conn, error) {
	conn, err := quic.DialAddr(ctx, address, tlsConfig, config)
	if err != nil {
		return nil, err
	}
	local := conn.LocalAddr()
	c.add(address, local, conn)
	context.AfterFunc(conn.Context(), func() { c.remove(local) })
	return conn, nil
}

func (c *connections) add(host string, local net.Addr, conn closer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialed[local.String()] = &connection{quic: conn, host: host}
}

func (c *connections) remove(local net.Addr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.dialed[local.String()]
	if !ok {
		return
	}
	delete(c.dialed, local.String())
	if c.newest[conn.host] == conn {
		delete(c.newest, conn.host)
	}
}

// acquire registers a request on the connection with the given local address
// and closes the connection that it replaces if that one is unused. The returned
// function ends the request's use of the connection.
func (c *connections) acquire(local net.Addr) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.dialed[local.String()]
	if !ok {
		return func() {}
	}
	conn.requests++
	previous := c.newest[conn.host]
	c.newest[conn.host] = conn
	c.closeUnused(previous)
	return sync.OnceFunc(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		conn.requests--
		c.closeUnused(conn)
	})
}

// closeUnused closes a connection that no request uses and that has been
// replaced for later requests. If a later request is still assigned to it, that
// request has sent nothing yet and dials a new connection.
func (c *connections) closeUnused(conn *connection) {
	if conn == nil || conn.requests > 0 || c.newest[conn.host] == conn {
		return
	}
	conn.quic.CloseWithError(0, "")
}

func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.dialed {
		conn.quic.CloseWithError(0, "")
	}
}
