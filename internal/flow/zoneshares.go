package flow

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"sassafrasturn.example/internal/rendezvous"
)

// ZoneReport is the answer of one agent to a balancer's request for its load.
type ZoneReport struct {
	Load Load
	// Age is the time since the request, and RoundTrip the time from it to the answer.
	Age, RoundTrip time.Duration
}

// shortageAge is the age up to which reports that agents send without a request are signs of a
// shortage.
const shortageAge = ZoneStepInterval

// ReadyByZone returns the agents of a service that accept new flows, by zone. Zones that are out
// of service have none, and zones without agents of the service are missing.
func (v *View) ReadyByZone(service string, isOut func(zone string) bool) map[string][]netip.AddrPort {
	zones := make(map[string][]netip.AddrPort)
	for i := range v.byService[service] {
		member := &v.byService[service][i]
		agents := zones[member.Zone]
		if member.IsReady && !member.IsExpired && !isOut(member.Zone) {
			agents = append(agents, member.Address)
		}
		zones[member.Zone] = agents
	}
	return zones
}

// IsZoneShort reports whether a quarter of a zone's agents have just reported that they have no
// free slot, or the zone has no agents. Agents report when they refuse or keep a flow or pass it
// on, so that single ones do so by chance under any load.
func IsZoneShort(now time.Duration, loads *Loads, agents []netip.AddrPort) bool {
	const shortOneOf = 4
	full := 0
	for _, agent := range agents {
		if load, age, ok := loads.Get(now, agent); ok && age <= shortageAge && load.InFlight >= load.Slots {
			full++
		}
	}
	return full*shortOneOf >= len(agents)
}

// ZoneLoad is what a balancer knows about the endpoints of a service in one zone.
type ZoneLoad struct {
	Zone string
	// Endpoints is how many agents of the zone accept new flows by the view, 0 if the zone is
	// out of service.
	Endpoints int
	// Reports is how many reports the other fields are taken from; 0 if they are not known.
	Reports int
	// Slots, Free and InFlight are of all endpoints together, extrapolated from those that
	// reported. Free are the slots without a request; what waits at one endpoint takes none of
	// another.
	Slots, Free, InFlight float64
	// FullShare is the share of endpoints without a free slot, from 0 to 1, and Wait the mean
	// time that a flow waits at one of these.
	FullShare float64
	Wait      time.Duration
	// ServiceTime is the mean over the endpoints whose service time is known, 0 if none is.
	ServiceTime time.Duration
	// RoundTrip is the shortest one measured, and Age the mean age of the reports.
	RoundTrip, Age time.Duration
}

const (
	// MaxZoneReportAge is the age up to which reports count: four requests without an answer.
	MaxZoneReportAge = time.Second
	// ZoneStepInterval is the time between two steps of ZoneShares.
	ZoneStepInterval = 250 * time.Millisecond
	// ZoneSample is how many agents of each zone a balancer asks for their load in each step.
	ZoneSample = 2
	// minZoneReports is how many reports the figures of a zone need, since the load of one
	// agent says little about a zone.
	minZoneReports = 2
)

// SumZone returns the load of a zone. Reports that are too old, lack slots or come from
// endpoints that accept no flows are ignored. A report counts half for each ZoneStepInterval of
// its age, since older ones do not yet include what the last steps moved.
func SumZone(zone string, endpoints int, reports []ZoneReport) ZoneLoad {
	load := ZoneLoad{Zone: zone, Endpoints: endpoints}
	var total, full, timed, age, slots, free, inFlight, wait, serviceTime float64
	for i := range reports {
		r := &reports[i]
		if r.Age < 0 || r.Age > MaxZoneReportAge || !r.Load.IsReady || r.Load.Slots <= 0 {
			continue
		}
		weight := math.Exp2(-float64(r.Age) / float64(ZoneStepInterval))
		load.Reports++
		total += weight
		age += float64(r.Age)
		slots += weight * float64(r.Load.Slots)
		free += weight * float64(max(0, r.Load.Slots-r.Load.InFlight))
		inFlight += weight * float64(r.Load.InFlight)
		if r.Load.InFlight >= r.Load.Slots {
			full += weight
			wait += weight * float64(r.Load.Wait)
		}
		if r.Load.ServiceTime > 0 {
			timed += weight
			serviceTime += weight * float64(r.Load.ServiceTime)
		}
		if load.RoundTrip == 0 || r.RoundTrip < load.RoundTrip {
			load.RoundTrip = r.RoundTrip
		}
	}
	if endpoints < minZoneReports || load.Reports < minZoneReports {
		return ZoneLoad{Zone: zone, Endpoints: endpoints}
	}
	scale := float64(endpoints) / total
	load.Slots, load.Free, load.InFlight = slots*scale, free*scale, inFlight*scale
	load.FullShare, load.Age = full/total, time.Duration(age/float64(load.Reports))
	if full > 0 {
		load.Wait = time.Duration(wait / full)
	}
	if timed > 0 {
		load.ServiceTime = time.Duration(serviceTime / timed)
	}
	return load
}

