package consensus

import (
	"slices"
	"time"

	"sassafrasturn.example/internal/wire"
)

// ReplacementTimeout is how long a member may be silent before an instance that waits
// to join takes its place: long enough for an election and the restart of a
// process, short enough that a group that has lost a member is whole again
// before it may lose the next one.
const ReplacementTimeout = 2500 * time.Millisecond

// ChangeIdentity gives the instance another identity, under which it has no vote and
// no place in the group until a leader takes it in. What it has stored stays,
// as that of a learner that lags.
func (c *Core) ChangeIdentity(id, disk uint64) {
	c.config.ID, c.config.Disk = id, disk
	c.becomeFollower(c.term, 0)
}

// ConfirmLeadership makes a leader ask for the answers of a majority at once; Status then
// shows in Contact when they were asked for.
func (c *Core) ConfirmLeadership(now time.Duration) {
	c.advanceClock(now)
	if c.role == Leader {
		c.broadcastAppend()
	}
}

// silentTimes returns how long each other member has not answered a leader.
func (c *Core) silentTimes() map[uint64]time.Duration {
	silent := make(map[uint64]time.Duration, len(c.peers))
	for id, p := range c.peers {
		silent[id] = c.now - max(p.contact, c.electedAt)
	}
	return silent
}

// Reconfigure lets a leader take in one of the instances that wait to join, where
// the group lacks voters or has lost a member. It reports the member that it
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

// reconfiguration is one change of the group, or none.
type reconfiguration struct {
	add    *wire.ControlMember
	remove uint64
}

// planReconfiguration decides the next change of the group:
//   - a learner that has fallen silent is removed, since it holds its place;
//   - an instance at the address of a member, with another disk, replaces it:
//     the disk that the member had is lost;
//   - a group with too few members takes one in;
//   - an instance replaces a voter that has been silent for GoneTimeout.
//
// A group that is whole takes nobody in: the others wait.
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

// longestSilent returns the voter that has been silent longest, beyond
// GoneTimeout, or 0.
func longestSilent(group *wire.ControlGroup, silent map[uint64]time.Duration) uint64 {
	id, longest := uint64(0), ReplacementTimeout
	for _, member := range group.Members {
		if silence, ok := silent[member.Id]; ok && member.Voter && silence > longest {
			id, longest = member.Id, silence
		}
	}
	return id
}
