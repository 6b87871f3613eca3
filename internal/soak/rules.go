package soak

import (
	"net/netip"
	"sync"
	"time"

	"sassafrasturn.example/internal/flow"
)

const (
	// applyTimeout is the time within which an acknowledged change must be in force at every
	// process without a recent fault, and evacuationTime the same for the evacuation of a
	// zone. Both are limits of the users' platform.
	applyTimeout   = 3 * time.Second
	evacuationTime = 5 * time.Second
	// stabilizationTime is how long after a fault a process is exempt from the checks that a
	// fault excuses.
	stabilizationTime = 4 * time.Second
)

// rules determine which new flows the operator's acknowledged requests forbid.
type rules struct {
	mu sync.Mutex
	// evacuatedAt is when each current evacuation was acknowledged, by zone.
	evacuatedAt map[string]time.Time
	// sent is the newest phase that was sent, and acked the newest that was acknowledged.
	sent, acked int
	ackedAt     time.Time
}

// alternatingRoute is the address of a route to serviceOf(phase): to one service in even
// phases and to the other in odd phases.
var alternatingRoute = netip.MustParseAddrPort("198.18.0.3:443")

func (r *rules) recordSent(phase int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = phase
}

func (r *rules) recordAcknowledged(phase int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if phase > r.acked {
		r.acked, r.ackedAt = phase, time.Now()
	}
}

// setEvacuated records that the evacuation of a zone was acknowledged or is about to end.
func (r *rules) setEvacuated(zone string, isEvacuated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if isEvacuated {
		r.evacuatedAt[zone] = time.Now()
	} else {
		delete(r.evacuatedAt, zone)
	}
}

// evacuatedFor returns the time since the evacuation of a zone was acknowledged, or 0 if
// the zone is in service.
func (r *rules) evacuatedFor(zone string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since, isEvacuated := r.evacuatedAt[zone]; isEvacuated {
		return time.Since(since)
	}
	return 0
}

// mayReach reports whether a new flow of the alternating route may reach a service now.
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

// checkNewFlow checks a new flow at an endpoint against the rules. The rules on the
// alternating route and on evacuated zones don't apply if the endpoint's agent had a
// fault recently. The others always apply: no fault excuses a flow to a wrong service.
func (e *endpoint) checkNewFlow(key flow.Key) {
	own, isAlternating := serviceOf(e.index), key.Dialed == alternatingRoute
	if !isAlternating && key.Dialed != routeAddress(own) {
		e.cluster.recordViolation("%s of service %s received a flow to %s", e.id, own, key.Dialed)
	}
	if !e.drainedAt.IsZero() && time.Since(e.drainedAt) > drainGracePeriod {
		e.cluster.recordViolation("%s received a flow %s after its drain was acknowledged", e.id, time.Since(e.drainedAt))
	}
	if !e.agent.isStable() {
		return
	}
	if isAlternating && !e.cluster.rules.mayReach(own) {
		e.cluster.recordViolation("%s of service %s received flow %s of a route that leads to another service", e.id, own, key)
	}
	if evacuated := e.cluster.rules.evacuatedFor(zoneOf(e.index)); evacuated > evacuationTime {
		e.cluster.recordViolation("%s received flow %s %s after the evacuation of its zone was acknowledged", e.id, key, evacuated)
	}
}