func (z *ZoneLoad) isKnown() bool { return z.Endpoints > 0 && z.Reports > 0 }

// homeReserve is the share of the slots of the own zone that must be free beyond those that
// returning flows need. With it free, a flow that is offered to three agents of three slots each
// waits less than the default cost of leaving on average.
const homeReserve = 0.125

// fullShare is the share of a zone's endpoints without a free slot from which on a flow that is
// offered to one of them hardly ever finds one.
const fullShare = 0.75

// homeRoom returns how many slots of the zone flows that return to it may use.
func (z *ZoneLoad) homeRoom() float64 { return max(0, z.Free-z.Slots*homeReserve) }

// firstCandidates is how many agents of a zone a flow is offered to before it waits or leaves.
const firstCandidates = 3

// expectedWait returns how long a flow that is offered to agents of the zone waits on average.
func (z *ZoneLoad) expectedWait() time.Duration {
	return time.Duration(math.Pow(z.FullShare, float64(min(firstCandidates, z.Endpoints))) * float64(z.Wait))
}

// roundTripsToAnswer is how many round trips pass between a SYN and the answer to the request.
const roundTripsToAnswer = 2

// gain returns how much earlier a flow is answered in another zone than in home.
func gain(home, other *ZoneLoad) time.Duration {
	won := home.expectedWait() - other.expectedWait() - roundTripsToAnswer*max(0, other.RoundTrip-home.RoundTrip)
	if home.ServiceTime > 0 && other.ServiceTime > 0 {
		won += home.ServiceTime - other.ServiceTime
	}
	return won
}

// PlacementReason is why a balancer offers a flow to agents of a zone.
type PlacementReason string

// Reasons of a placement.
const (
	// PlacedHome is the reason of flows that are offered to the balancer's own zone first.
	PlacedHome PlacementReason = "home"
	// PlacedShortage is the reason of flows that leave because the own zone lacks slots.
	PlacedShortage PlacementReason = "shortage"
	// PlacedNoEndpoint is the reason of flows that leave because no agent of the own zone
	// accepts flows.
	PlacedNoEndpoint PlacementReason = "no-endpoint"
)

// ZoneShare is the share of a balancer's new flows that go to a zone, from 0 to 1.
type ZoneShare struct {
	Zone  string
	Share float64

	tag ZoneTag
}

// ZoneSplit is how a balancer spreads the new flows of a service over zones. It is immutable.
type ZoneSplit struct {
	// Leaving are the shares of zones other than the balancer's own, by name. The rest stays.
	Leaving []ZoneShare
	// Target is the zone with the most free slots among those where flows gain more than the
	// cost of leaving, empty if there is none.
	Target string
	// AreOthersFull is true if all other zones are known to have hardly a free slot, so that a
	// flow gains nothing by a candidate there.
	AreOthersFull bool
	// Reason is why flows leave.
	Reason PlacementReason

	target ZoneTag
}

// shareSalt makes the choice of a zone independent of the order of agents.
var shareSalt = rendezvous.Hash("share of a zone")

// Pick returns the zone that a flow is offered to first, and false if the flow stays.
func (s *ZoneSplit) Pick(flow uint64) (ZoneTag, bool) {
	const mantissaBits = 53
	at := float64(rendezvous.Score(flow, shareSalt)>>(64-mantissaBits)) / (1 << mantissaBits)
	for i := range s.Leaving {
		if at < s.Leaving[i].Share {
			return s.Leaving[i].tag, true
		}
		at -= s.Leaving[i].Share
	}
	return 0, false
}

