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

// Labels of the request counter.
const (
	countAnswered  = "answered"
	countRefused   = "refused"
	countFailed    = "failed"
	countTruncated = "truncated"
	countReplayed  = "replayed"
	countRetried   = "retried"
	countUnknown   = "outcome-unknown"
)

// proxy passes requests to the endpoint and answers back.
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

// ServeHTTP runs one request at the endpoint.
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

// call is one request on its way.
type call struct {
	w   http.ResponseWriter
	r   *http.Request
	doc *contract.Document
	// ctx ends when the caller goes away or the time until the answer must begin is up.
	ctx  context.Context
	stop context.CancelFunc
	// body is the body of the request on its way to the endpoint; nil when it has none.
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

// serveRepeatable runs a request that does no harm when it runs twice.
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

// sendWithRetry retries a request that failed before its answer began, once
// and within the budget, when it is idempotent by its method and has no body.
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
	p.serving.agent.instance.Decisions.Decision("retry").Str("endpoint", p.upstream.address).Err(failed.err).Msg("request sent to the endpoint again")
	sent, again := p.upstream.send(c.ctx, c.r.Context(), c.outgoing(nil))
	if again != nil {
		again.hasStarted = again.hasStarted || failed.hasStarted
	}
	return sent, again
}

// relay sends an answer to the caller as it comes.
func (p *proxy) relay(w http.ResponseWriter, answer *answer) {
	copyHeader(w.Header(), answer.Header)
	w.WriteHeader(answer.StatusCode)
	if err := copyBody(w, answer.body); err != nil {
		p.count(countTruncated)
		// Resets the stream: a truncated answer must not look whole.
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

// slotRefusal is for a request that got no slot, so that it did not run.
func slotRefusal(err error) problem.Refusal {
	refusal := problem.Refusal{Status: http.StatusServiceUnavailable, Type: problem.TypeOverloaded, Ran: problem.RanNo, Detail: err.Error()}
	if errors.Is(err, context.DeadlineExceeded) {
		refusal.Status = http.StatusGatewayTimeout
		refusal.Type = problem.TypeTimeout
		refusal.Detail = "no slot of the endpoint became free in time; lower the load or allow more time"
	}
	return refusal
}

// outcomeOf tells the limiter what an answer says about the endpoint.
func outcomeOf(status int) admit.Outcome {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		return admit.OutcomeShed
	}
	return admit.OutcomeAnswered
}
