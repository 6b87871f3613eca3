package flow

import "time"

const (
	// OrphanDelay is how long a flow must have been unknown to every agent before
	// its caller is told. An agent that has just come is known to all within it:
	// a poll takes 500 ms at most.
	OrphanDelay = 500 * time.Millisecond
	// orphanTTL is how long a flow is remembered without further packets; the
	// ends repeat theirs every 1.6 s at most.
	orphanTTL = 2 * time.Second
	// maxOrphans bounds the flows that are remembered.
	maxOrphans = 8192
)

// OrphanPacket is a packet of a flow that no agent holds, as the last agent of its
// order sees it.
type OrphanPacket struct {
	Flow Key
	// Ack is the next number that the caller expects.
	Ack uint32
	// QueriedView is the view of which each agent was asked for this packet, none of
	// them gone; nil when some were not.
	QueriedView *View
}

// Orphans are open flows that no agent holds, as the last agent of their order
// sees them: their endpoint has ended without a word, in a loss of power for
// example. The caller would wait for its deadline.
//
// A caller is told once control has confirmed, after all agents were asked, that
// there are no others. Where some could not be asked, or the list has changed,
// the flow must have been unknown for OrphanDelay.
type Orphans struct {
	seen map[Key]*orphan
}

type orphan struct {
	OrphanPacket
	firstSeen, lastSeen time.Duration
}

// NewOrphans returns an empty memory.
func NewOrphans() *Orphans {
	return &Orphans{seen: make(map[Key]*orphan)}
}

// Observe notes a packet of a flow that no agent holds. It reports true when the
// caller is to be told: the flow has been unknown for OrphanDelay, and the agents
// that are known, as of knownAt, were all asked since.
func (o *Orphans) Observe(now, knownAt time.Duration, sighting OrphanPacket) bool {
	known := o.seen[sighting.Flow]
	if known == nil || now-known.lastSeen > orphanTTL {
		if len(o.seen) < maxOrphans {
			o.seen[sighting.Flow] = &orphan{OrphanPacket: sighting, firstSeen: now, lastSeen: now}
		}
		return false
	}
	known.OrphanPacket, known.lastSeen = sighting, now
	if now-known.firstSeen < OrphanDelay || knownAt <= known.firstSeen {
		return false
	}
	delete(o.seen, sighting.Flow)
	return true
}

// PopConfirmed forgets and returns the flows whose callers are to be told now that
// control has confirmed the view, as of knownAt.
func (o *Orphans) PopConfirmed(knownAt time.Duration, view *View) []OrphanPacket {
	var confirmed []OrphanPacket
	for key, held := range o.seen {
		if held.QueriedView != nil && held.QueriedView == view && held.lastSeen < knownAt {
			confirmed = append(confirmed, held.OrphanPacket)
			delete(o.seen, key)
		}
	}
	return confirmed
}

// Sweep forgets flows without further packets.
func (o *Orphans) Sweep(now time.Duration) {
	for key, held := range o.seen {
		if now-held.lastSeen > orphanTTL {
			delete(o.seen, key)
		}
	}
}
