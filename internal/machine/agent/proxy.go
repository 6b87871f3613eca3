package agent

import (
	"context"
	"errors"
	"net/http"

	"sassafrasturn.example/internal/admit"
	"sassafrasturn.example/internal/contract"
	"sassafrasturn.example/internal/problem"
	"sassafrasturn.example/internal/retry"
)

// Values of the outcome label of the request counter.
const (
	countAnswered  = "answered"
	countRefused   = "refused"
	countFailed    = "failed"
	countTruncated = "truncated"
	countReplayed  = "replayed"
	countRetried   = "retried"
	countUnknown   = "outcome-unknown"
)

// proxy forwards requests to the endpoint and relays its answers to callers.
type proxy struct {
	serving  *serving
	upstream *upstream
	keys     *keyIssuer
	bodies   *byteBudget
	budget   *retry.Budget
}

func newProxy(s *serving, announced *Announcement) (*proxy, error) {
	keys, err := newKeyIssuer(s)
	if err != nil {
		return nil, err
	}
	return &proxy{
		serving:  s,
		upstream: newUpstream(announced.Address),
		keys:     keys,
		bodies:   newByteBudget(maxBufferedBytes),
		budget:   retry.NewBudget(retry.DefaultTokenRatio, retry.DefaultCapacity),
	}, nil
}

// ServeHTTP runs a request at the endpoint and relays the answer.
func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	doc := p.serving.doc.Load()
	call, err := newCall(w, r, doc)
	if err != nil {
		p.refuse(w, problem.Refusal{Status: http.StatusBadRequest, Type: problem.TypeBadRequest, Ran: problem.RanNo, Detail: err.Error()})
		return
	}
	defer call.stop()
	if hasAgentKey(r.Header) || mustRunOnce(doc, r) {
		p.serveOnce(call)
		return
	}
	p.serveRepeatable(call)
}

// call is a request in progress.
type call struct {
	w   http.ResponseWriter
	r   *http.Request
	doc *contract.Document
	// ctx ends when the caller disconnects or the answer has not begun within
	// the request timeout.
	ctx  context.Context
	stop context.CancelFunc
	// body is the request body being sent to the endpoint; nil if there is none.
	body *callerBody
}

func newCall(w http.ResponseWriter, r *http.Request, doc *contract.Document) (*call, error) {
	if err := checkRequest(r); err != nil {
		return nil, err
	}
	timeout, err := timeoutOf(r, doc)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(r.Context(), timeout)
	return &call{w: w, r: r, doc: doc, ctx: ctx, stop: stop}, nil
}

func (c *call) isStreaming() bool {
	return c.doc.IsStreaming(c.r.Method, c.r.URL.Path)
}

// serveRepeatable runs a request that may safely run more than once.
func (p *proxy) serveRepeatable(c *call) {
	slot, err := p.serving.limiter.Acquire(c.ctx)
	if err != nil {
		p.refuse(c.w, slotRefusal(err))
		return
	}
	answer, failed := p.sendWithRetry(c)
	if failed != nil {
		slot.Release(failed.outcome(c.r.Context()))
		p.refuse(c.w, failed.refusal())
		return
	}
	defer answer.close()
	slot.MarkAnswerStarted()
	outcome := outcomeOf(answer.StatusCode)
	if c.isStreaming() {
		slot.Release(outcome)
	} else {
		answer.setIdleTimeout(c.doc.RequestTimeout)
	}
	defer slot.Release(outcome)
	p.relay(c.w, answer)
}

// sendWithRetry sends a request and, if it fails before its answer begins,
// retries it once. It retries only requests with an idempotent method and no
// body, and only within the retry budget.
func (p *proxy) sendWithRetry(c *call) (*answer, *failure) {
	body, err := bodyOf(c.r)
	if err != nil {
		return nil, &failure{isCallerFault: true, err: err}
	}
	sent, failed := p.upstream.send(c.ctx, c.r.Context(), c.outgoing(body))
	if failed == nil {
		p.budget.RecordSuccess()
		return sent, nil
	}
	failed.isCallerFault = c.body.isAtFault()
	if body != nil || !isIdempotentMethod(c.r.Method) || c.ctx.Err() != nil || !p.budget.Allow() {
		return nil, failed
	}
	p.count(countRetried)
	p.serving.agent.instance.Decisions.Decision("retry").Str("endpoint", p.upstream.address).Err(failed.err).Msg("request retried at the endpoint")
	sent, again := p.upstream.send(c.ctx, c.r.Context(), c.outgoing(nil))
	if again != nil {
		again.hasStarted = again.hasStarted || failed.hasStarted
	}
	return sent, again
}

// relay streams an answer to the caller.
func (p *proxy) relay(w http.ResponseWriter, answer *answer) {
	copyHeader(w.Header(), answer.Header)
	w.WriteHeader(answer.StatusCode)
	if err := copyBody(w, answer.body); err != nil {
		p.count(countTruncated)
		// Resets the stream, because a truncated answer must not appear complete.
		panic(http.ErrAbortHandler)
	}
	p.count(countAnswered)
}

func (p *proxy) refuse(w http.ResponseWriter, refusal problem.Refusal) {
	switch {
	case refusal.Ran != problem.RanNo:
		p.count(countUnknown)
	case refusal.Status == http.StatusBadGateway:
		p.count(countFailed)
	default:
		p.count(countRefused)
	}
	refusal.Write(w)
}

func (p *proxy) count(outcome string) {
	p.serving.agent.metrics.requests.WithLabelValues(outcome).Inc()
}

// slotRefusal returns the refusal of a request that did not run because it got no slot.
func slotRefusal(err error) problem.Refusal {
	refusal := problem.Refusal{Status: http.StatusServiceUnavailable, Type: problem.TypeOverloaded, Ran: problem.RanNo, Detail: err.Error()}
	if errors.Is(err, context.DeadlineExceeded) {
		refusal.Status = http.StatusGatewayTimeout
		refusal.Type = problem.TypeTimeout
		refusal.Detail = "no slot of the endpoint became free in time; lower the load or allow more time"
	}
	return refusal
}

// outcomeOf returns the outcome that the limiter derives from the status of an answer.
func outcomeOf(status int) admit.Outcome {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		return admit.OutcomeShed
	}
	return admit.OutcomeAnswered
}
