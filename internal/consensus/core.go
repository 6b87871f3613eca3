// Package consensus is the agreement of the control instances on one log of
// commands: elections with pre-vote and check-quorum, replication, snapshots
// and membership changes of one member at a time.
//
// Core is a pure state machine. Time and randomness are passed in; what must be
// stored, sent and applied comes out of Ready. The algorithm is that of the
// Raft papers. A member is known by its ID and by the random identity of its
// disk, so an instance that has lost its disk is no member, whatever its ID.
package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"sassafrasturn.example/internal/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("consensus")

// Errors of proposals.
var (
	ErrNotLeader     = Error.New("this instance does not lead")
	ErrBusy          = Error.New("too much is proposed and not yet committed; try again")
	ErrChangePending = Error.New("another change of the group is under way; try again when it is done")
)

// Intervals of the protocol.
const (
	HeartbeatInterval = 150 * time.Millisecond
	// ElectionTimeout is the shortest time without a leader before an election.
	// A leader that no majority has answered for as long steps down, and no
	// member votes within as long after it heard a leader.
	ElectionTimeout = 600 * time.Millisecond

	// A restarted member that grants no lease asks for pre-votes once its links are
	// up. Where a leader lives, the others refuse.
	restartDelay  = 30 * time.Millisecond
	restartSpread = 100 * time.Millisecond

	// A pre-candidate asks again after preVoteRetry to twice as long, since other
	// members may only be starting, or may have asked at the same moment. After each
	// preVoteAttempts the time doubles, up to ElectionTimeout.
	preVoteRetry       = 100 * time.Millisecond
	preVotesPerBackoff = 3
	// preVoteReservation is how long a member that has granted a pre-vote grants none to
	// others: the time for the answer, a sync of a slow disk, and the vote.
	preVoteReservation = 100 * time.Millisecond

	appendRetryInterval   = 200 * time.Millisecond
	snapshotRetryInterval = 3 * time.Second
)

// Bounds on what one message and the uncommitted part of the log hold.
const (
	maxBatchBytes       = 1 << 20
	maxUncommittedBytes = 16 << 20
)

// Role is what a member does at the moment.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String names the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Config says which member a Core is.
type Config struct {
	ID   uint64
	Disk uint64
	// Rand spreads election timeouts.
	Rand *rand.Rand
	// GrantsNoLease: nobody acts on the answers of the past, as the holders of a
	// leader's lease do. A member that has just restarted may then vote at once.
	GrantsNoLease bool
}

// Stored is what a member has stored. The zero value is an empty disk.
type Stored struct {
	State    *wire.VoteState
	Snapshot *wire.LogSnapshot
	Entries  []*wire.LogEntry
}

// Ready is work for the owner of a Core, to be done in the order of the fields.
type Ready struct {
	// State, Snapshot and Entries must be stored before the rest is done.
	// Entries replace all held ones from the first one's index on; a snapshot
	// replaces all entries.
	State    *wire.VoteState
	Snapshot *wire.LogSnapshot
	Entries  []*wire.LogEntry
	Messages []*wire.ConsensusMessage
	// Committed are the entries to apply, after the state of Snapshot, if any,
	// has replaced the applied state.
	Committed []*wire.LogEntry
}

// IsEmpty reports whether there is nothing to do.
func (r *Ready) IsEmpty() bool {
	return r.State == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}

// Core is one member's part in the agreement. It is not safe for concurrent use.
type Core struct {
	config Config
	log    entryLog

	term, vote uint64
	commit     uint64
	applied    uint64
	// stable is the last index that is stored.
	stable uint64
	// stored is the state as it was last handed out for storing.
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
	// preVoteAttempts counts the attempts since a leader was heard.
	preVoteAttempts int
	// preVoteFor has this member's pre-vote until heldUntil.
	preVoteFor   uint64
	preVoteUntil time.Duration

	// leaderLastSeen is when a follower last heard its leader, and leaderCommit the
	// highest commit index that any leader has told it.
	leaderLastSeen time.Duration
	leaderCommit   uint64
	// electedAt is when a leader was elected.
	electedAt time.Duration

	heartbeatAt      time.Duration
	peers            map[uint64]*peer
	uncommittedBytes int
}

// New restores a member from what it has stored.
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
		// The instance may have answered a leader just before its restart.
		c.noVoteUntil = now + ElectionTimeout
	} else if c.log.group().GetNumber() != 0 {
		c.electionAt = now
	}
	return c
}

// FirstTerm is the term of the snapshot with which a group begins.
const FirstTerm = 1

// FirstSnapshot is the beginning of a new group's log.
func FirstSnapshot(group *wire.ControlGroup) *wire.LogSnapshot {
	return &wire.LogSnapshot{Index: 1, Term: FirstTerm, Group: group}
}

// Tick advances the time.
func (c *Core) Tick(now time.Duration) {
	c.advanceClock(now)
	switch {
	case c.role == Leader && c.now >= c.heartbeatAt:
		c.broadcastAppend()
	case c.role != Leader && c.now >= c.electionAt:
		c.startPreVote()
	}
}

// advanceClock advances the clock. A leader that has lost its majority, perhaps
// because the process was frozen, steps down before it does anything else.
func (c *Core) advanceClock(now time.Duration) {
	c.now = max(c.now, now)
	if c.role == Leader && c.now-c.quorumContact() >= ElectionTimeout {
		c.becomeFollower(c.term, 0)
	}
}

// Propose appends a command to the log of the leader.
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

// Step takes in a message from another member.
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

// isAddressee reports whether the message is for this disk of this member in
// this group. A message to the lost disk of a predecessor is not.
func (c *Core) isAddressee(m *wire.ConsensusMessage) bool {
	own := c.log.group().GetNumber()
	return m.To == c.config.ID && m.ToDisk == c.config.Disk && (own == 0 || m.Group == own)
}

// adoptTerm takes over a higher term where the message calls for it; it
// reports whether the message is to be handled further.
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

// Ready returns the work that is due. It must be done, and reported by
// Advance, before any other call.
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

// Advance reports that the work of ready has been done.
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

// Compact replaces the entries up to the applied index by the applied state,
// and returns all that is then to be stored.
func (c *Core) Compact(state []byte) Stored {
	c.log.compact(c.applied, state)
	return Stored{
		State:    &wire.VoteState{Term: c.storedTerm, Vote: c.storedVote, Commit: c.storedCommit},
		Snapshot: c.log.snapshot,
		Entries:  c.log.entries,
	}
}

// Status is how a member stands.
type Status struct {
	Role    Role
	Leader  uint64
	Term    uint64
	Commit  uint64
	Applied uint64
	Last    uint64
	Group   *wire.ControlGroup
	// IsCurrent reports whether a leader has applied all that earlier leaders
	// have committed, and whether a follower has applied all that its leader has
	// told it to be committed.
	IsCurrent bool
	// LastContact is the time of the newest append that a majority has answered, on
	// a leader; on another member, when it last heard its leader.
	LastContact time.Duration
	// IsGroupCommitted reports whether Group is committed.
	IsGroupCommitted bool
}

// IsMember reports whether the group has the disk of a member, as voter or learner.
func (s *Status) IsMember(id, disk uint64) bool {
	member := findMember(s.Group, id)
	return member != nil && member.Disk == disk
}

// Status returns how the member stands at the time now.
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
