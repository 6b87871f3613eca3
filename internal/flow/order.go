package flow

import (
	"net/netip"
	"slices"
	"time"

	"sassafrasturn.example/internal/rendezvous"
)

// Member is an agent with its endpoint.
type Member struct {
	// Address is the address at which other instances reach the agent.
	Address netip.AddrPort
	Zone    string
	Service string
	// IsReady is true if the endpoint accepts new flows.
	IsReady bool
	// IsExpired is true if the agent has been silent for too long. It may still have
	// open flows behind a network partition.
	IsExpired bool
	// IsUnseen is true if the agent counts as expired only because control has recently
	// started and has not heard of it yet.
	IsUnseen bool
	// ServiceTime is the service time that the agent has reported, 0 if it is not known.
	ServiceTime time.Duration

	// isSlow is set if the endpoint is slow for its service.
	isSlow bool
	hash   uint64
	zone   ZoneTag
	// zoneIndex is the index of the zone in the zones of the view.
	zoneIndex int
}

// ZoneTag is a hash that represents the name of a zone in messages.
type ZoneTag uint32

// TagOf returns the tag of a zone.
func TagOf(zone string) ZoneTag {
	return ZoneTag(rendezvous.Hash(zone))
}

// NewMember returns a member that accepts new flows.
func NewMember(address netip.AddrPort, zone, service string) Member {
	return Member{
		Address: address, Zone: zone, Service: service, IsReady: true,
		hash: rendezvous.Hash(address.String()), zone: TagOf(zone),
	}
}

// View is the set of agents known to a node. It is immutable.
type View struct {
	byService map[string][]Member
	// live are the agents that have not expired, with their zones.
	live map[netip.AddrPort]ZoneTag
	// awaited are the agents that have expired and may return.
	awaited map[netip.AddrPort]Absence
	zones   []ZoneTag
	// speeds are those of the services, and slow the agents that are slow for theirs.
	speeds map[string]Speed
	slow   map[netip.AddrPort]bool
}

// Absence is why an agent that has expired may be about to return.
type Absence int

// Absences.
const (
	// AbsenceFailed means that the agent has fallen silent without notice.
	AbsenceFailed Absence = iota
	// AbsenceUnseen means that control has recently started and not heard of it yet.
	AbsenceUnseen
	// AbsenceStopped means that the agent, or its endpoint, had announced that it stops
	// accepting flows: it may be restarting while its endpoint serves.
	AbsenceStopped
)

// NewView returns a view of the members.
func NewView(members []Member) *View {
	view := &View{
		byService: make(map[string][]Member),
		live:      make(map[netip.AddrPort]ZoneTag, len(members)), awaited: make(map[netip.AddrPort]Absence),
	}
	for _, member := range members {
		member.zoneIndex = slices.Index(view.zones, member.zone)
		if member.zoneIndex < 0 {
			member.zoneIndex = len(view.zones)
			view.zones = append(view.zones, member.zone)
		}
		view.byService[member.Service] = append(view.byService[member.Service], member)
		switch {
		case !member.IsExpired:
			view.live[member.Address] = member.zone
		case member.IsUnseen:
			view.awaited[member.Address] = AbsenceUnseen
		case !member.IsReady:
			view.awaited[member.Address] = AbsenceStopped
		}
	}
	view.rateSpeeds()
	return view
}

// Sample returns up to count live agents at random, excluding self. They are of the
// given zone as far as it has enough, except for one from another zone, because a
// failure that partitions an instance may partition its whole zone. shuffle has the
// signature of rand.Shuffle.
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

// HasReady reports whether some agent of a service accepts new flows.
func (v *View) HasReady(service string) bool {
	return slices.ContainsFunc(v.byService[service], func(m Member) bool { return m.IsReady && !m.IsExpired })
}

// LiveCount returns how many agents of the view have not expired.
func (v *View) LiveCount() int { return len(v.live) }

// IsLive reports whether the view contains an agent with this address that has not
// expired.
func (v *View) IsLive(address netip.AddrPort) bool {
	_, ok := v.live[address]
	return ok
}

// ZoneOf returns the zone of an agent that has not expired.
func (v *View) ZoneOf(address netip.AddrPort) (zone ZoneTag, ok bool) {
	zone, ok = v.live[address]
	return zone, ok
}

// AbsenceOf returns why an expired agent is absent.
func (v *View) AbsenceOf(address netip.AddrPort) Absence { return v.awaited[address] }

// position is the sort key of an agent in an Order. Lower ranks come first, within a rank
// the zones with higher scores, and within a zone the agents with higher scores.
type position struct {
	rank      int
	zoneScore uint64
	score     uint64
}

