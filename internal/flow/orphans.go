package flow

import "time"

const (
	// OrphanDelay is how long a flow must have been unknown to every agent before
	// its caller is told. An agent that has just come is known to all within it:
	// a poll takes 500 ms at most.
	OrphanDelay = 500 * time.Millisecond
	// orphanMemory is how long a flow is remembered without further packets; the
	// ends repeat theirs every 1.6 s at most.
	orphanMemory = 2 * time.Second
	// maxOrphans bounds the flows that are remembered.
	maxOrphans = 8192
)

// Orphans are open flows that no agent holds, as the last agent of their order
// sees them: their endpoint has ended without a word, in a loss of power for
// example. The caller would wait for its deadline.
type Orphans struct {
	seen map[Key]*orphan
}

type orphan struct {
	first, last time.Duration
}

// NewOrphans returns an empty memory.
func NewOrphans() *Orphans {
	return &Orphans{seen: make(map[Key]*orphan)}
}

// Note notes a packet of a flow that no agent holds. It reports true when the
// caller is to be told: the flow has been unknown for OrphanDelay, and the agents
// that are known, as of knownAt, were all asked since.
func (o *Orphans) Note(now, knownAt time.Duration, key Key) bool {
	held := o.seen[key]
	if held == nil || now-held.last > orphanMemory {
		if len(o.seen) < maxOrphans {
			o.seen[key] = &orphan{first: now, last: now}
		}
		return false
	}
	held.last = now
	if now-held.first < OrphanDelay || knownAt <= held.first {
		return false
	}
	delete(o.seen, key)
	return true
}

// Sweep forgets flows without further packets.
func (o *Orphans) Sweep(now time.Duration) {
	for key, held := range o.seen {
		if now-held.last > orphanMemory {
			delete(o.seen, key)
		}
	}
}