// LeavingShare returns the share of flows that leave the zone.
func (s *ZoneSplit) LeavingShare() float64 {
	sum := 0.0
	for _, share := range s.Leaving {
		sum += share.Share
	}
	return sum
}

const (
	// maxZoneStep is the largest share of a balancer's flows that a step moves. Reports are up
	// to two steps old in the mean, so that more would overshoot.
	maxZoneStep = 0.1
	// minZoneShare is the smallest share that is kept.
	minZoneShare = 0.01
	// roomPerStep is the part of the room that one step uses, because other balancers see the
	// same room.
	roomPerStep = 0.5
	// zoneWatchTime is how long figures are requested after the last sign of a shortage.
	zoneWatchTime = 2 * time.Second
	// maxHeldSteps is for how many steps flows stay away from a zone that has endpoints again,
	// but has not reported its room.
	maxHeldSteps = int(MaxZoneReportAge / ZoneStepInterval)
)

// ZoneShares decides which share of the new flows of a service leave a balancer's zone. It
// addresses a zone with too few servers, or none, while other zones have free slots. Flows leave
// in steps while the own zone has no room and another one does, if they gain more time than the
// cost, and return when the own zone has room. It is not safe for concurrent use.
type ZoneShares struct {
	home string
	// cost is the time that a flow must gain to leave.
	cost time.Duration
	// shares are those of zones other than home.
	shares map[string]float64
	// shortAt is when the own zone was last short; it is not valid before wasShort.
	shortAt  time.Duration
	wasShort bool
	// isHomeless is set while the own zone has had no endpoints and not reported since.
	isHomeless bool
	heldSteps  int
}

// NewZoneShares returns the state of a balancer in the zone home, where no flow leaves.
func NewZoneShares(home string, cost time.Duration) *ZoneShares {
	return &ZoneShares{home: home, cost: cost, shares: make(map[string]float64)}
}

// RecordShortage records a sign that the own zone is short.
func (s *ZoneShares) RecordShortage(now time.Duration) { s.shortAt, s.wasShort = now, true }

// NeedsFigures reports whether the loads of zones are to be requested.
func (s *ZoneShares) NeedsFigures(now time.Duration) bool {
	return len(s.shares) > 0 || s.wasShort && now-s.shortAt <= zoneWatchTime
}

// Step decides by the loads of all zones that have agents of the service. It is called once in
// each ZoneStepInterval. It returns nil if flows are placed as without figures: they are missing,
// or the own zone has room.
func (s *ZoneShares) Step(now time.Duration, zones []ZoneLoad) *ZoneSplit {
	home := ZoneLoad{Zone: s.home}
	others := make([]*ZoneLoad, 0, len(zones))
	areOthersFull := true
	for i := range zones {
		switch {
		case zones[i].Zone == s.home:
			home = zones[i]
		case zones[i].isKnown():
			others = append(others, &zones[i])
			areOthersFull = areOthersFull && zones[i].FullShare >= fullShare
		case zones[i].Endpoints > 0:
			areOthersFull = false
		}
	}
	slices.SortFunc(others, func(a, b *ZoneLoad) int { return cmp.Compare(a.Zone, b.Zone) })
	s.forgetUnknown(others)
	isShort := false
	switch {
	case home.Endpoints == 0:
		s.RecordShortage(now)
		s.isHomeless, s.heldSteps = len(others) > 0, 0
		s.spread(others)
	case !home.isKnown():
		s.heldSteps++
		if !s.isHomeless || s.heldSteps > maxHeldSteps {
			s.isHomeless = false
			clear(s.shares)
		}
	default:
		s.isHomeless = false
		if isShort = home.homeRoom() == 0; isShort {
			s.RecordShortage(now)
		}
		s.move(&home, others)
	}
	if len(s.shares) == 0 && !isShort {
		return nil
	}
	split := s.split(&home, others)
	split.AreOthersFull = areOthersFull
	return split
}

