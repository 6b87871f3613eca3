package emulate

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/flow"
)

const (
	fastFactor = 1 / 1.2
	slowFactor = 1 / 0.55
)

// speedEndpoints returns endpoints with the given factors of the duration of work.
func speedEndpoints(factor func(i int) float64) []Endpoint {
	return newEndpoints(50, func(i int, e *Endpoint) { e.Slots, e.Queue, e.SlowFactor = 4, 16, factor(i) })
}

// oneInFourSlow is the factor of the endpoints of installation B of docs/design/load.md.
func oneInFourSlow(i int) float64 {
	if i%4 == 0 {
		return slowFactor
	}
	return fastFactor
}

func equalSpeed(int) float64 { return fastFactor }

// warmUp is how long a run has a third of the full load, until all endpoints are measured.
const warmUp = 8 * time.Second

// settleTime is how long the slots take to fill once the load has risen.
const settleTime = 2 * time.Second

// speedLoad returns a load of a share of what all slots can work off, after warmUp at a third.
func speedLoad(endpoints []Endpoint, share float64, duration time.Duration) Load {
	load := Load{
		Duration: warmUp + duration, MeanWork: 47 * time.Millisecond, LongShare: 0.03, LongFactor: 7, WorkSigma: 0.3,
		Objective: 400 * time.Millisecond, Deadline: 3 * time.Second, Retries: 2,
		BurstFrom: warmUp, BurstTo: warmUp + duration, BurstFactor: 3 * share,
	}
	for _, e := range endpoints {
		load.RequestsPerSecond += float64(e.Slots) / e.SlowFactor / load.MeanWork.Seconds() / 3
	}
	return load
}

// withoutSpeeds is an earlier version: candidates in the order of rendezvous hashing, and a gate
// that does not know service times.
func withoutSpeeds() *Offering {
	return &Offering{CountsLongRequests: true, Gate: func(endpoint *flow.Endpoint, request flow.AdmissionRequest) flow.Reason {
		request.ServiceTime, request.IsSlowForService = 0, false
		gate := flow.Gate{SilenceTimeout: time.Second}
		return gate.Decide(endpoint.LastSeen, endpoint, 0, request)
	}}
}

func bySpeed() *Offering { return &Offering{BySpeed: true} }

// watched counts what an Offering does after warmUp, and the use of slots after settleTime more.
type watched struct {
	*Offering
	// watched is an endpoint, and placed are its new flows in each second.
	endpoint int
	placed   map[int]int
	// used and usable are the work done and possible at the occupied slots, and all slots, as
	// seen by new flows; slowUsed and slowUsable those of slow endpoints.
	used, usable, slowUsed, slowUsable float64
	// slowViews counts flows that found an agent rated as slow, and mostSlow is the largest
	// number of them.
	slowViews, mostSlow int
	// firstReports is how many reports were made in warmUp.
	firstReports int
}

func newWatched(offering *Offering, endpoint int) *watched {
	return &watched{Offering: offering, endpoint: endpoint, placed: make(map[int]int)}
}

func (w *watched) Place(s *Simulation, key uint64, zone string) (int, bool) {
	chosen, ok := w.Offering.Place(s, key, zone)
	if ok && chosen == w.endpoint {
		w.placed[int(s.Now/time.Second)]++
	}
	if s.Now < warmUp {
		w.firstReports = w.Reports
		return chosen, ok
	}
	slow := w.view.Speed(service).Slow
	w.mostSlow = max(w.mostSlow, slow)
	if slow > 0 {
		w.slowViews++
	}
	if s.Now < warmUp+settleTime {
		return chosen, ok
	}
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		used, usable := float64(min(s.InFlight[i], e.Slots))/e.SlowFactor, float64(e.Slots)/e.SlowFactor
		w.used, w.usable = w.used+used, w.usable+usable
		if e.SlowFactor > 1 {
			w.slowUsed, w.slowUsable = w.slowUsed+used, w.slowUsable+usable
		}
	}
	return chosen, ok
}

// samplingError is that of the share of slots in use.
const samplingError = 0.001

// perSecond returns the mean number of new flows of the watched endpoint in a time.
func (w *watched) perSecond(from, to int) float64 {
	sum := 0
	for second := from; second < to; second++ {
		sum += w.placed[second]
	}
	return float64(sum) / float64(to-from)
}

// runWatched runs a load and returns the result and the last seed's placer.
func runWatched(endpoints []Endpoint, load Load, seeds, endpoint int, offering func() *Offering) (Row, *watched) {
	var last *watched
	row := RunScenario(Scenario{Endpoints: endpoints, Load: load}, func() Placer {
		last = newWatched(offering(), endpoint)
		return last
	}, seeds)
	return row, last
}

