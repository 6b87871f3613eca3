package opaque

import (
	"encoding/binary"
	"net/netip"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/rendezvous"
)

// Kind is the first byte of a datagram between instances.
type Kind byte

// Kinds of datagrams.
const (
	// KindOffer carries a caller's packet to an agent.
	KindOffer Kind = iota + 1
	// KindOwnerUpdate tells a balancer who holds a flow, and what the agent knows.
	KindOwnerUpdate
	// The kinds from KindPoll on carry protobuf messages.
	KindPoll
	KindPollAnswer
	KindGossip
	// KindResync asks a control instance to tell all its records again.
	KindResync
	// KindProbe asks an agent whether it hears the sender, and for the routing table
	// and the zones; KindProbeAnswer has them.
	KindProbe
	KindProbeAnswer
)

// MaxCandidates bounds the agents that one SYN is offered to.
const MaxCandidates = flow.MaxCandidates

// MaxPacketBytes bounds a caller's or an endpoint's packet.
const MaxPacketBytes = 2048

const (
	addressBytes     = 6
	offerBytes       = 34
	ownerUpdateBytes = 1 + 2*addressBytes + addressBytes + 2*8
	// OfferHeadroom is the room in front of a packet that holds any offer.
	OfferHeadroom = offerBytes + MaxCandidates*addressBytes
)

// ServiceTag stands for the name of a service in offers.
type ServiceTag uint32

// TagOfService returns the tag of a service.
func TagOfService(name string) ServiceTag {
	return ServiceTag(rendezvous.Hash(name))
}

// Offer is what travels in front of a packet.
type Offer struct {
	// Hops counts the agents that have passed the packet on.
	Hops int
	// IsShortcut: the packet goes to the agent that the balancer remembers, not
	// along the order.
	IsShortcut bool
	// IsInconclusive: an agent that could not tell whether its endpoint holds the
	// flow has passed the packet on.
	IsInconclusive bool
	// IsDetour: a shortcut went wrong, and one of the hops was out of turn.
	IsDetour bool
	// IsReordered: the balancer did not begin with the first agent of the order, and
	// needs to be told who takes the flow.
	IsReordered bool
	// Origin is the zone in which the packet came in.
	Origin flow.ZoneTag
	// Service is the service that the balancer chose for a SYN.
	Service ServiceTag
	// Balancer is where the packet came in, for notices.
	Balancer netip.AddrPort
	// RoutingVersion and ZoneIndex are the newest that the sender knows.
	RoutingVersion, ZoneIndex uint64

	candidates     [MaxCandidates]netip.AddrPort
	candidateCount int
}

// Visited is how many agents the packet has been to, the one that has it included,
// each counted once.
func (o *Offer) Visited() int {
	if o.IsDetour {
		return o.Hops
	}
	return o.Hops + 1
}

// Candidates are the agents to offer a SYN to next.
func (o *Offer) Candidates() []netip.AddrPort {
	return o.candidates[:o.candidateCount]
}

// AddCandidate appends a candidate unless there are as many as fit.
func (o *Offer) AddCandidate(address netip.AddrPort) {
	if o.candidateCount < MaxCandidates {
		o.candidates[o.candidateCount] = address
		o.candidateCount++
	}
}

// PopCandidate removes and returns the next candidate.
func (o *Offer) PopCandidate() (netip.AddrPort, bool) {
	if o.candidateCount == 0 {
		return netip.AddrPort{}, false
	}
	first := o.candidates[0]
	copy(o.candidates[:], o.candidates[1:o.candidateCount])
	o.candidateCount--
	return first, true
}

