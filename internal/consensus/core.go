// Package consensus implements Raft for the control instances, which agree on one log
// of commands: elections with pre-vote and check-quorum, replication, snapshots and
// membership changes of one member at a time.
//
// Core is a pure state machine. Time and randomness are passed in, and Ready returns
// what must be stored, sent and applied. The algorithm is that of the Raft papers. A
// member is identified by its ID together with the random identity of its disk, so an
// instance that has lost its disk is not a member, whatever its ID.
package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"sassafrasturn.example/internal/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("consensus")

// Errors that are returned for proposals.
var (
	ErrNotLeader     = Error.New("this instance is not the leader")
	ErrBusy          = Error.New("limit on uncommitted proposals reached; try again")
	ErrChangePending = Error.New("another change of the group is in progress; try again when it is committed")
)

// Intervals and timeouts of the protocol.
const (
	// HeartbeatInterval is the interval at which a leader sends appends to all members,
	// with or without new entries.
	HeartbeatInterval = 150 * time.Millisecond
	// ElectionTimeout is the shortest time without a leader before an election.
	// A leader that has not been answered by a majority for this time steps down,
	// and a member does not vote within this time after a message of a leader.
	ElectionTimeout = 600 * time.Millisecond

	// A restarted member that grants no lease requests pre-votes after restartDelay and a
	// random time up to restartSpread, so that its links can be established first. If there
	// is a leader, the other members refuse.
	restartDelay  = 30 * time.Millisecond
	restartSpread = 100 * time.Millisecond

	// A pre-candidate repeats its requests after one to two times preVoteRetry, since
	// other members may still be starting or may have sent requests at the same moment.
	// After every preVotesPerBackoff attempts the time doubles, up to ElectionTimeout.
	preVoteRetry       = 100 * time.Millisecond
	preVotesPerBackoff = 3
	// preVoteReservation is how long a member that has granted a pre-vote refuses it to
	// others: the time for the answer, the sync of a slow disk, and the vote.
	preVoteReservation = 100 * time.Millisecond

	appendRetryInterval   = 200 * time.Millisecond
	snapshotRetryInterval = 3 * time.Second
)

// Limits on the entries of one message and on the uncommitted part of the log.
const (
	maxBatchBytes       = 1 << 20
	maxUncommittedBytes = 16 << 20
)

// Role is the current Raft role of a member.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Config identifies a member and contains its settings.
type Config struct {
	ID uint64
	// Disk is the random identity of the member's disk.
	Disk uint64
	// Rand randomizes election timeouts.
	Rand *rand.Rand
	// GrantsNoLease is true if no lease is derived from a member's answers to a leader.
	// Nothing then depends on the answers before a restart, and a restarted member may
	// vote immediately.
	GrantsNoLease bool
	// Zone is the availability zone of the instance, empty if it is unknown.
	Zone string
}

// Stored is the persistent state of a member. The zero value is that of an empty disk.
type Stored struct {
	State    *wire.VoteState
	Snapshot *wire.LogSnapshot
	Entries  []*wire.LogEntry
}

// Ready is the work for the caller of a Core, to be done in the order of the fields.
type Ready struct {
	// State, Snapshot and Entries must be stored before the rest is done. Entries
	// replace all stored ones from the index of the first on. A snapshot replaces all
	// stored entries.
	State    *wire.VoteState
	Snapshot *wire.LogSnapshot
	Entries  []*wire.LogEntry
	Messages []*wire.ConsensusMessage
	// Committed are the entries to apply, after the state of Snapshot, if it is set,
	// has replaced the applied state.
	Committed []*wire.LogEntry
}

// IsEmpty reports whether there is nothing to do.
func (r *Ready) IsEmpty() bool {
	return r.State == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}

// Core is the Raft state machine of one member. It is not safe for concurrent use.
type Core struct {
	config Config
	log    entryLog

	term, vote uint64
	commit     uint64
	applied    uint64
	// stable is the index of the last entry that is stored.
	stable uint64
	// storedTerm, storedVote and storedCommit are the state as it was last stored.
	storedTerm, storedVote, storedCommit uint64
	newSnapshot                          *wire.LogSnapshot

	role     Role
	leader   uint64
	now      time.Duration
	messages []*wire.ConsensusMessage

	electionAt  time.Duration
	noVoteUntil time.Duration
	campaignAt  time.Duration
	granted     map[uint64]bool
	// preVoteAttempts counts the pre-votes since the last message of a leader.
	preVoteAttempts int
	// preVoteFor is the candidate that has this member's pre-vote until preVoteUntil.
	preVoteFor   uint64
	preVoteUntil time.Duration

	// leaderLastSeen is when a follower last received a message of its leader, and
	// leaderCommit the highest commit index that any leader has sent to it.
	leaderLastSeen time.Duration
	leaderCommit   uint64
	// electedAt is when this member last became leader, and observed what it sees of the zones
	// since.
	electedAt time.Duration
	observed  observation

	heartbeatAt      time.Duration
	peers            map[uint64]*peer
	uncommittedBytes int
}