// Long requests on slow endpoints are late while fast ones have free slots. Half of the late
// answers must go at a third of the load. In an overload the slots of slow endpoints must be used
// as before, or fewer requests are served. The share of slots in use shows that better than the
// number of requests served, which contains those that still queue at the end of the load.
func TestSpeedsHalveLateAnswers(t *testing.T) {
	endpoints := speedEndpoints(oneInFourSlow)
	for _, c := range []struct {
		share    float64
		duration time.Duration
		seeds    int
	}{{1. / 3, 12 * time.Second, 2}, {2. / 3, 6 * time.Second, 1}, {1, 6 * time.Second, 1}, {1.25, 5 * time.Second, 1}} {
		t.Run(fmt.Sprintf("%.2f", c.share), func(t *testing.T) {
			g := NewWithT(t)
			load := speedLoad(endpoints, c.share, c.duration)
			got, seen := runWatched(endpoints, load, c.seeds, 0, bySpeed)
			naive, naiveSeen := runWatched(endpoints, load, c.seeds, 0, withoutSpeeds)
			t.Logf("within objective %.4f, late %.4f, failed %.4f, slots used %.4f, of slow endpoints %.4f; %d reports, later %d", got.WithinObjective, got.Late, got.Failed, seen.used/seen.usable, seen.slowUsed/seen.slowUsable, seen.firstReports, seen.Reports-seen.firstReports)
			t.Logf("without speeds %.4f, %.4f, %.4f, %.4f, %.4f", naive.WithinObjective, naive.Late, naive.Failed, naiveSeen.used/naiveSeen.usable, naiveSeen.slowUsed/naiveSeen.slowUsable)
			g.Expect(got.WithinObjective).To(BeNumerically(">", naive.WithinObjective))
			if c.share < 0.5 {
				g.Expect(got.Late).To(BeNumerically("<", naive.Late/2))
			}
			if c.share > 1 {
				g.Expect(seen.used / seen.usable).To(BeNumerically("~", naiveSeen.used/naiveSeen.usable, samplingError))
				g.Expect(seen.slowUsed / seen.slowUsable).To(BeNumerically("~", naiveSeen.slowUsed/naiveSeen.slowUsable, samplingError))
			}
		})
	}
}

// With equal endpoints, agents must not be rated as slow by chance, and records must not change.
func TestSpeedsChangeNothingWithEqualEndpoints(t *testing.T) {
	g := NewWithT(t)
	endpoints := speedEndpoints(equalSpeed)
	for _, share := range []float64{1. / 3, 1} {
		load := speedLoad(endpoints, share, 12*time.Second)
		got, seen := runWatched(endpoints, load, 1, 0, bySpeed)
		t.Logf("late %.4f, failed %.4f; %d reports, later %d; flows that found a slow agent: %d", got.Late, got.Failed, seen.firstReports, seen.Reports-seen.firstReports, seen.slowViews)
		g.Expect(seen.slowViews).To(BeZero())
		g.Expect(seen.Reports).To(Equal(len(endpoints)))
	}
}

// An endpoint that becomes slow loses most of its flows. Once it has recovered, it must be
// measured again and get its share, but no rush.
func TestEndpointThatBecomesSlowAndRecovers(t *testing.T) {
	g := NewWithT(t)
	const slowFrom, slowUntil, end = 20, 40, 90
	endpoints := speedEndpoints(equalSpeed)
	load := speedLoad(endpoints, 1./3, (end-8)*time.Second)
	endpoints[1].SlowFactor = 0
	normal := load.RequestsPerSecond / float64(len(endpoints))
	for i := range endpoints {
		endpoints[i].SlowFactor = 0
	}
	endpoints[1].SlowFactor, endpoints[1].SlowFrom, endpoints[1].SlowUntil = 2.2, slowFrom*time.Second, slowUntil*time.Second
	got, seen := runWatched(endpoints, load, 1, 1, bySpeed)
	t.Logf("late %.4f; flows per second %.1f, while slow %.1f, in 30 s after recovery %.1f, then %.1f; %d reports", got.Late, seen.perSecond(8, slowFrom), seen.perSecond(slowFrom+8, slowUntil), seen.perSecond(slowUntil, slowUntil+30), seen.perSecond(slowUntil+30, end), seen.Reports)
	g.Expect(seen.perSecond(slowFrom+8, slowUntil)).To(BeNumerically("<", normal/4))
	g.Expect(seen.perSecond(slowUntil+30, end)).To(BeNumerically("~", normal, normal/5))
	for second := slowUntil; second < end; second++ {
		g.Expect(seen.placed[second]).To(BeNumerically("<", 2.5*normal))
	}
}

// An endpoint that restarts is not measured while it is cold. Its cold requests would rate it as
// slow for long after it is warm.
func TestRestartedEndpointIsNotRatedByColdRequests(t *testing.T) {
	g := NewWithT(t)
	const restart, end = 15, 40
	endpoints := speedEndpoints(equalSpeed)
	load := speedLoad(endpoints, 1./3, (end-8)*time.Second)
	endpoints[1].RestartsAt, endpoints[1].ColdFor, endpoints[1].ColdFactor = restart*time.Second, 2*time.Second, 1.6
	_, seen := runWatched(endpoints, load, 1, 1, bySpeed)
	normal := load.RequestsPerSecond / float64(len(endpoints))
	t.Logf("flows per second before %.1f, cold %.1f, later %.1f; %d reports", seen.perSecond(8, restart), seen.perSecond(restart, restart+2), seen.perSecond(restart+2, end), seen.Reports)
	g.Expect(seen.slowViews).To(BeZero())
	g.Expect(seen.perSecond(restart+2, end)).To(BeNumerically("~", normal, normal/5))
	g.Expect(seen.Reports).To(Equal(len(endpoints) + 2))
}

// All endpoints become slow within the same moment. Some are measured before the others, and
// must not be left out for long.
func TestSpeedsWhenAllBecomeSlow(t *testing.T) {
	g := NewWithT(t)
	endpoints := speedEndpoints(equalSpeed)
	load := speedLoad(endpoints, 1./3, 22*time.Second)
	for i := range endpoints {
		endpoints[i].SlowFactor, endpoints[i].SlowFrom = 2, warmUp
	}
	got, seen := runWatched(endpoints, load, 1, 0, bySpeed)
	naive, _ := runWatched(endpoints, load, 1, 0, withoutSpeeds)
	t.Logf("late %.4f, failed %.4f, without speeds %.4f, %.4f; %d reports; at most %d slow", got.Late, got.Failed, naive.Late, naive.Failed, seen.Reports, seen.mostSlow)
	g.Expect(seen.view.Speed(service).Slow).To(BeZero())
	g.Expect(got.WithinObjective).To(BeNumerically(">=", naive.WithinObjective-0.002))
}
