// Package pause waits for a length of time that a context may cut short.
package pause

import (
	"context"
	"time"
)

// For waits; it reports false when ctx ended first.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
