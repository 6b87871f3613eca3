package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"sassafrasturn.example/internal/once"
	"sassafrasturn.example/internal/problem"
	"sassafrasturn.example/internal/token"
)

// serveOnce runs a request that must run at most once, or answers it with the
// result that the owner of its key has recorded.
func (p *proxy) serveOnce(c *call) {
	text := keyText(c.r.Header)
	key, err := p.keys.codec.Parse(text)
	if errors.Is(err, token.ErrForeignKey) {
		p.refuseWithKey(c.w, problem.TypeKeyRequired, "the request must run at most once; send it with the Idempotency-Key of this answer")
		return
	}
	if err != nil {
		p.refuse(c.w, problem.Refusal{
			Status: http.StatusBadRequest,
			Type:   problem.TypeKeyUnproven,
			Ran:    problem.RanUnknown,
			Detail: err.Error() + "; check whether the request ran before sending it with a fresh key",
		})
		return
	}
	if key.Owner.Service != p.serving.number {
		p.refuseWithKey(c.w, problem.TypeKeyVoid, "the key belongs to another service; send the request with the Idempotency-Key of this answer")
		return
	}
	body, reserve, err := p.readFullBody(c.r)
	if err != nil {
		p.refuseBody(c, key, err)
		return
	}
	defer p.bodies.release(reserve)
	p.decideOnce(c, key, text, body)
}

func (p *proxy) decideOnce(c *call, key token.Key, text string, body []byte) {
	content := digest(c.r, body)
	if !p.keys.owns(key) {
		p.answerFromResult(c, p.queryOwner(c.ctx, key, text, content))
		return
	}
	result, hasStarted := p.keys.ledger.Begin(p.keys.now(), once.ID(key.ID), key.Expires, content)
	if hasStarted {
		p.runOnce(c, once.ID(key.ID), body)
		return
	}
	p.answerFromResult(c, p.waitForResult(c.ctx, key, content, result))
}

// waitForResult waits until a running request finishes or ctx ends, and returns
// the state of its key.
func (p *proxy) waitForResult(ctx context.Context, key token.Key, content once.ContentDigest, result once.Result) once.Result {
	if result.State != once.StateRunning {
		return result
	}
	select {
	case <-result.Done:
	case <-ctx.Done():
	}
	return p.keys.resolve(key, content)
}

// refuseBody refuses a request whose body could not be read. An unused key of
// this agent becomes void, so that a later copy of the request cannot
// contradict the refusal by running.
func (p *proxy) refuseBody(c *call, key token.Key, err error) {
	refusal := problem.Refusal{
		Status: http.StatusBadRequest,
		Type:   problem.TypeBadRequest,
		Ran:    problem.RanUnknown,
		Detail: "the request body could not be read: " + err.Error(),
	}
	switch {
	case errors.Is(err, errBodyTooLarge):
		refusal.Status = http.StatusRequestEntityTooLarge
		refusal.Type = problem.TypeRequestTooLarge
	case errors.Is(err, errBodyBufferFull):
		refusal.Status = http.StatusServiceUnavailable
		refusal.Type = problem.TypeOverloaded
	}
	if p.keys.owns(key) && p.keys.resolve(key, once.ContentDigest{}).State == once.StateVoid {
		refusal.Ran = problem.RanNo
	}
	p.refuse(c.w, refusal)
}

// runOnce runs the request. It continues if the caller disconnects, because the
// caller may retry with the same key to fetch the answer.
func (p *proxy) runOnce(c *call, id once.ID, body []byte) {
	ledger := p.keys.ledger
	// Has no effect if the outcome of the request is already recorded.
	defer func() { ledger.FinishUnknown(p.keys.now(), id) }()
	slot, err := p.serving.limiter.Acquire(c.ctx)
	if err != nil {
		ledger.Void(p.keys.now(), id)
		p.refuse(c.w, slotRefusal(err))
		return
	}
	answer, failed := p.sendOnce(c, body)
	if failed != nil {
		slot.Release(failed.outcome(context.Background()))
		if !failed.hasStarted {
			ledger.Void(p.keys.now(), id)
		} else {
			ledger.FinishUnknown(p.keys.now(), id)
		}
		p.refuse(c.w, failed.refusal())
		return
	}
	defer answer.close()
	slot.MarkAnswerStarted()
	outcome := outcomeOf(answer.StatusCode)
	defer slot.Release(outcome)
	if c.isStreaming() {
		slot.Release(outcome)
		ledger.FinishNotKept(p.keys.now(), id)
		p.relay(c.w, answer)
		return
	}
	answer.setIdleTimeout(c.doc.RequestTimeout)
	p.storeAndRelay(c, id, answer)
}

