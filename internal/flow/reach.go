package flow

import "time"

const (
	// CutOffTime is how long control must have been silent before a balancer may
	// count as cut off: two polls, and some delay.
	CutOffTime = time.Second
	// reachRounds is how many rounds of questions to agents count, and minRounds how
	// many there must be: one may be lost.
	reachRounds = 3
	minRounds   = 2
)

// Reachability tells a balancer that is cut off, whose packets reach hardly any agent,
// from one that only control does not answer. It answers cuts of single
// instances: routers are to turn to others.
type Reachability struct {
	heardAt time.Duration
	// rounds are the newest ones that are over, the newest first.
	rounds  []reachRound
	current reachRound
}

// reachRound is how many agents were asked whether they hear this instance, and
// how many said so.
type reachRound struct {
	asked, answered int
}

// RecordControlAnswer notes that control has answered.
func (r *Reachability) RecordControlAnswer(now time.Duration) {
	r.heardAt = now
	r.rounds, r.current = nil, reachRound{}
}

// StartRound notes a round of questions to agents; the round before is over.
func (r *Reachability) StartRound(agents int) {
	if r.current.asked > 0 {
		r.rounds = append([]reachRound{r.current}, r.rounds...)
		r.rounds = r.rounds[:min(len(r.rounds), reachRounds)]
	}
	r.current = reachRound{asked: agents}
}

// RecordAgentAnswer notes that an agent has answered.
func (r *Reachability) RecordAgentAnswer() {
	r.current.answered = min(r.current.answered+1, r.current.asked)
}

// IsCutOff reports whether neither control nor half of the agents hear the instance.
func (r *Reachability) IsCutOff(now time.Duration) bool {
	asked, answered := 0, 0
	for _, round := range r.rounds {
		asked += round.asked
		answered += round.answered
	}
	return now-r.heardAt > CutOffTime && len(r.rounds) >= minRounds && 2*answered < asked
}