func (p position) isBefore(other position) bool {
	if p.rank != other.rank {
		return p.rank < other.rank
	}
	if p.zoneScore != other.zoneScore {
		return p.zoneScore > other.zoneScore
	}
	return p.score > other.score
}

// zoneScore orders the zones other than a caller's own for a flow. Every flow has its own
// order, so that the load of a zone that is full spreads over all others.
func zoneScore(flow uint64, zone ZoneTag) uint64 {
	return rendezvous.Score(flow, uint64(zone))
}

const (
	rankOwnZone = iota
	rankOtherZone
	ranksPerService
	// rankExpired places expired agents after those of all services.
	rankExpired = 1 << 20
)

func positionOf(member *Member, flow uint64, origin ZoneTag, service int) position {
	at := position{rank: service * ranksPerService, score: rendezvous.Score(flow, member.hash)}
	if member.zone != origin {
		at.rank += rankOtherZone
		at.zoneScore = zoneScore(flow, member.zone)
	}
	if member.IsExpired {
		at.rank += rankExpired
	}
	return at
}

// Order is the order in which the packets of a flow are offered to the agents of some
// services: earlier services come first, then agents in the zone at which the caller's
// packet arrived, then one zone after the other, since a hop between zones takes much
// longer than one within. Zones and the agents in them are in the order of rendezvous
// hashing. All nodes with the same view compute the same order.
type Order struct {
	View   *View
	Flow   uint64
	Origin ZoneTag
	// Services are the services whose agents are in the order, the preferred one
	// first.
	Services []string
}

// AgentSet identifies a set of agents: it is the sum of their hashes. A set in which an
// agent is counted twice, or another one instead of it, has another sum.
type AgentSet uint32

// With returns the set with one more agent, of which only the address counts.
func (s AgentSet) With(agent *Member) AgentSet { return s + AgentSet(agent.hash) }

// Live returns the set of the agents in the order that have not expired.
func (o *Order) Live() AgentSet {
	set := AgentSet(0)
	for _, name := range o.Services {
		for i := range o.View.byService[name] {
			if member := &o.View.byService[name][i]; !member.IsExpired {
				set = set.With(member)
			}
		}
	}
	return set
}

// LeftOut returns the first of the live agents that a packet has not visited, if they follow
// one another in the order: an agent on the way with an older view goes on behind those that
// it does not know.
func (o *Order) LeftOut(visited AgentSet) (Member, bool) {
	missing := o.Live() - visited
	if missing == 0 {
		return Member{}, false
	}
	live := o.sortedLive()
	for i := range live {
		sum := AgentSet(0)
		for j := i; j < len(live); j++ {
			if sum = sum.With(live[j]); sum == missing {
				return *live[i], true
			}
		}
	}
	return Member{}, false
}

// sortedLive returns the agents that have not expired, in order.
func (o *Order) sortedLive() []*Member {
	type ranked struct {
		member *Member
		at     position
	}
	var agents []ranked
	for service, name := range o.Services {
		members := o.View.byService[name]
		for i := range members {
			if !members[i].IsExpired {
				agents = append(agents, ranked{&members[i], positionOf(&members[i], o.Flow, o.Origin, service)})
			}
		}
	}
	slices.SortFunc(agents, func(a, b ranked) int {
		if a.at.isBefore(b.at) {
			return -1
		}
		return 1
	})
	live := make([]*Member, len(agents))
	for i := range agents {
		live[i] = agents[i].member
	}
	return live
}

// First returns the first agent of the order.
func (o *Order) First() (Member, bool) {
	return o.best(nil)
}

// After returns the agent that follows another one, which need not be in the order. If the
// order does not have the service of that agent, it returns the first agent.
func (o *Order) After(agent *Member) (Member, bool) {
	service := slices.Index(o.Services, agent.Service)
	if service < 0 {
		return o.best(nil)
	}
	at := *agent
	if i := o.indexOf(agent); i >= 0 {
		at = o.View.byService[agent.Service][i]
	}
	own := positionOf(&at, o.Flow, o.Origin, service)
	return o.best(&own)
}

// Has reports whether an agent is in the order.
func (o *Order) Has(agent *Member) bool {
	return slices.Contains(o.Services, agent.Service) && o.indexOf(agent) >= 0
}

func (o *Order) indexOf(agent *Member) int {
	return slices.IndexFunc(o.View.byService[agent.Service], func(m Member) bool { return m.Address == agent.Address })
}

// Next returns the agent that a packet goes to after another one. If that agent was reached
// by a shortcut and not in order, Next returns the first agent of the order and sets
// isDetour.
func (o *Order) Next(agent *Member, isShortcut bool) (next Member, isDetour, ok bool) {
	if isShortcut {
		if first, ok := o.First(); ok && first.Address != agent.Address {
			return first, true, true
		}
	}
	next, ok = o.After(agent)
	return next, false, ok
}

