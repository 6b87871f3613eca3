package flow

import "time"

const (
	// CutOffTimeout is how long control must have been silent before a balancer may be
	// considered cut off: two poll intervals plus a margin for delay.
	CutOffTimeout = time.Second
	// maxRounds is how many rounds of probes to agents are counted, and minRounds how
	// many are required, since one may be lost.
	maxRounds = 3
	minRounds = 2
)

// Reachability distinguishes a balancer that is cut off, whose packets reach hardly
// any agent, from one that only gets no answer from control. It detects network
// failures that affect single instances, so that routers can switch to other
// balancers.
type Reachability struct {
	controlSeenAt time.Duration
	// rounds are the latest completed rounds, the latest first.
	rounds  []probeRound
	current probeRound
}

// probeRound counts the agents that were probed, and those that confirmed that they
// receive packets from this instance.
type probeRound struct {
	probed, answered int
}

// RecordControlAnswer records that control has answered.
func (r *Reachability) RecordControlAnswer(now time.Duration) {
	r.controlSeenAt = now
	r.rounds, r.current = nil, probeRound{}
}

// StartRound records that a round of probes to agents has been sent, which completes
// the round before.
func (r *Reachability) StartRound(agents int) {
	if r.current.probed > 0 {
		r.rounds = append([]probeRound{r.current}, r.rounds...)
		r.rounds = r.rounds[:min(len(r.rounds), maxRounds)]
	}
	r.current = probeRound{probed: agents}
}

// RecordAgentAnswer records that an agent has answered.
func (r *Reachability) RecordAgentAnswer() {
	r.current.answered = min(r.current.answered+1, r.current.probed)
}

// IsCutOff reports whether control has been silent for longer than CutOffTimeout and
// fewer than half of the agents receive packets from the instance.
func (r *Reachability) IsCutOff(now time.Duration) bool {
	probed, answered := 0, 0
	for _, round := range r.rounds {
		probed += round.probed
		answered += round.answered
	}
	return now-r.controlSeenAt > CutOffTimeout && len(r.rounds) >= minRounds && 2*answered < probed
}
