package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/pause"
)

func TestForReturnsEarlyWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		started := time.Now()
		g.Expect(pause.For(t.Context(), time.Minute)).To(BeTrue())
		g.Expect(time.Since(started)).To(Equal(time.Minute))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g.Expect(pause.For(ctx, time.Minute)).To(BeFalse())
		g.Expect(time.Since(started)).To(Equal(time.Minute + time.Second))
	})
}