// forgetUnknown ends the shares of zones without figures: they may be unreachable.
func (s *ZoneShares) forgetUnknown(known []*ZoneLoad) {
	for zone := range s.shares {
		if !slices.ContainsFunc(known, func(z *ZoneLoad) bool { return z.Zone == zone }) {
			delete(s.shares, zone)
		}
	}
}

func (s *ZoneShares) leaving() float64 {
	sum := 0.0
	for _, share := range s.shares {
		sum += share
	}
	return min(sum, 1)
}

// move moves flows between home, which has endpoints, and other zones.
func (s *ZoneShares) move(home *ZoneLoad, others []*ZoneLoad) {
	// Flows that leave would occupy slots of home in proportion to those that stay. What waits
	// does not count: it was offered before.
	demand := max((home.Slots-home.Free)/max(1-s.leaving(), maxZoneStep), home.Slots)
	budget := maxZoneStep
	if room := home.homeRoom(); room > 0 {
		s.takeHome(min(budget, s.leaving()/2, roomPerStep*room/demand))
		return
	}
	rooms, total := make([]float64, len(others)), 0.0
	for i, other := range others {
		won := gain(home, other)
		if share := s.shares[other.Zone]; share > 0 && won < 0 {
			moved := min(budget, share/2)
			s.set(other.Zone, share-moved)
			budget -= moved
		}
		if won > s.cost {
			rooms[i] = roomFor(home, other)
			total += rooms[i]
		}
	}
	moved := min(budget, roomPerStep*total/demand, 1-s.leaving())
	if moved < minZoneShare {
		return
	}
	for i, other := range others {
		if rooms[i] > 0 {
			s.set(other.Zone, s.shares[other.Zone]+moved*rooms[i]/total)
		}
	}
}

// roomFor returns the room of another zone in slots of home: a slower zone needs more slots for
// the same flows.
func roomFor(home, other *ZoneLoad) float64 {
	room := other.Free
	if home.ServiceTime > 0 && other.ServiceTime > 0 {
		room *= float64(home.ServiceTime) / float64(other.ServiceTime)
	}
	return room
}

// takeHome reduces the shares of all zones in proportion, by a share of all flows.
func (s *ZoneShares) takeHome(share float64) {
	leaving := s.leaving()
	for zone, old := range s.shares {
		s.set(zone, old*(1-share/leaving))
	}
}

// set sets the share of a zone. A share that is too small ends.
func (s *ZoneShares) set(zone string, share float64) {
	if share < minZoneShare {
		delete(s.shares, zone)
		return
	}
	s.shares[zone] = share
}

// spread moves the flows of a zone without endpoints towards shares in proportion to the room of
// the other zones, or to their slots if none has room. The first step spreads the flows that did
// not leave before in proportion to the slots, as far as their zones are known.
func (s *ZoneShares) spread(others []*ZoneLoad) {
	slots, room := 0.0, 0.0
	for _, other := range others {
		slots += other.Slots
		room += other.Free
	}
	if slots == 0 {
		clear(s.shares)
		return
	}
	missing, distance := 1-s.leaving(), 0.0
	wanted := make([]float64, len(others))
	for i, other := range others {
		s.shares[other.Zone] += missing * other.Slots / slots
		if wanted[i] = other.Slots / slots; room > 0 {
			wanted[i] = other.Free / room
		}
		distance += max(0, wanted[i]-s.shares[other.Zone])
	}
	part := min(roomPerStep, maxZoneStep/max(distance, maxZoneStep))
	for i, other := range others {
		s.shares[other.Zone] += part * (wanted[i] - s.shares[other.Zone])
	}
}

func (s *ZoneShares) split(home *ZoneLoad, others []*ZoneLoad) *ZoneSplit {
	split := &ZoneSplit{Reason: PlacedShortage}
	if s.isHomeless {
		split.Reason = PlacedNoEndpoint
	}
	most := 0.0
	for _, other := range others {
		if share := s.shares[other.Zone]; share > 0 {
			split.Leaving = append(split.Leaving, ZoneShare{Zone: other.Zone, Share: share, tag: TagOf(other.Zone)})
		}
		if room := other.Free; room > most && gain(home, other) > s.cost {
			most, split.Target, split.target = room, other.Zone, TagOf(other.Zone)
		}
	}
	return split
}

