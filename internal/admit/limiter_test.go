package admit_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/admit"
)

func TestLimiterNeverExceedsItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		limiter := admit.NewLimiter(defaultRamp, 1000, nil)
		var running, excess, ran atomic.Int64
		for range 500 {
			go func() {
				slot, err := limiter.Acquire(t.Context())
				if err != nil {
					return
				}
				now := running.Add(1)
				if load := limiter.Load(); now > int64(load.Slots) {
					excess.Store(max(excess.Load(), now-int64(load.Slots)))
				}
				time.Sleep(20 * time.Millisecond)
				running.Add(-1)
				ran.Add(1)
				slot.Release(admit.OutcomeAnswered)
			}()
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		g.Expect(excess.Load()).To(BeZero(), "requests exceed the limit")
		g.Expect(ran.Load()).To(Equal(int64(500)))
		g.Expect(limiter.Load()).To(Equal(admit.Load{Slots: fullSlots, IsWarm: true}))
	})
}

func TestLimiterRefusesWhenFullOrSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		limiter := admit.NewLimiter(defaultRamp, 2, nil)
		slot, err := limiter.Acquire(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		results := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := limiter.Acquire(t.Context())
				results <- err
			}()
		}
		synctest.Wait()
		_, err = limiter.Acquire(t.Context())
		g.Expect(err).To(MatchError(admit.ErrQueueFull))
		limiter.Suspend()
		g.Expect(<-results).To(MatchError(admit.ErrSuspended))
		g.Expect(<-results).To(MatchError(admit.ErrSuspended))
		slot.Release(admit.OutcomeFailed)
		_, err = limiter.Acquire(t.Context())
		g.Expect(err).To(MatchError(admit.ErrSuspended))
		limiter.Reset()
		_, err = limiter.Acquire(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(limiter.Load().Taken).To(Equal(1))
	})
}

func TestLimiterWakesWaitersAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		limiter := admit.NewLimiter(defaultRamp, 2, nil)
		slot, _ := limiter.Acquire(t.Context())
		slot.Release(admit.OutcomeShed)
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := limiter.Acquire(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(began)).To(Equal(50 * time.Millisecond))
	})
}

func TestLimiterReportsWarmAndColdChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var changes []bool
		ramp := admit.Ramp{Start: 1, Answers: 1, Slots: 2}
		limiter := admit.NewLimiter(ramp, 2, func(isWarm bool) { changes = append(changes, isWarm) })
		for _, outcome := range []admit.Outcome{admit.OutcomeAnswered, admit.OutcomeAnswered, admit.OutcomeTimedOut, admit.OutcomeCancelled} {
			slot, err := limiter.Acquire(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Millisecond)
			slot.MarkAnswerStarted()
			slot.Release(outcome)
			slot.Release(admit.OutcomeFailed)
		}
		g.Expect(changes).To(Equal([]bool{true, false}))
	})
}