// wrap writes the offer in front of the packet that begins at OfferSpace of
// the buffer and ends at its end, and returns the datagram.
func (o *Offer) wrap(buffer []byte) []byte {
	start := OfferHeadroom - offerBytes - o.candidateCount*addressBytes
	b := buffer[start:]
	b[0] = byte(KindOffer)
	b[1] = byte(min(o.Hops, maxHops))
	b[2] = byte(o.candidateCount)
	b[3] = 0
	if o.IsShortcut {
		b[3] |= flagShortcut
	}
	if o.IsInconclusive {
		b[3] |= flagInconclusive
	}
	if o.IsDetour {
		b[3] |= flagDetour
	}
	if o.IsReordered {
		b[3] |= flagReordered
	}
	binary.BigEndian.PutUint32(b[4:], uint32(o.Origin))
	binary.BigEndian.PutUint32(b[8:], uint32(o.Service))
	putAddress(b[12:], o.Balancer)
	binary.BigEndian.PutUint64(b[18:], o.RoutingVersion)
	binary.BigEndian.PutUint64(b[26:], o.ZoneIndex)
	for i, candidate := range o.Candidates() {
		putAddress(b[offerBytes+i*addressBytes:], candidate)
	}
	return b
}

// Marks of an offer.
const (
	flagShortcut = 1 << iota
	flagInconclusive
	flagDetour
	flagReordered
)

// maxHops bounds the way of a packet over agents.
const maxHops = 255

// parseOffer reads an offer and returns the packet behind it.
func parseOffer(data []byte, o *Offer) ([]byte, bool) {
	if len(data) < offerBytes || int(data[2]) > MaxCandidates {
		return nil, false
	}
	*o = Offer{
		Hops:           int(data[1]),
		IsShortcut:     data[3]&flagShortcut != 0,
		IsInconclusive: data[3]&flagInconclusive != 0,
		IsDetour:       data[3]&flagDetour != 0,
		IsReordered:    data[3]&flagReordered != 0,
		Origin:         flow.ZoneTag(binary.BigEndian.Uint32(data[4:])),
		Service:        ServiceTag(binary.BigEndian.Uint32(data[8:])),
		Balancer:       getAddress(data[12:]),
		RoutingVersion: binary.BigEndian.Uint64(data[18:]),
		ZoneIndex:      binary.BigEndian.Uint64(data[26:]),
		candidateCount: int(data[2]),
	}
	end := offerBytes + o.candidateCount*addressBytes
	if len(data) < end {
		return nil, false
	}
	for i := range o.candidateCount {
		o.candidates[i] = getAddress(data[offerBytes+i*addressBytes:])
	}
	return data[end:], true
}

// OwnerUpdate tells a balancer which agent holds a flow; Holder is invalid when it
// only tells of newer versions.
type OwnerUpdate struct {
	Flow                      flow.Key
	Owner                     netip.AddrPort
	RoutingVersion, ZoneIndex uint64
}

func (n *OwnerUpdate) marshal(b []byte) []byte {
	b = b[:ownerUpdateBytes]
	b[0] = byte(KindOwnerUpdate)
	putAddress(b[1:], n.Flow.Caller)
	putAddress(b[1+addressBytes:], n.Flow.Dialed)
	putAddress(b[1+2*addressBytes:], n.Owner)
	binary.BigEndian.PutUint64(b[1+3*addressBytes:], n.RoutingVersion)
	binary.BigEndian.PutUint64(b[9+3*addressBytes:], n.ZoneIndex)
	return b
}

func parseOwnerUpdate(b []byte) (OwnerUpdate, bool) {
	if len(b) != ownerUpdateBytes {
		return OwnerUpdate{}, false
	}
	return OwnerUpdate{
		Flow:           flow.Key{Caller: getAddress(b[1:]), Dialed: getAddress(b[1+addressBytes:])},
		Owner:          getAddress(b[1+2*addressBytes:]),
		RoutingVersion: binary.BigEndian.Uint64(b[1+3*addressBytes:]),
		ZoneIndex:      binary.BigEndian.Uint64(b[9+3*addressBytes:]),
	}, true
}

func putAddress(b []byte, address netip.AddrPort) {
	if address.Addr().Is4() {
		ip := address.Addr().As4()
		copy(b, ip[:])
	} else {
		clear(b[:4])
	}
	binary.BigEndian.PutUint16(b[4:], address.Port())
}

func getAddress(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}
