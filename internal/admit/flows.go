package admit

import "sync"

// FlowChoice is what is done with a new flow.
type FlowChoice uint8

// Choices.
const (
	FlowRefuse FlowChoice = iota
	FlowAccept
	FlowHandOn
)

// FlowReason says why a new flow was not accepted, or why it was.
type FlowReason string

// Reasons of choices.
const (
	FlowBelowThreshold FlowReason = "below-threshold"
	FlowLastCandidate  FlowReason = "last-candidate"
	FlowAboveThreshold FlowReason = "above-threshold"
	FlowHardLimit      FlowReason = "hard-limit"
	FlowNoSlots        FlowReason = "no-slots"
	FlowNotServing     FlowReason = "not-serving"
)

// FlowLoad is what an agent counts itself when a new flow is offered.
type FlowLoad struct {
	// Flows is how many are open; Connections is how many may be at most.
	Flows       int
	Connections int
	// Work is the load of the endpoint's slots.
	Work Load
	// FullSlots is how many slots the endpoint has when it is warm.
	FullSlots int
	// IsServing is false while the endpoint drains or is gone.
	IsServing bool
	// IsLast says that there is no further candidate.
	IsLast bool
}

const (
	// thresholdWindow is how many offers stand between two moves of the threshold.
	thresholdWindow = 16
	// Between these shares of accepted offers the threshold stays.
	minAcceptShare = 0.4
	maxAcceptShare = 0.6
	// firstThreshold and its bounds are in requests at the endpoint for each
	// slot that it may take.
	firstThreshold = 1.0
	thresholdStep  = 0.2
	minThreshold   = 0.2
	maxThreshold   = 4.0
)

// FlowGate decides new flows by service hunting: it accepts below a threshold
// of the agent's own work, hands on otherwise, and moves the threshold so that
// about half of the offers are accepted. It is safe for concurrent use.
type FlowGate struct {
	mu        sync.Mutex
	threshold float64
	offers    int
	accepted  int
}

// NewFlowGate returns a gate.
func NewFlowGate() *FlowGate {
	return &FlowGate{threshold: firstThreshold}
}

// Decide decides one new flow.
func (g *FlowGate) Decide(load FlowLoad) (FlowChoice, FlowReason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !load.IsServing:
		return handOn(load, FlowNotServing)
	case load.Flows >= load.Connections:
		return handOn(load, FlowHardLimit)
	case load.IsLast:
		return FlowAccept, FlowLastCandidate
	case load.Work.Slots == 0:
		return FlowHandOn, FlowNoSlots
	}
	isAccepted := load.work() < g.threshold
	g.count(isAccepted)
	if isAccepted {
		return FlowAccept, FlowBelowThreshold
	}
	return FlowHandOn, FlowAboveThreshold
}

func handOn(load FlowLoad, reason FlowReason) (FlowChoice, FlowReason) {
	if load.IsLast {
		return FlowRefuse, reason
	}
	return FlowHandOn, reason
}

// work is the load in requests for each slot that may be taken. Open flows
// count as the share of the connections that they fill.
func (l FlowLoad) work() float64 {
	requests := float64(l.Work.Taken+l.Work.Waiting) / float64(l.Work.Slots)
	flows := float64(l.Flows) / float64(l.Connections) * float64(l.FullSlots) / float64(l.Work.Slots)
	return requests + flows
}

func (g *FlowGate) count(isAccepted bool) {
	g.offers++
	if isAccepted {
		g.accepted++
	}
	if g.offers < thresholdWindow {
		return
	}
	share := float64(g.accepted) / float64(g.offers)
	switch {
	case share < minAcceptShare:
		g.threshold = min(g.threshold+thresholdStep, maxThreshold)
	case share > maxAcceptShare:
		g.threshold = max(g.threshold-thresholdStep, minThreshold)
	}
	g.offers, g.accepted = 0, 0
}

// Threshold returns the threshold in requests for each slot.
func (g *FlowGate) Threshold() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.threshold
}
