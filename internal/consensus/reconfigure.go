package consensus

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

const (
	// ReplacementTimeout is how long a member may be silent before an instance that waits
	// to join replaces it: long enough for an election and the restart of a process, short
	// enough that a group that has lost a member is complete again before it may lose the
	// next one.
	ReplacementTimeout = 2500 * time.Millisecond
	// LossTimeout is how long a member may be silent before it counts as lost for good, and
	// not as cut off with its zone. It is then replaced by an instance of any zone. It is
	// longer than cuts that heal by themselves usually last.
	LossTimeout = time.Minute
)

// ChangeIdentity gives the instance another ID and disk identity, with which it has no
// vote and is not a member of the group until a leader adds it. Its log stays, like that
// of a learner that lags behind.
func (c *Core) ChangeIdentity(id, disk uint64) {
	c.config.ID, c.config.Disk = id, disk
	c.becomeFollower(c.term, 0)
}

// SetZone sets the availability zone of the instance.
func (c *Core) SetZone(zone string) { c.config.Zone = zone }

// ConfirmLeadership makes a leader send appends to all members immediately. Once a
// majority has answered, LastContact of Status is at least the time of this call.
func (c *Core) ConfirmLeadership(now time.Duration) {
	c.advanceClock(now)
	if c.role == Leader {
		c.broadcastAppend()
	}
}

// silentTimes returns, on a leader, for how long each other member has not answered.
func (c *Core) silentTimes() map[uint64]time.Duration {
	silent := make(map[uint64]time.Duration, len(c.peers))
	for id, p := range c.peers {
		silent[id] = c.now - max(p.contact, c.electedAt)
	}
	return silent
}

// Reconfiguration is what a leader has decided about its group.
type Reconfiguration struct {
	// Kept are the silent voters that no waiting instance may replace yet, because too many
	// voters would be in its zone.
	Kept []*wire.ControlMember
	// Imbalance is the number of voters that should be in another zone, so that a majority of the
	// instances has a majority of the voters whichever zone is cut off.
	Imbalance int
}

// Reconfigure makes a leader propose the next change of the group, if one is due: to add
// one of the instances that wait to join, where the group has fewer voters than wanted,
// has lost a member or has too many voters in one zone, or to remove a silent learner. It
// returns nil if the group cannot change now.
func (c *Core) Reconfigure(now time.Duration, joiners []*wire.ControlMember, voters int) *Reconfiguration {
	c.advanceClock(now)
	if !c.canChangeGroup() {
		return nil
	}
	if group := c.withReportedZones(); group != nil {
		c.proposeGroup(group)
		return nil
	}
	if group := c.observeMajority(joiners); group != nil {
		c.proposeGroup(group)
		return nil
	}
	change := planReconfiguration(groupState{
		group: c.log.group(), leader: c.config.ID, silent: c.silentTimes(), joiners: joiners, voters: voters,
	})
	if change.remove != 0 {
		c.proposeGroup(withoutMember(c.log.group(), change.remove))
	} else if change.add != nil {
		// An instance that cannot be added asks again.
		_, _, _ = c.ProposeAdd(now, change.add)
	}
	return &Reconfiguration{Kept: change.kept, Imbalance: change.imbalance}
}

// withReportedZones returns the group with the zones that its members report, or nil if it has
// them already. Members that an earlier release has added have none.
func (c *Core) withReportedZones() *wire.ControlGroup {
	next := proto.CloneOf(c.log.group())
	isChanged := false
	for _, member := range next.Members {
		zone := c.config.Zone
		if !c.isSelf(member) {
			zone = c.peers[member.Id].zone
		}
		if zone != "" && zone != member.Zone {
			member.Zone = zone
			isChanged = true
		}
	}
	if !isChanged {
		return nil
	}
	return next
}

// groupState is what a change of the group is decided by.
type groupState struct {
	group *wire.ControlGroup
	// leader is the ID of the deciding member.
	leader uint64
	// silent is for how long each other member has not answered.
	silent map[uint64]time.Duration
	// joiners are the instances that wait to join, by ID.
	joiners []*wire.ControlMember
	// voters is the wanted number of voters.
	voters int
}

// reconfiguration is one change of the group. The zero value is no change.
type reconfiguration struct {
	add    *wire.ControlMember
	remove uint64
	// kept and imbalance are those of Reconfiguration.
	kept      []*wire.ControlMember
	imbalance int
}

