package emulate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/flow"
)

// site gives endpoints like those of the smaller known deployments, spread over
// three zones.
func site(count int, change func(i int, e *Endpoint)) []Endpoint {
	endpoints := make([]Endpoint, count)
	for i := range endpoints {
		endpoints[i] = Endpoint{Zone: string(rune('a' + i%3)), Slots: 5, Queue: 20}
		if change != nil {
			change(i, &endpoints[i])
		}
	}
	return endpoints
}

// usual is a load of 45% of what seven endpoints bear.
func usual() Load {
	return Load{
		Length: 20 * time.Second, PerSecond: 500, Work: 32 * time.Millisecond,
		Aim: 150 * time.Millisecond, Deadline: time.Second, Retries: 2,
	}
}

const seeds = 5

// mean plays a load with several seeds and returns the mean shares in aim and
// failed, and the highest 99th percentile.
func mean(endpoints []Endpoint, load Load, placer func() Placer) (inAim, failed float64, p99 time.Duration) {
	for seed := range uint64(seeds) {
		result := Run(endpoints, load, placer(), seed)
		inAim += result.ShareInAim() / seeds
		failed += result.ShareFailed() / seeds
		p99 = max(p99, result.P99)
	}
	return inAim, failed, p99
}

func offering() Placer      { return &Offering{Candidates: 4} }
func hash() Placer          { return Hash{} }
func leastReported() Placer { return &LeastReported{Every: 500 * time.Millisecond} }

// shortQueue is the gate as it was: it let one request wait for each slot of
// the last agent, and none elsewhere.
func shortQueue() Placer {
	return &Offering{Candidates: 4, Gate: func(endpoint *flow.Endpoint, request flow.Request) flow.Reason {
		limit := endpoint.Slots
		if request.Others == 0 {
			limit *= 2
		}
		if request.Busy >= limit {
			return flow.RefusedBusy
		}
		return flow.Taken
	}}
}

// Two of seven endpoints work five times as long. Offers pass them by, a hash
// gives them their full share.
func TestOffersPassSlowEndpointsBy(t *testing.T) {
	g := NewWithT(t)
	endpoints := site(7, func(i int, e *Endpoint) {
		if i < 2 {
			e.Slow = 5
		}
	})
	inAim, failed, _ := mean(endpoints, usual(), offering)
	naive, naiveFailed, _ := mean(endpoints, usual(), hash)
	stale, _, _ := mean(endpoints, usual(), leastReported)
	g.Expect(inAim).To(BeNumerically(">", 0.75))
	g.Expect(inAim).To(BeNumerically(">", naive+0.05))
	g.Expect(inAim).To(BeNumerically(">", stale+0.05))
	g.Expect(failed).To(BeNumerically("<", 0.005))
	g.Expect(naiveFailed).To(BeNumerically(">", failed))
}

// Under a burst to 120% of what the endpoints bear, more callers are answered
// in time than by a hash or by stale reports.
func TestOffersBearABurst(t *testing.T) {
	g := NewWithT(t)
	load := usual()
	load.Burst, load.BurstFrom, load.BurstTo = 2.6, 5*time.Second, 8*time.Second
	inAim, _, _ := mean(site(7, nil), load, offering)
	naive, _, _ := mean(site(7, nil), load, hash)
	stale, _, _ := mean(site(7, nil), load, leastReported)
	g.Expect(inAim).To(BeNumerically(">", naive))
	g.Expect(inAim).To(BeNumerically(">", stale))
}

// After an outage hundreds of callers come at once and the endpoints are cold.
// A short queue refuses callers who would have had their answer in time.
func TestOffersServeCallersWhoWaitedOutAnOutage(t *testing.T) {
	g := NewWithT(t)
	endpoints := site(9, func(_ int, e *Endpoint) { e.ColdFor, e.ColdSlow = 2*time.Second, 1.6 })
	load := usual()
	load.Waiting = 300
	load.Length = 3 * time.Second
	_, failed, p99 := mean(endpoints, load, offering)
	_, naiveFailed, _ := mean(endpoints, load, shortQueue)
	// What the endpoints' own queues cannot hold may fail, and no more.
	requests := float64(load.Waiting) + load.PerSecond*load.Length.Seconds()
	excess := float64(load.Waiting-len(endpoints)*(endpoints[0].Slots+endpoints[0].Queue)) / requests
	g.Expect(failed).To(BeNumerically("<", excess))
	g.Expect(naiveFailed).To(BeNumerically(">", 2*excess))
	g.Expect(p99).To(BeNumerically("<", load.Deadline))
}

// In calm the queue makes no difference.
func TestOffersInCalm(t *testing.T) {
	g := NewWithT(t)
	inAim, failed, _ := mean(site(7, nil), usual(), offering)
	g.Expect(failed).To(BeZero())
	g.Expect(inAim).To(BeNumerically(">", 0.995))
}

func TestRunsRepeat(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Run(site(7, nil), usual(), offering(), 3)).To(Equal(Run(site(7, nil), usual(), offering(), 3)))
}