// New restores a member from its persistent state.
func New(config Config, stored Stored, now time.Duration) *Core {
	c := &Core{config: config, log: newEntryLog(stored.Snapshot, stored.Entries), now: now}
	if stored.State != nil {
		c.term, c.vote, c.commit = stored.State.Term, stored.State.Vote, stored.State.Commit
	}
	c.commit = max(c.commit, c.log.baseIndex())
	c.applied = c.log.baseIndex()
	c.stable = c.log.lastIndex()
	c.storedTerm, c.storedVote, c.storedCommit = c.term, c.vote, c.commit
	c.leaderLastSeen = neverSeen
	c.resetElection()
	if c.term > FirstTerm && config.GrantsNoLease {
		c.electionAt = now + restartDelay + time.Duration(config.Rand.Int64N(int64(restartSpread)))
	} else if c.term > FirstTerm {
		// The instance may have answered a leader just before its restart, and that
		// leader's lease may still be valid.
		c.noVoteUntil = now + ElectionTimeout
	} else if c.log.group().GetNumber() != 0 {
		c.electionAt = now
	}
	return c
}

// FirstTerm is the term of the first snapshot of a new group.
const FirstTerm = 1

// FirstSnapshot returns the snapshot with which the log of a new group begins.
func FirstSnapshot(group *wire.ControlGroup) *wire.LogSnapshot {
	return &wire.LogSnapshot{Index: 1, Term: FirstTerm, Group: group}
}

// Tick advances the time, and sends the heartbeats or starts the election that is due.
func (c *Core) Tick(now time.Duration) {
	c.advanceClock(now)
	switch {
	case c.role == Leader && c.now >= c.heartbeatAt:
		c.broadcastAppend()
	case c.role != Leader && c.now >= c.electionAt:
		c.startPreVote()
	}
}

// advanceClock sets the current time. A leader that has lost contact with a majority,
// perhaps because the process was frozen, steps down before it does anything else.
func (c *Core) advanceClock(now time.Duration) {
	c.now = max(c.now, now)
	if c.role == Leader && c.now-c.quorumContact() >= ElectionTimeout {
		c.becomeFollower(c.term, 0)
	}
}

// Propose appends a command to the log of the leader and returns the index and the term
// of its entry. It fails with ErrNotLeader or ErrBusy.
func (c *Core) Propose(now time.Duration, command []byte) (index, term uint64, err error) {
	c.advanceClock(now)
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if c.uncommittedBytes+len(command) > maxUncommittedBytes {
		return 0, 0, ErrBusy
	}
	entry := c.appendEntry(&wire.LogEntry{Command: command})
	return entry.Index, entry.Term, nil
}

func (c *Core) appendEntry(entry *wire.LogEntry) *wire.LogEntry {
	entry.Index = c.log.lastIndex() + 1
	entry.Term = c.term
	c.log.append(entry)
	c.uncommittedBytes += len(entry.Command)
	if entry.Group != nil {
		c.refreshPeers()
	}
	c.sendAppends()
	return entry
}

// Step handles a message from another member.
func (c *Core) Step(now time.Duration, m *wire.ConsensusMessage) {
	c.advanceClock(now)
	if !c.isAddressee(m) {
		return
	}
	if m.Term > c.term {
		if !c.adoptTerm(m) {
			return
		}
	} else if m.Term < c.term {
		c.rejectOldTerm(m)
		return
	}
	switch m.Kind {
	case wire.ConsensusMessage_KIND_PRE_VOTE, wire.ConsensusMessage_KIND_VOTE:
		c.handleVoteRequest(m)
	case wire.ConsensusMessage_KIND_PRE_VOTE_ANSWER, wire.ConsensusMessage_KIND_VOTE_ANSWER:
		c.handleVoteAnswer(m)
	case wire.ConsensusMessage_KIND_APPEND:
		c.handleAppend(m)
	case wire.ConsensusMessage_KIND_SNAPSHOT:
		c.handleSnapshot(m)
	case wire.ConsensusMessage_KIND_APPEND_ANSWER:
		c.handleAppendAnswer(m)
	case wire.ConsensusMessage_KIND_CAMPAIGN:
		c.handleCampaign(m)
	}
}

// isAddressee reports whether the message is addressed to this member with its current
// disk in its group. A message to a previous, lost disk is not.
func (c *Core) isAddressee(m *wire.ConsensusMessage) bool {
	own := c.log.group().GetNumber()
	return m.To == c.config.ID && m.ToDisk == c.config.Disk && (own == 0 || m.Group == own)
}

// adoptTerm adopts the higher term of a message, unless its kind or the lease of a
// leader forbids it. It reports whether the message is to be handled further.
func (c *Core) adoptTerm(m *wire.ConsensusMessage) bool {
	switch m.Kind {
	case wire.ConsensusMessage_KIND_PRE_VOTE:
		return true
	case wire.ConsensusMessage_KIND_PRE_VOTE_ANSWER:
		if !m.Rejected {
			return true
		}
	case wire.ConsensusMessage_KIND_VOTE:
		if c.isLeaderAlive() && !m.Resigned {
			return false
		}
	}
	c.becomeFollower(m.Term, 0)
	return true
}

