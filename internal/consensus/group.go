package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

func (c *Core) isSelf(member *wire.ControlMember) bool {
	return member.Id == c.config.ID && member.Disk == c.config.Disk
}

func (c *Core) isMember() bool {
	return slices.ContainsFunc(c.log.group().GetMembers(), c.isSelf)
}

func (c *Core) isVoter() bool {
	return slices.ContainsFunc(c.log.group().GetMembers(), func(m *wire.ControlMember) bool { return m.Voter && c.isSelf(m) })
}

// memberOf returns the member that sent a message, or nil when the sender is not a
// member: its ID is unknown or its disk is not the one with which it joined.
func (c *Core) memberOf(m *wire.ConsensusMessage) *wire.ControlMember {
	member := findMember(c.log.group(), m.From)
	if member == nil || member.Disk != m.FromDisk {
		return nil
	}
	return member
}

func findMember(group *wire.ControlGroup, id uint64) *wire.ControlMember {
	for _, member := range group.GetMembers() {
		if member.Id == id {
			return member
		}
	}
	return nil
}

func (c *Core) hasQuorum(isGranted func(id uint64) bool) bool {
	voters, granted := 0, 0
	for _, member := range c.log.group().GetMembers() {
		if !member.Voter {
			continue
		}
		voters++
		if isGranted(member.Id) {
			granted++
		}
	}
	return granted > voters/2
}

// refreshPeers updates the peers of a leader after a change of the group.
func (c *Core) refreshPeers() {
	peers := make(map[uint64]*peer)
	for _, member := range c.log.group().GetMembers() {
		if c.isSelf(member) {
			continue
		}
		p := c.peers[member.Id]
		if p == nil {
			p = &peer{next: c.log.lastIndex() + 1, contact: neverSeen}
		}
		p.member = member
		peers[member.Id] = p
	}
	c.peers = peers
}

// canChangeGroup reports whether this member is the leader and the group may change: its
// last change and an entry of the current term must be committed.
func (c *Core) canChangeGroup() bool {
	term, _ := c.log.termAt(c.commit)
	return c.role == Leader && c.log.groupIndex() <= c.commit && term == c.term
}

func (c *Core) proposeGroup(group *wire.ControlGroup) (index, term uint64) {
	entry := c.appendEntry(&wire.LogEntry{Group: group})
	return entry.Index, entry.Term
}

// ProposeAdd proposes to add a learner. The leader makes it a voter once it has caught up.
func (c *Core) ProposeAdd(now time.Duration, member *wire.ControlMember) (index, term uint64, err error) {
	if err := c.checkGroupChange(now); err != nil {
		return 0, 0, err
	}
	group := c.log.group()
	if member.Id <= group.HighestId {
		return 0, 0, Error.New("cannot add member %d: the ID must be greater than %d, since IDs are not used again", member.Id, group.HighestId)
	}
	if member.Replaces != 0 && findMember(group, member.Replaces) == nil {
		return 0, 0, Error.New("cannot replace member %d: the group has no such member; see control list", member.Replaces)
	}
	if len(group.Members) >= MaxMembers {
		return 0, 0, Error.New("the group already has %d members, at most %d are allowed; remove one first", len(group.Members), MaxMembers)
	}
	next := proto.CloneOf(group)
	added := proto.CloneOf(member)
	added.Voter = false
	next.Members = append(next.Members, added)
	next.HighestId = member.Id
	index, term = c.proposeGroup(next)
	return index, term, nil
}

// MaxMembers is the largest number of members: 7 and one that replaces another.
const MaxMembers = 8

// ProposeRemove proposes to remove a member.
func (c *Core) ProposeRemove(now time.Duration, id uint64) (index, term uint64, err error) {
	if err := c.checkGroupChange(now); err != nil {
		return 0, 0, err
	}
	group := c.log.group()
	member := findMember(group, id)
	if member == nil {
		return 0, 0, Error.New("cannot remove member %d: the group has no such member; see control list", id)
	}
	if member.Voter && countVoters(group) == 1 {
		return 0, 0, Error.New("cannot remove member %d: it is the only voter; add another one first", id)
	}
	index, term = c.proposeGroup(withoutMember(group, id))
	return index, term, nil
}

func (c *Core) checkGroupChange(now time.Duration) error {
	c.advanceClock(now)
	if c.role != Leader {
		return ErrNotLeader
	}
	if !c.canChangeGroup() {
		return ErrChangePending
	}
	return nil
}

func countVoters(group *wire.ControlGroup) int {
	voters := 0
	for _, member := range group.GetMembers() {
		if member.Voter {
			voters++
		}
	}
	return voters
}

func withoutMember(group *wire.ControlGroup, id uint64) *wire.ControlGroup {
	next := proto.CloneOf(group)
	next.Members = slices.DeleteFunc(next.Members, func(m *wire.ControlMember) bool { return m.Id == id })
	for _, member := range next.Members {
		if member.Replaces == id {
			member.Replaces = 0
		}
	}
	return next
}

// advanceGroupChange proposes the next step of a change that is in progress: to make a
// learner that has caught up a voter, or to remove the member that a new voter replaces.
func (c *Core) advanceGroupChange() {
	if !c.canChangeGroup() {
		return
	}
	for _, member := range c.log.group().Members {
		if member.Voter && member.Replaces != 0 {
			c.proposeGroup(withoutMember(c.log.group(), member.Replaces))
			return
		}
		if !member.Voter && c.hasCaughtUp(member) {
			next := proto.CloneOf(c.log.group())
			findMember(next, member.Id).Voter = true
			c.proposeGroup(next)
			return
		}
	}
}

// hasCaughtUp reports whether a learner has stored the complete log and has answered
// within ElectionTimeout.
func (c *Core) hasCaughtUp(member *wire.ControlMember) bool {
	p := c.peers[member.Id]
	return p != nil && p.match == c.log.lastIndex() && c.now-p.contact < ElectionTimeout
}
