package flow

import (
	"slices"
	"time"
)

// Presence is what a connection to the endpoint's address shows.
type Presence int

// Presences.
const (
	// PresenceUnknown means that the connection was neither accepted nor refused.
	PresenceUnknown Presence = iota
	// PresenceRunning means that a process accepts connections at the address.
	PresenceRunning
	// PresenceDown means that the connection was refused: no process listens there.
	PresenceDown
)

// Change is what an announcement or a check has changed.
type Change int

// Changes.
const (
	// ChangeNone means that an announcement was stale, or that a check showed nothing new.
	ChangeNone Change = iota
	// ChangeUpdated means that the current endpoint has announced its state.
	ChangeUpdated
	// ChangeUnnamed means that an announcement states a service that is not named.
	ChangeUnnamed
	// ChangeClaimed means that another start than the current one has announced itself.
	ChangeClaimed
	// ChangeStarted means that another endpoint than before is current.
	ChangeStarted
	// ChangeEnded means that the endpoint has ended, or that none is running.
	ChangeEnded
)

const (
	// firstLeaveCheck is when an endpoint that leaves is first checked. The interval doubles
	// with each check up to maxLeaveCheck.
	firstLeaveCheck = 10 * time.Millisecond
	maxLeaveCheck   = 500 * time.Millisecond
	// claimCheck is after what time a check is repeated that a claim has overtaken.
	claimCheck = 10 * time.Millisecond
	// maxLeaveTime is how long an endpoint may live after it has announced its end. One that
	// announces itself after that time stays.
	maxLeaveTime = 5 * time.Second
	// maxDelay is how long announcements of an endpoint that has ended may go on to arrive. One
	// that announces itself for longer beside another start runs.
	maxDelay = 10 * time.Second
	// maxFormerEndpoints is how many earlier endpoints are remembered.
	maxFormerEndpoints = 8
)

// Lifecycle decides which start of the endpoint beside an agent is current, and whether it
// has ended. Silence is no evidence of an end: announcements may be late or lost while the
// endpoint serves its open flows. An announcement of another start is none either: it may be a
// delayed one of an earlier start, or of another program. That start claims the address, and
// replaces the current one only once it has repeated its announcement while the current one
// was silent, or once the endpoint has lost a flow that it held. An endpoint has also ended
// when it refuses connections.
//
// An announcement of a service that neither the routing table nor the settings name decides
// nothing, whether it is heard first, alone or often. The services are decided anew when they
// change: a start that is remembered becomes current if there is none, and one that is current
// remains so after its service was dropped, since it may have open flows. It only gives way to a
// claim of a higher standing that is repeated, and ends no flow by that.
//
// A Lifecycle is not safe for concurrent use.
type Lifecycle struct {
	silenceTimeout time.Duration
	services       Services
	// unnamed are the starts whose services are not named.
	unnamed unnamedStarts
	current *Endpoint
	// currentSince is when the current endpoint first announced itself. isConfirmed is set
	// once it has done so again later while no other did, or has replaced another one.
	currentSince time.Duration
	isConfirmed  bool
	// heardAt is when the current endpoint announced itself last, also with a sequence number that
	// is too low: another program may have announced a higher one in its name.
	heardAt time.Duration
	// claim is the latest claim of another start, nil if there was none since the current one
	// became current.
	claim *claim
	// isDown is set once a check has shown that no endpoint runs, and isRunning once one has
	// not. An announcement clears both.
	isDown, isRunning bool
	// leftAt is when the current endpoint has announced its end.
	leftAt time.Duration
	// leaveCheck is the interval of the checks of an endpoint that leaves, and nextCheck when
	// the next check is due.
	leaveCheck, nextCheck time.Duration
	// former are the latest endpoints that have ended.
	former []start
	// staleSequence is the sequence number of the last stale announcement of the current
	// endpoint, 0 if there was none.
	staleSequence uint64
}

// claim is the claim of another start than the current one to be the endpoint.
type claim struct {
	// endpoint is the state that it has announced last.
	endpoint *Endpoint
	// since is when it first announced itself.
	since time.Duration
	// heardBefore is when the current endpoint had announced itself last before the claim. What
	// it has announced since may be late.
	heardBefore time.Duration
	// hasFlows is set once the endpoint has sent a packet of a flow of the current one.
	hasFlows bool
}

// start identifies one start of an endpoint.
type start struct {
	id        string
	startedAt int64
	// service is part of the identity, because no endpoint changes its service.
	service string
}

func startOf(e *Endpoint) start {
	return start{id: e.ID, startedAt: e.StartedAt, service: e.Service}
}

