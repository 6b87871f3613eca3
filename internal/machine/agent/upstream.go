package agent

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"sassafrasturn.example/internal/admit"
	"sassafrasturn.example/internal/problem"
)

const (
	// copyBufferBytes is the size of one read of an endpoint's answer.
	copyBufferBytes = 32 << 10
	// maxAnswerHeaderBytes bounds an answer's header, all 1xx answers before it included.
	maxAnswerHeaderBytes = 64 << 10
	// endpointDialTimeout bounds connecting to the endpoint, which is on loopback.
	endpointDialTimeout = 2 * time.Second
)

// endpointKeepAlive finds a connection that the host has lost track of; an
// endpoint may be quiet for long while it streams.
var endpointKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// errNoLength refuses an answer whose end cannot be told from a cut.
var errNoLength = Error.New("the endpoint's answer has neither a Content-Length nor chunks; its end cannot be told from a cut")

// upstream sends requests to the endpoint, each on a connection of its own. On
// a shared connection an answer that comes late or twice could be taken for
// that of the next request, since HTTP/1.1 does not number its answers.
type upstream struct {
	address string
	client  *http.Transport
}

func newUpstream(address string) *upstream {
	dialer := &net.Dialer{Timeout: endpointDialTimeout, KeepAliveConfig: endpointKeepAlive}
	return &upstream{address: address, client: &http.Transport{
		DialContext:            dialWithoutLinger(dialer),
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		// No connection is used twice. DisableKeepAlives would tell the endpoint
		// so, and a server that knows closes with the rest of the body unread,
		// which can reset the connection before its answer has been read.
		MaxIdleConnsPerHost: -1,
	}}
}

// dialWithoutLinger makes connections that leave no TIME_WAIT state behind: the
// agent closes them after the answer's last byte, or to give the answer up.
func dialWithoutLinger(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Where the option is refused, ports are free again later.
			_ = tcp.SetLinger(0)
		}
		return conn, nil
	}
}

// answer is an endpoint's answer whose body has not been read.
type answer struct {
	*http.Response
	body  io.Reader
	close context.CancelFunc
}

// failure says why there is no answer.
type failure struct {
	// hasStarted says that bytes of the request may have reached the endpoint.
	hasStarted bool
	isTimeout  bool
	// isCallerFault says that the caller's body broke off or did not come in time.
	isCallerFault bool
	err           error
}

func (f *failure) refusal() problem.Refusal {
	refusal := problem.Refusal{
		Status: http.StatusBadGateway,
		Type:   problem.TypeEndpointFailed,
		Ran:    problem.RanUnknown,
		Detail: "the endpoint's answer failed: " + f.err.Error(),
	}
	if f.isTimeout {
		refusal.Status = http.StatusGatewayTimeout
		refusal.Type = problem.TypeTimeout
	}
	if !f.hasStarted {
		refusal.Ran = problem.RanNo
		refusal.Detail = "the endpoint was not reached: " + f.err.Error()
	}
	if !f.hasStarted && !f.isTimeout {
		refusal.Type = problem.TypeNoEndpoint
	}
	if f.isCallerFault {
		refusal.Status = http.StatusBadRequest
		refusal.Type = problem.TypeBadRequest
		refusal.Detail = "the request's body did not come whole: " + f.err.Error()
	}
	return refusal
}

// outcome tells the limiter what a failure says about the endpoint; caller is
// done when the caller went away.
func (f *failure) outcome(caller context.Context) admit.Outcome {
	if f.isCallerFault || caller.Err() != nil {
		return admit.OutcomeCancelled
	}
	if f.isTimeout {
		return admit.OutcomeTimedOut
	}
	return admit.OutcomeFailed
}

// send sends a request and returns when its answer has begun. begin bounds the
// time until then; lifetime ends the whole exchange.
func (u *upstream) send(begin, lifetime context.Context, request *http.Request) (*answer, *failure) {
	// The deadline of begin must not cut an answer that has begun.
	ctx, cancel := context.WithCancel(lifetime)
	stopBegin := context.AfterFunc(begin, cancel)
	if request.Body != nil {
		// The HTTP client may wait for the read of a body that has stopped, and does
		// not always close it first.
		context.AfterFunc(ctx, func() { request.Body.Close() })
	}
	var hasStarted atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { hasStarted.Store(true) }}
	request.URL.Host = u.address
	response, err := u.client.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		err = checkAnswer(request, response)
	}
	if err == nil && !stopBegin() {
		err = begin.Err()
	}
	if err != nil {
		cancel()
		if response != nil {
			response.Body.Close()
		}
		isTimeout := errors.Is(begin.Err(), context.DeadlineExceeded) || isNetTimeout(err)
		return nil, &failure{hasStarted: hasStarted.Load(), isTimeout: isTimeout, err: err}
	}
	return &answer{Response: response, body: response.Body, close: func() { cancel(); response.Body.Close() }}, nil
}

func isNetTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// checkAnswer refuses answers that cannot be passed on whole.
func checkAnswer(request *http.Request, response *http.Response) error {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return Error.New("the endpoint switched protocols without being asked")
	}
	hasBody := request.Method != http.MethodHead && response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified
	if hasBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errNoLength
	}
	return nil
}

// setIdleTimeout cancels the exchange when the body is silent for too long.
func (a *answer) setIdleTimeout(limit time.Duration) {
	timer := time.AfterFunc(limit, a.close)
	timer.Stop()
	a.body = &idleTimeoutReader{reader: a.Response.Body, limit: limit, timer: timer}
}

// idleTimeoutReader ends an exchange whose answer is silent. The timer runs only
// while a read waits, so that a slow caller is not taken for a silent endpoint.
type idleTimeoutReader struct {
	reader io.Reader
	limit  time.Duration
	timer  *time.Timer
}

// Read reads from the answer.
func (s *idleTimeoutReader) Read(p []byte) (int, error) {
	s.timer.Reset(s.limit)
	n, err := s.reader.Read(p)
	if !s.timer.Stop() && err == nil {
		err = Error.New("the endpoint's answer was silent for %s", s.limit)
	}
	return n, err
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
