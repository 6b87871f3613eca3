package agent

import (
	"github.com/phuslu/log"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine/opaque"
)

// Reasons of resets of open flows.
const (
	// reasonNoOwner is the reason of the reset of a flow that no agent owns.
	reasonNoOwner   = "no-agent-holds-flow"
	reasonLostFlow  = "endpoint-lost-flow"
	reasonLeft      = "endpoint-left"
	reasonRestarted = "endpoint-restarted"
)

// openFlowLine starts the log line of a decision about a packet of an open flow. It returns nil if
// the limit is reached.
func (a *Agent) openFlowLine(decision string, key flow.Key, offer *opaque.Offer) *log.Entry {
	line := a.instance.Decisions.OpenFlow(decision)
	if line == nil {
		return nil
	}
	return line.Str("flow", key.String()).Int("hops", offer.Hops)
}

// resetLine starts the log line of a reset. Resets of new flows are common in an overload, and
// must not suppress those of open flows.
func (a *Agent) resetLine(reason string) *log.Entry {
	switch reason {
	case reasonNoOwner, reasonLostFlow, reasonLeft, reasonRestarted:
		return a.instance.Decisions.OpenFlow("reset")
	}
	return a.instance.Decisions.Decision("reset")
}

// logUnreachable logs that a packet could not be sent to the endpoint.
func (a *Agent) logUnreachable(packet []byte, err error) {
	h, ok := a.codec.Parse(packet)
	if !ok {
		return
	}
	line := a.instance.Decisions.Decision
	if !h.IsSYN {
		line = a.instance.Decisions.OpenFlow
	}
	key := h.KeyFromCaller()
	line("drop").Str("flow", key.String()).Err(err).Str("reason", "endpoint unreachable").Msg("")
}

// logLostDeferred logs how many deferred packets could not be kept until they were forwarded.
func (a *Agent) logLostDeferred() {
	if lost := a.deferred.TakeLost(); lost > 0 {
		a.metrics.dropped.WithLabelValues("deferred-too-long").Add(float64(lost))
		state := a.node.State()
		a.instance.Decisions.OpenFlow("lost").Int("packets", lost).Bool("awaits_flows", a.awaitsFlows).Bool("usable", state.IsUsable).
			Uint64("routing_version", state.Table.Version).Str("reason", "deferred for too long, or too many").Msg("")
	}
}