func (c *Core) rejectOldTerm(m *wire.ConsensusMessage) {
	answer := &wire.ConsensusMessage{Term: c.term, Rejected: true}
	switch m.Kind {
	case wire.ConsensusMessage_KIND_PRE_VOTE:
		answer.Kind = wire.ConsensusMessage_KIND_PRE_VOTE_ANSWER
	case wire.ConsensusMessage_KIND_VOTE:
		answer.Kind = wire.ConsensusMessage_KIND_VOTE_ANSWER
	case wire.ConsensusMessage_KIND_APPEND, wire.ConsensusMessage_KIND_SNAPSHOT:
		answer.Kind = wire.ConsensusMessage_KIND_APPEND_ANSWER
	default:
		return
	}
	c.answer(m, answer)
}

func (c *Core) answer(request, answer *wire.ConsensusMessage) {
	answer.To, answer.ToDisk, answer.Group = request.From, request.FromDisk, request.Group
	c.send(answer)
}

func (c *Core) send(m *wire.ConsensusMessage) {
	m.From, m.FromDisk = c.config.ID, c.config.Disk
	c.messages = append(c.messages, m)
}

func (c *Core) sendTo(member *wire.ControlMember, m *wire.ConsensusMessage) {
	m.To, m.ToDisk, m.Group = member.Id, member.Disk, c.log.group().GetNumber()
	c.send(m)
}

// Ready returns the work that is due. The caller must do it and report it with Advance
// before any other call.
func (c *Core) Ready() *Ready {
	ready := &Ready{
		Snapshot:  c.newSnapshot,
		Entries:   c.log.from(c.stable + 1),
		Messages:  c.messages,
		Committed: c.log.between(c.applied+1, min(c.commit, c.log.lastIndex())),
	}
	isApplying := len(ready.Committed) > 0 && c.commit != c.storedCommit
	if c.term != c.storedTerm || c.vote != c.storedVote || isApplying || ready.Snapshot != nil {
		ready.State = &wire.VoteState{Term: c.term, Vote: c.vote, Commit: c.commit}
	}
	return ready
}

// Advance is called when the work of ready has been done.
func (c *Core) Advance(ready *Ready) {
	c.newSnapshot = nil
	c.messages = nil
	if ready.State != nil {
		c.storedTerm, c.storedVote, c.storedCommit = ready.State.Term, ready.State.Vote, ready.State.Commit
	}
	if n := len(ready.Entries); n > 0 {
		c.stable = ready.Entries[n-1].Index
	}
	if n := len(ready.Committed); n > 0 {
		c.applied = ready.Committed[n-1].Index
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Compact replaces the entries up to the applied index by a snapshot of the applied
// state, and returns the complete state to store.
func (c *Core) Compact(state []byte) Stored {
	c.log.compact(c.applied, state)
	return Stored{
		State:    &wire.VoteState{Term: c.storedTerm, Vote: c.storedVote, Commit: c.storedCommit},
		Snapshot: c.log.snapshot,
		Entries:  c.log.entries,
	}
}

// Status is the current state of a member.
type Status struct {
	Role    Role
	Leader  uint64
	Term    uint64
	Commit  uint64
	Applied uint64
	Last    uint64
	Group   *wire.ControlGroup
	// IsCurrent reports whether a leader has applied all entries that earlier leaders
	// have committed or, on a follower, whether it has a leader and has applied all
	// entries up to the highest commit index that it has received.
	IsCurrent bool
	// LastContact is, on a leader, when the newest append was sent that a majority has
	// answered, and on another member, when it last received a message of its leader.
	LastContact time.Duration
	// IsGroupCommitted reports whether Group is committed.
	IsGroupCommitted bool
}

// IsMember reports whether the group has a voter or learner with this ID and disk.
func (s *Status) IsMember(id, disk uint64) bool {
	member := findMember(s.Group, id)
	return member != nil && member.Disk == disk
}

// Status returns the state of the member at the time now.
func (c *Core) Status(now time.Duration) Status {
	c.advanceClock(now)
	status := Status{
		Role: c.role, Leader: c.leader, Term: c.term,
		Commit: c.commit, Applied: c.applied, Last: c.log.lastIndex(), Group: c.log.group(),
		IsGroupCommitted: c.log.groupIndex() <= c.commit,
	}
	if c.role == Leader {
		status.LastContact = c.quorumContact()
		term, _ := c.log.termAt(c.commit)
		status.IsCurrent = term == c.term && c.applied == c.commit
		return status
	}
	status.LastContact = c.leaderLastSeen
	status.IsCurrent = c.leader != 0 && c.applied >= c.leaderCommit
	return status
}
