// Package caller is the client side of sassafrasturn: an http.RoundTripper over
// HTTP/3.
//
// It keeps connections alive with pings, drops a connection that is silent for
// 4 s and dials a new one from a fresh port. It retries what may be retried
// within a budget, until the request's context ends.
//
// A request whose method is not idempotent, and one that the service document
// lists as non-idempotent, is sent with an Idempotency-Key that the transport
// fetches by itself. When its response is lost, the request is sent again with
// the same key, so that it runs at most once. An application that keeps a key
// of its own, from FetchKey, sets the header itself; the transport then never
// replaces that key.
//
// A request that got no response fails with an *Error, which says whether the
// request ran. An response that is a refusal of the system, and not the
// endpoint's response, is told by RefusalOf.
package caller

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/retry"
)

const (
	// keepAlivePeriod is the time between pings on a quiet connection.
	keepAlivePeriod = time.Second
	// silenceTimeout is how long a connection may be silent before it is dropped.
	silenceTimeout = 4 * time.Second
	// handshakeTimeout is how long a new connection may be silent.
	handshakeTimeout = 2 * time.Second
	// maxResponseHeaderBytes bounds the header of an response.
	maxResponseHeaderBytes = 128 << 10

	// TimeoutHeader carries the time until the response must begin, in
	// milliseconds. The transport sets it from the context's deadline.
	TimeoutHeader = "Request-Timeout"
	// KeyHeader carries an idempotency key as a quoted string.
	KeyHeader = "Idempotency-Key"
)

// Transport sends requests over HTTP/3. It is safe for concurrent use.
type Transport struct {
	roundTrip   func(*http.Request) (*http.Response, error)
	sleep       func(ctx context.Context, d time.Duration)
	budget      *retry.Budget
	connections *connections
	inner       io.Closer
}

// New returns a transport. A nil config means the system's certificates.
func New(config *tls.Config) *Transport {
	conns := newConnections()
	inner := &http3.Transport{
		TLSClientConfig: config,
		QUICConfig: &quic.Config{
			KeepAlivePeriod:      keepAlivePeriod,
			MaxIdleTimeout:       silenceTimeout,
			HandshakeIdleTimeout: handshakeTimeout,
		},
		Dial:                   conns.dial,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	t := newTransport(inner.RoundTrip)
	t.connections = conns
	t.inner = inner
	return t
}

// newTransport makes a transport over any way of sending one request once.
func newTransport(send func(*http.Request) (*http.Response, error)) *Transport {
	return &Transport{
		roundTrip:   send,
		sleep:       func(ctx context.Context, d time.Duration) { pause.For(ctx, d) },
		budget:      retry.NewBudget(retry.DefaultTokenRatio, retry.DefaultCapacity),
		connections: newConnections(),
	}
}

// RoundTrip sends a request. Its error is an *Error.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	e, err := newExchange(t, request)
	if err != nil {
		return nil, err
	}
	defer e.body.close()
	return e.run()
}

// Close ends all connections.
func (t *Transport) Close() error {
	t.connections.close()
	return t.inner.Close()
}
