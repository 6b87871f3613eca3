package flow

import (
	"net/netip"

	"sassafrasturn.example/internal/rendezvous"
)

// Member is an agent with its endpoint, as the order of offers sees it.
type Member struct {
	// Address is where other instances reach the agent.
	Address netip.AddrPort
	Zone    string
	Service string
	// IsReady: the endpoint takes new flows.
	IsReady bool
	// IsExpired: the agent has not been heard for long; it may yet hold open flows
	// behind a cut.
	IsExpired bool

	hash uint64
	zone ZoneTag
}

// ZoneTag stands for the name of a zone in messages.
type ZoneTag uint32

// TagOf returns the tag of a zone.
func TagOf(zone string) ZoneTag {
	return ZoneTag(rendezvous.Hash(zone))
}

// NewMember returns a member that is ready, with its place in the order.
func NewMember(address netip.AddrPort, zone, service string) Member {
	return Member{
		Address: address, Zone: zone, Service: service, IsReady: true,
		hash: rendezvous.Hash(address.String()), zone: TagOf(zone),
	}
}

// View is what a node knows of the agents. It is immutable.
type View struct {
	byService map[string][]Member
	live      map[netip.AddrPort]bool
}

// NewView returns a view of the members.
func NewView(members []Member) *View {
	view := &View{byService: make(map[string][]Member), live: make(map[netip.AddrPort]bool, len(members))}
	for _, member := range members {
		view.byService[member.Service] = append(view.byService[member.Service], member)
		if !member.IsExpired {
			view.live[member.Address] = true
		}
	}
	return view
}

// Sample returns up to so many living agents by lot, but not the asking one: of a
// zone as far as it has any, but for one, which is of another zone, since what cuts
// an instance off may cut off its zone. shuffle is that of a source of randomness.
func (v *View) Sample(zone ZoneTag, self netip.AddrPort, count int, shuffle func(n int, swap func(a, b int))) []netip.AddrPort {
	var own, others []netip.AddrPort
	for _, members := range v.byService {
		for i := range members {
			switch {
			case members[i].IsExpired || members[i].Address == self:
			case members[i].zone == zone:
				own = append(own, members[i].Address)
			default:
				others = append(others, members[i].Address)
			}
		}
	}
	for _, part := range [][]netip.AddrPort{own, others} {
		shuffle(len(part), func(a, b int) { part[a], part[b] = part[b], part[a] })
	}
	own = own[:min(len(own), max(count-1, count-len(others)))]
	return append(own, others[:min(len(others), count-len(own))]...)
}

// LiveCount returns how many agents of the view are not gone.
func (v *View) LiveCount() int { return len(v.live) }

// IsLive reports whether the view has the agent at the address and it is not gone.
func (v *View) IsLive(address netip.AddrPort) bool { return v.live[address] }

// position is a place in the order of offers; lower ranks come first and
// higher scores within a rank.
type position struct {
	rank  int
	score uint64
}

func (p position) isBefore(other position) bool {
	if p.rank != other.rank {
		return p.rank < other.rank
	}
	return p.score > other.score
}

const (
	rankOwnZone = iota
	rankOtherZone
	ranksPerService
	// rankExpired puts the agents that are gone behind those of all services.
	rankExpired = 1 << 20
)

func positionOf(member *Member, flow uint64, origin ZoneTag, service int) position {
	rank := service * ranksPerService
	if member.zone != origin {
		rank += rankOtherZone
	}
	if member.IsExpired {
		rank += rankExpired
	}
	return position{rank: rank, score: rendezvous.Score(flow, member.hash)}
}

// Order is the order in which the agents of some services are offered the
// packets of a flow: the first service before the others, the zone in which
// the caller's packet came in before the others, and rendezvous order within.
// Every node with the same view gives the same order.
type Order struct {
	View   *View
	Flow   uint64
	Origin ZoneTag
	// Services are the services whose agents are in the order.
	Services []string
}

// First returns the first agent of the order.
func (o *Order) First() (Member, bool) {
	return o.best(nil)
}

// After returns the agent that follows the one at the address. When the view
// does not have that one, it is the first of the order that is another.
func (o *Order) After(address netip.AddrPort) (Member, bool) {
	for service, name := range o.Services {
		members := o.View.byService[name]
		for i := range members {
			if members[i].Address == address {
				own := positionOf(&members[i], o.Flow, o.Origin, service)
				return o.best(&own)
			}
		}
	}
	return o.best(nil)
}

// Next returns the agent that a packet goes to after the one at the address.
// Where that one was asked out of turn, by a shortcut, the order begins at its
// start, and isDetour is set.
func (o *Order) Next(address netip.AddrPort, isShortcut bool) (next Member, isDetour, ok bool) {
	if isShortcut {
		if first, ok := o.First(); ok && first.Address != address {
			return first, true, true
		}
	}
	next, ok = o.After(address)
	return next, false, ok
}

// Len returns how many agents the order has.
func (o *Order) Len() int {
	count := 0
	for _, name := range o.Services {
		count += len(o.View.byService[name])
	}
	return count
}

// best returns the first agent after a position, or the first one of all.
func (o *Order) best(after *position) (Member, bool) {
	var found *Member
	var foundAt position
	for service, name := range o.Services {
		members := o.View.byService[name]
		for i := range members {
			at := positionOf(&members[i], o.Flow, o.Origin, service)
			if after != nil && !after.isBefore(at) {
				continue
			}
			if found == nil || at.isBefore(foundAt) {
				found, foundAt = &members[i], at
			}
		}
	}
	if found == nil {
		return Member{}, false
	}
	return *found, true
}

const (
	// MaxCandidates bounds the agents that a new flow is offered to: each costs a hop,
	// and 6 bytes of a SYN.
	MaxCandidates = 6
	// maxOwnZoneCandidates is how many of them are of the caller's zone where others could
	// take the flow: a burst in one zone then finds the free slots of the others.
	maxOwnZoneCandidates = 4
)

// ChooseCandidates are the agents that a new flow is offered to, in their order: those of
// one service that take new flows and whose zone is in service. Agents of the
// caller's zone come first; the last of them comes after those of other zones,
// since the last agent lets flows wait, and waiting needs no other zone.
func ChooseCandidates(view *View, service string, flow uint64, origin ZoneTag, isOut func(zone string) bool) []Member {
	var ownSpace, otherSpace [MaxCandidates]*Member
	var ownScores, otherScores [MaxCandidates]uint64
	ownZone, otherZones := rendezvous.NewTopK(ownSpace[:], ownScores[:]), rendezvous.NewTopK(otherSpace[:], otherScores[:])
	members := view.byService[service]
	for i := range members {
		member := &members[i]
		if !member.IsReady || member.IsExpired || isOut(member.Zone) {
			continue
		}
		score := rendezvous.Score(flow, member.hash)
		if member.zone == origin {
			ownZone.Add(member, score)
		} else {
			otherZones.Add(member, score)
		}
	}
	own, others := ownZone.Items(), otherZones.Items()
	own = own[:min(len(own), max(maxOwnZoneCandidates, MaxCandidates-len(others)))]
	others = others[:min(len(others), MaxCandidates-len(own))]
	beforeOthers := len(own)
	if len(others) > 0 && len(own) >= maxOwnZoneCandidates {
		beforeOthers--
	}
	candidates := make([]Member, 0, MaxCandidates)
	for _, part := range [][]*Member{own[:beforeOthers], others, own[beforeOthers:]} {
		for _, member := range part {
			candidates = append(candidates, *member)
		}
	}
	return candidates
}
