// Package zone decides whether a balancer may continue to forward with its current
// view of the availability zones. It does no I/O; time is passed in.
//
// Control renews a lease about every 500 ms, as long as a majority of its instances
// takes part. Instances request the lease from each other. Each answer contains the
// age of the lease, and the receiver counts that age from the time at which it sent
// the request. An answer that stayed in a buffer while the receiver was frozen
// therefore never makes a lease appear more recent than it is.
package zone

import (
	"sync"
	"sync/atomic"
	"time"
)

// Lease is a lease confirmed by control.
type Lease struct {
	Term uint64
	// ZoneIndex is the log index of the newest change to any zone.
	ZoneIndex uint64
	// Duration is how long the lease is valid after its confirmation.
	Duration time.Duration
}

// State is the lease state of a balancer, which determines whether it forwards.
type State uint8

// Lease states.
const (
	// StateNone means that there has been no lease since the start.
	StateNone State = iota
	// StateFresh means that the lease is valid and the applied view contains all zone
	// changes up to the lease's index.
	StateFresh
	// StateStatic means that the lease has expired, while peers answer but none of
	// them has contact with a majority of control. The last view stays in use.
	StateStatic
	// StateIsolated means that the lease has expired and no peer answers, or that no
	// peer answered for some time since it expired. Only a new lease ends this state.
	StateIsolated
	// StateStale means that the lease has expired and a zone change has been reported
	// that is newer than the applied view.
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

// PeerTimeout is how long an answer proves contact with a peer, counted from the
// request: three request intervals.
const PeerTimeout = 3 * RequestInterval

// RequestInterval is the interval between requests to a peer.
const RequestInterval = 500 * time.Millisecond

// LeaseHolder holds the lease of one instance. It is safe for concurrent use.
type LeaseHolder struct {
	// freshUntil is read for every datagram.
	freshUntil atomic.Pointer[time.Time]

	mu    sync.Mutex
	lease Lease
	// confirmed is the time from which the lease's duration is counted. For a lease
	// received from a peer, it is the time of the request less the lease's age, and thus
	// no later than the confirmation. It is zero if there is no lease.
	confirmed time.Time
	// lastContact is the send time of the latest answered request.
	lastContact time.Time
	// hasContinuousContact is true as long as no gap between answers has exceeded
	// PeerTimeout since the lease expired.
	hasContinuousContact bool
	// applied is the index of the latest zone change that the instance has applied,
	// and known that of the latest one that a record, a lease or a peer has reported.
	applied, known uint64
}

// NewLeaseHolder returns a holder without a lease.
func NewLeaseHolder() *LeaseHolder {
	return new(LeaseHolder)
}

// elapsed returns the time between two readings by whichever clock shows more: the
// monotonic clock, or the wall clock, which also advances while a machine is
// suspended. Setting the wall clock forward ends a lease early, and setting it back
// has no effect.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// SetAppliedIndex records the latest zone change that the instance has applied.
func (h *LeaseHolder) SetAppliedIndex(index uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applied = max(h.applied, index)
	h.known = max(h.known, h.applied)
	h.extendValidity()
}

// SetKnownIndex records a zone change that the instance has received but has not
// applied yet.
func (h *LeaseHolder) SetKnownIndex(index uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known = max(h.known, index)
}

// UpdateLease applies a lease whose duration is counted from confirmed. It ignores
// leases of an earlier term or an earlier confirmation.
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

// extendValidity extends the validity once the applied view contains all zone changes
// up to the lease's index. Until then the previous lease stays valid until its own
// end.
func (h *LeaseHolder) extendValidity() {
	if h.confirmed.IsZero() || h.applied < h.lease.ZoneIndex {
		return
	}
	until := h.confirmed.Add(h.lease.Duration)
	h.freshUntil.Store(&until)
	h.hasContinuousContact = true
}

// RecordAnswer records a peer's answer, received at now, to a request sent at
// requested. zoneIndex is the latest zone change that the peer has received.
func (h *LeaseHolder) RecordAnswer(requested, now time.Time, zoneIndex uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known = max(h.known, zoneIndex)
	if !h.isFresh(now) && elapsed(h.lastContact, now) > PeerTimeout {
		h.hasContinuousContact = false
	}
	if requested.After(h.lastContact) {
		h.lastContact = requested
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

// FreshUntil returns when the lease expires. It returns false if there has been none.
func (h *LeaseHolder) FreshUntil() (time.Time, bool) {
	until := h.freshUntil.Load()
	if until == nil {
		return time.Time{}, false
	}
	return *until, true
}

// ValidLease returns the lease and its age, to answer requests of peers. It returns
// false if the holder has no valid lease.
func (h *LeaseHolder) ValidLease(now time.Time) (lease Lease, age time.Duration, ok bool) {
	if !h.isFresh(now) {
		return Lease{}, 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease, elapsed(h.confirmed, now), h.applied >= h.lease.ZoneIndex
}
