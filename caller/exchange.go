package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasturn.example/internal/problem"
)

const (
	// maxAttempts bounds how often one request is sent.
	maxAttempts = 6
	// maxFreshKeys bounds how often one request is sent with a fresh key after
	// the one before turned out void.
	maxFreshKeys = 4
	// minBackoff and maxBackoff bound the pause before a retry.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

var errNoKey = errors.New("the service gives no idempotency key")

// exchange is one request of the application, sent as often as it takes.
type exchange struct {
	transport *Transport
	request   *http.Request
	body      *requestBody
	// key is sent with the request; empty for none.
	key string
	// isOwnKey says that the application chose the key; it is never replaced.
	isOwnKey  bool
	freshKeys int
	retries   int
	// hasSent says that the request may have reached the service in a way that
	// a later answer does not make up for.
	hasSent atomic.Bool
}

func newExchange(t *Transport, request *http.Request) (*exchange, error) {
	body, err := newRequestBody(request)
	if err != nil {
		return nil, &Error{Ran: RanNo, Err: err}
	}
	key := request.Header.Get(KeyHeader)
	return &exchange{transport: t, request: request, body: body, key: key, isOwnKey: key != ""}, nil
}

// run sends the request until it has an answer to give.
func (e *exchange) run() (*http.Response, error) {
	needsKey := !isIdempotent(e.request.Method)
	for {
		if needsKey && e.key == "" {
			if err := e.fetchKey(); err != nil {
				return nil, err
			}
		}
		answer, err := e.attempt()
		next := e.decide(answer, err)
		if next == stepDeliver {
			return answer, nil
		}
		if next == stepFail || !e.prepareRetry(next, answer) {
			return e.giveUp(answer, err)
		}
		needsKey = needsKey || next == stepFreshKey
	}
}

// giveUp returns the last answer when there is one.
func (e *exchange) giveUp(answer *http.Response, err error) (*http.Response, error) {
	if err == nil {
		return answer, nil
	}
	ran := RanNo
	if e.hasSent.Load() {
		ran = RanUnknown
	}
	return nil, &Error{Ran: ran, Err: err}
}

// prepareRetry reports whether the request is sent again.
func (e *exchange) prepareRetry(next step, answer *http.Response) bool {
	if !e.body.canRepeat() || e.request.Context().Err() != nil {
		return false
	}
	if next == stepFreshKey || next == stepNewKey {
		// Nothing ran with the key that is given up, and nothing will.
		e.hasSent.Store(false)
	}
	if next == stepFreshKey {
		e.freshKeys++
		if e.freshKeys > maxFreshKeys {
			return false
		}
		e.key = answer.Header.Get(KeyHeader)
		answer.Body.Close()
		return true
	}
	e.retries++
	if e.retries >= maxAttempts || !e.transport.budget.Allow() {
		return false
	}
	if next == stepNewKey {
		e.key = ""
	}
	if answer != nil {
		answer.Body.Close()
	}
	e.transport.sleep(e.request.Context(), backoff(e.retries))
	return e.request.Context().Err() == nil
}

// backoff doubles with each retry; chance spreads retries of many callers.
func backoff(retries int) time.Duration {
	ceiling := min(minBackoff<<retries, maxBackoff)
	return ceiling/2 + rand.N(ceiling/2)
}

// step is what to do after an attempt.
type step uint8

const (
	stepDeliver step = iota
	stepFail
	// stepRepeat sends the request again as it was.
	stepRepeat
	// stepFreshKey sends it with the key of the answer.
	stepFreshKey
	// stepNewKey sends it with a key that is still to be fetched.
	stepNewKey
)

func (e *exchange) decide(answer *http.Response, err error) step {
	hasKey := e.key != ""
	if err != nil {
		// With a key the owner runs the request once at most.
		if hasKey || isIdempotent(e.request.Method) || !e.hasSent.Load() {
			return stepRepeat
		}
		return stepFail
	}
	refusal, isRefusal := RefusalOf(answer)
	if !isRefusal {
		e.transport.budget.RecordSuccess()
		return stepDeliver
	}
	return e.decideRefusal(answer, refusal)
}

func (e *exchange) decideRefusal(answer *http.Response, refusal *Refusal) step {
	hasKey := e.key != ""
	switch problem.Type(refusal.Type) {
	case problem.TypeKeyRequired, problem.TypeKeyVoid:
		if e.isOwnKey || answer.Header.Get(KeyHeader) == "" {
			return stepDeliver
		}
		return stepFreshKey
	case problem.TypeStillRunning:
		return stepRepeat
	case problem.TypeOverloaded, problem.TypeNoEndpoint:
		if !hasKey || refusal.Ran != RanNo {
			return stepRepeat
		}
		// The refusal has made the key void.
		if !e.isOwnKey {
			return stepNewKey
		}
	case problem.TypeEndpointFailed:
		if !hasKey && isIdempotent(e.request.Method) {
			return stepRepeat
		}
	}
	return stepDeliver
}

// attempt sends the request once. A refusal, and with a key any answer, is
// read whole, so that one that breaks off is asked for again.
func (e *exchange) attempt() (*http.Response, error) {
	body, err := e.body.next()
	if err != nil {
		return nil, err
	}
	out := e.request.Clone(e.request.Context())
	out.Body = body
	out.GetBody = e.body.again
	if e.key != "" {
		out.Header.Set(KeyHeader, e.key)
	}
	setTimeout(out)
	answer, end, err := e.transport.sendOnce(out, func() { e.hasSent.Store(true) })
	if err == nil && (e.key != "" || problem.HasDetails(answer)) {
		err = holdAnswer(answer)
	}
	if err != nil {
		end()
		return nil, err
	}
	answer.Request = e.request
	answer.Body = &answerBody{ReadCloser: answer.Body, end: end}
	return answer, nil
}

// fetchKey gets a key before the request is sent. Nothing runs meanwhile: the
// key is asked for by OPTIONS, which no service takes for the request itself.
func (e *exchange) fetchKey() error {
	for {
		key, err := e.transport.FetchKey(e.request.Context(), e.request.URL.String())
		if errors.Is(err, errNoKey) {
			// Another server than an agent: the request goes without a key.
			return nil
		}
		if err == nil {
			e.key = key
			return nil
		}
		e.retries++
		if e.request.Context().Err() != nil || e.retries >= maxAttempts || !e.transport.budget.Allow() {
			_, err = e.giveUp(nil, err)
			return err
		}
		e.transport.sleep(e.request.Context(), backoff(e.retries))
	}
}

// FetchKey returns a fresh idempotency key for one request to the URL, as it
// goes into the header.
func (t *Transport) FetchKey(ctx context.Context, url string) (string, error) {
	probe, err := http.NewRequestWithContext(ctx, http.MethodOptions, url, nil)
	if err != nil {
		return "", err
	}
	probe.Header.Set(KeyHeader, `""`)
	setTimeout(probe)
	answer, end, err := t.sendOnce(probe, func() {})
	defer end()
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	if !problem.HasDetails(answer) {
		return "", errNoKey
	}
	if err := holdAnswer(answer); err != nil {
		return "", err
	}
	key := answer.Header.Get(KeyHeader)
	refusal, isRefusal := RefusalOf(answer)
	if !isRefusal || key == "" {
		return "", errNoKey
	}
	if problem.Type(refusal.Type) != problem.TypeKeyRequired {
		return "", &Error{Ran: RanNo, Err: errors.New(refusal.Detail)}
	}
	return key, nil
}

func setTimeout(request *http.Request) {
	deadline, ok := request.Context().Deadline()
	if !ok || request.Header.Get(TimeoutHeader) != "" {
		return
	}
	left := max(time.Until(deadline).Milliseconds(), 1)
	request.Header.Set(TimeoutHeader, strconv.FormatInt(left, 10))
}

// sendOnce sends a request on one connection. onConn is called before the first
// byte may be sent; end is to be called after the answer has been read.
func (t *Transport) sendOnce(request *http.Request, onConn func()) (answer *http.Response, end func(), err error) {
	var mu sync.Mutex
	var ends []func()
	gotConn := func(info httptrace.GotConnInfo) {
		onConn()
		if info.Conn == nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		ends = append(ends, t.connections.begin(info.Conn.LocalAddr()))
	}
	trace := &httptrace.ClientTrace{GotConn: gotConn}
	answer, err = t.send(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	end = func() {
		mu.Lock()
		defer mu.Unlock()
		for _, endOne := range ends {
			endOne()
		}
	}
	return answer, end, err
}

// isIdempotent follows RFC 9110 section 9.2.2.
func isIdempotent(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