// planReconfiguration decides the next change of the group:
//   - a learner that has been silent for ReplacementTimeout is removed, since it keeps
//     other instances from being added;
//   - an instance at the address of a member, with another disk, replaces that member,
//     whose disk is lost;
//   - a group with too few voters adds an instance;
//   - an instance replaces a voter that has been silent for ReplacementTimeout, unless that
//     leaves more voters in a wrong zone and the voter may still return;
//   - an instance replaces a voter in a wrong zone.
//
// Instances in a zone where voters are missing come first. No other instance is added to a
// complete group. Instances that request to join it wait.
func planReconfiguration(s groupState) reconfiguration {
	for _, member := range s.group.GetMembers() {
		if !member.Voter && s.silent[member.Id] > ReplacementTimeout {
			return reconfiguration{remove: member.Id}
		}
	}
	placed := newPlacement(s.group)
	plan := reconfiguration{imbalance: placed.imbalance()}
	waiting := slices.DeleteFunc(slices.Clone(s.joiners), func(j *wire.ControlMember) bool {
		return j.Id <= s.group.GetHighestId() || findMember(s.group, j.Id) != nil
	})
	if isChanging(s.group) || len(waiting) == 0 {
		return plan
	}
	for _, joiner := range waiting {
		for _, member := range s.group.Members {
			if member.Address == joiner.Address && member.Disk != joiner.Disk {
				plan.add = asReplacement(joiner, member.Id)
				return plan
			}
		}
	}
	if countVoters(s.group) < s.voters {
		plan.add = slices.MinFunc(waiting, func(a, b *wire.ControlMember) int {
			return cmp.Compare(placed.imbalanceAfter(a, nil), placed.imbalanceAfter(b, nil))
		})
		return plan
	}
	if best := s.bestReplacement(&placed, waiting); best != nil {
		plan.add = asReplacement(best.joiner, best.voter.Id)
		return plan
	}
	for _, member := range s.group.Members {
		if member.Voter && s.silent[member.Id] > ReplacementTimeout {
			plan.kept = append(plan.kept, member)
		}
	}
	return plan
}

// replacement is a voter that a joiner may replace.
type replacement struct {
	voter, joiner *wire.ControlMember
	// silence is for how long the voter has not answered, 0 if it is not silent.
	silence time.Duration
	// imbalance is that of the group after the replacement.
	imbalance int
	isLeader  bool
}

// bestReplacement returns the replacement to make next, or nil if there is none. Voters that
// answer are replaced only once it is known where the majority of the instances runs.
func (s *groupState) bestReplacement(placed *placement, waiting []*wire.ControlMember) *replacement {
	var possible []replacement
	current, isMajorityKnown := placed.imbalance(), s.group.MajorityZone != nil
	for _, voter := range s.group.Members {
		silence := s.silent[voter.Id]
		if silence <= ReplacementTimeout {
			silence = 0
		}
		for _, joiner := range waiting {
			imbalance := placed.imbalanceAfter(joiner, voter)
			isSilentOne := silence > 0 && imbalance <= current || silence > LossTimeout
			isMisplacedOne := isMajorityKnown && imbalance < current
			if isSilentOne || isMisplacedOne {
				possible = append(possible, replacement{voter, joiner, silence, imbalance, voter.Id == s.leader})
			}
		}
	}
	if len(possible) == 0 {
		return nil
	}
	best := slices.MinFunc(possible, compareReplacements)
	return &best
}

// compareReplacements orders silent voters before others, and then by the imbalance that is
// left. A voter in the zone of the joiner, the one that is silent for longer, one that does not
// lead, and the joiner with the lower ID come first.
func compareReplacements(a, b replacement) int {
	return cmp.Or(
		compareBool(a.silence == 0, b.silence == 0), cmp.Compare(a.imbalance, b.imbalance),
		compareBool(a.changesZone(), b.changesZone()), cmp.Compare(b.silence, a.silence),
		compareBool(a.isLeader, b.isLeader), cmp.Compare(a.joiner.Id, b.joiner.Id),
	)
}

func (r *replacement) changesZone() bool { return zoneOf(r.voter) != zoneOf(r.joiner) }

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func asReplacement(joiner *wire.ControlMember, id uint64) *wire.ControlMember {
	replacement := proto.CloneOf(joiner)
	replacement.Replaces = id
	return replacement
}
