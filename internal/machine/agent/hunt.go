package agent

import (
	"sync"
	"time"

	"sassafrasturn.example/internal/admit"
	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/wire"
)

// handshakeMemory is how long the choice for a new flow is remembered: the
// datagrams of one handshake must all have the same fate.
const handshakeMemory = 10 * time.Second

// maxRememberedChoices bounds the memory; a flow beyond it is decided anew with
// each of its datagrams.
const maxRememberedChoices = 1 << 16

type huntChoice = admit.FlowChoice

const (
	huntRefuse = admit.FlowRefuse
	huntAccept = admit.FlowAccept
	huntHandOn = admit.FlowForward
)

// hunt decides for each new flow whether this agent accepts it or hands it on
// to the next candidate, and remembers the choice.
type hunt struct {
	// admit decides a flow that is new here.
	admit func(offer huntOffer) admit.FlowDecision

	mu       sync.Mutex
	choices  map[string]rememberedChoice
	cleaned  time.Time
	isClosed bool
}

// huntOffer is how a new flow is offered.
type huntOffer struct {
	// isLast says that there is no other candidate.
	isLast bool
	// carried is the load of the first candidate, 0 at itself.
	carried float64
}

type rememberedChoice struct {
	decision admit.FlowDecision
	at       time.Time
}

func newHunt(decide func(offer huntOffer) admit.FlowDecision) *hunt {
	return &hunt{admit: decide, choices: make(map[string]rememberedChoice)}
}

func (h *hunt) decide(now time.Time, id []byte, offer huntOffer) admit.FlowDecision {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clean(now)
	held, ok := h.choices[string(id)]
	if ok && !h.isStale(held.decision.Choice, offer.isLast) {
		return held.decision
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
func (h *hunt) isStale(held huntChoice, isLast bool) bool {
	switch held {
	case huntHandOn:
		return isLast
	case huntAccept:
		return h.isClosed
	default:
		return true
	}
}

// close forgets the handshakes that have not come to an end.
func (h *hunt) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isClosed = true
}

func (h *hunt) clean(now time.Time) {
	if now.Sub(h.cleaned) < handshakeMemory/2 {
		return
	}
	h.cleaned = now
	for id, held := range h.choices {
		if now.Sub(held.at) > handshakeMemory {
			delete(h.choices, id)
		}
	}
}

// loadUnit is the load of 1 as envelopes carry it.
const loadUnit = 1000

func offerOf(message *wire.Envelope) huntOffer {
	return huntOffer{isLast: len(message.Candidates) == 0, carried: float64(message.Load) / loadUnit}
}

// carryLoad lets the load of the first candidate travel with a flow that it
// hands on, and makes it the last candidate too, unless it takes no flows.
func (a *Agent) carryLoad(message *wire.Envelope, load float64) {
	if message.Load > 0 || len(message.Candidates) == 0 {
		return
	}
	message.Load = uint32(max(1, load*loadUnit))
	if load < admit.UnavailableLoad {
		message.Candidates = append(message.Candidates, envelope.PackAddress(a.instance.Settings.Agent.Envelope))
	}
}
