package admit

import (
	"slices"
	"time"
)

const (
	// jumpSamples is how many consecutive slow answers indicate a latency jump.
	jumpSamples = 4
	// raiseShare is the fraction by which a large limit grows at each raise. A small
	// limit grows by 1.
	raiseShare = 0.25
	// raiseTolerance is the ratio of recent latency to the baseline up to which the
	// limit may be raised.
	raiseTolerance = 1.15
	// jumpTolerance is the ratio to the upper latency above which an answer is slow.
	jumpTolerance = 2.0
	// upperQuantile is the quantile of a window that is used as its upper latency.
	// With heavy-tailed work, many answers take several times the median.
	upperQuantile = 0.875
	// recentWeight is the weight of a new window in the recent latency at the current
	// limit.
	recentWeight = 0.5
	// baselineWeight is the weight of a new window in the baseline and the upper
	// latency.
	baselineWeight = 0.25
	// minPause is the pause after a refusal or failure at the lowest limit. It doubles
	// with each consecutive one, up to maxPause.
	minPause = 50 * time.Millisecond
	maxPause = 2 * time.Second
)

// Ramp configures how gradually a cold endpoint receives load.
type Ramp struct {
	// Start is the initial concurrency limit.
	Start int
	// Answers is the number of answers per window, after which the limit may be
	// raised.
	Answers int
	// Slots is the concurrency limit of a warm endpoint.
	Slots int
}

// Limit is the adaptive concurrency limit of one endpoint. It is derived only from
// what the agent observes: answers, refusals, timeouts and latency. It starts at the
// start value of the ramp, is raised by answers up to the endpoint's slots, and is cut
// by refusals, timeouts, failures and latency jumps. What the endpoint reports about
// its own load has no influence. It is not safe for concurrent use.
type Limit struct {
	ramp    Ramp
	current float64

	// window holds the latencies of answers that arrived while the limit was fully
	// used.
	window   []time.Duration
	baseline time.Duration
	// upper is the moving average of the windows' upper latencies, as baseline is that
	// of their typical latencies.
	upper time.Duration
	// recent is the latency at the current limit, averaged over the windows since the
	// limit was last changed. It is 0 before the first window.
	recent time.Duration
	// consecutiveSlow counts the latest consecutive slow answers.
	consecutiveSlow int
	// lastRequest is the number of the latest request. Requests up to cutAfter started
	// before the last cut and say nothing about the limit after it.
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

// SetRamp changes the start and the maximum of the limit.
func (l *Limit) SetRamp(ramp Ramp) {
	ramp.Slots = max(1, ramp.Slots)
	ramp.Start = min(max(1, ramp.Start), ramp.Slots)
	ramp.Answers = max(1, ramp.Answers)
	l.ramp = ramp
	l.current = min(l.current, float64(ramp.Slots))
}

// Reset returns the limit to that of a cold endpoint and discards all observations.
func (l *Limit) Reset() {
	l.current = float64(l.ramp.Start)
	l.baseline, l.upper = 0, 0
	l.restartWindow()
	l.consecutiveCuts = 0
	l.pause = 0
	l.pausedUntil = time.Time{}
}

// Slots returns how many requests the endpoint may handle concurrently at present, 0
// during a pause.
func (l *Limit) Slots(now time.Time) int {
	if now.Before(l.pausedUntil) {
		return 0
	}
	return int(l.current)
}

// PausedUntil returns the end of the latest pause, in which the endpoint receives no
// requests.
func (l *Limit) PausedUntil() time.Time {
	return l.pausedUntil
}

// IsWarm reports whether the limit has reached the endpoint's slots.
func (l *Limit) IsWarm() bool {
	return int(l.current) >= l.ramp.Slots
}

// Begin returns the number of a new request to the endpoint.
func (l *Limit) Begin() uint64 {
	l.lastRequest++
	return l.lastRequest
}

// End records the outcome of a request. inFlight is the number of requests, including
// this one, that the endpoint was handling at that moment.
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
	// A limit that is not fully used gives no evidence for a higher one.
	if inFlight < int(l.current) {
		return
	}
	l.window = append(l.window, latency)
	if len(l.window) < l.ramp.Answers {
		return
	}
	typical, upper := l.windowLatencies()
	l.updateRecent(typical)
	isFast := l.baseline > 0 && float64(l.recent) <= raiseTolerance*float64(l.baseline)
	l.updateBaseline(&l.baseline, typical)
	l.updateBaseline(&l.upper, upper)
	l.window = l.window[:0]
	l.consecutiveCuts, l.pause = 0, 0
	if isFast {
		l.recent = 0
		l.current = min(l.current+max(1, float64(int(l.current*raiseShare))), float64(l.ramp.Slots))
	}
}

// updateRecent smooths the typical latencies of windows. With heavy-tailed work a
// single window is off by a tenth by chance, so that among many windows one would look
// fast too early.
func (l *Limit) updateRecent(typical time.Duration) {
	if l.recent == 0 {
		l.recent = typical
		return
	}
	l.recent += time.Duration(recentWeight * float64(typical-l.recent))
}

// windowLatencies returns the typical and the upper latency of the window. The typical
// latency is the mean of the answers up to the upper quantile. It has less variance
// than the median, and a few slow answers do not affect it.
func (l *Limit) windowLatencies() (typical, upper time.Duration) {
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

// updateBaseline updates the moving average of a latency. It follows decreases at any
// limit, but increases only while the limit is no higher than the start of the ramp,
// because at a higher limit the increase may be caused by the limit itself.
func (l *Limit) updateBaseline(average *time.Duration, observed time.Duration) {
	if *average == 0 {
		*average = observed
		return
	}
	if observed < *average || int(l.current) <= l.ramp.Start {
		*average += time.Duration(baselineWeight * float64(observed-*average))
	}
}

// cutForJump halves the limit after one latency jump and returns to the start of the
// ramp after a second consecutive one.
func (l *Limit) cutForJump() {
	l.consecutiveCuts++
	l.cut(l.consecutiveCuts == 1)
	l.restartWindow()
}

// cut halves the limit, or sets it to the start of the ramp if that is lower and
// isHalf is false.
func (l *Limit) cut(isHalf bool) {
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

// recordRefusal halves the limit after a single refusal. After a second consecutive
// one, a timeout or a failure, it returns to the start of the ramp. At a limit of 1 it
// pauses instead, since the limit cannot be cut further.
func (l *Limit) recordRefusal(now time.Time, request uint64, outcome Outcome) {
	if request <= l.cutAfter {
		return
	}
	l.consecutiveCuts++
	if int(l.current) <= 1 {
		l.pause = min(max(minPause, 2*l.pause), maxPause)
		l.pausedUntil = now.Add(l.pause)
	}
	l.cut(outcome == OutcomeShed && l.consecutiveCuts == 1)
	l.restartWindow()
}
