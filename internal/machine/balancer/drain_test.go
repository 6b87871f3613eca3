package balancer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// lostDatagrams simulates draining and returns the number of datagrams that the fabric sends
// to the balancer after it has stopped, or -1 if it does not stop within a minute. The
// fabric sends one datagram per interval until it detects the failing health check, after
// detectionTime.
func lostDatagrams(isDone func(now, startedAt, last time.Time) bool, interval, detectionTime time.Duration) int {
	const step = 100 * time.Millisecond
	var startedAt, last time.Time
	isStopped, lost := false, 0
	for at := time.Duration(0); at < time.Minute; at += step {
		now := startedAt.Add(at)
		if at < detectionTime && at > 0 && at%interval == 0 {
			last = now
			if isStopped {
				lost++
			}
		}
		isStopped = isStopped || isDone(now, startedAt, last)
	}
	if !isStopped {
		return -1
	}
	return lost
}

func TestDrainWaitsForSlowFabric(t *testing.T) {
	quietOnly := func(now, _, last time.Time) bool { return now.Sub(last) >= quietPeriod }
	for _, detectionTime := range []time.Duration{0, 100 * time.Millisecond, 2 * time.Second, 4900 * time.Millisecond} {
		for _, interval := range []time.Duration{100 * time.Millisecond, 1500 * time.Millisecond} {
			g := NewWithT(t)
			g.Expect(lostDatagrams(isDrained, interval, detectionTime)).To(BeZero(), "fabric that detects the failing health check after %v", detectionTime)
			if interval > quietPeriod && detectionTime > interval {
				g.Expect(lostDatagrams(quietOnly, interval, detectionTime)).To(BeNumerically(">", 0), "naive version without healthDetectionTime")
			}
		}
	}
}
