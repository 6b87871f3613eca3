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
	// maxAttempts limits how often one request is sent.
	maxAttempts = 6
	// maxOfferedKeys limits how often one request is sent with a key from a
	// refusal because its previous key was missing or void.
	maxOfferedKeys = 4
	// minBackoff and maxBackoff limit the delay before a retry.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

var errNoKey = errors.New("the service does not issue idempotency keys")

// exchange is one request of the application with all attempts to send it.
type exchange struct {
	transport *Transport
	request   *http.Request
	body      *requestBody
	// key is the idempotency key of the next attempt; empty for none.
	key string
	// isApplicationKey is set if the application set the key. Such a key is never
	// replaced.
	isApplicationKey bool
	offeredKeys      int
	retries          int
	// mayHaveRun is set once an attempt with the current key may have reached the
	// service, so that the request may have run.
	mayHaveRun atomic.Bool
}

func newExchange(t *Transport, request *http.Request) (*exchange, error) {
	body, err := newRequestBody(request)
	if err != nil {
		return nil, &Error{Ran: RanNo, Err: err}
	}
	key := request.Header.Get(KeyHeader)
	return &exchange{transport: t, request: request, body: body, key: key, isApplicationKey: key != ""}, nil
}

// run sends the request until there is a response to return or no retry is
// allowed.
func (e *exchange) run() (*http.Response, error) {
	needsKey := !isIdempotent(e.request.Method)
	for {
		if needsKey && e.key == "" {
			if err := e.fetchKey(); err != nil {
				return nil, err
			}
		}
		response, err := e.attempt()
		next := e.decide(response, err)
		if next == stepDeliver {
			return response, nil
		}
		if next == stepFail || !e.prepareRetry(next, response) {
			return e.finalResult(response, err)
		}
		needsKey = needsKey || next == stepUseOfferedKey
	}
}

// finalResult returns the last response if there is one, and otherwise an *Error.
func (e *exchange) finalResult(response *http.Response, err error) (*http.Response, error) {
	if err == nil {
		return response, nil
	}
	ran := RanNo
	if e.mayHaveRun.Load() {
		ran = RanUnknown
	}
	return nil, &Error{Ran: ran, Err: err}
}

// prepareRetry reports whether the request is sent again, after waiting for the
// backoff.
func (e *exchange) prepareRetry(next step, response *http.Response) bool {
	if !e.body.canReplay() || e.request.Context().Err() != nil {
		return false
	}
	if next == stepUseOfferedKey || next == stepFetchKey {
		// Nothing has run with the replaced key, and nothing will.
		e.mayHaveRun.Store(false)
	}
	if next == stepUseOfferedKey {
		e.offeredKeys++
		if e.offeredKeys > maxOfferedKeys {
			return false
		}
		e.key = response.Header.Get(KeyHeader)
		response.Body.Close()
		return true
	}
	e.retries++
	if e.retries >= maxAttempts || !e.transport.budget.Allow() {
		return false
	}
	if next == stepFetchKey {
		e.key = ""
	}
	if response != nil {
		response.Body.Close()
	}
	e.transport.sleep(e.request.Context(), backoff(e.retries))
	return e.request.Context().Err() == nil
}

// backoff returns the delay before a retry. It doubles with each retry, and half
// of it is jitter, so that many callers do not retry at once.
func backoff(retries int) time.Duration {
	ceiling := min(minBackoff<<retries, maxBackoff)
	return ceiling/2 + rand.N(ceiling/2)
}

// step is the action after an attempt.
type step uint8

const (
	stepDeliver step = iota
	stepFail
	// stepRetry sends the request again unchanged.
	stepRetry
	// stepUseOfferedKey sends the request again with the key that the response
	// carries.
	stepUseOfferedKey
	// stepFetchKey sends the request again with a newly fetched key.
	stepFetchKey
)

// decide returns the action after an attempt with the given result.
func (e *exchange) decide(response *http.Response, err error) step {
	hasKey := e.key != ""
	if err != nil {
		// With a key, the agent that issued it runs the request at most once.
		if hasKey || isIdempotent(e.request.Method) || !e.mayHaveRun.Load() {
			return stepRetry
		}
		return stepFail
	}
	refusal, isRefusal := RefusalOf(response)
	if !isRefusal {
		e.transport.budget.RecordSuccess()
		return stepDeliver
	}
	return e.decideRefusal(response, refusal)
}

