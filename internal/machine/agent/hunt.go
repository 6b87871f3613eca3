package agent

import (
	"sync"
	"time"

	"sassafrasturn.example/internal/admit"
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
	huntHandOn = admit.FlowHandOn
)

// hunt decides for each new flow whether this agent accepts it or hands it on
// to the next candidate, and remembers the choice.
type hunt struct {
	// admit decides a flow that is new here; isLast says that there is no other candidate.
	admit func(isLast bool) huntChoice

	mu       sync.Mutex
	choices  map[string]rememberedChoice
	cleaned  time.Time
	isClosed bool
}

type rememberedChoice struct {
	choice huntChoice
	at     time.Time
}

func newHunt(admit func(isLast bool) huntChoice) *hunt {
	return &hunt{admit: admit, choices: make(map[string]rememberedChoice)}
}

func (h *hunt) decide(now time.Time, id []byte, isLast bool) huntChoice {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clean(now)
	held, ok := h.choices[string(id)]
	if ok && !h.isStale(held, isLast) {
		return held.choice
	}
	choice := h.admit(isLast)
	if ok || len(h.choices) < maxRememberedChoices {
		h.choices[string(id)] = rememberedChoice{choice: choice, at: now}
	}
	return choice
}

// isStale reports whether a remembered choice no longer holds: it was a
// refusal, there is nobody left to hand the flow on to, or the agent has
// stopped taking handshakes.
func (h *hunt) isStale(held rememberedChoice, isLast bool) bool {
	switch held.choice {
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
