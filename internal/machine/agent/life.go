package agent

import "time"

// phase is where an endpoint stands in its life; cold and warm are both
// phaseServing and told apart by the limiter.
type phase uint8

const (
	// phaseUnknown: no endpoint has announced itself.
	phaseUnknown phase = iota
	phaseServing
	phaseDraining
	phaseStopped
)

// change is what an announcement means for the endpoint's service.
type change uint8

const (
	changeNone change = iota
	// changeRestarted: the same endpoint, cold again.
	changeRestarted
	// changeMoved: an endpoint of another service or at another address.
	changeMoved
)

const (
	// minSilence is the least time without an announcement that counts as silence.
	minSilence = 3 * time.Second
	// silentIntervals is how many of an endpoint's longest intervals count as silence.
	silentIntervals = 6
)

// lifecycle follows one endpoint from its announcements. Time is passed in. It is
// not safe for concurrent use.
type lifecycle struct {
	phase     phase
	announced *Announcement
	// reason says why the phase began.
	reason string
	// isDrained keeps a drained process from being served again.
	isDrained bool
	// isStopping refuses all announcements.
	isStopping bool

	lastSeen time.Time
	// longestInterval is the longest between two announcements of this process; 0
	// while it has announced itself only once.
	longestInterval time.Duration
}

func (l *lifecycle) acceptsFlows() bool {
	return l.phase == phaseServing
}

// announce takes an announcement.
func (l *lifecycle) announce(now time.Time, announcement *Announcement) (change, error) {
	isSame := l.announced != nil && *l.announced == *announcement
	switch {
	case l.isStopping:
		return changeNone, Error.New("the agent stops; announce again when it has been started")
	case l.phase == phaseDraining:
		return changeNone, Error.New("the endpoint drains; announce again from another process")
	case isSame && l.isDrained:
		return changeNone, Error.New("this process has been drained; announce from another process, with another value of process")
	case isSame && l.phase == phaseServing:
		l.longestInterval = max(l.longestInterval, now.Sub(l.lastSeen))
		l.lastSeen = now
		return changeNone, nil
	}
	result := changeMoved
	if l.announced != nil && l.announced.Service == announcement.Service && l.announced.Address == announcement.Address {
		result = changeRestarted
	}
	l.phase, l.announced, l.reason = phaseServing, announcement, "announced"
	l.lastSeen, l.longestInterval, l.isDrained = now, 0, false
	return result, nil
}

// isSilent reports whether an endpoint that announces itself again and again
// has stopped doing so.
func (l *lifecycle) isSilent(now time.Time) bool {
	if l.phase != phaseServing || l.longestInterval == 0 {
		return false
	}
	return now.Sub(l.lastSeen) > max(minSilence, silentIntervals*l.longestInterval)
}

// markFailed notes that the endpoint has ended without draining. It reports whether that is new.
func (l *lifecycle) markFailed(reason string) bool {
	l.isDrained = false
	if l.phase != phaseServing {
		return false
	}
	l.phase, l.reason = phaseStopped, reason
	return true
}

func (l *lifecycle) drain(reason string) {
	if l.phase == phaseServing {
		l.phase, l.reason = phaseDraining, reason
	}
}

func (l *lifecycle) finishDrain() {
	if l.phase != phaseUnknown {
		l.phase, l.reason, l.isDrained = phaseStopped, "drained", true
	}
}
