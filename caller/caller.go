// Package caller is the client side of sassafrasturn: an http.RoundTripper over
// HTTP/3.
//
// It keeps connections alive with pings. A connection on which nothing has been
// received for 4 s is closed, and a new one is dialed from a new local port.
// Requests that are safe to retry are retried within a retry budget until their
// context ends.
//
// A request whose method is not idempotent, and one that the service document
// lists as non-idempotent, is sent with an Idempotency-Key that the transport
// fetches itself. If the response is lost, the request is sent again with the
// same key, so that it runs at most once. An application that stores keys itself
// obtains one with FetchKey and sets the header; the transport never replaces a
// key that the application has set.
//
// A request without a response fails with an *Error, which reports whether the
// request ran. RefusalOf distinguishes a refusal by the load balancer from a
// response of the endpoint.
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
	// keepAlivePeriod is the time between pings on an idle connection.
	keepAlivePeriod = time.Second
	// silenceTimeout is the time without a received packet after which a
	// connection is closed.
	silenceTimeout = 4 * time.Second
	// handshakeTimeout is the time without a received packet after which a
	// handshake fails.
	handshakeTimeout = 2 * time.Second
	// maxResponseHeaderBytes limits the header of a response.
	maxResponseHeaderBytes = 128 << 10

	// TimeoutHeader carries the time within which the response must begin, in
	// milliseconds. The transport sets it from the deadline of the request's
	// context, unless the application has set it.
	TimeoutHeader = "Request-Timeout"
	// KeyHeader carries an idempotency key as a quoted string.
	KeyHeader = "Idempotency-Key"
)

// Transport is an http.RoundTripper that sends requests over HTTP/3. It is safe
// for concurrent use.
type Transport struct {
	roundTrip   func(*http.Request) (*http.Response, error)
	sleep       func(ctx context.Context, d time.Duration)
	budget      *retry.Budget
	connections *connections
	inner       io.Closer
}

// New returns a transport that uses the given TLS configuration. With a nil
// config, servers are verified against the root certificates of the host.
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

// newTransport returns a transport that calls send for each attempt to send a
// request.
func newTransport(send func(*http.Request) (*http.Response, error)) *Transport {
	return &Transport{
		roundTrip:   send,
		sleep:       func(ctx context.Context, d time.Duration) { pause.For(ctx, d) },
		budget:      retry.NewBudget(retry.DefaultTokenRatio, retry.DefaultCapacity),
		connections: newConnections(),
	}
}

// RoundTrip sends a request, with retries where they are safe, and returns the
// response. An error is always an *Error.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	e, err := newExchange(t, request)
	if err != nil {
		return nil, err
	}
	defer e.body.close()
	return e.run()
}

// Close closes all connections. Requests in flight fail.
func (t *Transport) Close() error {
	t.connections.close()
	return t.inner.Close()
}
