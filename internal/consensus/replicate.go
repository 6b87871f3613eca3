package consensus

import (
	"math"
	"slices"
	"time"

	"sassafrasturn.example/internal/wire"
)

// peer is the replication state of another member on a leader.
type peer struct {
	member *wire.ControlMember
	// match is the index up to which the peer's stored log is known to match the leader's.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// resendAt is when entries are sent again if no answer has arrived.
	resendAt time.Duration
	// snapshotAt is when the last snapshot was sent.
	snapshotAt time.Duration
	// contact is when the newest append that the peer has answered was sent.
	contact time.Duration
	// zone is the availability zone that the peer has reported, empty if it has not: the group
	// has that zone then.
	zone string
}

// neverSeen is the time of last contact of a member without any contact yet. Half of the
// smallest value keeps differences with other times from overflowing.
const neverSeen = time.Duration(math.MinInt64 / 2)

func (c *Core) broadcastAppend() {
	c.heartbeatAt = c.now + HeartbeatInterval
	c.sendAppends()
	c.advanceGroupChange()
}

// sendAppends sends appends to all peers, in the order of the group.
func (c *Core) sendAppends() {
	for _, member := range c.log.group().GetMembers() {
		if p := c.peers[member.Id]; p != nil {
			c.sendAppend(p)
		}
	}
}

// sendAppend sends entries or a snapshot, or a heartbeat without entries while an answer
// to earlier ones is awaited.
func (c *Core) sendAppend(p *peer) {
	isWaiting := c.now < p.resendAt
	previous := p.next - 1
	term, ok := c.log.termAt(previous)
	if !ok {
		if !isWaiting {
			c.sendSnapshot(p)
			return
		}
		previous, term = c.log.baseIndex(), c.log.snapshot.Term
	}
	var entries []*wire.LogEntry
	if !isWaiting && ok {
		entries = c.log.batch(p.next)
	}
	if len(entries) > 0 {
		p.resendAt = c.now + appendRetryInterval
	}
	c.sendTo(p.member, &wire.ConsensusMessage{
		Kind: wire.ConsensusMessage_KIND_APPEND, Term: c.term,
		Index: previous, LogTerm: term, Entries: entries, Commit: c.commit, SentAt: int64(c.now),
	})
}

// needsSnapshot reports whether the log no longer has the entries that a peer needs next.
func (c *Core) needsSnapshot(p *peer) bool {
	_, ok := c.log.termAt(p.next - 1)
	return !ok
}

func (c *Core) sendSnapshot(p *peer) {
	p.resendAt, p.snapshotAt = c.now+snapshotRetryInterval, c.now
	c.sendTo(p.member, &wire.ConsensusMessage{
		Kind: wire.ConsensusMessage_KIND_SNAPSHOT, Term: c.term, Snapshot: c.log.snapshot, SentAt: int64(c.now),
	})
}

func (c *Core) handleAppend(m *wire.ConsensusMessage) {
	c.recordLeaderContact(m.From)
	c.leaderCommit = max(c.leaderCommit, m.Commit)
	answer := &wire.ConsensusMessage{Kind: wire.ConsensusMessage_KIND_APPEND_ANSWER, Term: c.term, SentAt: m.SentAt, Zone: c.unknownZone()}
	if m.Index < c.commit {
		// All leaders have the committed entries.
		answer.Index = c.commit
		c.answer(m, answer)
		return
	}
	if term, ok := c.log.termAt(m.Index); !ok || term != m.LogTerm {
		answer.Index, answer.Rejected = m.Index, true
		answer.Last = min(c.log.lastIndex(), m.Index-1)
		c.answer(m, answer)
		return
	}
	c.mergeEntries(m.Entries)
	answer.Index = m.Index + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, answer.Index))
	c.answer(m, answer)
}

// unknownZone returns the zone of this member if the group has another one for it.
func (c *Core) unknownZone() string {
	own := findMember(c.log.group(), c.config.ID)
	if own == nil || own.Zone == c.config.Zone {
		return ""
	}
	return c.config.Zone
}

