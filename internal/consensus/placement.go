package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

// observationTime is how long a leader must see the same instances before it concludes where
// their majority runs. Instances that are restarted, or that have just been replaced, request
// to join again within that time.
const observationTime = 5 * time.Second

// zoneMajority is a zone in which more than half of the instances run, and how many run there. The
// zero value is that there is none.
type zoneMajority struct {
	zone  string
	count int
}

// observation is the majority of the instances as a leader sees it, and since when.
type observation struct {
	zoneMajority
	since time.Duration
}

// observeMajority returns the group with the zone that has a majority of the instances, or nil
// if the group has it already or it is not certain. Instances that a leader does not hear of
// may be cut off, so no majority is concluded while a member is silent or being replaced. Those
// that it does hear of disprove one at once.
func (c *Core) observeMajority(joiners []*wire.ControlMember) *wire.ControlGroup {
	group := c.log.group()
	known := zoneMajority{zone: group.GetMajorityZone(), count: int(group.GetMajorityInstances())}
	zones := countZones(group, joiners)
	if known.zone != "" && zones.others(known.zone) >= max(known.count, zones.count[known.zone]) {
		return withMajority(group, zoneMajority{})
	}
	seen := zones.majority()
	if seen != c.observed.zoneMajority || !c.isQuiet() {
		c.observed = observation{zoneMajority: seen, since: c.now}
	}
	isKnown := group.MajorityZone != nil && known == seen
	if isKnown || c.now-max(c.observed.since, c.electedAt) < observationTime {
		return nil
	}
	return withMajority(group, seen)
}

func withMajority(group *wire.ControlGroup, m zoneMajority) *wire.ControlGroup {
	next := proto.CloneOf(group)
	next.MajorityZone, next.MajorityInstances = proto.String(m.zone), uint32(m.count)
	return next
}

// isQuiet reports whether all members answer and none is being added or replaced.
func (c *Core) isQuiet() bool {
	for _, silence := range c.silentTimes() {
		if silence > ElectionTimeout {
			return false
		}
	}
	return !isChanging(c.log.group())
}

// isChanging reports whether a member is being added or replaced.
func isChanging(group *wire.ControlGroup) bool {
	for _, member := range group.GetMembers() {
		if !member.Voter || member.Replaces != 0 {
			return true
		}
	}
	return false
}

// zoneCounts is the number of instances in each zone, and of all.
type zoneCounts struct {
	count map[string]int
	all   int
}

// countZones counts the members and joiners. Each address counts once.
func countZones(group *wire.ControlGroup, joiners []*wire.ControlMember) zoneCounts {
	zones := make(map[string]string)
	for _, member := range slices.Concat(group.GetMembers(), joiners) {
		zones[member.Address] = member.Zone
	}
	counts := zoneCounts{count: make(map[string]int), all: len(zones)}
	for _, zone := range zones {
		counts.count[zone]++
	}
	return counts
}

func (z *zoneCounts) others(zone string) int { return z.all - z.count[zone] }

// majority returns the zone with more than half of the instances.
func (z *zoneCounts) majority() zoneMajority {
	for zone, count := range z.count {
		if zone != "" && count > z.others(zone) {
			return zoneMajority{zone: zone, count: count}
		}
	}
	return zoneMajority{}
}

// placement counts the voters by availability zone.
type placement struct {
	majorityZone string
	voters       map[string]int
	// voterCount is the sum over all zones.
	voterCount int
}

func newPlacement(group *wire.ControlGroup) placement {
	p := placement{majorityZone: group.GetMajorityZone(), voters: make(map[string]int)}
	for _, member := range group.GetMembers() {
		if member.Voter {
			p.moveVoter(member, 1)
		}
	}
	return p
}

func (p *placement) moveVoter(member *wire.ControlMember, change int) {
	p.voters[zoneOf(member)] += change
	p.voterCount += change
}

// zoneOf returns the availability zone of a member. One whose zone is unknown counts as the only
// one of a zone of its own, so that it is no reason to keep another one out.
func zoneOf(member *wire.ControlMember) string {
	if member.Zone == "" {
		return "unknown zone of " + member.Address
	}
	return member.Zone
}

// imbalance returns how many voters are in a wrong zone. It is 0 if, whichever zone is cut off,
// the side with a majority of the instances has a majority of the voters. Otherwise a minority
// of the instances could commit changes that the others do not learn of, although they have
// contact with one another.
func (p *placement) imbalance() int {
	quorum := p.voterCount/2 + 1
	wrong := 0
	if p.majorityZone != "" {
		wrong = max(0, quorum-p.voters[p.majorityZone])
	}
	for zone, voters := range p.voters {
		if zone != p.majorityZone {
			// The other zones must be left with a quorum.
			wrong += max(0, voters-(p.voterCount-quorum))
		}
	}
	return wrong
}

// imbalanceAfter returns the imbalance once added is a voter and removed, unless it is nil, no
// longer is one.
func (p *placement) imbalanceAfter(added, removed *wire.ControlMember) int {
	p.moveVoter(added, 1)
	defer p.moveVoter(added, -1)
	if removed != nil {
		p.moveVoter(removed, -1)
		defer p.moveVoter(removed, 1)
	}
	return p.imbalance()
}
