package flow

import (
	"math"
	"time"
)

// Reason is the reason why an agent does not accept a new flow.
type Reason string

// Reasons. The empty reason means that the flow is accepted.
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
	// RefusedByEndpoint means that the endpoint itself has bounced the flow.
	RefusedByEndpoint Reason = "bounced"
)

// Endpoint is the state that an endpoint has announced.
type Endpoint struct {
	ID      string
	Service string
	// Slots is the number of requests that the endpoint works on at the same time.
	Slots int
	// StartedAt is the wall-clock time of its start in Unix milliseconds, 0 if it was
	// not announced.
	StartedAt  int64
	Sequence   uint64
	IsDraining bool
	// IsLeaving is set once it has announced its end. It may serve its open flows until it
	// exits.
	IsLeaving bool
	// ColdUntil is when the endpoint is expected to sustain its full load.
	ColdUntil time.Duration
	// LastSeen is when its latest announcement was received.
	LastSeen time.Duration
}

// AdmissionRequest describes a new flow that is offered to an agent, and the state of
// the agent and its endpoint that Gate.Decide takes into account.
type AdmissionRequest struct {
	// IsRouteAllowed is true if the latest known routing table allows the flow's route
	// to use the endpoint's service.
	IsRouteAllowed bool
	// IsZoneOut is true if the agent's zone is out of service.
	IsZoneOut bool
	// IsLeaving is true if the agent is stopping.
	IsLeaving bool
	// MayBeCold is true if the endpoint may have become cold since its last announcement.
	MayBeCold bool
	// IsHistoryUnknown is true if the endpoint may have received requests within ColdWindow
	// that are not among RecentRequests.
	IsHistoryUnknown bool
	// CandidatesLeft is how many more agents the flow can be offered to after this
	// one.
	CandidatesLeft int
	// InFlight is how many requests are in flight at the endpoint, and RecentRequests
	// how many it received within the last second.
	InFlight, RecentRequests int
	// IsFull is true if the endpoint has the maximum number of flows that its service
	// states.
	IsFull bool
	// ResponseTime is the recent mean time to the first byte of the endpoint's
	// answers, and LongestWait how long the flow that has waited longest has been
	// without one while no other flow got one.
	ResponseTime, LongestWait time.Duration
	// ServiceTime is the median time of the last few requests that found a free slot, 0 if it
	// is not known.
	ServiceTime time.Duration
	// IsSlowForService is true if the endpoint is slow for its service; see View.
	IsSlowForService bool
	// FailureRate is the share of requests that the endpoint recently failed, from 0
	// to 1.
	FailureRate float64
	// Objective is the latency objective of the route, 0 if it states none.
	Objective time.Duration
	// IsLeastUrgent is true if other flows of the service are more urgent, and none less.
	IsLeastUrgent bool
	// Elapsed is for how long at least the caller has waited.
	Elapsed time.Duration
}

// isLate reports whether the answer would miss the objective at the endpoint's recent response time,
// which includes waits in its queue.
func (r *AdmissionRequest) isLate() bool {
	return r.Objective > 0 && r.Elapsed+r.ResponseTime > r.Objective
}

// isSlow reports whether a flow would probably miss its objective at an endpoint with
// the given number of slots. This is the case if the expected response time exceeds
// half of the objective, which leaves too little margin for the variance of the work,
// or if a flow has already waited for longer than the objective. If a slot is free, a
// flow waits for no other, and single long requests, which raise the mean response
// time, do not count. Balancers offer flows to an endpoint that is slow for its service
// only once others are full, so its response time does not count at all: it would refuse
// flows for a part of an overload while it has free slots.
func (r *AdmissionRequest) isSlow(slots int) bool {
	if r.Objective == 0 {
		return false
	}
	if r.IsSlowForService {
		return r.LongestWait > r.Objective
	}
	response := r.ResponseTime
	if r.InFlight < slots && r.ServiceTime > 0 {
		response = min(response, r.ServiceTime)
	}
	expected := response + response*time.Duration(r.InFlight)/time.Duration(max(slots, 1))
	return expected > r.Objective/2 || r.LongestWait > r.Objective
}