// ChooseZoneCandidates returns the agents that a new flow is offered to by the shares of zones,
// in order, and the reason. A flow that stays is offered to agents of its own zone, then to two
// of the zone with the most room among those where it gains, and the last one is of its own zone,
// where it may wait. If there is no such zone, all are of its own zone, but for one unless the others
// are known to be full: agents also refuse flows for other reasons than a lack of slots. A flow that
// leaves is offered to agents of its new zone, and then to those of its own, or of the remaining
// zones where its own has none. Agents are ranked by speed as in ChooseCandidates. It returns no agents if those of the zones have
// gone since the decision.
func ChooseZoneCandidates(view *View, service string, flow uint64, origin ZoneTag, isOut func(zone string) bool, split *ZoneSplit) ([]Member, PlacementReason) {
	second, leaves := split.Pick(flow)
	hasSecond := leaves
	if !leaves && split.Target != "" {
		second, hasSecond = split.target, true
	}
	var ownSpace, otherSpace [MaxCandidates]*Member
	var ownScores, otherScores [MaxCandidates]uint64
	ownZone, otherZone := rendezvous.NewTopK(ownSpace[:], ownScores[:]), rendezvous.NewTopK(otherSpace[:], otherScores[:])
	var ownSlow, otherSlow slowBest
	var away zoneBest
	isBySpeed := view.ranksBySpeed(service, flow)
	members := view.byService[service]
	for i := range members {
		member := &members[i]
		isOwn := member.zone == origin
		if !member.IsReady || member.IsExpired || isOut(member.Zone) {
			continue
		}
		score := rendezvous.Score(flow, member.hash)
		if !isOwn && (!hasSecond || member.zone != second) {
			away.add(member, score)
			continue
		}
		if isBySpeed {
			score = rankBySpeed(score, member)
		}
		if isOwn {
			ownSlow.add(member, score)
			ownZone.Add(member, score)
		} else {
			otherSlow.add(member, score)
			otherZone.Add(member, score)
		}
	}
	own, others := ownZone.Items(), otherZone.Items()
	if leaves && len(others) > 0 {
		others = others[:min(len(others), max(firstCandidates, MaxCandidates-len(own)))]
		own = own[:min(len(own), MaxCandidates-len(others))]
		if isBySpeed {
			keepSlow(others, otherSlow.first)
		}
		if len(own) == 0 {
			return withOtherZones(view, service, flow, origin, isOut, appendMembers(others)), split.Reason
		}
		return appendMembers(others, own), split.Reason
	}
	own = own[:min(len(own), max(maxOwnZoneCandidates, MaxCandidates-len(others)))]
	others = others[:min(len(others), MaxCandidates-len(own))]
	if isBySpeed {
		keepSlow(own, ownSlow.first)
	}
	if len(own) == 0 {
		return appendMembers(others), split.Reason
	}
	if !hasSecond && !split.AreOthersFull {
		if away.first == nil || len(own) < MaxCandidates {
			return ChooseCandidates(view, service, flow, origin, isOut), PlacedHome
		}
		others, own = append(others, away.first), own[:MaxCandidates-1]
	}
	beforeOthers := len(own)
	if len(others) > 0 && len(own) >= maxOwnZoneCandidates {
		beforeOthers--
	}
	return appendMembers(own[:beforeOthers], others, own[beforeOthers:]), PlacedHome
}

// withOtherZones replaces the last candidates of a zone by the first ones of the other zones, so that
// a flow finds a slot there if the zone is full.
func withOtherZones(view *View, service string, flow uint64, origin ZoneTag, isOut func(zone string) bool, candidates []Member) []Member {
	chosen := candidates[:min(len(candidates), maxOwnZoneCandidates)]
	for _, member := range ChooseCandidates(view, service, flow, origin, isOut) {
		if len(chosen) < MaxCandidates && member.zone != candidates[0].zone {
			chosen = append(chosen, member)
		}
	}
	return chosen
}

func appendMembers(parts ...[]*Member) []Member {
	candidates := make([]Member, 0, MaxCandidates)
	for _, part := range parts {
		for _, member := range part {
			candidates = append(candidates, *member)
		}
	}
	return candidates
}
