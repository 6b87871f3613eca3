package agent

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/roster"
	"sassafrasturn.example/internal/wire"
)

const (
	// handoverTimeout bounds the handover to one control instance, and maxHandoverTargets is how
	// many are tried.
	handoverTimeout    = 250 * time.Millisecond
	maxHandoverTargets = 2
	// takeoverTimeout bounds the search for the flows of the previous start. Packets of unknown
	// flows wait meanwhile.
	takeoverTimeout = 300 * time.Millisecond
	// handoverRetry is a round trip between regions plus a margin for delay.
	handoverRetry = 60 * time.Millisecond
	// handoverWindow is how many parts are sent at once.
	handoverWindow = 8
	// maxHandoverAnswers bounds the answers that wait to be processed.
	maxHandoverAnswers = 64
)

// handoverAnswer is a control instance's answer to a part of a handover, or to a request for one.
type handoverAnswer struct {
	message *wire.Handover
	from    netip.AddrPort
}

// handleMessage answers a request for the load, or queues an answer about a handover. That is
// dropped if the queue is full.
func (a *Agent) handleMessage(kind opaque.Kind, data []byte, from netip.AddrPort) {
	if kind == opaque.KindLoadRequest {
		a.answerLoadRequest(data, from)
		return
	}
	message := new(wire.Handover)
	isAnswer := kind == opaque.KindHandoverAnswer || kind == opaque.KindTakeoverAnswer
	if !isAnswer || proto.Unmarshal(data, message) != nil {
		return
	}
	select {
	case a.handoverAnswers <- handoverAnswer{message: message, from: from}:
	default:
	}
}

// awaitHandoverAnswer returns the next answer, false if there is none in time.
func (a *Agent) awaitHandoverAnswer(ctx context.Context, timeout time.Duration) (handoverAnswer, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer := <-a.handoverAnswers:
		return answer, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return handoverAnswer{}, false
}

// key returns the agent's address as messages contain it.
func (a *Agent) key() uint64 { return uint64(roster.KeyOfAddress(a.node.Address())) }

// handOver gives the flows of the endpoint to a control instance, which keeps them for the next
// start of this agent. From then on the endpoint gets no new flow.
func (a *Agent) handOver(ctx context.Context) {
	a.mu.Lock()
	now := a.node.Now()
	a.isHandedOver = true
	adopt := max(0, a.adoptUntil-now)
	if a.table.IsFull() {
		adopt = a.instance.Settings.Opaque.MaxFlowLifetime
	}
	flows := a.table.Export(now)
	a.mu.Unlock()
	control := a.node.Control()
	for _, target := range control[:min(len(control), maxHandoverTargets)] {
		if a.sendFlows(ctx, target, flows, adopt) {
			a.instance.Log.Info().Int("flows", len(flows)).Dur("adopt_ms", adopt).Stringer("control", target).Msg("flows handed over")
			return
		}
	}
	a.instance.Log.Warn().Int("flows", len(flows)).Msg("flows not handed over: no control instance has confirmed them")
}

// sendFlows reports whether a control instance has confirmed all flows.
func (a *Agent) sendFlows(ctx context.Context, target netip.AddrPort, flows []*wire.FlowState, adopt time.Duration) bool {
	confirmed := 0
	for deadline := time.Now().Add(handoverTimeout); time.Now().Before(deadline) && ctx.Err() == nil; {
		end := confirmed
		for part := 0; part < handoverWindow && (part == 0 || end < len(flows)); part++ {
			next := min(end+flow.HandoverFlows, len(flows))
			a.node.SendMessage(opaque.KindHandover, &wire.Handover{
				Agent: a.key(), Incarnation: a.instance.Incarnation, Offset: uint32(end), Total: uint32(len(flows)),
				Flows: flows[end:next], AdoptMs: uint32(adopt.Milliseconds()),
			}, target)
			end = next
		}
		for isConfirmed := false; !isConfirmed; {
			answer, ok := a.awaitHandoverAnswer(ctx, handoverRetry)
			if !ok {
				break
			}
			if answer.from == target && answer.message.Incarnation == a.instance.Incarnation {
				confirmed = max(confirmed, min(int(answer.message.Offset), len(flows)))
				isConfirmed = confirmed == end
			}
			if isConfirmed && confirmed == len(flows) {
				return true
			}
		}
	}
	return false
}

// takeOver fetches the flows that the previous start of this agent has handed over. Without them,
// the agent adopts the flows of its endpoint.
func (a *Agent) takeOver(ctx context.Context) {
	flows, adopt, isFound := a.fetchFlows(ctx)
	a.mu.Lock()
	now := a.node.Now()
	if isFound && !a.lifecycle.IsDown() {
		a.table.Import(now, flows)
		a.adoptUntil = now + adopt
	}
	a.awaitsFlows = false
	a.mu.Unlock()
	a.instance.Log.Info().Int("flows", len(flows)).Bool("found", isFound).Dur("adopt_ms", adopt).Dur("uptime_ms", now).Msg("flows taken over")
	a.releaseDeferred()
}

// fetchFlows returns the flows that a control instance keeps for this start, and for how long the
// endpoint may have others. It returns false if none keeps any.
func (a *Agent) fetchFlows(ctx context.Context) (flows []*wire.FlowState, adopt time.Duration, isFound bool) {
	var holder netip.AddrPort
	without := make(map[netip.AddrPort]bool)
	for deadline := time.Now().Add(takeoverTimeout); time.Now().Before(deadline) && ctx.Err() == nil; {
		a.requestFlows(holder, len(flows))
		for {
			answer, ok := a.awaitHandoverAnswer(ctx, handoverRetry)
			if !ok {
				break
			}
			part := answer.message
			if part.Incarnation != a.instance.Incarnation || int(part.Offset) != len(flows) {
				continue
			}
			if part.Found {
				holder = answer.from
				flows = append(flows, part.Flows...)
				if len(flows) >= int(part.Total) {
					return flows, time.Duration(part.AdoptMs) * time.Millisecond, true
				}
				break
			}
			if without[answer.from] = true; a.isAllOfControl(without) {
				return nil, 0, false
			}
		}
	}
	return nil, 0, false
}

// requestFlows requests the flows after the first ones from the control instance that keeps them,
// or from all while it is not known.
func (a *Agent) requestFlows(holder netip.AddrPort, offset int) {
	targets := a.node.Control()
	if holder.IsValid() {
		targets = []netip.AddrPort{holder}
	}
	for _, target := range targets {
		a.node.SendMessage(opaque.KindTakeover, &wire.Handover{Agent: a.key(), Incarnation: a.instance.Incarnation, Offset: uint32(offset)}, target)
	}
}

// isAllOfControl reports whether there are no other control instances than the given ones. An
// instance learns of all of them with the answer to its first poll.
func (a *Agent) isAllOfControl(instances map[netip.AddrPort]bool) bool {
	return a.node.SyncedAt() > 0 && !slices.ContainsFunc(a.node.Control(), func(control netip.AddrPort) bool { return !instances[control] })
}
