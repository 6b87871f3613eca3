package agent

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"sassafrasturn.example/internal/contract"
)

const (
	// timeoutHeader carries the time within which the answer must begin, in
	// milliseconds. The endpoint receives the remaining time.
	timeoutHeader = "Request-Timeout"
	// maxTimeout limits the timeout that a caller may request.
	maxTimeout = time.Hour
	// maxRequestHeaderBytes limits the header of a caller's request.
	maxRequestHeaderBytes = 64 << 10
	// maxDecodings limits how many times a path is percent-decoded for matching.
	maxDecodings = 4
)

// hopByHopHeaders apply to one connection and are not forwarded (RFC 9110 section 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// overrideHeaders override the request method at some endpoints.
var overrideHeaders = []string{"X-Http-Method-Override", "X-Http-Method", "X-Method-Override"}

// checkRequest rejects requests that cannot be forwarded to an HTTP/1.1 endpoint.
func checkRequest(r *http.Request) error {
	if r.Method != strings.ToUpper(r.Method) {
		return Error.New("method: found %q, allowed: upper-case letters", r.Method)
	}
	if r.Method == http.MethodConnect {
		return Error.New("method: found CONNECT, allowed: any other method")
	}
	if !strings.HasPrefix(r.URL.Path, "/") && r.URL.Path != "*" {
		return Error.New("path: found %q, allowed: a path that begins with /", r.URL.Path)
	}
	return nil
}

// timeoutOf returns how long the answer may take to begin: the timeout that the
// caller requests, or else the one in the service document.
func timeoutOf(r *http.Request, doc *contract.Document) (time.Duration, error) {
	text := r.Header.Get(timeoutHeader)
	if text == "" {
		return doc.RequestTimeout, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds < 1 {
		return 0, Error.New("%s: found %q, allowed: a whole number of milliseconds from 1", timeoutHeader, text)
	}
	if milliseconds > maxTimeout.Milliseconds() {
		return maxTimeout, nil
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// isIdempotentMethod reports whether a method is idempotent by RFC 9110 section 9.2.2.
func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// mustRunOnce reports whether a pattern of the document matches the request under
// any interpretation of its method and path by an endpoint. Endpoints differ in
// their treatment of letter case, repeated and trailing slashes, dot segments,
// path parameters and repeated decoding. A request must not bypass a pattern by
// such differences.
func mustRunOnce(doc *contract.Document, r *http.Request) bool {
	if len(doc.NonIdempotent) == 0 {
		return false
	}
	if doc.IsNonIdempotent(r.Method, r.URL.Path) {
		return true
	}
	for _, pattern := range doc.NonIdempotent {
		if coversMethod(pattern.Method, r) && coversPath(pattern.Path, r.URL) {
			return true
		}
	}
	return false
}

func coversMethod(method string, r *http.Request) bool {
	if method == r.Method || (method == http.MethodGet && r.Method == http.MethodHead) {
		return true
	}
	for _, name := range overrideHeaders {
		for _, value := range r.Header.Values(name) {
			if strings.EqualFold(method, strings.TrimSpace(value)) {
				return true
			}
		}
	}
	return false
}

func coversPath(pattern string, target *url.URL) bool {
	prefix, isPrefix := strings.CutSuffix(strings.ToLower(pattern), "*")
	for _, form := range normalizedForms(target.Path) {
		if isPrefix && (strings.HasPrefix(form, prefix) || strings.HasPrefix(form+"/", prefix)) {
			return true
		}
		if !isPrefix && form == normalizePath(prefix) {
			return true
		}
	}
	return false
}

// normalizedForms returns the normalized forms of a path after each of up to
// maxDecodings decodings, with and without a decoded query.
func normalizedForms(text string) []string {
	var found []string
	for range maxDecodings {
		found = append(found, normalizePath(text), normalizePath(strings.SplitN(text, "?", 2)[0]))
		decoded, err := url.PathUnescape(text)
		if err != nil || decoded == text {
			break
		}
		text = decoded
	}
	return found
}

// normalizePath returns a path in lower case with backslashes replaced by
// slashes and without parameters, dot segments and repeated or trailing slashes.
func normalizePath(text string) string {
	text = strings.ToLower(strings.ReplaceAll(text, `\`, "/"))
	segments := strings.Split(text, "/")
	for i, segment := range segments {
		segments[i], _, _ = strings.Cut(segment, ";")
	}
	return path.Clean("/" + strings.Join(segments, "/"))
}

// bodyOf returns the body of a request, or nil if there is none.
func bodyOf(r *http.Request) (io.Reader, error) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > 0 {
		return r.Body, nil
	}
	var first [1]byte
	_, err := io.ReadFull(r.Body, first[:])
	if errors.Is(err, io.EOF) {
		return nil, nil
	}
	if err != nil {
		return nil, Error.New("the request body was truncated: %w", err)
	}
	return io.MultiReader(bytes.NewReader(first[:]), r.Body), nil
}

// callerBody is a request body that records whether sending it failed or is
// blocked because of the caller.
type callerBody struct {
	reader    io.Reader
	closer    io.Closer
	isReading atomic.Bool
	hasFailed atomic.Bool
}

// Read reads from the caller and records failures.
func (b *callerBody) Read(p []byte) (int, error) {
	b.isReading.Store(true)
	defer b.isReading.Store(false)
	n, err := b.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.hasFailed.Store(true)
	}
	return n, err
}

// Close unblocks a pending read, without which the HTTP client does not return.
func (b *callerBody) Close() error {
	return b.closer.Close()
}

// isAtFault reports whether reading the body has failed or is blocked.
func (b *callerBody) isAtFault() bool {
	return b != nil && (b.hasFailed.Load() || b.isReading.Load())
}

// outgoing returns the request for the endpoint.
func (c *call) outgoing(body io.Reader) *http.Request {
	r := c.r
	target := &url.URL{Scheme: "http", Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery}
	out := &http.Request{Method: r.Method, URL: target, Host: r.Host, Header: make(http.Header)}
	if body != nil {
		c.body = &callerBody{reader: body, closer: r.Body}
		out.Body = c.body
		out.ContentLength = r.ContentLength
	}
	copyHeader(out.Header, r.Header)
	out.Header.Del(timeoutHeader)
	if deadline, ok := c.ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		out.Header.Set(timeoutHeader, strconv.FormatInt(left, 10))
	}
	return out
}

// copyHeader copies all header fields that are not hop-by-hop.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, field := range from.Values("Connection") {
		for _, name := range strings.Split(field, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
}
