package agent

import (
	"sync"
	"time"
)

// handshakeMemory is how long the choice for a new flow is remembered: the
// datagrams of one handshake must all have the same fate.
const handshakeMemory = 10 * time.Second

type huntChoice uint8

const (
	huntRefuse huntChoice = iota
	huntAccept
	huntHandOn
)

// hunt decides for each new flow whether this agent accepts it or hands it on
// to the next candidate, and remembers the choice.
type hunt struct {
	// admit decides a flow that is new here; isLast says that there is no other candidate.
	admit func(isLast bool) huntChoice

	mu      sync.Mutex
	choices map[string]rememberedChoice
	cleaned time.Time
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
	if held, ok := h.choices[string(id)]; ok && (held.choice != huntHandOn || !isLast) {
		return held.choice
	}
	choice := h.admit(isLast)
	h.choices[string(id)] = rememberedChoice{choice: choice, at: now}
	return choice
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
