package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"

	"sassafrasturn.example/internal/admit"
	"sassafrasturn.example/internal/problem"
)

// copyBufferBytes is the size of one read of an endpoint's answer.
const copyBufferBytes = 32 << 10

// hopHeaders belong to one connection and are not passed on, RFC 9110 section 7.6.1.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// proxy passes requests to the endpoint and answers back.
type proxy struct {
	serving *serving
	address string
	client  *http.Transport
}

func newProxy(s *serving, announced *Announcement) *proxy {
	client := &http.Transport{
		MaxIdleConnsPerHost: s.doc.Load().Slots,
		DisableCompression:  true,
	}
	return &proxy{serving: s, address: announced.Address, client: client}
}

// ServeHTTP runs one request at the endpoint.
func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	slot, err := p.serving.limiter.Acquire(r.Context())
	if err != nil {
		p.count("refused")
		problem.Write(w, http.StatusServiceUnavailable, problem.RanNo, err.Error())
		return
	}
	answer, err := p.client.RoundTrip(p.outgoing(r.Context(), r))
	if err != nil {
		slot.Release(admit.OutcomeFailed)
		p.count("failed")
		problem.Write(w, http.StatusBadGateway, problem.RanUnknown, "the endpoint did not answer")
		return
	}
	defer answer.Body.Close()
	if p.serving.doc.Load().IsStreaming(r.Method, r.URL.Path) {
		slot.Release(admit.OutcomeAnswered)
	}
	defer slot.Release(admit.OutcomeAnswered)
	copyHeader(w.Header(), answer.Header)
	w.WriteHeader(answer.StatusCode)
	if err := copyBody(w, answer.Body); err != nil {
		p.count("truncated")
		// Resets the stream: a truncated answer must not look whole.
		panic(http.ErrAbortHandler)
	}
	p.count("answered")
}

func (p *proxy) count(outcome string) {
	p.serving.agent.metrics.requests.WithLabelValues(outcome).Inc()
}

func (p *proxy) outgoing(ctx context.Context, r *http.Request) *http.Request {
	out := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: p.address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery},
		Host:          r.Host,
		Header:        make(http.Header),
		Body:          r.Body,
		ContentLength: r.ContentLength,
	}
	copyHeader(out.Header, r.Header)
	return out.WithContext(ctx)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
}

// copyBody passes an answer on as it comes, so that event streams are not held up.
func copyBody(w http.ResponseWriter, body io.Reader) error {
	flusher, _ := w.(http.Flusher)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return Error.Wrap(writeErr)
			}
			if flusher != nil {
				flusher.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return Error.Wrap(err)
		}
	}
}
