package soak

import (
	"net/netip"
	"sync"
	"time"

	"sassafrasturn.example/internal/flow"
)

const (
	// applyTime is within how long an acknowledged change is in force at every
	// process that is not disturbed, and evacuationTime the same for zones: what the
	// users' platform allows.
	applyTime      = 3 * time.Second
	evacuationTime = 5 * time.Second
	// calmTime is how long after a disturbance a process counts as disturbed.
	calmTime = 4 * time.Second
)

// rules are what the operator's acknowledged orders forbid.
type rules struct {
	mu sync.Mutex
	// out is when the evacuation of a zone was acknowledged, of those in force.
	out map[string]time.Time
	// sent is the newest phase that was sent, acked the newest acknowledged.
	sent, acked int
	ackedAt     time.Time
}

// turningRoute leads to serviceOf each phase: to one service in even phases and to
// the other in odd ones.
var turningRoute = netip.MustParseAddrPort("198.18.0.3:443")

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
func (r *rules) evacuate(zone string, isOut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if isOut {
		r.out[zone] = time.Now()
	} else {
		delete(r.out, zone)
	}
}

// outFor returns for how long the evacuation of a zone has been acknowledged.
func (r *rules) outFor(zone string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since, isOut := r.out[zone]; isOut {
		return time.Since(since)
	}
	return 0
}

// mayTurnTo reports whether a new flow of the turning route may reach a service now.
func (r *rules) mayTurnTo(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.acked
	if time.Since(r.ackedAt) <= applyTime {
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
func (s *site) checkNewFlow(key flow.Key) {
	own, isTurning := serviceOf(s.n), key.Dialed == turningRoute
	if !isTurning && key.Dialed != routeOf(own) {
		s.world.violate("%s of %s got a flow to %s", s.id, own, key.Dialed)
	}
	if !s.drainedAt.IsZero() && time.Since(s.drainedAt) > drainTime {
		s.world.violate("%s got a flow %s after its drain was acknowledged", s.id, time.Since(s.drainedAt))
	}
	if !s.agent.isCalm() {
		return
	}
	if isTurning && !s.world.rules.mayTurnTo(own) {
		s.world.violate("%s of %s got flow %s of a route that has turned away", s.id, own, key)
	}
	if out := s.world.rules.outFor(zoneOf(s.n)); out > evacuationTime {
		s.world.violate("%s got flow %s %s after the evacuation of its zone was acknowledged", s.id, key, out)
	}
}
