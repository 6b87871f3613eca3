package flow

import (
	"math"
	"time"
)

const (
	// sampleWeight is the share of a new answer in the mean: the last eight or so
	// decide, which is a fraction of a second of the usual loads.
	sampleWeight = 1.0 / 8
	// decayHalfLife is the time without answers in which the mean halves, so that an
	// endpoint that gets nothing because it was slow is tried again.
	decayHalfLife = 2 * time.Second
)

// decayingMean is a mean in which the newest values weigh most, and which halves
// every paceHalfLife without values. It begins at 0, so that one value alone
// counts for little.
type decayingMean struct {
	value     float64
	updatedAt time.Duration
}

func (m *decayingMean) observe(now time.Duration, value float64) {
	mean := m.valueAt(now)
	m.value, m.updatedAt = mean+sampleWeight*(value-mean), now
}

func (m *decayingMean) valueAt(now time.Duration) float64 {
	return math.Ldexp(m.value, -int((now-m.updatedAt)/decayHalfLife))
}

// ResponseTime is how long an endpoint takes for the first byte of an answer. It answers
// endpoints that turn slow, whatever they say about themselves.
type ResponseTime struct{ mean decayingMean }

// Observe takes in the time of an answer.
func (p *ResponseTime) Observe(now, took time.Duration) { p.mean.observe(now, float64(took)) }

// Mean returns the mean, 0 before the first answer.
func (p *ResponseTime) Mean(now time.Duration) time.Duration {
	return time.Duration(p.mean.valueAt(now))
}

// FailureRate is the share of requests whose flows an endpoint lately reset in place
// of an answer. It answers endpoints that fail part of their requests while they
// say that they are well.
type FailureRate struct{ share decayingMean }

// Observe takes in the end of a request.
func (f *FailureRate) Observe(now time.Duration, isFailed bool) {
	value := 0.0
	if isFailed {
		value = 1
	}
	f.share.observe(now, value)
}

// Value returns the share, from 0 to 1.
func (f *FailureRate) Value(now time.Duration) float64 { return f.share.valueAt(now) }
