package flow

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// OrphanDelay is how long a flow must have been without an owner before its caller
	// is notified. A new agent is known to all instances within this time, since a
	// poll takes 500 ms at most.
	OrphanDelay = 500 * time.Millisecond
	// orphanTTL is how long a flow is remembered without further packets. Both ends
	// retransmit at least every 1.6 s.
	orphanTTL = 2 * time.Second
	// maxOrphans bounds the number of flows that are remembered.
	maxOrphans = 8192
)

// OrphanPacket is a packet of a flow that no agent owns, as recorded by the last agent
// of the flow's order.
type OrphanPacket struct {
	Flow Key
	// Seq, Ack and Length are those of the packet. Ack is the next sequence number that
	// the caller expects.
	Seq, Ack uint32
	Length   int
	// Hops is the number of agents that had forwarded the packet.
	Hops int
	// Expired are the agents that may own the flow and have expired. They may be alive:
	// only their polls may be lost.
	Expired []netip.AddrPort
	// VisitedView is the view whose live agents that may own the flow have all received this
	// packet, each once. It is nil if some have not. RoutingVersion is the version of the
	// routing table that determined them.
	VisitedView    *View
	RoutingVersion uint64
}

// Orphans tracks the open flows that no agent owns, at the last agent of their order.
// Their endpoint has ended without closing them, for example because of a power
// failure, and without a notification the caller would wait until its deadline.
//
// Only packets that are sent again without progress count: a flow on which both ends
// progress has an owner, one that this agent takes for expired.
//
// A caller that has sent data is notified once control has confirmed, after all agents
// received the packet, that there are no other agents. Others, and those for whom the list
// of agents has changed meanwhile, are notified after OrphanDelay. In both cases all agents
// must have received the packet, since an agent on the way whose list is out of date may
// have left out the flow's owner, and the expired agents must be silent.
type Orphans struct {
	seen map[Key]*orphan
}

type orphan struct {
	OrphanPacket
	firstSeen, lastSeen time.Duration
}

// NewOrphans returns an empty tracker.
func NewOrphans() *Orphans {
	return &Orphans{seen: make(map[Key]*orphan)}
}

// Observe records a packet of a flow that no agent owns. It returns true if the caller
// is to be notified: the same packet has been sent for OrphanDelay, all agents have
// received it, and their list, which was current at syncedAt, is more recent than its first
// transmission here.
func (o *Orphans) Observe(now, syncedAt time.Duration, packet OrphanPacket, isSilent func(agent netip.AddrPort) bool) bool {
	entry := o.seen[packet.Flow]
	if entry == nil || now-entry.lastSeen > orphanTTL || !entry.isSentAgain(&packet) {
		if entry != nil || len(o.seen) < maxOrphans {
			o.seen[packet.Flow] = &orphan{OrphanPacket: packet, firstSeen: now, lastSeen: now}
		}
		return false
	}
	entry.OrphanPacket, entry.lastSeen = packet, now
	isConfirmed := packet.VisitedView != nil && syncedAt > entry.firstSeen
	if now-entry.firstSeen < OrphanDelay || !isConfirmed || !packet.areExpiredSilent(isSilent) {
		return false
	}
	delete(o.seen, packet.Flow)
	return true
}

// isSentAgain reports whether a packet is a retransmission of the recorded one.
func (p *OrphanPacket) isSentAgain(packet *OrphanPacket) bool {
	return p.Seq == packet.Seq && p.Ack == packet.Ack && p.Length == packet.Length
}

func (p *OrphanPacket) areExpiredSilent(isSilent func(agent netip.AddrPort) bool) bool {
	return !slices.ContainsFunc(p.Expired, func(agent netip.AddrPort) bool { return !isSilent(agent) })
}

// AppendExpired appends the expired agents that recorded flows may have.
func (o *Orphans) AppendExpired(agents []netip.AddrPort) []netip.AddrPort {
	for _, entry := range o.seen {
		for _, agent := range entry.Expired {
			if !slices.Contains(agents, agent) {
				agents = append(agents, agent)
			}
		}
	}
	return agents
}

// PopConfirmed removes and returns the flows whose callers are to be notified because
// control has confirmed the view and the version of the routing table as of syncedAt.
func (o *Orphans) PopConfirmed(syncedAt time.Duration, view *View, version uint64, isSilent func(agent netip.AddrPort) bool) []OrphanPacket {
	var confirmed []OrphanPacket
	for key, entry := range o.seen {
		// Only a caller that has sent data waits for an answer.
		isConfirmed := entry.Length > 0 && entry.VisitedView != nil && entry.VisitedView == view &&
			entry.RoutingVersion == version && entry.lastSeen < syncedAt
		if isConfirmed && entry.areExpiredSilent(isSilent) {
			confirmed = append(confirmed, entry.OrphanPacket)
			delete(o.seen, key)
		}
	}
	return confirmed
}

// Sweep removes flows without recent packets.
func (o *Orphans) Sweep(now time.Duration) {
	for key, entry := range o.seen {
		if now-entry.lastSeen > orphanTTL {
			delete(o.seen, key)
		}
	}
}