// NewLifecycle returns the lifecycle of the endpoint beside an agent that has just started.
// silenceTimeout is the time after which a live endpoint would have announced itself.
func NewLifecycle(silenceTimeout time.Duration) *Lifecycle {
	return &Lifecycle{silenceTimeout: silenceTimeout, nextCheck: silenceTimeout, unnamed: unnamedStarts{silenceTimeout: silenceTimeout}}
}

// SetServices sets which services are named. It returns ChangeStarted if an endpoint that has
// announced itself before has become current, otherwise ChangeNone.
func (l *Lifecycle) SetServices(now time.Duration, services Services) Change {
	l.services = services
	// Beside a current endpoint, a start claims the address with its next announcement.
	latest := l.unnamed.takeNamed(now, &l.services)
	if l.current != nil || latest == nil || l.isOutdated(latest) {
		return ChangeNone
	}
	l.setCurrent(latest.LastSeen, latest)
	return ChangeStarted
}

// Endpoint returns the current endpoint, nil if none has announced itself.
func (l *Lifecycle) Endpoint() *Endpoint { return l.current }

// IsDown reports whether it is certain that no endpoint runs.
func (l *Lifecycle) IsDown() bool { return l.isDown }

// IsUnannounced reports whether an endpoint seems to run that has not announced itself. It may
// have flows, or may still be starting. One whose queue of connections is full gives no answer.
func (l *Lifecycle) IsUnannounced() bool { return l.current == nil && l.isRunning }

// IsConfirmed reports whether the current endpoint has announced itself more than once, and is
// not merely one of two that do.
func (l *Lifecycle) IsConfirmed() bool { return l.current != nil && l.isConfirmed }

// Announce applies the announced state of an endpoint. It returns the endpoint that has
// certainly ended before, if any.
func (l *Lifecycle) Announce(now time.Duration, announced Endpoint) (change Change, ended *Endpoint) {
	switch {
	case l.current != nil && startOf(l.current) == startOf(&announced):
		l.heardAt = now
		return l.update(now, &announced), nil
	case l.services.standingOf(&announced) == standingUnnamed:
		l.unnamed.record(&announced)
		return ChangeUnnamed, nil
	case l.current == nil && !l.isOutdated(&announced):
		l.setCurrent(now, &announced)
		return ChangeStarted, nil
	case !l.recordClaim(now, &announced):
		return ChangeNone, nil
	case !l.isClaimConfirmed(now):
		if l.isOutdated(&announced) {
			return ChangeNone, nil
		}
		return ChangeClaimed, nil
	}
	isEnded := l.isConfirmed && !l.claim.hasFlows && !l.isOutranked()
	before := l.replace(now)
	if !isEnded {
		before = nil
	}
	return ChangeStarted, before
}

// update applies an announcement of the current endpoint.
func (l *Lifecycle) update(now time.Duration, announced *Endpoint) Change {
	if l.isStale(now, announced) || l.current.IsLeaving && now-l.leftAt < maxLeaveTime {
		return ChangeNone
	}
	// What seemed stale may be an announcement from before the endpoint began to drain.
	announced.IsDraining = announced.IsDraining || announced.Sequence < l.current.Sequence && l.current.IsDraining
	l.current, l.staleSequence = announced, 0
	isAlone := l.claim == nil || !l.isClaimRecent(now)
	l.isConfirmed = l.isConfirmed || isAlone && now-l.currentSince >= l.silenceTimeout/2
	return ChangeUpdated
}

// recordClaim records an announcement of another start than the current one. It returns false
// if a later one, or one of a higher standing, has been received.
func (l *Lifecycle) recordClaim(now time.Duration, announced *Endpoint) bool {
	isNew := l.claim == nil || startOf(l.claim.endpoint) != startOf(announced) || !l.isClaimRecent(now)
	switch {
	case isNew && l.isClaimOutranking(now, announced):
		return false
	case isNew && l.hasLaterClaim(now) && l.isOutdated(announced):
		return false
	case isNew:
		l.claim = &claim{endpoint: announced, since: now, heardBefore: l.heardBeforeClaim(now, announced)}
	case announced.Sequence <= l.claim.endpoint.Sequence:
		return false
	default:
		announced.IsLeaving = l.claim.endpoint.IsLeaving
		l.claim.endpoint = announced
	}
	return true
}

// heardBeforeClaim returns when the current endpoint had announced itself last before a claim and
// before those that the claim follows.
func (l *Lifecycle) heardBeforeClaim(now time.Duration, announced *Endpoint) time.Duration {
	switch {
	case l.current == nil:
		return 0
	case l.claim != nil && (startOf(l.claim.endpoint) == startOf(announced) || l.hasLaterClaim(now)):
		return min(l.claim.heardBefore, l.current.LastSeen)
	}
	return l.current.LastSeen
}

