package agent

import "time"

// phase is the phase of an endpoint's lifecycle. Cold and warm endpoints are both
// in phaseServing; the limiter distinguishes them.
type phase uint8

const (
	// phaseUnknown: no endpoint has announced itself yet.
	phaseUnknown phase = iota
	phaseServing
	phaseDraining
	phaseStopped
)

// change is how an announcement changes the endpoint to be served.
type change uint8

const (
	changeNone change = iota
	// changeRestarted: the same endpoint, which is cold again.
	changeRestarted
	// changeMoved: an endpoint of another service or at another address.
	changeMoved
)

const (
	// minSilence is the minimum time without an announcement after which an
	// endpoint is considered silent.
	minSilence = 3 * time.Second
	// silentIntervals is how many times the longest interval between two
	// announcements must pass before an endpoint is considered silent.
	silentIntervals = 6
)

// lifecycle tracks the state of an endpoint by its announcements. The caller
// supplies the current time. It is not safe for concurrent use.
type lifecycle struct {
	phase     phase
	announced *Announcement
	// reason is why the endpoint entered the phase.
	reason string
	// isDrained prevents a drained process from being served again.
	isDrained bool
	// isStopping is true when the agent is shutting down; all announcements are then rejected.
	isStopping bool

	lastSeen time.Time
	// longestInterval is the longest time between two announcements of this
	// process; 0 until the second announcement.
	longestInterval time.Duration
}

func (l *lifecycle) acceptsFlows() bool {
	return l.phase == phaseServing
}

// announce applies an announcement and returns what it changes.
func (l *lifecycle) announce(now time.Time, announcement *Announcement) (change, error) {
	isSame := l.announced != nil && *l.announced == *announcement
	switch {
	case l.isStopping:
		return changeNone, Error.New("the agent is shutting down; announce again after it has restarted")
	case l.phase == phaseDraining:
		return changeNone, Error.New("the endpoint is draining; announce again from a new process")
	case isSame && l.isDrained:
		return changeNone, Error.New("this process has been drained; announce from a new process, with a new value of process")
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

// isSilent reports whether an endpoint that announces itself periodically has
// stopped doing so.
func (l *lifecycle) isSilent(now time.Time) bool {
	if l.phase != phaseServing || l.longestInterval == 0 {
		return false
	}
	return now.Sub(l.lastSeen) > max(minSilence, silentIntervals*l.longestInterval)
}

// markFailed records that the endpoint has stopped without draining. It reports
// whether the endpoint was being served until then.
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
