package admit_test

import (
	"context"
	"testing"
	"time"

	"sassafrasturn.example/internal/admit"
)

// BenchmarkAdmission compares the limiter and the flow gate with a buffered channel as
// a fixed limit.
func BenchmarkAdmission(b *testing.B) {
	b.Run("channel", func(b *testing.B) {
		slots := make(chan struct{}, 5)
		for b.Loop() {
			slots <- struct{}{}
			<-slots
		}
	})
	b.Run("limiter", func(b *testing.B) {
		limiter := admit.NewLimiter(admit.Ramp{Start: 5, Answers: 64, Slots: 5}, 10, nil)
		for b.Loop() {
			slot, err := limiter.Acquire(context.Background())
			if err != nil {
				b.Fatal(err)
			}
			slot.MarkAnswerStarted()
			slot.Release(admit.OutcomeAnswered)
		}
	})
	b.Run("flow", func(b *testing.B) {
		gate := admit.NewFlowGate()
		load := admit.FlowLoad{
			Flows: 1000, MaxFlows: 2000, FullSlots: 5, IsServing: true,
			Work: admit.Load{Taken: 3, Slots: 5, IsWarm: true},
		}
		now := time.Now()
		for b.Loop() {
			gate.Decide(now, load)
		}
	})
}