// isClaimOutranking reports whether a start of a higher standing than the announced one claims the
// address.
func (l *Lifecycle) isClaimOutranking(now time.Duration, announced *Endpoint) bool {
	return l.claim != nil && l.isClaimRecent(now) && l.services.standingOf(announced) < l.services.standingOf(l.claim.endpoint)
}

// hasLaterClaim reports whether a start claims the address that may have replaced the current
// one. One of a lower standing may not, unless the current one falls silent.
func (l *Lifecycle) hasLaterClaim(now time.Duration) bool {
	return l.current != nil && l.claim != nil && l.isClaimRecent(now) && !l.isOutdated(l.claim.endpoint) &&
		l.services.standingOf(l.claim.endpoint) >= l.services.standingOf(l.current)
}

// isClaimDisputed reports whether the current endpoint has shown since the claim that it runs.
func (l *Lifecycle) isClaimDisputed() bool {
	return l.claim.hasFlows || l.heardAt-l.claim.since > maxDelay
}

// isClaimRecent reports whether the start that claims the address has not been silent.
func (l *Lifecycle) isClaimRecent(now time.Duration) bool {
	return now-l.claim.endpoint.LastSeen <= l.silenceTimeout
}

// isOutranked reports whether the start that claims the address has a higher standing than the
// current one.
func (l *Lifecycle) isOutranked() bool {
	return l.current != nil && l.services.standingOf(l.current) < l.services.standingOf(l.claim.endpoint)
}

// isClaimConfirmed reports whether the start that claims the address is current: it goes on
// announcing itself while the current one, if any, is silent or outranked. One that seems outdated,
// for example because the wall clock was set back before it started, must do so for longer.
func (l *Lifecycle) isClaimConfirmed(now time.Duration) bool {
	if l.current == nil {
		return now-l.claim.since > l.silenceTimeout/2
	}
	claimed := now - max(l.claim.since, l.heardAt)
	isUndisputed := now-l.heardAt > l.silenceTimeout
	if l.isOutranked() {
		claimed, isUndisputed = now-l.claim.since, true
	}
	isOutdated := l.isOutdated(l.claim.endpoint)
	return isUndisputed && (claimed > l.silenceTimeout || !isOutdated && claimed > l.silenceTimeout/2)
}

// replace makes the start that claims the address the current endpoint. It returns the one
// before, if any, as it was last heard before the claim.
func (l *Lifecycle) replace(now time.Duration) (before *Endpoint) {
	// One that is only outranked may run, and be named again.
	if !l.isOutranked() {
		l.addFormer(l.current)
	}
	if l.current != nil {
		copied := *l.current
		copied.LastSeen = min(copied.LastSeen, l.claim.heardBefore)
		before = &copied
	}
	l.setCurrent(now, l.claim.endpoint)
	l.isConfirmed = true
	return before
}

// Admission returns the state of the endpoint that new flows are decided by, nil if none has
// announced itself. While a later start of no lower standing claims the address, either may run
// there, and the stricter state of both applies: announcements of the current one may be late.
func (l *Lifecycle) Admission(now time.Duration) *Endpoint {
	if !l.hasLaterClaim(now) {
		return l.current
	}
	claimant, strict := l.claim.endpoint, *l.current
	strict.LastSeen = max(strict.LastSeen, claimant.LastSeen)
	strict.ColdUntil = max(strict.ColdUntil, claimant.ColdUntil)
	strict.Slots = min(strict.Slots, claimant.Slots)
	if !l.isClaimDisputed() {
		// The flows of one service may not go to another one.
		strict.IsDraining = strict.IsDraining || claimant.IsDraining || claimant.Service != strict.Service
		strict.IsLeaving = strict.IsLeaving || claimant.IsLeaving
	}
	return &strict
}

// RecordEndpointPacket records that the endpoint has sent a packet of an open flow that it has
// had since heldSince or before. An endpoint that has started later would not have the flow.
func (l *Lifecycle) RecordEndpointPacket(heldSince time.Duration) {
	if l.claim != nil && l.isOfCurrent(heldSince) {
		l.claim.hasFlows = true
	}
}

// isOfCurrent reports whether a flow that was accepted at openedAt is certainly of the current
// endpoint. One that has replaced it may have accepted flows before its first announcement.
func (l *Lifecycle) isOfCurrent(openedAt time.Duration) bool {
	return l.current != nil && openedAt < l.current.LastSeen && (l.claim == nil || openedAt < l.claim.heardBefore)
}

