// Package admit controls how much load an endpoint receives: how many concurrent
// requests, and which new flows.
package admit

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("admit")

// ErrQueueFull is returned for a request that was not run because the queue is full.
var ErrQueueFull = Error.New("all slots are in use and the queue is full")

// ErrSuspended is returned for a request that was not run because the limiter is
// suspended.
var ErrSuspended = Error.New("the endpoint is not accepting requests")

// Outcome is the result of a request that held a slot.
type Outcome uint8

// Outcomes.
const (
	OutcomeAnswered Outcome = iota
	// OutcomeShed means that the endpoint refused the request because of its load.
	OutcomeShed
	OutcomeTimedOut
	OutcomeFailed
	// OutcomeCancelled means that the caller cancelled the request, which says nothing
	// about the endpoint.
	OutcomeCancelled
)

// Limiter grants the slots of one endpoint in order of arrival, up to its Limit. It is
// safe for concurrent use.
type Limiter struct {
	// onChange is called without the lock when the endpoint becomes warm or cold.
	onChange func(isWarm bool)

	mu         sync.Mutex
	limit      *Limit
	maxWaiters int
	taken      int
	waiters    []chan uint64
	timer      *time.Timer
	wasWarm    bool
	// isSuspended is set while all requests are refused, until Reset.
	isSuspended bool
}

// NewLimiter returns the limiter of a cold endpoint. queue is the maximum number of
// waiting requests. onChange, if not nil, is called when the endpoint becomes warm or
// cold.
func NewLimiter(ramp Ramp, queue int, onChange func(isWarm bool)) *Limiter {
	limit := NewLimit(ramp)
	return &Limiter{limit: limit, maxWaiters: queue, onChange: onChange, wasWarm: limit.IsWarm()}
}

// SetLimits changes the limits. Slots in use are not revoked.
func (l *Limiter) SetLimits(ramp Ramp, queue int) {
	l.mu.Lock()
	l.maxWaiters = queue
	l.limit.SetRamp(ramp)
	l.wakeLocked()
	l.unlockAndNotify()
}

// Reset returns to the limit of a cold endpoint and ends a suspension.
func (l *Limiter) Reset() {
	l.mu.Lock()
	l.isSuspended = false
	l.limit.Reset()
	l.unlockAndNotify()
}

// Suspend refuses all waiting requests and all new ones until Reset.
func (l *Limiter) Suspend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isSuspended = true
	for _, waiter := range l.waiters {
		close(waiter)
	}
	l.waiters = nil
}

// unlockAndNotify releases the lock and reports a change between warm and cold.
func (l *Limiter) unlockAndNotify() {
	isWarm := l.limit.IsWarm()
	isChanged := isWarm != l.wasWarm
	l.wasWarm = isWarm
	l.mu.Unlock()
	if isChanged && l.onChange != nil {
		l.onChange(isWarm)
	}
}

// Acquire waits for a slot. An error means that the request was not run.
func (l *Limiter) Acquire(ctx context.Context) (*Slot, error) {
	l.mu.Lock()
	if l.isSuspended {
		l.mu.Unlock()
		return nil, ErrSuspended
	}
	if l.taken < l.limit.Slots(time.Now()) && len(l.waiters) == 0 {
		request := l.takeLocked()
		l.mu.Unlock()
		return newSlot(l, request), nil
	}
	if len(l.waiters) >= l.maxWaiters {
		l.mu.Unlock()
		return nil, ErrQueueFull
	}
	granted := make(chan uint64, 1)
	l.waiters = append(l.waiters, granted)
	l.wakeLocked()
	l.mu.Unlock()
	select {
	case request, ok := <-granted:
		if !ok {
			return nil, ErrSuspended
		}
		return newSlot(l, request), nil
	case <-ctx.Done():
		l.cancelWait(granted)
		return nil, Error.Wrap(ctx.Err())
	}
}

func (l *Limiter) takeLocked() uint64 {
	l.taken++
	return l.limit.Begin()
}

func (l *Limiter) cancelWait(granted chan uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, waiter := range l.waiters {
		if waiter == granted {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			return
		}
	}
	if _, isGranted := <-granted; !isGranted {
		return
	}
	// The slot was granted concurrently with the cancellation.
	l.taken--
	l.wakeLocked()
}

func (l *Limiter) wakeLocked() {
	now := time.Now()
	slots := l.limit.Slots(now)
	for l.taken < slots && len(l.waiters) > 0 {
		l.waiters[0] <- l.takeLocked()
		l.waiters = l.waiters[1:]
	}
	if len(l.waiters) > 0 && slots == 0 {
		l.wakeAfterLocked(l.limit.PausedUntil().Sub(now))
	}
}

func (l *Limiter) wakeAfterLocked(delay time.Duration) {
	if l.timer != nil {
		l.timer.Stop()
	}
	l.timer = time.AfterFunc(delay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.wakeLocked()
	})
}

// Load is the load of an endpoint at one moment.
type Load struct {
	// Taken is the number of slots in use.
	Taken int
	// Waiting is the number of requests that wait for a slot.
	Waiting int
	// Slots is the number of slots that may be in use now.
	Slots int
	// IsWarm is true if all slots of the endpoint may be used.
	IsWarm bool
}

// Load returns the current load of the endpoint.
func (l *Limiter) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Load{Taken: l.taken, Waiting: len(l.waiters), Slots: l.limit.Slots(time.Now()), IsWarm: l.limit.IsWarm()}
}

// InFlight returns how many slots are in use and how many requests wait.
func (l *Limiter) InFlight() (taken, waiting int) {
	load := l.Load()
	return load.Taken, load.Waiting
}

// Slot is the permission to run one request.
type Slot struct {
	limiter   *Limiter
	request   uint64
	startedAt time.Time

	mu         sync.Mutex
	latency    time.Duration
	isReleased bool
}

func newSlot(l *Limiter, request uint64) *Slot {
	return &Slot{limiter: l, request: request, startedAt: time.Now()}
}

// MarkAnswerStarted records that the answer starts now, which ends the measured
// latency. Without it the latency ends with Release.
func (s *Slot) MarkAnswerStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markLocked()
}

func (s *Slot) markLocked() {
	if s.latency == 0 {
		s.latency = max(1, time.Since(s.startedAt))
	}
}

// Release returns the slot. Calls after the first have no effect.
func (s *Slot) Release(outcome Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isReleased {
		return
	}
	s.isReleased = true
	s.markLocked()
	l := s.limiter
	l.mu.Lock()
	l.limit.End(time.Now(), s.request, outcome, s.latency, l.taken)
	l.taken--
	l.wakeLocked()
	l.unlockAndNotify()
}
