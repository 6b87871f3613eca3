// Package emulate plays loads on a model of endpoints in virtual time and tells
// what callers get under each way of placing new flows. It compares the
// product's own decisions with simpler ones; it opens no socket.
package emulate

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"sassafrasturn.example/internal/flow"
)

// Endpoint is one endpoint of the model.
type Endpoint struct {
	Zone  string
	Slots int
	// Queue is how many requests wait at the endpoint before it bounces flows.
	Queue int
	// SlowFactor is by how much work takes longer from SlowFrom on; 0 counts as 1.
	SlowFactor float64
	SlowFrom   time.Duration
	// FailureShare is the share of requests that the endpoint resets from FailsFrom on.
	FailureShare float64
	FailuresFrom time.Duration
	// ColdFor is how long the endpoint is cold from the beginning, and ColdSlow by
	// how much work takes longer meanwhile.
	ColdFor    time.Duration
	ColdFactor float64
}

// Load is what callers ask for.
type Load struct {
	Duration time.Duration
	// RequestsPerSecond is the rate of requests, and Burst the factor on it between
	// BurstFrom and BurstTo.
	RequestsPerSecond  float64
	BurstFactor        float64
	BurstFrom, BurstTo time.Duration
	// BurstZone is where the requests of the burst come from, all zones if empty.
	BurstZone string
	// InitialRequests is how many requests come at the very beginning, as after an outage.
	InitialRequests int
	// MeanWork is the mean work of a request.
	MeanWork time.Duration
	// Objective is the time within which callers want their answer, and Deadline that
	// at which they give up.
	Objective, Deadline time.Duration
	// Retries is how often a caller tries again after a refusal.
	Retries int
}

// Placer chooses the endpoint of a new flow.
type Placer interface {
	// Place returns the endpoint for a flow from a zone, or false to refuse it.
	Place(s *Simulation, flow uint64, zone string) (endpoint int, ok bool)
}

// Result is what callers got.
type Result struct {
	Requests, WithinObjective, Late, Failed int
	// RefusedAttempts counts refused tries, also of requests that were answered later.
	RefusedAttempts int
	P50, P99        time.Duration
}

// share returns a part of a whole, 0 of nothing.
func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

const (
	// networkRoundTrip is the way from a caller to an endpoint and back.
	networkRoundTrip = 4 * time.Millisecond
	// retryDelay is how long a caller waits before it tries again.
	retryDelay = 20 * time.Millisecond
	// workSigma is the standard deviation of the logarithm of the work.
	workSigma = 0.5
)

// Simulation is the state of a run, as placers see it.
type Simulation struct {
	Now       time.Duration
	Endpoints []Endpoint
	// InFlight is how many requests each endpoint works on or holds waiting.
	InFlight []int
	// ResponseTimes are how long the endpoints have lately taken for an answer.
	ResponseTimes []flow.ResponseTime
	// FailureRates are the requests that each endpoint has reset.
	FailureRates []flow.FailureRate

	load   Load
	random *rand.Rand
	events eventHeap
	queues [][]*request
	// pending are the requests that each endpoint has not answered.
	pending   []map[*request]bool
	result    Result
	latencies []time.Duration
}

type request struct {
	key       uint64
	zone      string
	createdAt time.Duration
	// acceptedAt is when an endpoint got it.
	acceptedAt time.Duration
	attempts   int
	isDone     bool
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap struct {
	events       []event
	lastSequence int
}

// Len, Less, Swap, Push and Pop make a heap by time and order of scheduling.
func (h *eventHeap) Len() int { return len(h.events) }

// Less orders events.
func (h *eventHeap) Less(a, b int) bool {
	if h.events[a].at != h.events[b].at {
		return h.events[a].at < h.events[b].at
	}
	return h.events[a].sequence < h.events[b].sequence
}

// Swap swaps events.
func (h *eventHeap) Swap(a, b int) { h.events[a], h.events[b] = h.events[b], h.events[a] }

// Push appends an event.
func (h *eventHeap) Push(x any) { h.events = append(h.events, x.(event)) }

// Pop removes the last event.
func (h *eventHeap) Pop() any {
	last := h.events[len(h.events)-1]
	h.events = h.events[:len(h.events)-1]
	return last
}

func (s *Simulation) schedule(delay time.Duration, do func()) {
	s.events.lastSequence++
	heap.Push(&s.events, event{at: s.Now + delay, sequence: s.events.lastSequence, run: do})
}

// Run plays a load and returns what callers got. The same seed gives the same run.
func Run(endpoints []Endpoint, load Load, placer Placer, seed uint64) Result {
	s := &Simulation{
		Endpoints: endpoints, InFlight: make([]int, len(endpoints)), load: load,
		ResponseTimes: make([]flow.ResponseTime, len(endpoints)), FailureRates: make([]flow.FailureRate, len(endpoints)), pending: make([]map[*request]bool, len(endpoints)),
		random: rand.New(rand.NewPCG(seed, 17)), queues: make([][]*request, len(endpoints)),
	}
	for range load.InitialRequests {
		s.newRequest(placer)
	}
	s.scheduleArrival(placer)
	for len(s.events.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.Now = next.at
		next.run()
	}
	return s.finish()
}

func (s *Simulation) isBurst() bool {
	return s.load.BurstFactor > 0 && s.Now >= s.load.BurstFrom && s.Now < s.load.BurstTo
}

// callerZone draws the zone of a request.
func (s *Simulation) callerZone() string {
	excess := 1 - 1/max(s.load.BurstFactor, 1)
	if s.load.BurstZone != "" && s.isBurst() && s.random.Float64() < excess {
		return s.load.BurstZone
	}
	return s.Endpoints[s.random.IntN(len(s.Endpoints))].Zone
}

func (s *Simulation) scheduleArrival(placer Placer) {
	rate := s.load.RequestsPerSecond
	if s.isBurst() {
		rate *= s.load.BurstFactor
	}
	if rate <= 0 || s.Now >= s.load.Duration {
		return
	}
	s.schedule(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		s.newRequest(placer)
		s.scheduleArrival(placer)
	})
}