func (p *proxy) sendOnce(c *call, body []byte) (*answer, *failure) {
	deadline, _ := c.ctx.Deadline()
	begin, stop := context.WithDeadline(context.WithoutCancel(c.ctx), deadline)
	defer stop()
	var reader io.Reader
	if len(body) > 0 {
		reader = bytes.NewReader(body)
	}
	out := c.outgoing(reader)
	out.ContentLength = int64(len(body))
	return p.upstream.send(begin, context.Background(), out)
}

// storeAndRelay stores the complete answer in the ledger before sending it to
// the caller. An answer that is too large to store is streamed instead.
func (p *proxy) storeAndRelay(c *call, id once.ID, answer *answer) {
	ledger := p.keys.ledger
	limit := ledger.Limits().AnswerBytes
	body, err := io.ReadAll(io.LimitReader(answer.body, int64(limit)+1))
	if err != nil {
		ledger.FinishUnknown(p.keys.now(), id)
		failed := failure{hasStarted: true, err: Error.New("the endpoint's answer was truncated: %w", err)}
		p.refuse(c.w, failed.refusal())
		return
	}
	if len(body) > limit {
		ledger.FinishNotKept(p.keys.now(), id)
		answer.body = io.MultiReader(bytes.NewReader(body), answer.body)
		p.relay(c.w, answer)
		return
	}
	header := make(http.Header)
	copyHeader(header, answer.Header)
	stored := &once.Answer{Status: answer.StatusCode, Header: header, Body: body}
	ledger.Finish(p.keys.now(), id, stored)
	p.count(countAnswered)
	writeAnswer(c.w, stored)
}

// writeAnswer sends a stored answer to the caller.
func writeAnswer(w http.ResponseWriter, answer *once.Answer) {
	copyHeader(w.Header(), answer.Header)
	if len(answer.Body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	// A caller that has disconnected may retry with the same key to fetch the answer.
	_, _ = w.Write(answer.Body)
}

// answerFromResult answers a request that this call did not run, from the
// recorded state of its key.
func (p *proxy) answerFromResult(c *call, known once.Result) {
	refusal := problem.Refusal{
		Status: http.StatusBadGateway,
		Type:   problem.TypeOutcomeUnknown,
		Ran:    problem.RanUnknown,
		Detail: "it is unknown whether the request ran; check before sending it with a fresh key",
	}
	switch known.State {
	case once.StateFinished:
		p.count(countReplayed)
		writeAnswer(c.w, known.Answer)
		return
	case once.StateVoid:
		p.refuseWithKey(c.w, problem.TypeKeyVoid, "the request with this key did not run and never will; send it with the Idempotency-Key of this answer")
		return
	case once.StateNotKept:
		refusal.Status = http.StatusGone
		refusal.Type = problem.TypeAnswerNotKept
		refusal.Ran = problem.RanYes
		refusal.Detail = "the request ran; its answer was not kept"
	case once.StateRunning:
		refusal.Status = http.StatusConflict
		refusal.Type = problem.TypeStillRunning
		refusal.Detail = "the request is still running; retry with the same key"
	case once.StateMismatch:
		refusal.Status = http.StatusUnprocessableEntity
		refusal.Type = problem.TypeKeyMismatch
		refusal.Detail = "the key was used for a request with different content; use a fresh key for each request"
	}
	p.refuse(c.w, refusal)
}

// refuseWithKey refuses a request that did not run and returns a fresh key for it.
func (p *proxy) refuseWithKey(w http.ResponseWriter, kind problem.Type, detail string) {
	if err := p.keys.addKey(w.Header()); err != nil {
		p.refuse(w, problem.Refusal{
			Status: http.StatusInternalServerError,
			Type:   problem.TypeBadRequest,
			Ran:    problem.RanNo,
			Detail: err.Error(),
		})
		return
	}
	p.refuse(w, problem.Refusal{Status: http.StatusPreconditionRequired, Type: kind, Ran: problem.RanNo, Detail: detail})
}
