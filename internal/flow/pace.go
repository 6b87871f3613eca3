package flow

import (
	"math"
	"time"
)

const (
	// paceWeight is the share of a new answer in the mean: the last eight or so
	// decide, which is a fraction of a second of the usual loads.
	paceWeight = 1.0 / 8
	// paceHalfLife is the time without answers in which the mean halves, so that an
	// endpoint that gets nothing because it was slow is tried again.
	paceHalfLife = 2 * time.Second
)

// recentMean is a mean in which the newest values weigh most, and which halves
// every paceHalfLife without values. It begins at 0, so that one value alone
// counts for little.
type recentMean struct {
	value  float64
	noteAt time.Duration
}

func (m *recentMean) note(now time.Duration, value float64) {
	mean := m.at(now)
	m.value, m.noteAt = mean+paceWeight*(value-mean), now
}

func (m *recentMean) at(now time.Duration) float64 {
	return math.Ldexp(m.value, -int((now-m.noteAt)/paceHalfLife))
}

// ResponseTime is how long an endpoint takes for the first byte of an answer. It answers
// endpoints that turn slow, whatever they say about themselves.
type ResponseTime struct{ mean recentMean }

// Observe takes in the time of an answer.
func (p *ResponseTime) Observe(now, took time.Duration) { p.mean.note(now, float64(took)) }

// Mean returns the mean, 0 before the first answer.
func (p *ResponseTime) Mean(now time.Duration) time.Duration { return time.Duration(p.mean.at(now)) }

// FailureRate is the share of requests whose flows an endpoint lately reset in place
// of an answer. It answers endpoints that fail part of their requests while they
// say that they are well.
type FailureRate struct{ share recentMean }

// Observe takes in the end of a request.
func (f *FailureRate) Observe(now time.Duration, isFailed bool) {
	value := 0.0
	if isFailed {
		value = 1
	}
	f.share.note(now, value)
}

// Value returns the share, from 0 to 1.
func (f *FailureRate) Value(now time.Duration) float64 { return f.share.at(now) }
