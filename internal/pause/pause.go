// Package pause waits for a duration or until a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for the duration. It returns false if ctx ends first.
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