// RecordLostFlow records that the endpoint no longer has a flow that it accepted at openedAt
// and that it would have if it had not started again. It returns the endpoint that has ended,
// nil if that is not certain.
func (l *Lifecycle) RecordLostFlow(now, openedAt time.Duration) (ended *Endpoint) {
	if !l.hasLaterClaim(now) || l.isClaimDisputed() || !l.isOfCurrent(openedAt) {
		return nil
	}
	return l.replace(now)
}

// isStale reports whether a later announcement of the current endpoint has been received. If
// the endpoint has been silent since then, and the sequence numbers of stale announcements
// increase, it was the later one that was wrong.
func (l *Lifecycle) isStale(now time.Duration, announced *Endpoint) bool {
	if announced.Sequence > l.current.Sequence {
		return false
	}
	isSilent := now-l.current.LastSeen > l.silenceTimeout
	isNext := l.staleSequence != 0 && announced.Sequence > l.staleSequence
	l.staleSequence = announced.Sequence
	return !isSilent || !isNext
}

// isOutdated reports whether an announcement seems to be a delayed one of an endpoint that has
// ended.
func (l *Lifecycle) isOutdated(announced *Endpoint) bool {
	return slices.Contains(l.former, startOf(announced)) || l.current != nil && announced.StartedAt < l.current.StartedAt
}

func (l *Lifecycle) setCurrent(now time.Duration, e *Endpoint) {
	l.current, l.currentSince, l.heardAt, l.isConfirmed = e, now, now, false
	l.isDown, l.isRunning = false, false
	l.claim, l.staleSequence = nil, 0
	if e.IsLeaving {
		l.startLeaving(now)
	}
}

// startLeaving sets when the current endpoint, which has announced its end, is checked.
func (l *Lifecycle) startLeaving(now time.Duration) {
	l.leftAt = now
	l.leaveCheck, l.nextCheck = firstLeaveCheck, now+firstLeaveCheck
}

// Leave records that an endpoint has announced its end. It may serve its open flows until it
// exits. startedAt is 0 if the endpoint did not state it. Leave reports whether the endpoint is
// the current one.
func (l *Lifecycle) Leave(now time.Duration, id string, startedAt int64) bool {
	l.unnamed.setLeaving(id, startedAt)
	if l.current == nil {
		l.nextCheck = now
		return false
	}
	if l.claim != nil && l.claim.endpoint.ID == id && startedAt == l.claim.endpoint.StartedAt {
		l.claim.endpoint.IsLeaving = true
	}
	isCurrent := l.current.ID == id && (startedAt == 0 || startedAt == l.current.StartedAt)
	if !isCurrent || l.current.IsLeaving {
		return isCurrent
	}
	leaving := *l.current
	leaving.IsLeaving = true
	l.current = &leaving
	l.startLeaving(now)
	return true
}

// CheckDue returns when the endpoint is to be checked next, if at all: while it leaves, and when
// it has been silent.
func (l *Lifecycle) CheckDue() (at time.Duration, ok bool) {
	switch {
	case l.current == nil:
		return l.nextCheck, !l.isDown
	case l.current.IsLeaving:
		return l.nextCheck, true
	}
	return max(l.nextCheck, l.current.LastSeen+l.silenceTimeout), true
}

// RecordCheck records what a check of the endpoint has shown that started at the given time.
// It changes nothing if the endpoint has announced itself since.
func (l *Lifecycle) RecordCheck(startedAt time.Duration, presence Presence) Change {
	switch {
	case l.isDown || l.current != nil && l.current.LastSeen >= startedAt:
		return ChangeNone
	case l.claim != nil && l.claim.endpoint.LastSeen >= startedAt:
		l.nextCheck = startedAt + claimCheck
		return ChangeNone
	}
	if presence == PresenceDown {
		l.unnamed.forgetBefore(startedAt)
		l.addFormer(l.current)
		if l.claim != nil {
			l.addFormer(l.claim.endpoint)
		}
		l.current, l.claim, l.isDown, l.isRunning = nil, nil, true, false
		return ChangeEnded
	}
	l.isRunning = true
	interval := l.silenceTimeout
	if l.current != nil && l.current.IsLeaving {
		l.leaveCheck = min(2*l.leaveCheck, maxLeaveCheck)
		interval = l.leaveCheck
	}
	l.nextCheck = startedAt + interval
	return ChangeNone
}

// addFormer records that an endpoint, if any, has ended. One that has not stated its start
// can't be told from a later one with its ID.
func (l *Lifecycle) addFormer(e *Endpoint) {
	if e != nil && e.StartedAt != 0 {
		l.former = append(l.former, startOf(e))
		l.former = l.former[max(0, len(l.former)-maxFormerEndpoints):]
	}
}