// AppendExpired appends the addresses of the expired agents of the order.
func (o *Order) AppendExpired(addresses []netip.AddrPort) []netip.AddrPort {
	for _, name := range o.Services {
		for i := range o.View.byService[name] {
			if member := &o.View.byService[name][i]; member.IsExpired {
				addresses = append(addresses, member.Address)
			}
		}
	}
	return addresses
}

// best returns the first agent after a position, or the first agent of the order if
// after is nil.
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
	// MaxCandidates bounds the agents that a new flow is offered to. Each one costs a
	// hop and 6 bytes in the SYN.
	MaxCandidates = 6
	// maxOwnZoneCandidates is how many candidates are of the caller's zone if other
	// zones have agents that can accept the flow, so that a burst in one zone can use
	// the free slots of the others.
	maxOwnZoneCandidates = 4
)

// ChooseCandidates returns the agents that a new flow is offered to, in order: those
// of one service that accept new flows and whose zone is in service. Agents of the
// caller's zone come first. The last of them comes after those of other zones, because
// the last candidate queues the flow, and a flow that has to queue need not leave its
// zone. Those of other zones are of different ones, as far as possible. Within a zone, slow
// agents come last, but for one; see rankBySpeed and keepSlow.
func ChooseCandidates(view *View, service string, flow uint64, origin ZoneTag, isOut func(zone string) bool) []Member {
	var ownSpace, otherSpace [MaxCandidates]*Member
	var ownScores, otherScores [MaxCandidates]uint64
	ownZone, otherZones := rendezvous.NewTopK(ownSpace[:], ownScores[:]), rendezvous.NewTopK(otherSpace[:], otherScores[:])
	var bestOfZones [maxRankedZones]zoneBest
	var slow slowBest
	isBySpeed := view.ranksBySpeed(service, flow)
	members := view.byService[service]
	for i := range members {
		member := &members[i]
		if !member.IsReady || member.IsExpired || isOut(member.Zone) {
			continue
		}
		score := rendezvous.Score(flow, member.hash)
		if isBySpeed {
			score = rankBySpeed(score, member)
		}
		if member.zone == origin {
			slow.add(member, score)
			ownZone.Add(member, score)
			continue
		}
		otherZones.Add(member, score)
		if member.zoneIndex < maxRankedZones {
			bestOfZones[member.zoneIndex].add(member, score)
		}
	}
	own, others := ownZone.Items(), otherZones.Items()
	own = own[:min(len(own), max(maxOwnZoneCandidates, MaxCandidates-len(others)))]
	others = others[:min(len(others), MaxCandidates-len(own))]
	if len(own) == maxOwnZoneCandidates {
		spreadOverZones(view, flow, &bestOfZones, others)
	}
	if isBySpeed {
		keepSlow(own, slow.first)
	}
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

// maxRankedZones is how many zones are ranked when candidates are chosen.
const maxRankedZones = 16

// zoneBest are the two agents of a zone with the highest scores.
type zoneBest struct {
	first, second           *Member
	firstScore, secondScore uint64
}

func (z *zoneBest) add(member *Member, score uint64) {
	switch {
	case z.first == nil || score > z.firstScore:
		z.second, z.secondScore = z.first, z.firstScore
		z.first, z.firstScore = member, score
	case z.second == nil || score > z.secondScore:
		z.second, z.secondScore = member, score
	}
}

// spreadOverZones replaces the chosen agents by the best one of the zone that follows the
// caller's own in the flow's Order, and by the best of the next zone, or the second best
// where there is no other. So a flow's packets find these agents at the start of their
// zone. There are at most two to choose.
func spreadOverZones(view *View, flow uint64, zones *[maxRankedZones]zoneBest, chosen []*Member) {
	first, next := -1, -1
	var firstScore, nextScore uint64
	for i := range min(len(view.zones), maxRankedZones) {
		if zones[i].first == nil {
			continue
		}
		score := zoneScore(flow, view.zones[i])
		switch {
		case first < 0 || score > firstScore:
			next, nextScore = first, firstScore
			first, firstScore = i, score
		case next < 0 || score > nextScore:
			next, nextScore = i, score
		}
	}
	if first < 0 || len(chosen) == 0 {
		return
	}
	chosen[0] = zones[first].first
	switch {
	case len(chosen) == 1:
	case next >= 0:
		chosen[1] = zones[next].first
	case zones[first].second != nil:
		chosen[1] = zones[first].second
	}
}
