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
	Place(world *Simulation, flow uint64, zone string) (endpoint int, ok bool)
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
	// networkDelay is the way from a caller to an endpoint and back.
	networkDelay = 4 * time.Millisecond
	// retryDelay is how long a caller waits before it tries again.
	retryDelay = 20 * time.Millisecond
	// workSpread is the standard deviation of the logarithm of the work.
	workSpread = 0.5
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

	load    Load
	random  *rand.Rand
	events  eventHeap
	waiting [][]*request
	// held are the requests that each endpoint has not answered.
	held   []map[*request]bool
	result Result
	times  []time.Duration
}

type request struct {
	key   uint64
	zone  string
	asked time.Duration
	// taken is when an endpoint got it.
	taken  time.Duration
	tries  int
	isDone bool
}

type event struct {
	at   time.Duration
	turn int
	do   func()
}

type eventHeap struct {
	events []event
	turns  int
}

// Len, Less, Swap, Push and Pop make a heap by time and order of scheduling.
func (h *eventHeap) Len() int { return len(h.events) }

// Less orders events.
func (h *eventHeap) Less(a, b int) bool {
	if h.events[a].at != h.events[b].at {
		return h.events[a].at < h.events[b].at
	}
	return h.events[a].turn < h.events[b].turn
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

func (w *Simulation) after(delay time.Duration, do func()) {
	w.events.turns++
	heap.Push(&w.events, event{at: w.Now + delay, turn: w.events.turns, do: do})
}

// Run plays a load and returns what callers got. The same seed gives the same run.
func Run(endpoints []Endpoint, load Load, placer Placer, seed uint64) Result {
	w := &Simulation{
		Endpoints: endpoints, InFlight: make([]int, len(endpoints)), load: load,
		ResponseTimes: make([]flow.ResponseTime, len(endpoints)), FailureRates: make([]flow.FailureRate, len(endpoints)), held: make([]map[*request]bool, len(endpoints)),
		random: rand.New(rand.NewPCG(seed, 17)), waiting: make([][]*request, len(endpoints)),
	}
	for range load.InitialRequests {
		w.ask(placer)
	}
	w.scheduleNext(placer)
	for len(w.events.events) > 0 {
		next := heap.Pop(&w.events).(event)
		w.Now = next.at
		next.do()
	}
	return w.finish()
}

func (w *Simulation) isBurst() bool {
	return w.load.BurstFactor > 0 && w.Now >= w.load.BurstFrom && w.Now < w.load.BurstTo
}

// callerZone draws the zone of a request.
func (w *Simulation) callerZone() string {
	excess := 1 - 1/max(w.load.BurstFactor, 1)
	if w.load.BurstZone != "" && w.isBurst() && w.random.Float64() < excess {
		return w.load.BurstZone
	}
	return w.Endpoints[w.random.IntN(len(w.Endpoints))].Zone
}

func (w *Simulation) scheduleNext(placer Placer) {
	rate := w.load.RequestsPerSecond
	if w.isBurst() {
		rate *= w.load.BurstFactor
	}
	if rate <= 0 || w.Now >= w.load.Duration {
		return
	}
	w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() {
		w.ask(placer)
		w.scheduleNext(placer)
	})
}

func (w *Simulation) ask(placer Placer) {
	r := &request{asked: w.Now, zone: w.callerZone()}
	w.result.Requests++
	w.after(w.load.Deadline, func() {
		if !r.isDone {
			r.isDone = true
			w.result.Failed++
		}
	})
	w.try(placer, r)
}

// try opens a flow for a request.
func (w *Simulation) try(placer Placer, r *request) {
	if r.isDone {
		return
	}
	r.key = w.random.Uint64()
	chosen, ok := placer.Place(w, r.key, r.zone)
	if ok && w.InFlight[chosen] < w.Endpoints[chosen].Slots+w.Endpoints[chosen].Queue {
		w.accept(chosen, r)
		return
	}
	w.result.RefusedAttempts++
	r.tries++
	if r.tries > w.load.Retries {
		r.isDone = true
		w.result.Failed++
		return
	}
	w.after(retryDelay, func() { w.try(placer, r) })
}

// LongestWait returns how long an endpoint has had the request that it has had longest.
func (w *Simulation) LongestWait(endpoint int) time.Duration {
	longest := time.Duration(0)
	for r := range w.held[endpoint] {
		longest = max(longest, w.Now-r.taken)
	}
	return longest
}

func (w *Simulation) accept(chosen int, r *request) {
	endpoint := &w.Endpoints[chosen]
	isFailed := endpoint.FailureShare > 0 && w.Now >= endpoint.FailuresFrom && w.random.Float64() < endpoint.FailureShare
	w.FailureRates[chosen].Observe(w.Now, isFailed)
	if isFailed {
		// Requests that may run once only are not tried again after a reset.
		r.isDone = true
		w.result.Failed++
		return
	}
	if w.held[chosen] == nil {
		w.held[chosen] = make(map[*request]bool)
	}
	r.taken = w.Now
	w.held[chosen][r] = true
	w.InFlight[chosen]++
	if w.InFlight[chosen] <= w.Endpoints[chosen].Slots {
		w.work(chosen, r)
		return
	}
	w.waiting[chosen] = append(w.waiting[chosen], r)
}

func (w *Simulation) work(chosen int, r *request) {
	w.after(w.workTime(chosen), func() {
		w.InFlight[chosen]--
		delete(w.held[chosen], r)
		w.ResponseTimes[chosen].Observe(w.Now, w.Now-r.taken)
		if !r.isDone {
			r.isDone = true
			w.answered(w.Now - r.asked + networkDelay)
		}
		if queue := w.waiting[chosen]; len(queue) > 0 {
			w.waiting[chosen] = queue[1:]
			w.work(chosen, queue[0])
		}
	})
}

func (w *Simulation) workTime(chosen int) time.Duration {
	endpoint := &w.Endpoints[chosen]
	// The mean of this distribution is the load's mean work.
	work := float64(w.load.MeanWork) * math.Exp(workSpread*w.random.NormFloat64()-workSpread*workSpread/2)
	if endpoint.SlowFactor > 0 && w.Now >= endpoint.SlowFrom {
		work *= endpoint.SlowFactor
	}
	if w.Now < endpoint.ColdFor && endpoint.ColdFactor > 0 {
		work *= endpoint.ColdFactor
	}
	return time.Duration(work)
}

func (w *Simulation) answered(took time.Duration) {
	w.times = append(w.times, took)
	if took <= w.load.Objective {
		w.result.WithinObjective++
	} else {
		w.result.Late++
	}
}
