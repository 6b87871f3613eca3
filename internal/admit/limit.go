package admit

import (
	"slices"
	"time"
)

const (
	// jumpSamples answers in a row that are all slow show a latency jump.
	jumpSamples = 4
	// raiseShare of a large limit is added at each raise; a small one grows by 1.
	raiseShare = 0.25
	// raiseTolerance is up to how many times the usual latency the limit may be raised.
	raiseTolerance = 1.15
	// jumpTolerance is from how many times the usual upper latency on it is a jump.
	jumpTolerance = 2.0
	// upperQuantile of the answers of a window are no slower than its upper latency.
	// Where work is heavy-tailed, many answers take several times the median.
	upperQuantile = 0.875
	// recentWeight of the difference is how far one window moves the recent latency
	// at the present limit.
	recentWeight = 0.5
	// baselineWeight of the difference is how far one window moves the usual latency.
	baselineWeight = 0.25
	// minPause follows a refusal or failure at the lowest limit; it doubles
	// with each further one up to maxPause.
	minPause = 50 * time.Millisecond
	maxPause = 2 * time.Second
)

// Ramp says how gently a cold endpoint is brought in.
type Ramp struct {
	// Start is how many requests it is given at a time at first.
	Start int
	// Answers is how many answers decide each raise.
	Answers int
	// Slots is how many requests it works on at a time when it is warm.
	Slots int
}

// Limit is the concurrency limit of one endpoint, found from what the agent
// itself observes: answers, refusals, timeouts and latency. It starts at the
// document's ramp start, answers raise it up to the endpoint's slots, and
// refusals, timeouts, failures and latency jumps cut it. What the endpoint
// reports about its own load has no influence. It is not safe for concurrent use.
type Limit struct {
	ramp    Ramp
	current float64

	// window holds the latencies of answers that came while the limit was in use.
	window   []time.Duration
	baseline time.Duration
	// upper is the usual upper latency, as baseline is the usual latency.
	upper time.Duration
	// recent is the latency at the present limit, over the windows since it was
	// last changed; 0 before the first.
	recent time.Duration
	// consecutiveSlow counts the last answers in a row that were slow.
	consecutiveSlow int
	// lastRequest numbers the requests; those lastRequest before the last cut say nothing
	// about the limit after it.
	lastRequest     uint64
	cutAfter        uint64
	consecutiveCuts int
	pause           time.Duration
	pausedUntil     time.Time
}

// NewLimit returns the limit of a cold endpoint.
func NewLimit(ramp Ramp) *Limit {
	l := new(Limit)
	l.SetRamp(ramp)
	l.Reset()
	return l
}

// SetRamp changes where the limit starts and ends.
func (l *Limit) SetRamp(ramp Ramp) {
	ramp.Slots = max(1, ramp.Slots)
	ramp.Start = min(max(1, ramp.Start), ramp.Slots)
	ramp.Answers = max(1, ramp.Answers)
	l.ramp = ramp
	l.current = min(l.current, float64(ramp.Slots))
}

// Reset treats the endpoint as cold: nothing observed before counts any more.
func (l *Limit) Reset() {
	l.current = float64(l.ramp.Start)
	l.baseline, l.upper = 0, 0
	l.restartWindow()
	l.consecutiveCuts = 0
	l.pause = 0
	l.pausedUntil = time.Time{}
}

// Slots returns how many requests the endpoint may work on now.
func (l *Limit) Slots(now time.Time) int {
	if now.Before(l.pausedUntil) {
		return 0
	}
	return int(l.current)
}

// PausedUntil returns until when the endpoint is given nothing.
func (l *Limit) PausedUntil() time.Time {
	return l.pausedUntil
}

// IsWarm reports whether the endpoint may work on as many requests as it has slots.
func (l *Limit) IsWarm() bool {
	return int(l.current) >= l.ramp.Slots
}

// Begin numbers a request that is given to the endpoint.
func (l *Limit) Begin() uint64 {
	l.lastRequest++
	return l.lastRequest
}

