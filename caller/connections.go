package caller

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/quic-go/quic-go"
)

// connections knows every connection that was dialed. The HTTP/3 transport
// forgets a connection after GOAWAY or an error while requests still use it;
// such a connection is closed here once they have ended, since its pings would
// keep it for ever.
type connections struct {
	mu sync.Mutex
	// dialed holds the open connections by their local address; each has its own.
	dialed map[string]*connection
	// newest is the connection that the last request to each host got.
	newest map[string]*connection
}

type connection struct {
	quic closer
	host string
	// requests is how many use the connection.
	requests int
}

// closer is what is done to a QUIC connection here.
type closer interface {
	CloseWithError(code quic.ApplicationErrorCode, text string) error
}

func newConnections() *connections {
	return &connections{dialed: make(map[string]*connection), newest: make(map[string]*connection)}
}

// dial opens a connection from a fresh port, so that whatever lost track of
// an earlier one does not hold it up.
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

// acquire notes that a request uses the connection with a local address.
func (c *connections) acquire(local net.Addr) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.dialed[local.String()]
	if !ok {
		return func() {}
	}
	conn.requests++
	before := c.newest[conn.host]
	c.newest[conn.host] = conn
	c.closeUnused(before)
	return sync.OnceFunc(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		conn.requests--
		c.closeUnused(conn)
	})
}

// closeUnused closes a connection that no request uses and that later requests
// do not get. Where one still gets it, it has sent nothing and dials anew.
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
