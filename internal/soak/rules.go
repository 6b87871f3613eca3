package soak

import (
	"net/netip"
	"sync"
	"time"

	"sassafrasturn.example/internal/flow"
)

const (
	// applyTimeout is within how long an acknowledged change is in force at every
	// process that is not disturbed, and evacuationTime the same for zones: what the
	// users' platform allows.
	applyTimeout   = 3 * time.Second
	evacuationTime = 5 * time.Second
	// stabilizationTime is how long after a disturbance a process counts as disturbed.
	stabilizationTime = 4 * time.Second
)

// rules are what the operator's acknowledged orders forbid.
type rules struct {
	mu sync.Mutex
	// evacuatedAt is when the evacuation of a zone was acknowledged, of those in force.
	evacuatedAt map[string]time.Time
	// sent is the newest phase that was sent, acked the newest acknowledged.
	sent, acked int
	ackedAt     time.Time
}

// alternatingRoute leads to serviceOf each phase: to one service in even phases and to
// the other in odd ones.
var alternatingRoute = netip.MustParseAddrPort("198.18.0.3:443")

func (r *rules) send(phase int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = phase
}

func (r *rules) acknowledge(phase int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if phase > r.acked {
		r.acked, r.ackedAt = phase, time.Now()
	}
}

// evacuate notes that the evacuation of a zone was acknowledged, or is being undone.
func (r *rules) evacuate(zone string, isEvacuated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if isEvacuated {
		r.evacuatedAt[zone] = time.Now()
	} else {
		delete(r.evacuatedAt, zone)
	}
}

// evacuatedFor returns for how long the evacuation of a zone has been acknowledged.
func (r *rules) evacuatedFor(zone string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since, isEvacuated := r.evacuatedAt[zone]; isEvacuated {
		return time.Since(since)
	}
	return 0
}

// mayReach reports whether a new flow of the turning route may reach a service now.
func (r *rules) mayReach(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.acked
	if time.Since(r.ackedAt) <= applyTimeout {
		first = max(0, first-1)
	}
	for phase := first; phase <= r.sent; phase++ {
		if serviceOf(phase) == service {
			return true
		}
	}
	return false
}

// checkNewFlow checks the flow that an endpoint is given against the rules. What a
// process does that was lately disturbed is left out, but for the service: nothing
// ever allows another one.
func (e *endpoint) checkNewFlow(key flow.Key) {
	own, isAlternating := serviceOf(e.index), key.Dialed == alternatingRoute
	if !isAlternating && key.Dialed != routeAddress(own) {
		e.cluster.recordViolation("%s of %s got a flow to %s", e.id, own, key.Dialed)
	}
	if !e.drainedAt.IsZero() && time.Since(e.drainedAt) > drainTimeout {
		e.cluster.recordViolation("%s got a flow %s after its drain was acknowledged", e.id, time.Since(e.drainedAt))
	}
	if !e.agent.isStable() {
		return
	}
	if isAlternating && !e.cluster.rules.mayReach(own) {
		e.cluster.recordViolation("%s of %s got flow %s of a route that has turned away", e.id, own, key)
	}
	if evacuated := e.cluster.rules.evacuatedFor(zoneOf(e.index)); evacuated > evacuationTime {
		e.cluster.recordViolation("%s got flow %s %s after the evacuation of its zone was acknowledged", e.id, key, evacuated)
	}
}