// Gate decides which new flows the agent's endpoint receives. It handles bursts, slow
// endpoints and cold ones: a flow that would have to queue, or that the endpoint would
// probably answer late, is forwarded to the next candidates. Only the last candidates
// accept it nevertheless, up to a bound.
type Gate struct {
	// SilenceTimeout is how long an endpoint may go without an announcement before it
	// receives no new flows. It is shorter than the time after which the endpoint's
	// address may be reused for another service.
	SilenceTimeout time.Duration
	// A cold endpoint may receive at most ColdFactor times the requests per second
	// that its service states for cold endpoints, plus ColdSlack, in any second. It
	// receives no new flow while the requests of the last second, including those on
	// open flows, reach the stated rate, because long flows would otherwise
	// accumulate. If the service states no rate, there is no such bound, and a cold
	// endpoint is limited only by its slots.
	ColdFactor float64
	ColdSlack  int

	coldAdmissions []time.Duration
}

const (
	// coldMargin is how many requests per second the limit stays below the bound, to
	// allow for an additional transmission of a SYN that the agent does not see.
	coldMargin = 1
	// maxFailureRate is the failure rate above which other agents are preferred. Two
	// failures among the last eight requests exceed it, since a single one may be
	// chance.
	maxFailureRate = 0.2
	// coldWindow is the sliding window to which the bound applies.
	coldWindow = time.Second
	// coldWindowSlack covers the delay between agent and endpoint.
	coldWindowSlack = 20 * time.Millisecond
	// ColdWindow is for how long what an endpoint has received counts if it is cold.
	ColdWindow = coldWindow + coldWindowSlack
	// maxQueuePerSlot is how many requests may queue for each slot at the last
	// candidate for a flow, which is as many as the known endpoints queue themselves.
	// A caller behind four other requests still gets its answer well within its
	// deadline, whereas a refusal would cost it an attempt.
	maxQueuePerSlot = 4
)

// slowQueue is how many requests may queue at an endpoint that is slow for its service, whatever
// candidates are left. Flows that wait do so at fast endpoints, see keepSlow, so in an overload
// each of its slots would otherwise be unused between a request and the next offer.
const slowQueue = 1

// queuePerSlot returns how many requests may queue for each slot: none if there are two or more
// candidates after this one, since one of them may have a free slot. In an overload, the last
// places are for flows that are more urgent than others, or that can still be answered in time.
func (r *AdmissionRequest) queuePerSlot() int {
	limit := 0
	switch r.CandidatesLeft {
	case 0:
		limit = maxQueuePerSlot
		if r.IsLeastUrgent {
			limit--
		}
	case 1:
		limit = maxQueuePerSlot / 2
	}
	if r.isLate() {
		limit /= 2
	}
	return limit
}

// Decide returns Accepted if the endpoint may receive a new flow now, and otherwise
// the reason for refusing it.
func (g *Gate) Decide(now time.Duration, endpoint *Endpoint, coldPerSecond float64, request AdmissionRequest) Reason {
	switch {
	case endpoint == nil:
		return RefusedUnknown
	case now-endpoint.LastSeen > g.SilenceTimeout:
		return RefusedSilent
	case endpoint.IsDraining || endpoint.IsLeaving:
		return RefusedDraining
	case request.IsLeaving:
		return RefusedLeaving
	case !request.IsRouteAllowed:
		return RefusedRouteNotAllowed
	case request.IsZoneOut:
		return RefusedZoneOut
	}
	inFlight := request.InFlight
	if request.IsSlowForService {
		inFlight -= slowQueue
	}
	if inFlight/(1+request.queuePerSlot()) >= endpoint.Slots {
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
	isCold := (now < endpoint.ColdUntil || request.MayBeCold) && coldPerSecond > 0
	if isCold && (request.IsHistoryUnknown || float64(request.RecentRequests) >= coldPerSecond || !g.admitCold(now, coldPerSecond)) {
		return RefusedCold
	}
	return Accepted
}

// DefaultColdRate returns the requests per second assumed for a cold endpoint while
// its service is not known. It is the slack, which applies to every service.
func (g *Gate) DefaultColdRate() float64 {
	return max(1, float64(g.ColdSlack-coldMargin))
}

// admitCold counts a flow against the limit of a cold endpoint. It returns false if
// the limit is reached.
func (g *Gate) admitCold(now time.Duration, perSecond float64) bool {
	limit := math.Floor(perSecond*g.ColdFactor) + float64(g.ColdSlack-coldMargin)
	kept := g.coldAdmissions[:0]
	for _, at := range g.coldAdmissions {
		if now-at < ColdWindow {
			kept = append(kept, at)
		}
	}
	g.coldAdmissions = kept
	if float64(len(g.coldAdmissions)) >= limit {
		return false
	}
	g.coldAdmissions = append(g.coldAdmissions, now)
	return true
}
