package consensus

import (
	"slices"
	"time"

	"sassafrasturn.example/internal/wire"
)

// GoneTimeout is how long a member may be silent before an instance that waits
// to join takes its place: long enough for an election and the restart of a
// process, short enough that a group that has lost a member is whole again
// before it may lose the next one.
const GoneTimeout = 2500 * time.Millisecond

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
	c.observe(now)
	if c.role == Leader {
		c.broadcastAppend()
	}
}

// silences returns how long each other member has not answered a leader.
func (c *Core) silences() map[uint64]time.Duration {
	silences := make(map[uint64]time.Duration, len(c.peers))
	for id, p := range c.peers {
		silences[id] = c.now - max(p.contact, c.ledSince)
	}
	return silences
}

// Reconfigure lets a leader take in one of the instances that wait to join, where
// the group lacks voters or has lost a member. It reports the member that it
// proposed to add, or nil.
func (c *Core) Reconfigure(now time.Duration, joiners []*wire.ControlMember, voters int) *wire.ControlMember {
	c.observe(now)
	if !c.canChange() {
		return nil
	}
	change := planRegroup(c.log.group(), c.silences(), joiners, voters)
	if change.remove != 0 {
		c.propose(without(c.log.group(), change.remove))
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

// regrouping is one change of the group, or none.
type regrouping struct {
	add    *wire.ControlMember
	remove uint64
}

// planRegroup decides the next change of the group:
//   - a learner that has fallen silent is removed, since it holds its place;
//   - an instance at the address of a member, with another disk, replaces it:
//     the disk that the member had is lost;
//   - a group with too few members takes one in;
//   - an instance replaces a voter that has been silent for GoneTimeout.
//
// A group that is whole takes nobody in: the others wait.
func planRegroup(group *wire.ControlGroup, silences map[uint64]time.Duration, joiners []*wire.ControlMember, voters int) regrouping {
	hasLearner := false
	for _, member := range group.GetMembers() {
		if member.Voter {
			continue
		}
		if silences[member.Id] > GoneTimeout {
			return regrouping{remove: member.Id}
		}
		hasLearner = true
	}
	waiting := slices.DeleteFunc(slices.Clone(joiners), func(j *wire.ControlMember) bool {
		return j.Id <= group.GetHighestId() || find(group, j.Id) != nil
	})
	if hasLearner || len(waiting) == 0 {
		return regrouping{}
	}
	for _, joiner := range waiting {
		for _, member := range group.Members {
			if member.Address == joiner.Address && member.Disk != joiner.Disk {
				return regrouping{add: replacing(joiner, member.Id)}
			}
		}
	}
	if countVoters(group) < voters {
		return regrouping{add: waiting[0]}
	}
	if gone := longestSilent(group, silences); gone != 0 {
		return regrouping{add: replacing(waiting[0], gone)}
	}
	return regrouping{}
}

func replacing(joiner *wire.ControlMember, id uint64) *wire.ControlMember {
	return &wire.ControlMember{Id: joiner.Id, Address: joiner.Address, Disk: joiner.Disk, Replaces: id}
}

// longestSilent returns the voter that has been silent longest, beyond
// GoneTimeout, or 0.
func longestSilent(group *wire.ControlGroup, silences map[uint64]time.Duration) uint64 {
	gone, longest := uint64(0), GoneTimeout
	for _, member := range group.Members {
		if silence, ok := silences[member.Id]; ok && member.Voter && silence > longest {
			gone, longest = member.Id, silence
		}
	}
	return gone
}