func (s *Simulation) newRequest(placer Placer) {
	r := &request{createdAt: s.Now, zone: s.callerZone()}
	s.result.Requests++
	s.schedule(s.load.Deadline, func() {
		if !r.isDone {
			r.isDone = true
			s.result.Failed++
		}
	})
	s.attempt(placer, r)
}

// attempt opens a flow for a request.
func (s *Simulation) attempt(placer Placer, r *request) {
	if r.isDone {
		return
	}
	r.key = s.random.Uint64()
	chosen, ok := placer.Place(s, r.key, r.zone)
	if ok && s.InFlight[chosen] < s.Endpoints[chosen].Slots+s.Endpoints[chosen].Queue {
		s.accept(chosen, r)
		return
	}
	s.result.RefusedAttempts++
	r.attempts++
	if r.attempts > s.load.Retries {
		r.isDone = true
		s.result.Failed++
		return
	}
	s.schedule(retryDelay, func() { s.attempt(placer, r) })
}

// LongestWait returns how long an endpoint has had the request that it has had longest.
func (s *Simulation) LongestWait(endpoint int) time.Duration {
	longest := time.Duration(0)
	for r := range s.pending[endpoint] {
		longest = max(longest, s.Now-r.acceptedAt)
	}
	return longest
}

func (s *Simulation) accept(chosen int, r *request) {
	endpoint := &s.Endpoints[chosen]
	isFailed := endpoint.FailureShare > 0 && s.Now >= endpoint.FailuresFrom && s.random.Float64() < endpoint.FailureShare
	s.FailureRates[chosen].Observe(s.Now, isFailed)
	if isFailed {
		// Requests that may run once only are not tried again after a reset.
		r.isDone = true
		s.result.Failed++
		return
	}
	if s.pending[chosen] == nil {
		s.pending[chosen] = make(map[*request]bool)
	}
	r.acceptedAt = s.Now
	s.pending[chosen][r] = true
	s.InFlight[chosen]++
	if s.InFlight[chosen] <= s.Endpoints[chosen].Slots {
		s.serve(chosen, r)
		return
	}
	s.queues[chosen] = append(s.queues[chosen], r)
}

func (s *Simulation) serve(chosen int, r *request) {
	s.schedule(s.serviceTime(chosen), func() {
		s.InFlight[chosen]--
		delete(s.pending[chosen], r)
		s.ResponseTimes[chosen].Observe(s.Now, s.Now-r.acceptedAt)
		if !r.isDone {
			r.isDone = true
			s.recordLatency(s.Now - r.createdAt + networkRoundTrip)
		}
		if queue := s.queues[chosen]; len(queue) > 0 {
			s.queues[chosen] = queue[1:]
			s.serve(chosen, queue[0])
		}
	})
}

func (s *Simulation) serviceTime(chosen int) time.Duration {
	endpoint := &s.Endpoints[chosen]
	// The mean of this distribution is the load's mean work.
	work := float64(s.load.MeanWork) * math.Exp(workSigma*s.random.NormFloat64()-workSigma*workSigma/2)
	if endpoint.SlowFactor > 0 && s.Now >= endpoint.SlowFrom {
		work *= endpoint.SlowFactor
	}
	if s.Now < endpoint.ColdFor && endpoint.ColdFactor > 0 {
		work *= endpoint.ColdFactor
	}
	return time.Duration(work)
}

func (s *Simulation) recordLatency(took time.Duration) {
	s.latencies = append(s.latencies, took)
	if took <= s.load.Objective {
		s.result.WithinObjective++
	} else {
		s.result.Late++
	}
}
