// Package measure generates load, records the results that callers see and reports
// them as text and CSV.
package measure

import (
	"sort"
	"sync"
	"time"
)

// Series records the outcome and latency of requests by second.
type Series struct {
	start time.Time

	mu      sync.Mutex
	buckets []bucket
}

type bucket struct {
	succeeded int
	failed    int
	latencies []time.Duration
}

// NewSeries returns an empty series that starts at the given time.
func NewSeries(start time.Time) *Series {
	return &Series{start: start}
}

// Add records a request that began at the given time. It counts towards the second
// in which it began.
func (s *Series) Add(began time.Time, latency time.Duration, err error) {
	at := int(began.Sub(s.start) / time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.buckets) <= at {
		s.buckets = append(s.buckets, bucket{})
	}
	if err != nil {
		s.buckets[at].failed++
		return
	}
	s.buckets[at].succeeded++
	s.buckets[at].latencies = append(s.buckets[at].latencies, latency)
}

// SecondStats summarizes the requests that began in one second.
type SecondStats struct {
	// Second is the number of the second since the start of the series.
	Second    int
	Succeeded int
	Failed    int
	// P99 is the 99th percentile of the latency of successful requests.
	P99 time.Duration
}

// SuccessRate returns the share of requests that succeeded, from 0 to 1; 1 if there
// were no requests.
func (s SecondStats) SuccessRate() float64 {
	total := s.Succeeded + s.Failed
	if total == 0 {
		return 1
	}
	return float64(s.Succeeded) / float64(total)
}

// PerSecond returns the statistics of each second since the start.
func (s *Series) PerSecond() []SecondStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := make([]SecondStats, len(s.buckets))
	for i, second := range s.buckets {
		stats[i] = SecondStats{Second: i, Succeeded: second.succeeded, Failed: second.failed, P99: Percentile(second.latencies, 0.99)}
	}
	return stats
}

// Percentile returns the percentile of the durations for a share from 0 to 1; 0 if
// there are no durations.
func Percentile(durations []time.Duration, share float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), durations...)
	sort.Slice(sorted, func(a, b int) bool { return sorted[a] < sorted[b] })
	at := int(share * float64(len(sorted)))
	return sorted[min(at, len(sorted)-1)]
}
