package flow

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in the mean. About the last eight
	// samples dominate it, which is a fraction of a second at usual loads.
	sampleWeight = 1.0 / 8
	// decayHalfLife is the time without samples after which the mean halves, so that
	// an endpoint that receives nothing because it was slow is tried again.
	decayHalfLife = 2 * time.Second
)

// decayingMean is an exponentially weighted moving average that also halves every
// decayHalfLife without samples. It starts at 0, so that a single sample has little
// effect.
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

// ResponseTime is the moving average of an endpoint's time to the first byte of an
// answer. It detects endpoints that become slow, regardless of what they report about
// themselves.
type ResponseTime struct{ mean decayingMean }

// Observe records the time to first byte of an answer.
func (r *ResponseTime) Observe(now, elapsed time.Duration) { r.mean.observe(now, float64(elapsed)) }

// Mean returns the average, 0 before the first answer.
func (r *ResponseTime) Mean(now time.Duration) time.Duration {
	return time.Duration(r.mean.valueAt(now))
}

// FailureRate is the moving average of the share of requests whose flows the endpoint
// reset instead of answering. It detects endpoints that fail part of their requests
// while they report that they are healthy.
type FailureRate struct{ share decayingMean }

// Observe records the outcome of a request.
func (f *FailureRate) Observe(now time.Duration, isFailed bool) {
	value := 0.0
	if isFailed {
		value = 1
	}
	f.share.observe(now, value)
}

// Value returns the rate, from 0 to 1.
func (f *FailureRate) Value(now time.Duration) float64 { return f.share.valueAt(now) }
