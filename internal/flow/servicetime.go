package flow

import (
	"math"
	"slices"
	"time"
)

const (
	// serviceSamples is how many of the last requests the median is of.
	serviceSamples = 64
	// minServiceSamples is from how many samples on the median is returned. The reported value
	// needs all serviceSamples.
	minServiceSamples = 8
	// samplesPerReport is how many new samples the reported value needs to change.
	samplesPerReport = 32
	// recentSamples is of how many samples the recent median is: as many as dominate the mean
	// response time.
	recentSamples = 8
	// serviceStep is the ratio of two neighboring reported values, and minReportSteps by how many
	// steps the median must differ from the reported value to replace it.
	serviceStep    = 1.25
	minReportSteps = 1.5
	// minOnOneSide is how many samples must be on the same side of the reported value for it to be
	// replaced. Of samples around an unchanged median, that is four standard deviations from one
	// half, however widely the samples scatter. With three, the value changed once in 1,600
	// requests of equal distribution.
	minOnOneSide = serviceSamples/2 + 16
)

// ServiceTime is the median time that an endpoint needs for a request without waiting for a
// slot. It distinguishes endpoints of different speed, which a moving average of response times
// cannot, because that also contains waits and single long requests. Its zero value is ready for
// use. A ServiceTime is not safe for concurrent use.
type ServiceTime struct {
	// samples holds the last count samples, the oldest at next if it is full.
	samples     [serviceSamples]time.Duration
	count, next int
	// median is that of the samples, valid unless isStale is set.
	median  time.Duration
	isStale bool
	// fresh is the number of samples since the reported value last changed.
	fresh int
	// reported is the reported value as a power of serviceStep in milliseconds, valid if
	// isReported is set.
	reported   int
	isReported bool
}

// Observe records the time to the first byte of the answer to a request that found a free slot.
func (s *ServiceTime) Observe(elapsed time.Duration) {
	s.samples[s.next] = elapsed
	s.next = (s.next + 1) % serviceSamples
	s.count = min(s.count+1, serviceSamples)
	s.fresh++
	s.isStale = true
	s.updateReport()
}

// Median returns the median of the last samples, 0 if there are too few.
func (s *ServiceTime) Median() time.Duration {
	if s.count < minServiceSamples {
		return 0
	}
	if s.isStale {
		sorted := s.samples
		slices.Sort(sorted[:s.count])
		s.median, s.isStale = sorted[s.count/2], false
	}
	return s.median
}

// Recent returns the median of the last few samples, 0 if there are too few. An endpoint that
// becomes slow shows in it after a few requests, while single long requests do not.
func (s *ServiceTime) Recent() time.Duration {
	if s.count < recentSamples {
		return 0
	}
	var recent [recentSamples]time.Duration
	for i := range recent {
		recent[i] = s.samples[(s.next+serviceSamples-1-i)%serviceSamples]
	}
	slices.Sort(recent[:])
	return recent[recentSamples/2]
}

// Reported returns the median in whole milliseconds, rounded to steps of serviceStep, 0 if it is
// not known. It changes rarely, and only by more than one step.
func (s *ServiceTime) Reported() uint32 {
	if !s.isReported {
		return 0
	}
	return uint32(math.Round(math.Pow(serviceStep, float64(s.reported))))
}

func (s *ServiceTime) updateReport() {
	if s.count < serviceSamples || s.fresh < samplesPerReport || s.isReported && !s.hasShifted() {
		return
	}
	step := max(0, int(math.Round(stepsOf(s.Median()))))
	if s.isReported && step == s.reported {
		return
	}
	s.reported, s.isReported, s.fresh = step, true, 0
}

// hasShifted reports whether the samples show another median than the reported one.
func (s *ServiceTime) hasShifted() bool {
	reported := time.Duration(math.Pow(serviceStep, float64(s.reported)) * float64(time.Millisecond))
	above, below := 0, 0
	for _, sample := range s.samples {
		if sample > reported {
			above++
		} else if sample < reported {
			below++
		}
	}
	return max(above, below) >= minOnOneSide && math.Abs(stepsOf(s.Median())-float64(s.reported)) > minReportSteps
}

// stepsOf returns the logarithm of a time in milliseconds to the base serviceStep. Times outside
// of 1 ms to maxLoadTime are limited.
func stepsOf(d time.Duration) float64 {
	milliseconds := float64(min(max(d, time.Millisecond), maxLoadTime)) / float64(time.Millisecond)
	return math.Log(milliseconds) / math.Log(serviceStep)
}

// ServiceTimeOf returns a reported service time in milliseconds, which comes from another
// instance. One out of range counts as not known, which is 0.
func ServiceTimeOf(milliseconds uint32) time.Duration {
	if d := time.Duration(milliseconds) * time.Millisecond; d <= 2*maxLoadTime {
		return d
	}
	return 0
}

// SetMeasuredSlots sets the number of slots by which requests that start from now on count as
// served without waiting. None do if it is 0: the endpoint is not known, or is cold.
func (t *Table) SetMeasuredSlots(slots int) { t.measuredSlots = slots }

// ServiceTime returns the median time that the endpoint needs for a request without waiting for
// a slot, 0 if it is not known. Unlike the ResponseTime it does not decay with time.
func (t *Table) ServiceTime() time.Duration { return t.serviceTime.Median() }

// RecentServiceTime returns the median of the last few requests; see ServiceTime.Recent.
func (t *Table) RecentServiceTime() time.Duration { return t.serviceTime.Recent() }

// ReportedServiceTime returns the service time for the agent's record; see ServiceTime.Reported.
func (t *Table) ReportedServiceTime() uint32 { return t.serviceTime.Reported() }

// DropServiceTime forgets the measured service time, because another start of the endpoint has
// begun. Requests that the former one received do not count.
func (t *Table) DropServiceTime() {
	t.serviceTime = ServiceTime{}
	for _, f := range t.flows {
		f.isMeasured = false
	}
}

// startMeasurement records whether the request that a flow now starts is measured: it finds a free
// slot.
func (t *Table) startMeasurement(f *Flow) {
	others := t.inFlight
	if f.isInFlight {
		others--
	}
	f.isMeasured = others < t.measuredSlots
}

// IsSameStart reports whether two announcements are of the same start of an endpoint.
func (e *Endpoint) IsSameStart(other *Endpoint) bool {
	return e != nil && other != nil && startOf(e) == startOf(other)
}