// decideRefusal returns the action after a refusal.
func (e *exchange) decideRefusal(response *http.Response, refusal *Refusal) step {
	hasKey := e.key != ""
	switch problem.Type(refusal.Type) {
	case problem.TypeKeyRequired, problem.TypeKeyVoid:
		if e.isApplicationKey || response.Header.Get(KeyHeader) == "" {
			return stepDeliver
		}
		return stepUseOfferedKey
	case problem.TypeStillRunning:
		return stepRetry
	case problem.TypeOverloaded, problem.TypeNoEndpoint:
		if !hasKey || refusal.Ran != RanNo {
			return stepRetry
		}
		// The key became void with this refusal.
		if !e.isApplicationKey {
			return stepFetchKey
		}
	case problem.TypeEndpointFailed:
		if !hasKey && isIdempotent(e.request.Method) {
			return stepRetry
		}
	}
	return stepDeliver
}

// attempt sends the request once. A refusal, and any response to a request with
// a key, is buffered, so that the request is retried if the response is
// truncated.
func (e *exchange) attempt() (*http.Response, error) {
	body, err := e.body.next()
	if err != nil {
		return nil, err
	}
	out := e.request.Clone(e.request.Context())
	out.Body = body
	out.GetBody = e.body.reopen
	if e.key != "" {
		out.Header.Set(KeyHeader, e.key)
	}
	setTimeout(out)
	response, end, err := e.transport.sendOnce(out, func() { e.mayHaveRun.Store(true) })
	if err == nil && (e.key != "" || problem.HasDetails(response)) {
		err = bufferResponse(response)
	}
	if err != nil {
		end()
		return nil, err
	}
	response.Request = e.request
	response.Body = &responseBody{ReadCloser: response.Body, end: end}
	return response, nil
}

// fetchKey fetches a key before the request is sent. The key is requested with
// OPTIONS, which no service treats as the request itself, so nothing runs.
func (e *exchange) fetchKey() error {
	for {
		key, err := e.transport.FetchKey(e.request.Context(), e.request.URL.String())
		if errors.Is(err, errNoKey) {
			// The server is not an agent; the request is sent without a key.
			return nil
		}
		if err == nil {
			e.key = key
			return nil
		}
		e.retries++
		if e.request.Context().Err() != nil || e.retries >= maxAttempts || !e.transport.budget.Allow() {
			_, err = e.finalResult(nil, err)
			return err
		}
		e.transport.sleep(e.request.Context(), backoff(e.retries))
	}
}

// FetchKey returns a new idempotency key for one request to the URL, in the form
// in which it is set as KeyHeader. It fails if the server issues no keys.
func (t *Transport) FetchKey(ctx context.Context, url string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodOptions, url, nil)
	if err != nil {
		return "", err
	}
	request.Header.Set(KeyHeader, `""`)
	setTimeout(request)
	response, end, err := t.sendOnce(request, func() {})
	defer end()
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if !problem.HasDetails(response) {
		return "", errNoKey
	}
	if err := bufferResponse(response); err != nil {
		return "", err
	}
	key := response.Header.Get(KeyHeader)
	refusal, isRefusal := RefusalOf(response)
	if !isRefusal || key == "" {
		return "", errNoKey
	}
	if problem.Type(refusal.Type) != problem.TypeKeyRequired {
		return "", &Error{Ran: RanNo, Err: errors.New(refusal.Detail)}
	}
	return key, nil
}

// setTimeout sets TimeoutHeader from the context's deadline unless it is set.
func setTimeout(request *http.Request) {
	deadline, ok := request.Context().Deadline()
	if !ok || request.Header.Get(TimeoutHeader) != "" {
		return
	}
	left := max(time.Until(deadline).Milliseconds(), 1)
	request.Header.Set(TimeoutHeader, strconv.FormatInt(left, 10))
}

// sendOnce makes one attempt to send a request. onConn is called when a
// connection has been obtained, before the first byte is sent. The caller must
// call end after it has read the response or received an error.
func (t *Transport) sendOnce(request *http.Request, onConn func()) (response *http.Response, end func(), err error) {
	var mu sync.Mutex
	var ends []func()
	gotConn := func(info httptrace.GotConnInfo) {
		onConn()
		if info.Conn == nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		ends = append(ends, t.connections.acquire(info.Conn.LocalAddr()))
	}
	trace := &httptrace.ClientTrace{GotConn: gotConn}
	response, err = t.roundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	end = func() {
		mu.Lock()
		defer mu.Unlock()
		for _, endOne := range ends {
			endOne()
		}
	}
	return response, end, err
}

// isIdempotent reports whether a method is idempotent by RFC 9110, section 9.2.2.
func isIdempotent(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
