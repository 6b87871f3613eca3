package agent

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/roster"
	"sassafrasturn.example/internal/wire"
)

const (
	// maxHandoverAnswers bounds the answers that wait to be processed.
	maxHandoverAnswers = 64
	// stopMargin is the time that a process takes to end after its roles have drained, with a
	// margin.
	stopMargin = 300 * time.Millisecond
	// controlCheckInterval separates the checks whether a poll has named all control instances.
	controlCheckInterval = 3 * time.Millisecond
)

// handoverAnswer is a control instance's answer to a part of a handover, or to a request for one.
type handoverAnswer struct {
	message *wire.Handover
	from    netip.AddrPort
}

// handovers receives the answers of control instances about handovers.
type handovers struct {
	// sent are the answers to the flows that this start hands over, and taken those to its
	// requests for the flows of the previous one.
	sent, taken chan handoverAnswer
	outcomes    *prometheus.CounterVec
}

func newHandovers(registry *prometheus.Registry) handovers {
	h := handovers{
		sent: make(chan handoverAnswer, maxHandoverAnswers), taken: make(chan handoverAnswer, maxHandoverAnswers),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sassafrasturn_takeovers_total", Help: "Searches at the start for the flows of the previous start, by outcome: found, uncertain, none, refused, unanswered.",
		}, []string{"outcome"}),
	}
	registry.MustRegister(h.outcomes)
	return h
}

// handleMessage answers a request for the load, or queues an answer about a handover. That is
// dropped if the queue is full.
func (a *Agent) handleMessage(kind opaque.Kind, data []byte, from netip.AddrPort) {
	queue := a.handovers.sent
	switch kind {
	case opaque.KindLoadRequest:
		a.answerLoadRequest(data, from)
		return
	case opaque.KindHandoverAnswer:
	case opaque.KindTakeoverAnswer:
		queue = a.handovers.taken
	default:
		return
	}
	message := new(wire.Handover)
	if proto.Unmarshal(data, message) != nil || message.Agent != a.key() {
		return
	}
	select {
	case queue <- handoverAnswer{message: message, from: from}:
	default:
	}
}

// awaitAnswer returns the next answer of a queue, false if there is none in time.
func awaitAnswer(ctx context.Context, queue <-chan handoverAnswer, timeout time.Duration) (handoverAnswer, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer := <-queue:
		return answer, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return handoverAnswer{}, false
}

// key returns the agent's address as messages contain it.
func (a *Agent) key() uint64 { return uint64(roster.KeyOfAddress(a.node.Address())) }

// handOver gives the flows of the endpoint to control instances, which keep them for the next
// start of this agent. From then on the endpoint gets no new flow. The handover ends before the
// process must have stopped; stopAt is that time on the clock of the node.
func (a *Agent) handOver(ctx context.Context, stopAt time.Duration) {
	a.mu.Lock()
	now := a.node.Now()
	a.isHandedOver = true
	adopt := max(0, a.adoptUntil-now)
	if a.table.IsFull() {
		adopt = a.instance.Settings.Opaque.MaxFlowLifetime
	}
	flows := a.table.Export(now)
	var foreign []*wire.FlowState
	if adopt > 0 {
		// The next start would try their packets on the endpoint again.
		foreign = a.bounceable.export(now)
	}
	a.mu.Unlock()
	sender := a.sendFlows(ctx, slices.Concat(flows, foreign), adopt, stopAt-stopMargin-now)
	copies := sender.Complete()
	if len(copies) == 0 {
		a.instance.Log.Warn().Int("flows", len(flows)).Int("control", len(a.node.Control())).Int("refused", sender.Refused()).
			Dur("took_ms", a.node.Now()-now).Msg("flows not handed over: no control instance has confirmed them")
		return
	}
	a.instance.Log.Info().Int("flows", len(flows)).Int("foreign", len(foreign)).Uint64("incarnation", a.node.Incarnation()).Dur("adopt_ms", adopt).
		Strs("control", texts(copies)).Int("refused", sender.Refused()).
		Dur("took_ms", a.node.Now()-now).Msg("flows handed over")
}

func texts(addresses []netip.AddrPort) []string {
	var list []string
	for _, address := range addresses {
		list = append(list, address.String())
	}
	return list
}

// sendFlows sends flows to control instances until enough have confirmed all of them, or the time
// is over.
func (a *Agent) sendFlows(ctx context.Context, flows []*wire.FlowState, adopt, limit time.Duration) *flow.HandoverSender {
	incarnation := a.node.Incarnation()
	sender := flow.NewHandoverSender(a.node.Now(), len(flows), limit)
	for !sender.IsDone(a.node.Now()) && ctx.Err() == nil {
		parts, wait := sender.Next(a.node.Now(), a.node.Control())
		for _, part := range parts {
			a.node.SendMessage(opaque.KindHandover, &wire.Handover{
				Agent: a.key(), Incarnation: incarnation, Offset: uint32(part.Start), Total: uint32(len(flows)),
				Flows: flows[part.Start:part.End], AdoptMs: uint32(adopt.Milliseconds()),
			}, part.To)
		}
		answer, ok := awaitAnswer(ctx, a.handovers.sent, wait)
		if ok && answer.message.Incarnation == incarnation {
			sender.HandleAnswer(a.node.Now(), answer.from, answer.message)
		}
	}
	return sender
}

