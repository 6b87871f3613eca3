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
	// copyBufferBytes is the size of the buffer for copying an endpoint's answer.
	copyBufferBytes = 32 << 10
	// maxAnswerHeaderBytes limits an answer's header, including all 1xx responses before it.
	maxAnswerHeaderBytes = 64 << 10
	// endpointDialTimeout limits connecting to the endpoint, which is on loopback.
	endpointDialTimeout = 2 * time.Second
)

// endpointKeepAlive detects a connection whose state the host has lost,
// because an endpoint may send nothing for a long time while it streams.
var endpointKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// errNoLength is the error for an answer whose end cannot be distinguished from truncation.
var errNoLength = Error.New("the endpoint's answer has neither a Content-Length nor chunked encoding; a truncated answer cannot be detected")

// upstream sends each request to the endpoint on its own connection. On a shared
// connection a late or duplicate answer could be mistaken for that of the next
// request, because HTTP/1.1 responses carry no request identifier.
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
		// No connection is reused. DisableKeepAlives would also send "Connection:
		// close", upon which a server may close the connection with the rest of
		// the body unread. That can reset the connection before its answer has
		// been read.
		MaxIdleConnsPerHost: -1,
	}}
}

// dialWithoutLinger returns a dial function for connections that leave no
// TIME_WAIT state behind. This loses no data, because the agent closes them only
// after the last byte of the answer or to abandon the answer.
func dialWithoutLinger(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			// If the option is rejected, ports only stay in TIME_WAIT.
			_ = tcp.SetLinger(0)
		}
		return conn, nil
	}
}

// answer is an endpoint's response whose body has not been read.
type answer struct {
	*http.Response
	body  io.Reader
	close context.CancelFunc
}

// failure describes why a request got no answer.
type failure struct {
	// hasStarted is true if bytes of the request may have reached the endpoint.
	hasStarted bool
	isTimeout  bool
	// isCallerFault is true if the caller's body was truncated or not received in time.
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
		refusal.Detail = "the request body was not received completely: " + f.err.Error()
	}
	return refusal
}

// outcome returns the outcome that the limiter derives from the failure. The
// context caller has ended if the caller has disconnected.
func (f *failure) outcome(caller context.Context) admit.Outcome {
	if f.isCallerFault || caller.Err() != nil {
		return admit.OutcomeCancelled
	}
	if f.isTimeout {
		return admit.OutcomeTimedOut
	}
	return admit.OutcomeFailed
}

// send sends a request and returns when its answer has begun. It fails if the
// context begin ends before that. The context lifetime bounds the complete
// exchange, including the answer's body.
func (u *upstream) send(begin, lifetime context.Context, request *http.Request) (*answer, *failure) {
	// The deadline of begin must not truncate an answer that has begun.
	ctx, cancel := context.WithCancel(lifetime)
	stopBegin := context.AfterFunc(begin, cancel)
	if request.Body != nil {
		// The HTTP client may wait for a stalled read of the body, and does not
		// always close the body first.
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

// checkAnswer rejects answers that cannot be relayed completely.
func checkAnswer(request *http.Request, response *http.Response) error {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return Error.New("the endpoint switched protocols without a request to do so")
	}
	hasBody := request.Method != http.MethodHead && response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified
	if hasBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errNoLength
	}
	return nil
}

// setIdleTimeout cancels the exchange if a read of the body blocks for longer than limit.
func (a *answer) setIdleTimeout(limit time.Duration) {
	timer := time.AfterFunc(limit, a.close)
	timer.Stop()
	a.body = &idleTimeoutReader{reader: a.Response.Body, limit: limit, timer: timer}
}

// idleTimeoutReader cancels an exchange whose answer stalls. The timer runs only
// during a read, so that a slow caller is not mistaken for a stalled endpoint.
type idleTimeoutReader struct {
	reader io.Reader
	limit  time.Duration
	timer  *time.Timer
}

// Read reads from the answer and fails after the idle timeout.
func (r *idleTimeoutReader) Read(p []byte) (int, error) {
	r.timer.Reset(r.limit)
	n, err := r.reader.Read(p)
	if !r.timer.Stop() && err == nil {
		err = Error.New("the endpoint's answer stalled: no data for %s", r.limit)
	}
	return n, err
}

// copyBody copies an answer and flushes after each read, so that event streams are not delayed.
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
