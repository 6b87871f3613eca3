package consensus

import (
	"slices"
	"time"

	"sassafrasturn.example/internal/wire"
)

// ReplacementTimeout is how long a member may be silent before an instance that waits
// to join replaces it: long enough for an election and the restart of a process, short
// enough that a group that has lost a member is complete again before it may lose the
// next one.
const ReplacementTimeout = 2500 * time.Millisecond

// ChangeIdentity gives the instance another ID and disk identity, with which it has no
// vote and is not a member of the group until a leader adds it. Its log stays, like that
// of a learner that lags behind.
func (c *Core) ChangeIdentity(id, disk uint64) {
	c.config.ID, c.config.Disk = id, disk
	c.becomeFollower(c.term, 0)
}

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

// Reconfigure makes a leader propose the next change of the group, if one is due: to add
// one of the instances that wait to join, where the group has fewer voters than wanted
// or has lost a member, or to remove a silent learner. It returns the member that it
// proposed to add, or nil.
func (c *Core) Reconfigure(now time.Duration, joiners []*wire.ControlMember, voters int) *wire.ControlMember {
	c.advanceClock(now)
	if !c.canChangeGroup() {
		return nil
	}
	change := planReconfiguration(c.log.group(), c.silentTimes(), joiners, voters)
	if change.remove != 0 {
		c.proposeGroup(withoutMember(c.log.group(), change.remove))
		return nil
	}
	if change.add == nil {
		return nil
	}
	if _, _, err := c.ProposeAdd(now, change.add); err != nil {
		return nil
	}
	return change.add
}

// reconfiguration is one change of the group. The zero value is no change.
type reconfiguration struct {
	add    *wire.ControlMember
	remove uint64
}

// planReconfiguration decides the next change of the group:
//   - a learner that has been silent for ReplacementTimeout is removed, since it keeps
//     other instances from being added;
//   - an instance at the address of a member, with another disk, replaces that member,
//     whose disk is lost;
//   - a group with too few voters adds an instance;
//   - an instance replaces a voter that has been silent for ReplacementTimeout.
//
// No instance is added to a complete group. Instances that request to join it wait.
func planReconfiguration(group *wire.ControlGroup, silent map[uint64]time.Duration, joiners []*wire.ControlMember, voters int) reconfiguration {
	hasLearner := false
	for _, member := range group.GetMembers() {
		if member.Voter {
			continue
		}
		if silent[member.Id] > ReplacementTimeout {
			return reconfiguration{remove: member.Id}
		}
		hasLearner = true
	}
	waiting := slices.DeleteFunc(slices.Clone(joiners), func(j *wire.ControlMember) bool {
		return j.Id <= group.GetHighestId() || findMember(group, j.Id) != nil
	})
	if hasLearner || len(waiting) == 0 {
		return reconfiguration{}
	}
	for _, joiner := range waiting {
		for _, member := range group.Members {
			if member.Address == joiner.Address && member.Disk != joiner.Disk {
				return reconfiguration{add: asReplacement(joiner, member.Id)}
			}
		}
	}
	if countVoters(group) < voters {
		return reconfiguration{add: waiting[0]}
	}
	if silentVoter := longestSilent(group, silent); silentVoter != 0 {
		return reconfiguration{add: asReplacement(waiting[0], silentVoter)}
	}
	return reconfiguration{}
}

func asReplacement(joiner *wire.ControlMember, id uint64) *wire.ControlMember {
	return &wire.ControlMember{Id: joiner.Id, Address: joiner.Address, Disk: joiner.Disk, Replaces: id}
}

// longestSilent returns the ID of the voter that has been silent for the longest time,
// or 0 if none has been silent for longer than ReplacementTimeout.
func longestSilent(group *wire.ControlGroup, silent map[uint64]time.Duration) uint64 {
	id, longest := uint64(0), ReplacementTimeout
	for _, member := range group.Members {
		if silence, ok := silent[member.Id]; ok && member.Voter && silence > longest {
			id, longest = member.Id, silence
		}
	}
	return id
}
