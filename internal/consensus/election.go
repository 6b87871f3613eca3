package consensus

import (
	"time"

	"sassafrasturn.example/internal/wire"
)

// resetElection sets the next election to a random time from ElectionTimeout to twice
// as long from now.
func (c *Core) resetElection() {
	spread := time.Duration(c.config.Rand.Int64N(int64(ElectionTimeout)))
	c.electionAt = c.now + ElectionTimeout + spread
}

// isLeaderAlive reports whether this member is the leader, or another one may still hold
// the lease of a leader.
func (c *Core) isLeaderAlive() bool {
	return c.role == Leader || c.now < c.noVoteUntil
}

func (c *Core) becomeFollower(term, leader uint64) {
	if term != c.term {
		c.term, c.vote = term, 0
	}
	if c.role != Follower {
		c.resetElection()
	}
	c.role = Follower
	c.leader = leader
	c.peers = nil
	c.granted = nil
	c.uncommittedBytes = 0
}

// recordLeaderContact records that a message of the current leader has arrived.
func (c *Core) recordLeaderContact(id uint64) {
	if c.role != Follower || c.leader != id {
		c.becomeFollower(c.term, id)
	}
	c.leaderLastSeen = c.now
	c.preVoteAttempts = 0
	c.noVoteUntil = c.now + ElectionTimeout
	c.resetElection()
}

// startPreVote requests pre-votes from the other voters, unless this member has granted
// its own pre-vote to another within preVoteReservation.
func (c *Core) startPreVote() {
	c.leader = 0
	if !c.isVoter() {
		c.resetElection()
		return
	}
	wait := min(preVoteRetry<<(c.preVoteAttempts/preVotesPerBackoff), ElectionTimeout)
	c.electionAt = c.now + wait + time.Duration(c.config.Rand.Int64N(int64(wait)))
	if !c.reservePreVote(c.config.ID) {
		return
	}
	c.preVoteAttempts = min(c.preVoteAttempts+1, maxPreVoteAttempts)
	c.role = PreCandidate
	c.requestVotes(wire.ConsensusMessage_KIND_PRE_VOTE, c.term+1, false)
}

// Connected records that another member has opened a link to this one. A pre-candidate
// repeats its requests, which have not reached that member, at once instead of at its next
// attempt, which may be ElectionTimeout away. After a loss of power this is the moment at
// which a majority is running.
func (c *Core) Connected(now time.Duration) {
	c.advanceClock(now)
	if c.role == PreCandidate {
		c.preVoteAttempts = 0
		c.startPreVote()
	}
}

// maxPreVoteAttempts suffices for the retry time to reach ElectionTimeout.
const maxPreVoteAttempts = 3 * preVotesPerBackoff

// reservePreVote reserves this member's pre-vote for a candidate. It reports false if
// another candidate has it: two members that request pre-votes at the same time could
// otherwise both reach a majority and split the votes.
func (c *Core) reservePreVote(candidate uint64) bool {
	if c.now < c.preVoteUntil && c.preVoteFor != candidate {
		// Of two members that request pre-votes at the same time, the one with the lower
		// ID must yield, or neither may get a majority.
		isYielding := c.role == PreCandidate && c.preVoteFor == c.config.ID && candidate > c.config.ID
		if !isYielding {
			return false
		}
		c.becomeFollower(c.term, 0)
	}
	c.preVoteFor, c.preVoteUntil = candidate, c.now+preVoteReservation
	return true
}

// startElection starts an election after a majority has granted pre-votes.
func (c *Core) startElection() {
	c.campaign(false)
}

// campaign starts an election. isTransfer is true if the previous leader has transferred
// its leadership, so that it no longer holds a lease.
func (c *Core) campaign(isTransfer bool) {
	c.resetElection()
	c.role = Candidate
	c.term++
	c.vote = c.config.ID
	c.campaignAt = c.now
	c.noVoteUntil = c.now + ElectionTimeout
	c.requestVotes(wire.ConsensusMessage_KIND_VOTE, c.term, isTransfer)
}

