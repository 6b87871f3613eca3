package admit

import (
	"math"
	"sync"
	"time"
)

// FlowChoice is the action taken for a new flow.
type FlowChoice uint8

// Flow choices.
const (
	FlowRefuse FlowChoice = iota
	FlowAccept
	FlowForward
)

// FlowReason is the reason for a FlowChoice.
type FlowReason string

// Flow reasons.
const (
	FlowLittleWork    FlowReason = "little-work"
	FlowLessLoaded    FlowReason = "less-loaded"
	FlowMoreLoaded    FlowReason = "more-loaded"
	FlowCompare       FlowReason = "compare"
	FlowLastCandidate FlowReason = "last-candidate"
	FlowHardLimit     FlowReason = "hard-limit"
	FlowNoSlots       FlowReason = "no-slots"
	FlowNotServing    FlowReason = "not-serving"
)

// FlowLoad is the load that an agent measures when a new flow is offered to it.
type FlowLoad struct {
	// Flows is the number of open flows, and MaxFlows the limit.
	Flows    int
	MaxFlows int
	// Work is the load of the endpoint's slots.
	Work Load
	// FullSlots is the number of slots of an endpoint in the service document.
	FullSlots int
	// IsServing is false while the endpoint is draining or unavailable.
	IsServing bool
	// IsLast is true if there is no further candidate.
	IsLast bool
	// FirstCandidateLoad is the load of the first candidate, which has forwarded the
	// flow. It is 0 at the first candidate.
	FirstCandidateLoad float64
}

// FlowDecision is the action taken for a new flow and its reason.
type FlowDecision struct {
	Choice FlowChoice
	Reason FlowReason
	// Load is the agent's load that was used in the comparison.
	Load float64
}

const (
	// utilizationWindow is the time constant of the moving average of slot
	// utilization. An average is used because a flow lasts longer than a momentary
	// queue.
	utilizationWindow = time.Second
	// flowWeight is the weight of the flow utilization relative to the slot
	// utilization. Both are shares of the endpoint's capacity.
	flowWeight = 3.0
	// lowUtilization is the slot utilization below which a warm endpoint accepts a
	// flow without a comparison.
	lowUtilization = 0.3
	// coldHeadroom divides the number of flows that a cold endpoint may accept,
	// because accepted flows stay and their requests arrive later.
	coldHeadroom = 2.0
)

// FlowGate decides whether to accept new flows by comparing the loads of candidates.
// The first candidate accepts a flow only at low load. Otherwise it forwards the flow
// with its own load attached, and the next candidate whose load is no higher accepts
// it. If there is none, the flow returns to the first candidate. FlowGate is safe for
// concurrent use.
type FlowGate struct {
	mu          sync.Mutex
	utilization float64
	updatedAt   time.Time
}

// NewFlowGate returns a gate without recorded utilization.
func NewFlowGate() *FlowGate {
	return new(FlowGate)
}

// Decide returns the decision for one new flow.
func (g *FlowGate) Decide(now time.Time, load FlowLoad) FlowDecision {
	if load.Work.Slots == 0 || !load.IsServing {
		return decideUnavailable(load)
	}
	utilization := g.updateUtilization(now, load)
	ownLoad := utilization + flowWeight*load.flowUtilization()
	switch {
	case load.Flows >= load.MaxFlows:
		return forwardOrRefuse(load, FlowHardLimit, ownLoad)
	case load.IsLast:
		return FlowDecision{FlowAccept, FlowLastCandidate, ownLoad}
	case utilization < lowUtilization && load.Work.IsWarm:
		return FlowDecision{FlowAccept, FlowLittleWork, ownLoad}
	case load.FirstCandidateLoad == 0:
		return forwardOrRefuse(load, FlowCompare, ownLoad)
	case ownLoad <= load.FirstCandidateLoad:
		return FlowDecision{FlowAccept, FlowLessLoaded, ownLoad}
	default:
		return forwardOrRefuse(load, FlowMoreLoaded, ownLoad)
	}
}

// UnavailableLoad is the load reported for an endpoint that accepts no flows at
// present.
const UnavailableLoad = 1000.0

func decideUnavailable(load FlowLoad) FlowDecision {
	if !load.IsServing {
		return forwardOrRefuse(load, FlowNotServing, UnavailableLoad)
	}
	if load.IsLast && load.Flows < load.MaxFlows {
		return FlowDecision{FlowAccept, FlowLastCandidate, UnavailableLoad}
	}
	return forwardOrRefuse(load, FlowNoSlots, UnavailableLoad)
}

// updateUtilization updates the moving average of slot utilization and returns it.
func (g *FlowGate) updateUtilization(now time.Time, load FlowLoad) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	utilization := float64(load.Work.Taken+load.Work.Waiting) / float64(load.Work.Slots)
	if g.updatedAt.IsZero() {
		g.utilization = utilization
	}
	share := 1 - math.Exp(-float64(now.Sub(g.updatedAt))/float64(utilizationWindow))
	g.utilization += share * (utilization - g.utilization)
	g.updatedAt = now
	return g.utilization
}

func forwardOrRefuse(load FlowLoad, reason FlowReason, ownLoad float64) FlowDecision {
	if load.IsLast {
		return FlowDecision{FlowRefuse, reason, ownLoad}
	}
	return FlowDecision{FlowForward, reason, ownLoad}
}

// flowUtilization returns the number of open flows relative to the share of MaxFlows
// that corresponds to the slots available now.
func (l FlowLoad) flowUtilization() float64 {
	capacity := float64(l.MaxFlows) * float64(l.Work.Slots) / float64(l.FullSlots)
	if !l.Work.IsWarm {
		capacity /= coldHeadroom
	}
	return float64(l.Flows) / capacity
}
