package agent

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// inFlight counts the open connections, handshakes and running requests of an endpoint.
type inFlight struct {
	// flows is the number of open QUIC connections.
	flows atomic.Int64
	// handshakes is the number of open connections that the HTTP server does not serve yet.
	handshakes atomic.Int64
	// requests is the number of requests whose handler is running.
	requests atomic.Int64

	mu sync.Mutex
	// open holds the connections that the HTTP server serves.
	open map[*connection]struct{}
}

// connection is a served connection and the number of its running requests.
type connection struct {
	conn     *quic.Conn
	requests atomic.Int64
}

type connectionKey struct{}

// countConnection is the ConnContext of the HTTP server.
func (f *inFlight) countConnection(ctx context.Context, conn *quic.Conn) context.Context {
	c := &connection{conn: conn}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open == nil {
		f.open = make(map[*connection]struct{})
	}
	f.open[c] = struct{}{}
	context.AfterFunc(conn.Context(), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.open, c)
	})
	return context.WithValue(ctx, connectionKey{}, c)
}

// connections returns the connections that the HTTP server serves.
func (f *inFlight) connections() []*connection {
	f.mu.Lock()
	defer f.mu.Unlock()
	connections := make([]*connection, 0, len(f.open))
	for c := range f.open {
		connections = append(connections, c)
	}
	return connections
}

// countFlow is the ConnContext of the transport; ctx ends when the connection closes.
func (f *inFlight) countFlow(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	f.flows.Add(1)
	f.handshakes.Add(1)
	accepted := new(atomic.Bool)
	context.AfterFunc(ctx, func() {
		f.flows.Add(-1)
		if accepted.CompareAndSwap(false, true) {
			f.handshakes.Add(-1)
		}
	})
	return context.WithValue(ctx, acceptedKey{}, accepted), nil
}

type acceptedKey struct{}

// endHandshake records that the HTTP server now serves the connection.
func (f *inFlight) endHandshake(ctx context.Context) {
	accepted, ok := ctx.Value(acceptedKey{}).(*atomic.Bool)
	if ok && accepted.CompareAndSwap(false, true) {
		f.handshakes.Add(-1)
	}
}

// countRequests wraps a handler and counts the requests it is running.
func (f *inFlight) countRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.requests.Add(1)
		defer f.requests.Add(-1)
		if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
			c.requests.Add(1)
			defer c.requests.Add(-1)
		}
		handler.ServeHTTP(w, r)
	})
}
