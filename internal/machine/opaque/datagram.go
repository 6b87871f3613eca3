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
	// KindOwnerUpdate reports to a balancer which agent owns a flow, and the agent's
	// routing version and zone index.
	KindOwnerUpdate
	// The kinds from KindPoll on carry protobuf messages.
	KindPoll
	KindPollAnswer
	KindGossip
	// KindResync requests that a control instance send all its records again.
	KindResync
	// KindProbe checks whether an agent receives the sender's datagrams, and requests
	// the routing table and the zones. KindProbeAnswer carries them.
	KindProbe
	KindProbeAnswer
	// KindReady tells a node whose poll got no usable answer that the control instance
	// has one now. It has no content.
	KindReady
	// KindHandover carries flows of an agent that stops to a control instance, and
	// KindHandoverAnswer confirms them.
	KindHandover
	KindHandoverAnswer
	// KindTakeover requests the flows that the previous start of an agent has handed over, and
	// KindTakeoverAnswer carries them.
	KindTakeover
	KindTakeoverAnswer
	// KindLoad reports the load of an agent's endpoint to a balancer. KindLoadRequest requests
	// such a report. Both carry a wire.EndpointLoad; the request has only its sequence.
	KindLoad
	KindLoadRequest
)

// MaxCandidates is the maximum number of agents that one SYN is offered to.
const MaxCandidates = flow.MaxCandidates

// MaxTrials is the largest number of trials that an offer can encode.
const MaxTrials = 7

// MaxPacketBytes is the maximum size of a caller's or an endpoint's packet.
const MaxPacketBytes = 2048

const (
	addressBytes     = 6
	offerBytes       = 34
	ownerUpdateBytes = 1 + 2*addressBytes + addressBytes + 2*8
	// OfferHeadroom is the space reserved in front of a packet, enough for the
	// largest offer.
	OfferHeadroom = offerBytes + MaxCandidates*addressBytes
)

// ServiceTag is the hash of a service name that offers carry instead of the name.
type ServiceTag uint32

// TagOfService returns the tag of a service.
func TagOfService(name string) ServiceTag {
	return ServiceTag(rendezvous.Hash(name))
}

// Offer is the header in front of a caller's packet on its path over agents.
type Offer struct {
	// Hops is the number of agents that have forwarded the packet.
	Hops int
	// IsShortcut is set if the packet goes to the owner that the balancer has cached
	// instead of along the order.
	IsShortcut bool
	// IsInconclusive is set if the packet may have missed the flow's agent: an agent that
	// could not determine whether its endpoint has the flow has forwarded it, or an
	// earlier hop had an older routing table.
	IsInconclusive bool
	// IsReordered is set if the balancer did not start with the first agent of the
	// order and therefore needs an update on which agent accepts the flow.
	IsReordered bool
	// IsReturned is set if the last agent of the order has sent the packet to an agent that
	// had been left out.
	IsReturned bool
	// IsLate is set for a SYN that the balancer has held back for so long that another
	// transmission may have opened the flow meanwhile.
	IsLate bool
	// Trials is the number of agents on the way that do not know the flows of their endpoints, and
	// have tried the packet there or left it for a later transmission; at most MaxTrials. It is
	// valid if HasVisited is set. Datagrams have the same flags for it and for IsReordered and
	// IsLate, which only SYNs have.
	Trials int
	// Origin is the zone of the balancer that received the packet.
	Origin flow.ZoneTag
	// Service is the service that the balancer chose for a SYN.
	Service ServiceTag
	// Visited is the set of agents in the order that do not own the flow of the packet. It is
	// valid if HasVisited is set: not for a SYN, nor after an instance of an earlier release.
	// Datagrams have one field for Service and Visited.
	HasVisited bool
	Visited    flow.AgentSet
	// Balancer is the link address of the balancer that received the packet. Owner
	// updates are sent to it.
	Balancer netip.AddrPort
	// RoutingVersion and ZoneIndex are the newest that the sender or an earlier hop has.
	RoutingVersion, ZoneIndex uint64

	candidates     [MaxCandidates]netip.AddrPort
	candidateCount int
}

// Candidates returns the agents to offer a SYN to next, in order.
func (o *Offer) Candidates() []netip.AddrPort {
	return o.candidates[:o.candidateCount]
}

// AddCandidate appends a candidate. It is ignored if the offer already has
// MaxCandidates of them.
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

