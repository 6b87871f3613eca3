// Package zone decides whether a balancer may go on by what it knows of the
// availability zones. It does no I/O; time is passed in.
//
// Control confirms a lease about every 500 ms, as long as a majority of its
// instances takes part. Instances ask each other for it. Each answer says how
// old the lease is, and its age is counted from the moment at which the asker
// sent its question, so that an answer that lay in a buffer while the asker
// was frozen makes no lease look younger than it is.
package zone

import (
	"sync"
	"sync/atomic"
	"time"
)

// Lease is what control has confirmed.
type Lease struct {
	Term uint64
	// ZoneIndex is the log index of the newest change to any zone.
	ZoneIndex uint64
	// Duration is how long a holder may go on after the confirmation.
	Duration time.Duration
}

// State says by what right a balancer forwards, or why it does not.
type State uint8

// States of a holder.
const (
	// StateNone: no lease since the start.
	StateNone State = iota
	// StateFresh: the lease is valid and the view of the zones has all that it names.
	StateFresh
	// StateStatic: the lease has run out, peers answer, and none of them hears
	// a majority of control. The last view stays in force.
	StateStatic
	// StateIsolated: the lease has run out and no peer answers, or contact was
	// lost meanwhile. Only a new lease ends this state.
	StateIsolated
	// StateStale: the lease has run out and a newer zone change is known of
	// than the view has.
	StateStale
)

var stateNames = [...]string{"none", "fresh", "static", "isolated", "stale"}

// String returns the name of the state.
func (s State) String() string {
	return stateNames[s]
}

// MayForward reports whether a balancer in this state forwards datagrams.
func (s State) MayForward() bool {
	return s == StateFresh || s == StateStatic
}

// PeerTimeout is how long after its question an answer proves contact with a
// peer: three ask intervals.
const PeerTimeout = 3 * RequestInterval

// RequestInterval separates the questions to a peer.
const RequestInterval = 500 * time.Millisecond

// LeaseHolder holds the lease of one instance. It is safe for concurrent use.
type LeaseHolder struct {
	// freshUntil is read for each datagram.
	freshUntil atomic.Pointer[time.Time]

	mu    sync.Mutex
	lease Lease
	// confirmed is when control confirmed the lease at the latest; zero for no lease.
	confirmed time.Time
	// lastContact is when the last question that was answered was asked.
	lastContact time.Time
	// hasContinuousContact is true while no gap between answers has been longer than
	// PeerWindow since the lease ran out.
	hasContinuousContact bool
	// applied is the newest zone change that the instance has applied, known the
	// newest that it has been told of.
	applied, known uint64
}

// NewLeaseHolder returns a holder without a lease.
func NewLeaseHolder() *LeaseHolder {
	return new(LeaseHolder)
}

// elapsed is the time between two readings by whichever clock says more: the
// monotonic one, or the wall clock, which also counts while a machine is
// suspended. A wall clock set forward ends a lease early; one set back changes nothing.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// SetAppliedIndex notes the newest zone change that the instance has applied.
func (h *LeaseHolder) SetAppliedIndex(index uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applied = max(h.applied, index)
	h.known = max(h.known, h.applied)
	h.extendValidity()
}

// SetKnownIndex notes a zone change that the instance has heard of and not applied yet.
func (h *LeaseHolder) SetKnownIndex(index uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known = max(h.known, index)
}

// UpdateLease takes in a lease that control confirmed no later than confirmed.
func (h *LeaseHolder) UpdateLease(confirmed time.Time, lease Lease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known = max(h.known, lease.ZoneIndex)
	if lease.Term < h.lease.Term || (!h.confirmed.IsZero() && confirmed.Before(h.confirmed)) {
		return
	}
	h.lease, h.confirmed = lease, confirmed
	h.extendValidity()
}

// extendValidity extends the validity once the view has every zone change of the lease.
// Until then the lease before goes on to its own end.
func (h *LeaseHolder) extendValidity() {
	if h.confirmed.IsZero() || h.applied < h.lease.ZoneIndex {
		return
	}
	until := h.confirmed.Add(h.lease.Duration)
	h.freshUntil.Store(&until)
	h.hasContinuousContact = true
}

// RecordAnswer notes an answer that has come at now to a question that was asked at
// asked; zoneIndex is the newest zone change that the peer knows of.
func (h *LeaseHolder) RecordAnswer(asked, now time.Time, zoneIndex uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known = max(h.known, zoneIndex)
	if !h.isFresh(now) && elapsed(h.lastContact, now) > PeerTimeout {
		h.hasContinuousContact = false
	}
	if asked.After(h.lastContact) {
		h.lastContact = asked
	}
}

func (h *LeaseHolder) isFresh(now time.Time) bool {
	until := h.freshUntil.Load()
	return until != nil && now.Before(*until) && now.Round(0).Before(until.Round(0))
}

// State returns the state at now.
func (h *LeaseHolder) State(now time.Time) State {
	if h.isFresh(now) {
		return StateFresh
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if elapsed(h.lastContact, now) > PeerTimeout {
		h.hasContinuousContact = false
	}
	until := h.freshUntil.Load()
	switch {
	case until == nil:
		return StateNone
	case h.applied < h.known:
		return StateStale
	case !h.hasContinuousContact || h.lastContact.Before(*until):
		return StateIsolated
	default:
		return StateStatic
	}
}

// FreshUntil returns when the lease runs out; false when there was none.
func (h *LeaseHolder) FreshUntil() (time.Time, bool) {
	until := h.freshUntil.Load()
	if until == nil {
		return time.Time{}, false
	}
	return *until, true
}

// ValidLease returns the lease and its age, for peers that ask; false when the
// holder has none that is valid.
func (h *LeaseHolder) ValidLease(now time.Time) (lease Lease, age time.Duration, ok bool) {
	if !h.isFresh(now) {
		return Lease{}, 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease, elapsed(h.confirmed, now), h.applied >= h.lease.ZoneIndex
}
