// Package admit decides how much work an endpoint is given.
package admit

import (
	"context"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("admit")

// ErrQueueFull refuses a request that was not run.
var ErrQueueFull = Error.New("every slot is taken and the queue is full")

// Outcome is what became of a request that held a slot.
type Outcome uint8

// Outcomes.
const (
	OutcomeAnswered Outcome = iota
	// OutcomeShed: the endpoint refused the request for its load.
	OutcomeShed
	OutcomeTimedOut
	OutcomeFailed
	// OutcomeCancelled: the caller went away; it says nothing about the endpoint.
	OutcomeCancelled
)

// Limiter gives out the slots of one endpoint, in the order of arrival. It is
// safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	slots   int
	queue   int
	taken   int
	waiters []chan struct{}
}

// NewLimiter returns a limiter with the given number of slots and places to wait.
func NewLimiter(slots, queue int) *Limiter {
	return &Limiter{slots: slots, queue: queue}
}

// SetLimits changes the limits. Slots that are taken stay taken.
func (l *Limiter) SetLimits(slots, queue int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots, l.queue = slots, queue
	l.wakeLocked()
}

// Acquire waits for a slot. An error means that the request was not run.
func (l *Limiter) Acquire(ctx context.Context) (*Slot, error) {
	l.mu.Lock()
	if l.taken < l.slots && len(l.waiters) == 0 {
		l.taken++
		l.mu.Unlock()
		return &Slot{limiter: l}, nil
	}
	if len(l.waiters) >= l.queue {
		l.mu.Unlock()
		return nil, ErrQueueFull
	}
	granted := make(chan struct{})
	l.waiters = append(l.waiters, granted)
	l.mu.Unlock()
	select {
	case <-granted:
		return &Slot{limiter: l}, nil
	case <-ctx.Done():
		l.abandon(granted)
		return nil, Error.Wrap(ctx.Err())
	}
}

func (l *Limiter) abandon(granted chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, waiter := range l.waiters {
		if waiter == granted {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			return
		}
	}
	// The slot was granted at the same moment.
	l.taken--
	l.wakeLocked()
}

func (l *Limiter) wakeLocked() {
	for l.taken < l.slots && len(l.waiters) > 0 {
		l.taken++
		close(l.waiters[0])
		l.waiters = l.waiters[1:]
	}
}

// InFlight returns how many slots are taken and how many requests wait.
func (l *Limiter) InFlight() (taken, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.taken, len(l.waiters)
}

// Slot is the right to run one request.
type Slot struct {
	limiter *Limiter
	once    sync.Once
}

// Release gives the slot back; calls after the first do nothing.
func (s *Slot) Release(Outcome) {
	s.once.Do(func() {
		s.limiter.mu.Lock()
		defer s.limiter.mu.Unlock()
		s.limiter.taken--
		s.limiter.wakeLocked()
	})
}
