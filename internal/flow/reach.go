package flow

import "time"

const (
	// CutOffTimeout is how long control must have been silent before a balancer may
	// count as cut off: two polls, and some delay.
	CutOffTimeout = time.Second
	// maxRounds is how many rounds of questions to agents count, and minRounds how
	// many there must be: one may be lost.
	maxRounds = 3
	minRounds = 2
)

// Reachability tells a balancer that is cut off, whose packets reach hardly any agent,
// from one that only control does not answer. It answers cuts of single
// instances: routers are to turn to others.
type Reachability struct {
	controlSeenAt time.Duration
	// rounds are the newest ones that are over, the newest first.
	rounds  []probeRound
	current probeRound
}

// probeRound is how many agents were asked whether they hear this instance, and
// how many said so.
type probeRound struct {
	probed, answered int
}

// RecordControlAnswer notes that control has answered.
func (r *Reachability) RecordControlAnswer(now time.Duration) {
	r.controlSeenAt = now
	r.rounds, r.current = nil, probeRound{}
}

// StartRound notes a round of questions to agents; the round before is over.
func (r *Reachability) StartRound(agents int) {
	if r.current.probed > 0 {
		r.rounds = append([]probeRound{r.current}, r.rounds...)
		r.rounds = r.rounds[:min(len(r.rounds), maxRounds)]
	}
	r.current = probeRound{probed: agents}
}

// RecordAgentAnswer notes that an agent has answered.
func (r *Reachability) RecordAgentAnswer() {
	r.current.answered = min(r.current.answered+1, r.current.probed)
}

// IsCutOff reports whether neither control nor half of the agents hear the instance.
func (r *Reachability) IsCutOff(now time.Duration) bool {
	asked, answered := 0, 0
	for _, round := range r.rounds {
		asked += round.probed
		answered += round.answered
	}
	return now-r.controlSeenAt > CutOffTimeout && len(r.rounds) >= minRounds && 2*answered < asked
}