// End notes what became of a request. inFlight counts it and all others that
// the endpoint was working on at that moment.
func (l *Limit) End(now time.Time, request uint64, outcome Outcome, latency time.Duration, inFlight int) {
	switch outcome {
	case OutcomeAnswered:
		l.recordAnswer(request, latency, inFlight)
	case OutcomeShed, OutcomeTimedOut, OutcomeFailed:
		l.recordRefusal(now, request, outcome)
	}
}

func (l *Limit) recordAnswer(request uint64, latency time.Duration, inFlight int) {
	if request <= l.cutAfter {
		return
	}
	l.countSlow(latency)
	if l.consecutiveSlow >= jumpSamples {
		l.cutForJump()
		return
	}
	// An unused limit proves nothing about a higher one.
	if inFlight < int(l.current) {
		return
	}
	l.window = append(l.window, latency)
	if len(l.window) < l.ramp.Answers {
		return
	}
	usual, upper := l.windowLatencies()
	l.updateRecent(usual)
	isFast := l.baseline > 0 && float64(l.recent) <= raiseTolerance*float64(l.baseline)
	l.updateBaseline(&l.baseline, usual)
	l.updateBaseline(&l.upper, upper)
	l.window = l.window[:0]
	l.consecutiveCuts, l.pause = 0, 0
	if isFast {
		l.recent = 0
		l.current = min(l.current+max(1, float64(int(l.current*raiseShare))), float64(l.ramp.Slots))
	}
}

// updateRecent smooths the usual latencies of windows: one of them alone is a tenth
// off by chance under heavy-tailed work, and among many one looks fast too early.
func (l *Limit) updateRecent(usual time.Duration) {
	if l.recent == 0 {
		l.recent = usual
		return
	}
	l.recent += time.Duration(recentWeight * float64(usual-l.recent))
}

// windowLatencies returns the usual and the upper latency of the window. The usual one is
// the mean of all answers but the slowest: it varies less by chance than the median,
// and a few slow answers do not move it.
func (l *Limit) windowLatencies() (usual, upper time.Duration) {
	sorted := slices.Sorted(slices.Values(l.window))
	last := int(upperQuantile * float64(len(sorted)))
	var sum time.Duration
	for _, latency := range sorted[:last+1] {
		sum += latency
	}
	return sum / time.Duration(last+1), sorted[last]
}

func (l *Limit) countSlow(latency time.Duration) {
	if l.upper > 0 && float64(latency) > jumpTolerance*float64(l.upper) {
		l.consecutiveSlow++
		return
	}
	l.consecutiveSlow = 0
}

// updateBaseline follows a usual latency: down at any limit, up only while the
// endpoint is given no more than at the ramp's start, because higher up a rise
// may be of the limit's own making.
func (l *Limit) updateBaseline(usual *time.Duration, observed time.Duration) {
	if *usual == 0 {
		*usual = observed
		return
	}
	if observed < *usual || int(l.current) <= l.ramp.Start {
		*usual += time.Duration(baselineWeight * float64(observed-*usual))
	}
}

// cutForJump cuts to the half after one latency jump and to the ramp's start
// after a second one in a row.
func (l *Limit) cutForJump() {
	l.consecutiveCuts++
	l.decrease(l.consecutiveCuts == 1)
	l.restartWindow()
}

// decrease cuts to the half, or to the ramp's start where that is less.
func (l *Limit) decrease(isHalf bool) {
	next := int(l.current) / 2
	if !isHalf {
		next = min(next, l.ramp.Start)
	}
	l.current = float64(max(1, next))
}

func (l *Limit) restartWindow() {
	l.cutAfter = l.lastRequest
	l.window = l.window[:0]
	l.consecutiveSlow = 0
	l.recent = 0
}

// recordRefusal cuts to the half after one refusal, to the ramp's start after a
// second one in a row and after a failure, and pauses where that was not
// enough.
func (l *Limit) recordRefusal(now time.Time, request uint64, outcome Outcome) {
	if request <= l.cutAfter {
		return
	}
	l.consecutiveCuts++
	if int(l.current) <= 1 {
		l.pause = min(max(minPause, 2*l.pause), maxPause)
		l.pausedUntil = now.Add(l.pause)
	}
	l.decrease(outcome == OutcomeShed && l.consecutiveCuts == 1)
	l.restartWindow()
}
