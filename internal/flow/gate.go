package flow

import (
	"time"
)

// Reason says why an agent does not take a new flow.
type Reason string

// Reasons. The empty one says that the flow is taken.
const (
	Accepted               Reason = ""
	RefusedUnknown         Reason = "endpoint-unknown"
	RefusedSilent          Reason = "endpoint-silent"
	RefusedDraining        Reason = "draining"
	RefusedLeaving         Reason = "agent-leaving"
	RefusedRouteNotAllowed Reason = "route-not-allowed"
	RefusedZoneOut         Reason = "zone-out"
	RefusedCold            Reason = "cold"
	RefusedBusy            Reason = "busy"
	RefusedSlow            Reason = "slow"
	RefusedFailing         Reason = "failing"
	RefusedFull            Reason = "no-more-flows"
	// RefusedByEndpoint: the endpoint itself has bounced the flow.
	RefusedByEndpoint Reason = "bounced"
)

// Endpoint is what an endpoint has said about itself.
type Endpoint struct {
	ID      string
	Service string
	Slots   int
	// StartedAt is the wall-clock time of its start in Unix milliseconds, 0 when it
	// did not say.
	StartedAt  int64
	Sequence   uint64
	IsDraining bool
	// ColdUntil is when it will bear its full load.
	ColdUntil time.Duration
	// LastSeen is when its newest announcement arrived.
	LastSeen time.Duration
}

// StartedWithin reports whether the endpoint has certainly started after an agent
// that has run for uptime, so that the agent has seen all its flows. wall is the
// time of day in Unix milliseconds. The time of day may have jumped since either
// start: an endpoint that seems to start in the future, or before the agent,
// may be older.
func (e *Endpoint) StartedWithin(wall int64, uptime time.Duration) bool {
	age := time.Duration(wall-e.StartedAt) * time.Millisecond
	return e.StartedAt > 0 && age >= 0 && age <= uptime
}

// Request is a new flow at the gate of an agent.
type Request struct {
	// IsRouteAllowed: the newest routing table known lets the flow's route use
	// the endpoint's service.
	IsRouteAllowed bool
	IsZoneOut      bool
	IsLeaving      bool
	// CandidatesLeft is how many other agents are left to offer the flow to.
	CandidatesLeft int
	// InFlight is how many requests are in flight at the endpoint, and RecentRequests how many it
	// was given within the last second.
	InFlight, RecentRequests int
	// IsFull: the endpoint holds as many flows as its service states.
	IsFull bool
	// ResponseTime is how long the endpoint has lately taken for an answer, and LongestWait
	// how long a flow has waited that has none yet.
	ResponseTime, LongestWait time.Duration
	// FailureRate is the share of requests that the endpoint has lately failed.
	FailureRate float64
	// Objective is the latency that the route's callers want, 0 when it states none.
	Objective time.Duration
}

// isSlow reports whether a flow would likely miss its objective at an endpoint
// with so many slots: the mean answer takes over half of it, which leaves too
// little for the spread of work, or an answer has already missed it.
func (r *Request) isSlow(slots int) bool {
	if r.Objective == 0 {
		return false
	}
	expected := r.ResponseTime + r.ResponseTime*time.Duration(r.InFlight)/time.Duration(max(slots, 1))
	return expected > r.Objective/2 || r.LongestWait > r.Objective
}

// Gate decides which new flows the agent's endpoint gets. It answers bursts,
// slow endpoints and cold ones: a flow that would wait, or that the endpoint would
// likely answer late, is offered to the next agents, and only the last ones take
// it all the same, up to a bound.
type Gate struct {
	// SilenceTimeout is how long an endpoint may be silent before it gets no new flows:
	// less than the time after which its address may serve another service.
	SilenceTimeout time.Duration
	// ColdFactor times the requests a second that a service states for cold
	// endpoints, and ColdSlack more, may reach one in any second. It gets no new flow
	// while it has what it bears, on open flows too: long flows would pile up. A
	// service that states none has no such bound: its cold endpoints get what they
	// can work on.
	ColdFactor float64
	ColdSlack  int

	coldAdmissions []time.Duration
}

const (
	// coldMargin is how many requests a second a cold endpoint gets less than
	// the bound: what a second copy of a SYN adds unseen.
	coldMargin = 1
	// maxFailureRate is the share of failed requests from which others are asked
	// first: two of the last eight, since one may fail by chance.
	maxFailureRate = 0.2
	// coldWindow is the window in which the bound holds.
	coldWindow = time.Second
	// coldWindowSlack covers the way between agent and endpoint.
	coldWindowSlack = 20 * time.Millisecond
	// maxQueuePerSlot is how many requests may wait for each slot of the last
	// agent that is offered a flow: as many as the known endpoints hold themselves.
	// Callers who wait for four others still get their answer well within their
	// deadline; a refusal would cost them a try.
	maxQueuePerSlot = 4
)

// queuePerSlot is how many requests may wait for each slot at an agent with so
// many others left: none where two or more of them may have a free slot.
func queuePerSlot(others int) int {
	switch others {
	case 0:
		return maxQueuePerSlot
	case 1:
		return maxQueuePerSlot / 2
	default:
		return 0
	}
}

// Decide says whether the endpoint gets a new flow now.
func (g *Gate) Decide(now time.Duration, endpoint *Endpoint, coldPerSecond float64, request Request) Reason {
	switch {
	case endpoint == nil:
		return RefusedUnknown
	case now-endpoint.LastSeen > g.SilenceTimeout:
		return RefusedSilent
	case endpoint.IsDraining:
		return RefusedDraining
	case request.IsLeaving:
		return RefusedLeaving
	case !request.IsRouteAllowed:
		return RefusedRouteNotAllowed
	case request.IsZoneOut:
		return RefusedZoneOut
	}
	if request.InFlight >= endpoint.Slots*(1+queuePerSlot(request.CandidatesLeft)) {
		return RefusedBusy
	}
	if request.IsFull {
		return RefusedFull
	}
	if request.CandidatesLeft > 0 && request.FailureRate > maxFailureRate {
		return RefusedFailing
	}
	if request.CandidatesLeft > 0 && request.isSlow(endpoint.Slots) {
		return RefusedSlow
	}
	isCold := now < endpoint.ColdUntil && coldPerSecond > 0
	if isCold && (float64(request.RecentRequests) >= coldPerSecond || !g.admitCold(now, coldPerSecond)) {
		return RefusedCold
	}
	return Accepted
}

// DefaultColdRate is what a cold endpoint is taken to bear a second while its service is
// not known: the slack, which any service allows.
func (g *Gate) DefaultColdRate() float64 {
	return max(1, float64(g.ColdSlack-coldMargin))
}

// admitCold counts a flow against the allowance of a cold endpoint.
func (g *Gate) admitCold(now time.Duration, perSecond float64) bool {
	bound := int(perSecond*g.ColdFactor) + g.ColdSlack - coldMargin
	kept := g.coldAdmissions[:0]
	for _, at := range g.coldAdmissions {
		if now-at < coldWindow+coldWindowSlack {
			kept = append(kept, at)
		}
	}
	g.coldAdmissions = kept
	if len(g.coldAdmissions) >= bound {
		return false
	}
	g.coldAdmissions = append(g.coldAdmissions, now)
	return true
}
