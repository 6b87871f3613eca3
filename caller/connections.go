package caller

import (
	"context"
	"crypto/tls"
	"sync"

	"github.com/quic-go/quic-go"
)

// connections knows every connection that was dialed. The HTTP/3 transport
// forgets a connection after GOAWAY or an error while other requests still use
// it; it is closed here once they have ended, since its pings would keep it
// for ever.
//
// Connections of a host are numbered in the order of dialing. A request that
// began when connection n was the newest uses none before n.
type connections struct {
	mu    sync.Mutex
	hosts map[string]*hostConnections
}

type hostConnections struct {
	newest int
	dialed map[int]*quic.Conn
	// open counts requests by the newest connection at their beginning.
	open map[int]int
}

func newConnections() *connections {
	return &connections{hosts: make(map[string]*hostConnections)}
}

func (c *connections) hostLocked(name string) *hostConnections {
	host, ok := c.hosts[name]
	if !ok {
		host = &hostConnections{dialed: make(map[int]*quic.Conn), open: make(map[int]int)}
		c.hosts[name] = host
	}
	return host
}

// dial opens a connection from a fresh port, so that whatever lost track of
// an earlier one does not hold it up.
func (c *connections) dial(ctx context.Context, address string, tlsConfig *tls.Config, config *quic.Config) (*quic.Conn, error) {
	conn, err := quic.DialAddr(ctx, address, tlsConfig, config)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	host := c.hostLocked(address)
	host.newest++
	host.dialed[host.newest] = conn
	host.sweep()
	return conn, nil
}

// begin notes a request; the returned function notes its end.
func (c *connections) begin(address string) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	host := c.hostLocked(address)
	number := host.newest
	host.open[number]++
	return sync.OnceFunc(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		host.open[number]--
		if host.open[number] == 0 {
			delete(host.open, number)
		}
		host.sweep()
	})
}

// sweep closes connections that no request can still use.
func (h *hostConnections) sweep() {
	oldest := h.newest
	for number := range h.open {
		oldest = min(oldest, number)
	}
	for number, conn := range h.dialed {
		if number < oldest || conn.Context().Err() != nil {
			conn.CloseWithError(0, "")
			delete(h.dialed, number)
		}
	}
}

func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, host := range c.hosts {
		for _, conn := range host.dialed {
			conn.CloseWithError(0, "")
		}
	}
}
