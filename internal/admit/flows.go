package admit

import (
	"math"
	"sync"
	"time"
)

// FlowChoice is what is done with a new flow.
type FlowChoice uint8

// Choices.
const (
	FlowRefuse FlowChoice = iota
	FlowAccept
	FlowForward
)

// FlowReason says why a new flow was not accepted, or why it was.
type FlowReason string

// Reasons of choices.
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

// FlowLoad is what an agent counts itself when a new flow is offered.
type FlowLoad struct {
	// Flows is how many are open; Connections is how many may be at most.
	Flows    int
	MaxFlows int
	// Work is the load of the endpoint's slots.
	Work Load
	// FullSlots is how many slots the document gives an endpoint.
	FullSlots int
	// IsServing is false while the endpoint drains or is gone.
	IsServing bool
	// IsLast says that there is no further candidate.
	IsLast bool
	// FirstCandidateLoad is the load of the first candidate, which has handed the flow
	// on; 0 at the first candidate.
	FirstCandidateLoad float64
}

// FlowDecision is what is done with a new flow, and why.
type FlowDecision struct {
	Choice FlowChoice
	Reason FlowReason
	// Load is the agent's load that was compared.
	Load float64
}

const (
	// utilizationWindow is over how long the use of the slots is averaged: a flow
	// outlives a moment's queue.
	utilizationWindow = time.Second
	// flowWeight is what a flow counts for against the use of the slots: both
	// are shares of what the endpoint can hold.
	flowWeight = 3.0
	// lowUtilization is the share of the slots in use below which a warm endpoint
	// accepts a flow without a comparison.
	lowUtilization = 0.3
	// coldHeadroom divides the flows that a cold endpoint may take: those that
	// it has accepted stay, and their requests come later.
	coldHeadroom = 2.0
)

// FlowGate decides new flows by service hunting. The first candidate accepts
// only with little work; otherwise it hands the flow on together with its load,
// and the next candidate that is no more loaded accepts. It comes back to the
// first when there is none. It is safe for concurrent use.
type FlowGate struct {
	mu          sync.Mutex
	utilization float64
	updatedAt   time.Time
}

// NewFlowGate returns a gate.
func NewFlowGate() *FlowGate {
	return new(FlowGate)
}

// Decide decides one new flow.
func (g *FlowGate) Decide(now time.Time, load FlowLoad) FlowDecision {
	if load.Work.Slots == 0 || !load.IsServing {
		return decideUnavailable(load)
	}
	use := g.updateUtilization(now, load)
	own := use + flowWeight*load.flowUtilization()
	switch {
	case load.Flows >= load.MaxFlows:
		return forwardOrRefuse(load, FlowHardLimit, own)
	case load.IsLast:
		return FlowDecision{FlowAccept, FlowLastCandidate, own}
	case use < lowUtilization && load.Work.IsWarm:
		return FlowDecision{FlowAccept, FlowLittleWork, own}
	case load.FirstCandidateLoad == 0:
		return forwardOrRefuse(load, FlowCompare, own)
	case own <= load.FirstCandidateLoad:
		return FlowDecision{FlowAccept, FlowLessLoaded, own}
	default:
		return forwardOrRefuse(load, FlowMoreLoaded, own)
	}
}

// UnavailableLoad is the load of an endpoint that takes no flows now.
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

// updateUtilization follows the use of the slots.
func (g *FlowGate) updateUtilization(now time.Time, load FlowLoad) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	use := float64(load.Work.Taken+load.Work.Waiting) / float64(load.Work.Slots)
	if g.updatedAt.IsZero() {
		g.utilization = use
	}
	share := 1 - math.Exp(-float64(now.Sub(g.updatedAt))/float64(utilizationWindow))
	g.utilization += share * (use - g.utilization)
	g.updatedAt = now
	return g.utilization
}

func forwardOrRefuse(load FlowLoad, reason FlowReason, own float64) FlowDecision {
	if load.IsLast {
		return FlowDecision{FlowRefuse, reason, own}
	}
	return FlowDecision{FlowForward, reason, own}
}

// flowUtilization is the share of the connections that the open flows fill, of those
// that the slots which may be taken now are worth.
func (l FlowLoad) flowUtilization() float64 {
	capacity := float64(l.MaxFlows) * float64(l.Work.Slots) / float64(l.FullSlots)
	if !l.Work.IsWarm {
		capacity /= coldHeadroom
	}
	return float64(l.Flows) / capacity
}