// takeOver fetches the flows that the previous start of this agent has handed over. Without them,
// the agent adopts the flows of its endpoint. If it is not certain that no other start was in
// between, it adopts those that are not among them.
func (a *Agent) takeOver(ctx context.Context) {
	takeover := a.fetchFlows(ctx)
	states, adopt, holder, isFound := takeover.Flows()
	flows, foreign := flow.SplitForeign(states)
	if !takeover.IsCertain() {
		adopt = a.instance.Settings.Opaque.MaxFlowLifetime
	}
	a.mu.Lock()
	now := a.node.Now()
	if isFound && !a.lifecycle.IsDown() {
		a.table.Import(now, flows)
		a.bounceable.importFrom(now, foreign)
		a.adoptUntil = now + adopt
	}
	a.awaitsFlows = false
	waiting, adoptLeft := a.deferred.Len(), max(0, a.adoptUntil-now)
	a.mu.Unlock()
	unanswered := takeover.Unanswered()
	outcome := takeoverOutcome(takeover)
	a.handovers.outcomes.WithLabelValues(outcome).Inc()
	entry := a.instance.Log.Info().Int("flows", len(flows)).Int("foreign", len(foreign)).Bool("found", isFound).Str("outcome", outcome).
		Uint64("incarnation", a.node.Incarnation()).Uint64("source", takeover.Source()).Dur("adopt_ms", adoptLeft).
		Strs("unanswered", texts(unanswered)).Int("packets_waiting", waiting).Dur("uptime_ms", now)
	if isFound {
		entry = entry.Stringer("control", holder)
	}
	entry.Msg("flows taken over")
	a.releaseDeferred()
	a.announceStart(ctx, takeover)
}

// takeoverOutcome returns the outcome of a takeover for the log and the metrics.
func takeoverOutcome(takeover *flow.Takeover) string {
	_, _, _, isFound := takeover.Flows()
	switch {
	case takeover.IsCertain():
		return "found"
	case isFound:
		return "uncertain"
	case takeover.IsRefused():
		return "refused"
	case len(takeover.Unanswered()) > 0:
		return "unanswered"
	}
	return "none"
}

// fetchFlows searches the control instances for the flows that one of them keeps for this start,
// and fetches them.
func (a *Agent) fetchFlows(ctx context.Context) *flow.Takeover {
	startedAt, incarnation := a.node.Now(), a.node.Incarnation()
	takeover := flow.NewTakeover(startedAt)
	for ctx.Err() == nil {
		// Before all control instances become known, the incarnation rises if it has to, and answers
		// to the one before count for nothing.
		isControlKnown := a.node.IsControlKnown()
		if current := a.node.Incarnation(); current != incarnation {
			takeover, incarnation = flow.NewTakeover(startedAt), current
		}
		maxWait := flow.HandoverRetry
		if !isControlKnown {
			maxWait = controlCheckInterval
		}
		a.exchangeFlows(ctx, takeover, incarnation, maxWait)
		if takeover.IsDone(a.node.Now(), isControlKnown) {
			break
		}
	}
	return takeover
}

// announceStart tells the control instances that have not answered yet, and those that become
// known later, that this start runs. They may have a copy, which they must give to no later start.
func (a *Agent) announceStart(ctx context.Context, takeover *flow.Takeover) {
	takeover.End()
	incarnation := a.node.Incarnation()
	for ctx.Err() == nil && !takeover.HaveCopiesExpired(a.node.Now()) {
		if current := a.node.Incarnation(); current != incarnation {
			takeover, incarnation = flow.NewTakeover(a.node.Now()), current
			takeover.End()
		}
		a.exchangeFlows(ctx, takeover, incarnation, time.Second)
	}
}

// exchangeFlows sends the requests that are due and handles the next answer, for which it waits no
// longer than maxWait.
func (a *Agent) exchangeFlows(ctx context.Context, takeover *flow.Takeover, incarnation uint64, maxWait time.Duration) {
	requests, wait := takeover.Next(a.node.Now(), a.node.Control())
	for _, request := range requests {
		a.requestFlows(incarnation, request)
	}
	answer, ok := awaitAnswer(ctx, a.handovers.taken, min(wait, maxWait))
	if ok && answer.message.Incarnation == incarnation {
		takeover.HandleAnswer(a.node.Now(), answer.from, answer.message)
	}
}

func (a *Agent) requestFlows(incarnation uint64, request flow.TakeoverRequest) {
	a.node.SendMessage(opaque.KindTakeover, &wire.Handover{Agent: a.key(), Incarnation: incarnation, Offset: uint32(request.Offset)}, request.To)
}