// wrap writes the offer in front of the packet, which starts at offset
// OfferHeadroom of the buffer and extends to its end, and returns the datagram.
func (o *Offer) wrap(buffer []byte) []byte {
	start := OfferHeadroom - offerBytes - o.candidateCount*addressBytes
	b := buffer[start:]
	b[0] = byte(KindOffer)
	b[1] = byte(min(o.Hops, maxHops))
	b[2] = byte(o.candidateCount)
	b[3] = flagIf(o.IsShortcut, flagShortcut) | flagIf(o.IsInconclusive, flagInconclusive) |
		flagIf(o.HasVisited, flagVisited) | flagIf(o.IsReturned, flagReturned)
	if o.HasVisited {
		trials := min(o.Trials, MaxTrials)
		b[3] |= flagIf(trials&1 != 0, flagReordered) | flagIf(trials&2 != 0, flagLate) | flagIf(trials&4 != 0, flagTrials)
	} else {
		b[3] |= flagIf(o.IsReordered, flagReordered) | flagIf(o.IsLate, flagLate)
	}
	binary.BigEndian.PutUint32(b[4:], uint32(o.Origin))
	subject := uint32(o.Service)
	if o.HasVisited {
		subject = uint32(o.Visited)
	}
	binary.BigEndian.PutUint32(b[8:], subject)
	putAddress(b[12:], o.Balancer)
	binary.BigEndian.PutUint64(b[18:], o.RoutingVersion)
	binary.BigEndian.PutUint64(b[26:], o.ZoneIndex)
	for i, candidate := range o.Candidates() {
		putAddress(b[offerBytes+i*addressBytes:], candidate)
	}
	return b
}

// Flags of an offer.
const (
	flagShortcut = 1 << iota
	flagInconclusive
	_ // set by earlier releases
	flagReordered
	// flagVisited is set if the datagram contains Visited and not Service. Earlier releases
	// drop it, so that a packet that has passed one leads to no reset.
	flagVisited
	flagReturned
	flagLate
	// flagTrials is the highest bit of Trials.
	flagTrials
)

func flagIf(isSet bool, flag byte) byte {
	if isSet {
		return flag
	}
	return 0
}

func bitIf(flag byte, bit int) int {
	if flag != 0 {
		return bit
	}
	return 0
}

// maxHops is the largest hop count that an offer can encode. Higher counts are
// sent as maxHops.
const maxHops = 255

// parseOffer decodes a datagram into o and returns the packet that follows the
// offer. It returns false for a malformed datagram.
func parseOffer(data []byte, o *Offer) ([]byte, bool) {
	if len(data) < offerBytes || int(data[2]) > MaxCandidates {
		return nil, false
	}
	*o = Offer{
		Hops:           int(data[1]),
		IsShortcut:     data[3]&flagShortcut != 0,
		IsInconclusive: data[3]&flagInconclusive != 0,
		IsReturned:     data[3]&flagReturned != 0,
		Origin:         flow.ZoneTag(binary.BigEndian.Uint32(data[4:])),
		Balancer:       getAddress(data[12:]),
		RoutingVersion: binary.BigEndian.Uint64(data[18:]),
		ZoneIndex:      binary.BigEndian.Uint64(data[26:]),
		candidateCount: int(data[2]),
	}
	o.HasVisited = data[3]&flagVisited != 0
	if subject := binary.BigEndian.Uint32(data[8:]); o.HasVisited {
		o.Visited = flow.AgentSet(subject)
		o.Trials = bitIf(data[3]&flagReordered, 1) | bitIf(data[3]&flagLate, 2) | bitIf(data[3]&flagTrials, 4)
	} else {
		o.Service = ServiceTag(subject)
		o.IsReordered, o.IsLate = data[3]&flagReordered != 0, data[3]&flagLate != 0
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

// OwnerUpdate reports to a balancer which agent owns a flow. Owner is invalid if the
// update only reports a newer routing version or zone index.
type OwnerUpdate struct {
	Flow                      flow.Key
	Owner                     netip.AddrPort
	RoutingVersion, ZoneIndex uint64
}

func (u *OwnerUpdate) marshal(b []byte) []byte {
	b = b[:ownerUpdateBytes]
	b[0] = byte(KindOwnerUpdate)
	putAddress(b[1:], u.Flow.Caller)
	putAddress(b[1+addressBytes:], u.Flow.Dialed)
	putAddress(b[1+2*addressBytes:], u.Owner)
	binary.BigEndian.PutUint64(b[1+3*addressBytes:], u.RoutingVersion)
	binary.BigEndian.PutUint64(b[9+3*addressBytes:], u.ZoneIndex)
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
