// Package caller is the client side of sassafrasturn: an http.RoundTripper over
// HTTP/3 that notices silent connections.
package caller

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	// keepAlivePeriod is the time between pings on a quiet connection.
	keepAlivePeriod = time.Second
	// silenceTimeout is how long a connection may be silent before it is dropped.
	silenceTimeout = 4 * time.Second
)

// Transport sends requests over HTTP/3. It is safe for concurrent use.
type Transport struct {
	inner *http3.Transport
}

// New returns a transport. A nil config means the system's certificates.
func New(config *tls.Config) *Transport {
	return &Transport{inner: &http3.Transport{
		TLSClientConfig: config,
		QUICConfig: &quic.Config{
			KeepAlivePeriod: keepAlivePeriod,
			MaxIdleTimeout:  silenceTimeout,
		},
	}}
}

// RoundTrip sends one request.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	return t.inner.RoundTrip(request)
}

// Close ends all connections.
func (t *Transport) Close() error {
	return t.inner.Close()
}
