package flow

import (
	"net/netip"
	"time"

	"sassafrasturn.example/internal/wire"
)

const (
	// handoverCopies is how many control instances keep an agent's flows: one may restart before
	// the agent's next start has fetched them.
	handoverCopies = 2
	// minHandoverTime is the time in which some control instance must answer. It covers a planned
	// restart of all of them, 0.5 s, and the start of the first one.
	minHandoverTime = time.Second
	// secondCopyTime is how long a sender waits without progress for another copy once it has one.
	secondCopyTime = 4 * HandoverRetry
)

// HandoverTime returns the time allowed for the handover of a number of flows, at most limit:
// minHandoverTime, and two retries for each window of parts.
func HandoverTime(flows int, limit time.Duration) time.Duration {
	return min(minHandoverTime+2*HandoverRetry*time.Duration(handoverRounds(flows)), limit)
}

// handoverRounds returns the number of round trips that the parts of all flows take without
// losses.
func handoverRounds(flows int) int {
	const perRound = HandoverFlows * handoverWindow
	return (flows + perRound - 1) / perRound
}

// HandoverSender decides which parts of the flows of an agent that stops are sent to which control
// instance, and when. It sends to handoverCopies of them, and to one more for each that is silent
// for a round trip or refuses. Silent ones get their next part again until the end, since they may
// be restarting. It is not safe for concurrent use.
type HandoverSender struct {
	total    int
	deadline time.Duration
	// progressAt is when a control instance last confirmed more flows.
	progressAt time.Duration
	targets    []*handoverTarget
}

type handoverTarget struct {
	address                         netip.AddrPort
	isActive, isComplete, isRefused bool
	// isSilent is set while the instance has not answered what was sent a round trip ago.
	isSilent, hasAnswered bool
	// answered is the number of flows in the newest answer, and confirmed the highest one since
	// the last retry. They differ when answers are late or the instance has restarted.
	answered, confirmed int
	// sent is the number of flows that have been sent.
	sent    int
	retryAt time.Duration
}

// HandoverPart are the flows from offset Start to End, for a control instance.
type HandoverPart struct {
	To         netip.AddrPort
	Start, End int
}

// NewHandoverSender returns a sender of a number of flows that ends after a limit of time.
func NewHandoverSender(now time.Duration, total int, limit time.Duration) *HandoverSender {
	return &HandoverSender{total: total, deadline: now + HandoverTime(total, limit), progressAt: now}
}

// Next returns the parts to send now, given the known control instances, and the time after which
// to call Next again if no answer arrives.
func (s *HandoverSender) Next(now time.Duration, control []netip.AddrPort) (parts []HandoverPart, wait time.Duration) {
	for _, address := range control {
		if s.target(address) == nil {
			s.targets = append(s.targets, &handoverTarget{address: address})
		}
	}
	for _, t := range s.targets {
		if t.isPending() && now >= t.retryAt {
			t.isSilent = !t.hasAnswered
		}
	}
	s.activate(now)
	wait = s.deadline - now
	for _, t := range s.targets {
		if t.isPending() {
			parts = s.appendParts(parts, now, t)
			wait = min(wait, t.retryAt-now)
		}
	}
	return parts, max(wait, 0)
}

func (s *HandoverSender) target(address netip.AddrPort) *handoverTarget {
	for _, t := range s.targets {
		if t.address == address {
			return t
		}
	}
	return nil
}

// isPending reports whether the instance has been sent flows and may still confirm more.
func (t *handoverTarget) isPending() bool { return t.isActive && !t.isComplete && !t.isRefused }

// activate adds control instances until enough of those that are used have confirmed all flows or
// answer.
func (s *HandoverSender) activate(now time.Duration) {
	working := 0
	for _, t := range s.targets {
		if t.isComplete || t.isPending() && !t.isSilent {
			working++
		}
	}
	for _, t := range s.targets {
		if working < handoverCopies && !t.isActive {
			t.isActive, t.retryAt = true, now
			working++
		}
	}
}

// appendParts appends the parts that an instance gets now: the ones after those that it has
// confirmed, again after a round trip without progress, and a single one while it is silent.
func (s *HandoverSender) appendParts(parts []HandoverPart, now time.Duration, t *handoverTarget) []HandoverPart {
	isRetry := now >= t.retryAt
	if isRetry {
		t.confirmed, t.sent, t.hasAnswered, t.retryAt = t.answered, t.answered, false, now+HandoverRetry
	}
	window := handoverWindow
	if t.isSilent {
		window = 1
	}
	limit := min(t.confirmed+window*HandoverFlows, s.total)
	for isFirst := isRetry; isFirst || t.sent < limit; isFirst = false {
		end := min(t.sent+HandoverFlows, s.total)
		parts = append(parts, HandoverPart{To: t.address, Start: t.sent, End: end})
		t.sent = end
	}
	return parts
}

// HandleAnswer handles the answer of a control instance to a part.
func (s *HandoverSender) HandleAnswer(now time.Duration, from netip.AddrPort, answer *wire.Handover) {
	t := s.target(from)
	if t == nil || !t.isPending() || int(answer.Total) != s.total || int(answer.Offset) > s.total {
		return
	}
	t.hasAnswered, t.isSilent = true, false
	if answer.Refused {
		t.isRefused = true
		return
	}
	t.answered = int(answer.Offset)
	t.isComplete = t.answered == s.total
	if t.answered > t.confirmed || t.isComplete {
		t.confirmed, t.retryAt, s.progressAt = t.answered, now+HandoverRetry, now
		t.sent = max(t.sent, t.confirmed)
	}
}

// IsDone reports whether the handover ends: enough control instances have confirmed all flows, no
// other one can, one has and the others make no progress, or the time is over.
func (s *HandoverSender) IsDone(now time.Duration) bool {
	copies, refused := len(s.Complete()), s.Refused()
	isEveryAnswerKnown := len(s.targets) > 0 && copies+refused == len(s.targets)
	isWaitOver := copies > 0 && now-s.progressAt >= secondCopyTime
	return copies >= handoverCopies || isEveryAnswerKnown || isWaitOver || now >= s.deadline
}

// Complete returns the control instances that have confirmed all flows.
func (s *HandoverSender) Complete() []netip.AddrPort {
	var complete []netip.AddrPort
	for _, t := range s.targets {
		if t.isComplete {
			complete = append(complete, t.address)
		}
	}
	return complete
}

// Refused returns the number of control instances that do not keep the flows.
func (s *HandoverSender) Refused() int {
	refused := 0
	for _, t := range s.targets {
		if t.isRefused {
			refused++
		}
	}
	return refused
}
