package agent

import (
	"sync"
	"time"

	"sassafrasturn.example/internal/admit"
	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/wire"
)

// choiceLifetime is how long the choice for a new flow is remembered: the
// datagrams of one handshake must all have the same fate.
const choiceLifetime = 10 * time.Second

// maxRememberedChoices bounds the memory; a flow beyond it is decided anew with
// each of its datagrams.
const maxRememberedChoices = 1 << 16

type flowChoice = admit.FlowChoice

const (
	flowRefuse  = admit.FlowRefuse
	flowAccept  = admit.FlowAccept
	flowForward = admit.FlowForward
)

// flowDecider decides for each new flow whether this agent accepts it or hands it on
// to the next candidate, and remembers the choice.
type flowDecider struct {
	// admit decides a flow that is new here.
	admit func(offer flowOffer) admit.FlowDecision

	mu          sync.Mutex
	choices     map[string]rememberedChoice
	lastCleaned time.Time
	isClosed    bool
}

// flowOffer is how a new flow is offered.
type flowOffer struct {
	// isLast says that there is no other candidate.
	isLast bool
	// firstCandidateLoad is the load of the first candidate, 0 at itself.
	firstCandidateLoad float64
}

type rememberedChoice struct {
	decision admit.FlowDecision
	at       time.Time
}

func newFlowDecider(decide func(offer flowOffer) admit.FlowDecision) *flowDecider {
	return &flowDecider{admit: decide, choices: make(map[string]rememberedChoice)}
}

func (h *flowDecider) decide(now time.Time, id []byte, offer flowOffer) admit.FlowDecision {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeExpired(now)
	remembered, ok := h.choices[string(id)]
	if ok && !h.isStale(remembered.decision.Choice, offer.isLast) {
		return remembered.decision
	}
	decision := h.admit(offer)
	if ok || len(h.choices) < maxRememberedChoices {
		h.choices[string(id)] = rememberedChoice{decision: decision, at: now}
	}
	return decision
}

// isStale reports whether a remembered choice no longer holds: it was a
// refusal, no candidate is left, or the agent has
// stopped taking handshakes.
func (h *flowDecider) isStale(choice flowChoice, isLast bool) bool {
	switch choice {
	case flowForward:
		return isLast
	case flowAccept:
		return h.isClosed
	default:
		return true
	}
}

// close forgets the handshakes that have not come to an end.
func (h *flowDecider) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isClosed = true
}

func (h *flowDecider) removeExpired(now time.Time) {
	if now.Sub(h.lastCleaned) < choiceLifetime/2 {
		return
	}
	h.lastCleaned = now
	for id, remembered := range h.choices {
		if now.Sub(remembered.at) > choiceLifetime {
			delete(h.choices, id)
		}
	}
}

// loadUnit is the load of 1 as envelopes carry it.
const loadUnit = 1000

func offerOf(message *wire.Envelope) flowOffer {
	return flowOffer{isLast: len(message.Candidates) == 0, firstCandidateLoad: float64(message.Load) / loadUnit}
}

// addFirstCandidate lets the load of the first candidate travel with a flow that it
// hands on, and makes it the last candidate too, unless it takes no flows.
func (a *Agent) addFirstCandidate(message *wire.Envelope, load float64) {
	if message.Load > 0 || len(message.Candidates) == 0 {
		return
	}
	message.Load = uint32(max(1, load*loadUnit))
	if load < admit.UnavailableLoad {
		message.Candidates = append(message.Candidates, envelope.PackAddress(a.instance.Settings.Agent.Envelope))
	}
}
