package flow

import "time"

const (
	// paceWeight is the share of a new answer in the mean: the last eight or so
	// decide, which is a fraction of a second of the usual loads.
	paceWeight = 1.0 / 8
	// paceHalfLife is the time without answers in which the mean halves, so that an
	// endpoint that gets nothing because it was slow is tried again.
	paceHalfLife = 2 * time.Second
)

// Pace is how long an endpoint takes for the first byte of an answer. It answers
// endpoints that turn slow, whatever they say about themselves.
type Pace struct {
	mean   time.Duration
	noteAt time.Duration
}

// Note takes in the time of an answer.
func (p *Pace) Note(now, took time.Duration) {
	mean := p.Mean(now)
	if mean == 0 {
		// One answer is no mean: it counts from zero, as the later ones do.
		p.mean = time.Duration(paceWeight * float64(took))
	} else {
		p.mean = mean + time.Duration(paceWeight*float64(took-mean))
	}
	p.noteAt = now
}

// Mean returns the mean, 0 before the first answer.
func (p *Pace) Mean(now time.Duration) time.Duration {
	halvings := min((now-p.noteAt)/paceHalfLife, maxHalvings)
	return p.mean >> halvings
}

// maxHalvings takes any mean to nothing.
const maxHalvings = 62

// Failures is the share of requests whose flows an endpoint lately reset in place
// of an answer. It answers endpoints that fail part of their requests while they
// say that they are well.
type Failures struct {
	share  float64
	noteAt time.Duration
}

// Note takes in the end of a request.
func (f *Failures) Note(now time.Duration, isFailed bool) {
	seen := 0.0
	if isFailed {
		seen = 1
	}
	share := f.Share(now)
	f.share, f.noteAt = share+paceWeight*(seen-share), now
}

// Share returns the share, from 0 to 1.
func (f *Failures) Share(now time.Duration) float64 {
	halvings := min((now-f.noteAt)/paceHalfLife, maxHalvings)
	return f.share / float64(uint64(1)<<halvings)
}
