package routing

import "time"

// History measures for how long versions of the routing table have been in force, on the
// monotonic clock of one control instance. It is not safe for concurrent use.
type History struct {
	// retention is the time after which all flows have ended that an earlier table led to
	// services which a version no longer has.
	retention time.Duration
	// entries are the versions that have not settled, the oldest first.
	entries []historyEntry
	settled uint64
}

type historyEntry struct {
	version uint64
	since   time.Duration
}

// retainedLifetimes is how many lifetimes of a flow former services are kept for. A node may learn
// of a table late, and open flows by the one before until then.
const retainedLifetimes = 2

// NewHistory returns a history without versions. maxFlowLifetime is the maximum age of a flow.
func NewHistory(maxFlowLifetime time.Duration) History {
	return History{retention: retainedLifetimes * maxFlowLifetime}
}

// Record records the version that is in force.
func (h *History) Record(now time.Duration, version uint64) {
	if count := len(h.entries); version > h.settled && (count == 0 || version > h.entries[count-1].version) {
		h.entries = append(h.entries, historyEntry{version: version, since: now})
	}
	h.Settled(now)
}

// Settled returns the highest version that came into force so long ago that all flows have ended
// that it led to other services, 0 if there is none. If the instance has not seen when a version
// came into force, the time counts from when it found the version.
func (h *History) Settled(now time.Duration) uint64 {
	for len(h.entries) > 0 && now-h.entries[0].since >= h.retention {
		h.settled = h.entries[0].version
		h.entries = h.entries[1:]
	}
	return h.settled
}
