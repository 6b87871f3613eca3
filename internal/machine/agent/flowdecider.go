package agent

import (
	"sync"
	"time"

	"sassafrasturn.example/internal/admit"
	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/wire"
)

// choiceLifetime is how long the choice for a new flow is kept, so that all
// datagrams of a handshake are treated the same.
const choiceLifetime = 10 * time.Second

// maxRememberedChoices limits the number of choices kept. A flow beyond the
// limit is decided again for each of its datagrams.
const maxRememberedChoices = 1 << 16

type flowChoice = admit.FlowChoice

const (
	flowRefuse  = admit.FlowRefuse
	flowAccept  = admit.FlowAccept
	flowForward = admit.FlowForward
)

// flowDecider decides for each new flow whether this agent accepts it or
// forwards it to the next candidate, and keeps the choice for choiceLifetime.
type flowDecider struct {
	// admit decides a flow for which no choice is kept.
	admit func(offer flowOffer) admit.FlowDecision

	mu          sync.Mutex
	choices     map[string]rememberedChoice
	lastCleaned time.Time
	isClosed    bool
}

// flowOffer describes the offer of a new flow.
type flowOffer struct {
	// isLast is true if there is no further candidate.
	isLast bool
	// firstCandidateLoad is the load of the first candidate; 0 at the first candidate itself.
	firstCandidateLoad float64
}

type rememberedChoice struct {
	decision admit.FlowDecision
	at       time.Time
}

func newFlowDecider(decide func(offer flowOffer) admit.FlowDecision) *flowDecider {
	return &flowDecider{admit: decide, choices: make(map[string]rememberedChoice)}
}

func (d *flowDecider) decide(now time.Time, id []byte, offer flowOffer) admit.FlowDecision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeExpired(now)
	remembered, ok := d.choices[string(id)]
	if ok && !d.isStale(remembered.decision.Choice, offer.isLast) {
		return remembered.decision
	}
	decision := d.admit(offer)
	if ok || len(d.choices) < maxRememberedChoices {
		d.choices[string(id)] = rememberedChoice{decision: decision, at: now}
	}
	return decision
}

// isStale reports whether a remembered choice no longer applies: it was a
// refusal, it was to forward and no candidate is left, or it was to accept and
// the agent no longer accepts handshakes.
func (d *flowDecider) isStale(choice flowChoice, isLast bool) bool {
	switch choice {
	case flowForward:
		return isLast
	case flowAccept:
		return d.isClosed
	default:
		return true
	}
}

// close invalidates the choices to accept; handshakes that are not complete are decided again.
func (d *flowDecider) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isClosed = true
}

func (d *flowDecider) removeExpired(now time.Time) {
	if now.Sub(d.lastCleaned) < choiceLifetime/2 {
		return
	}
	d.lastCleaned = now
	for id, remembered := range d.choices {
		if now.Sub(remembered.at) > choiceLifetime {
			delete(d.choices, id)
		}
	}
}

// loadUnit is how envelopes encode a load of 1.
const loadUnit = 1000

func offerOf(message *wire.Envelope) flowOffer {
	return flowOffer{isLast: len(message.Candidates) == 0, firstCandidateLoad: float64(message.Load) / loadUnit}
}

// addFirstCandidate changes the message of a forwarded flow if this agent is its
// first candidate: it adds the agent's load and, unless the endpoint is
// unavailable, appends the agent as the last candidate.
func (a *Agent) addFirstCandidate(message *wire.Envelope, load float64) {
	if message.Load > 0 || len(message.Candidates) == 0 {
		return
	}
	message.Load = uint32(max(1, load*loadUnit))
	if load < admit.UnavailableLoad {
		message.Candidates = append(message.Candidates, envelope.PackAddress(a.instance.Settings.Agent.Envelope))
	}
}