// TransferLeadership makes a leader step down and request the voter with the longest log
// to start an election. The leader holds no lease from then on. Without a voter that has
// answered within ElectionTimeout it remains the leader.
func (c *Core) TransferLeadership(now time.Duration) {
	c.advanceClock(now)
	if c.role != Leader {
		return
	}
	var next *peer
	for _, member := range c.log.group().Members {
		p := c.peers[member.Id]
		if p == nil || !member.Voter || c.now-p.contact >= ElectionTimeout {
			continue
		}
		if next == nil || p.match > next.match {
			next = p
		}
	}
	if next == nil {
		return
	}
	c.sendTo(next.member, &wire.ConsensusMessage{Kind: wire.ConsensusMessage_KIND_CAMPAIGN, Term: c.term})
	c.becomeFollower(c.term, 0)
}

func (c *Core) handleCampaign(m *wire.ConsensusMessage) {
	if c.role != Follower || c.leader != m.From || !c.isVoter() {
		return
	}
	c.leader = 0
	c.campaign(true)
}

func (c *Core) requestVotes(kind wire.ConsensusMessage_Kind, term uint64, isTransfer bool) {
	c.granted = map[uint64]bool{c.config.ID: true}
	for _, member := range c.log.group().GetMembers() {
		if !member.Voter || member.Id == c.config.ID {
			continue
		}
		c.sendTo(member, &wire.ConsensusMessage{
			Kind: kind, Term: term, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Resigned: isTransfer,
		})
	}
	c.countVotes()
}

func (c *Core) handleVoteRequest(m *wire.ConsensusMessage) {
	if m.Kind == wire.ConsensusMessage_KIND_PRE_VOTE {
		isGranted := m.Term > c.term && !c.isLeaderAlive() && c.log.isUpToDate(m.Index, m.LogTerm) &&
			c.reservePreVote(m.From)
		answer := &wire.ConsensusMessage{Kind: wire.ConsensusMessage_KIND_PRE_VOTE_ANSWER, Term: m.Term, Rejected: !isGranted}
		if !isGranted {
			answer.Term = c.term
		}
		c.answer(m, answer)
		return
	}
	isGranted := (c.vote == 0 || c.vote == m.From) && (m.Resigned || !c.isLeaderAlive()) && c.log.isUpToDate(m.Index, m.LogTerm)
	if isGranted {
		c.vote = m.From
		// The vote starts the candidate's lease, as the answer to an append does.
		c.noVoteUntil = c.now + ElectionTimeout
		c.resetElection()
	}
	c.answer(m, &wire.ConsensusMessage{Kind: wire.ConsensusMessage_KIND_VOTE_ANSWER, Term: c.term, Rejected: !isGranted})
}

func (c *Core) handleVoteAnswer(m *wire.ConsensusMessage) {
	isPreVote := m.Kind == wire.ConsensusMessage_KIND_PRE_VOTE_ANSWER
	isExpected := isPreVote && c.role == PreCandidate && m.Term == c.term+1 ||
		!isPreVote && c.role == Candidate && m.Term == c.term
	if !isExpected || m.Rejected || c.memberOf(m) == nil {
		return
	}
	c.granted[m.From] = true
	c.countVotes()
}

func (c *Core) countVotes() {
	if !c.hasQuorum(func(id uint64) bool { return c.granted[id] }) {
		return
	}
	if c.role == PreCandidate {
		c.startElection()
		return
	}
	c.becomeLeader()
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.config.ID
	c.electedAt = c.now
	for _, entry := range c.log.from(c.commit + 1) {
		c.uncommittedBytes += len(entry.Command)
	}
	c.peers = make(map[uint64]*peer)
	c.refreshPeers()
	for id, p := range c.peers {
		if c.granted[id] {
			p.contact = c.campaignAt
		}
	}
	// Entries of earlier terms are committed only with an entry of the leader's own term.
	c.appendEntry(&wire.LogEntry{})
	c.heartbeatAt = c.now + HeartbeatInterval
}