// mergeEntries appends the new entries and truncates the log where it differs from the
// leader's.
func (c *Core) mergeEntries(entries []*wire.LogEntry) {
	for _, entry := range entries {
		term, ok := c.log.termAt(entry.Index)
		if ok && term == entry.Term {
			continue
		}
		if ok {
			c.log.truncate(entry.Index)
			c.stable = min(c.stable, entry.Index-1)
		}
		c.log.append(entry)
	}
}

func (c *Core) handleSnapshot(m *wire.ConsensusMessage) {
	c.recordLeaderContact(m.From)
	snapshot := m.Snapshot
	if snapshot.GetIndex() > c.commit {
		c.installSnapshot(snapshot)
	}
	c.answer(m, &wire.ConsensusMessage{Kind: wire.ConsensusMessage_KIND_APPEND_ANSWER, Term: c.term, Index: c.commit, SentAt: m.SentAt})
}

func (c *Core) installSnapshot(snapshot *wire.LogSnapshot) {
	if term, ok := c.log.termAt(snapshot.Index); ok && term == snapshot.Term {
		c.commit = snapshot.Index
		return
	}
	c.log.reset(snapshot)
	c.newSnapshot = snapshot
	c.commit = snapshot.Index
	c.applied = snapshot.Index
	c.stable = snapshot.Index
}

func (c *Core) handleAppendAnswer(m *wire.ConsensusMessage) {
	if c.role != Leader || c.memberOf(m) == nil {
		return
	}
	p := c.peers[m.From]
	if p == nil {
		return
	}
	p.contact = max(p.contact, min(time.Duration(m.SentAt), c.now))
	p.zone = m.Zone
	if m.Rejected {
		c.backtrack(p, m)
		return
	}
	if m.Index > c.log.lastIndex() {
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = p.match + 1
		p.resendAt = 0
	}
	c.advanceCommit()
	if p.next <= c.log.lastIndex() && c.now >= p.resendAt {
		c.sendAppend(p)
	}
	c.advanceGroupChange()
}

// backtrack moves next back towards the end of the common part of the logs. A member that
// rejects an append that was sent after a snapshot has not received that snapshot, which is
// then sent again.
func (c *Core) backtrack(p *peer, m *wire.ConsensusMessage) {
	if c.needsSnapshot(p) && time.Duration(m.SentAt) > p.snapshotAt {
		c.sendSnapshot(p)
		return
	}
	if m.Index != p.next-1 {
		return
	}
	p.next = max(min(p.next-1, m.Last+1), p.match+1)
	p.resendAt = 0
	c.sendAppend(p)
}

// advanceCommit commits the entries that a majority has stored, if the last of them is of
// the current term.
func (c *Core) advanceCommit() {
	index := c.quorumValue(c.stable, func(p *peer) uint64 { return p.match })
	if term, ok := c.log.termAt(index); !ok || term != c.term || index <= c.commit {
		return
	}
	for _, entry := range c.log.between(c.commit+1, index) {
		c.uncommittedBytes -= len(entry.Command)
	}
	c.commit = index
	if !c.isMember() && c.commit >= c.log.groupIndex() {
		c.becomeFollower(c.term, 0)
		return
	}
	// Send the commit index to followers immediately, not with the next heartbeat.
	c.sendAppends()
}

// quorumValue returns the highest value that a majority of the voters has reached.
func (c *Core) quorumValue(own uint64, valueOf func(*peer) uint64) uint64 {
	var values []uint64
	for _, member := range c.log.group().GetMembers() {
		switch {
		case !member.Voter:
		case c.isSelf(member):
			values = append(values, own)
		default:
			values = append(values, valueOf(c.peers[member.Id]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// quorumContact returns when the newest append that a majority has answered was sent.
func (c *Core) quorumContact() time.Duration {
	// Shifting by neverSeen keeps the order of negative times as unsigned numbers.
	shift := func(t time.Duration) uint64 { return uint64(t - neverSeen) }
	contact := c.quorumValue(shift(c.now), func(p *peer) uint64 { return shift(p.contact) })
	return time.Duration(contact) + neverSeen
}
