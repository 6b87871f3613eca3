// Package emulate simulates loads on a model of endpoints in virtual time and
// reports the results that callers get with each strategy of placing new flows.
// It compares the decisions of package flow with simpler strategies. It opens no
// sockets.
package emulate

import (
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasturn.example/internal/flow"
)

// Endpoint is one endpoint of the model.
type Endpoint struct {
	Zone  string
	Slots int
	// Queue is the number of requests that may wait at the endpoint; it refuses
	// flows beyond them.
	Queue int
	// SlowFactor multiplies the duration of work from SlowFrom until SlowUntil; 0 means 1. A
	// SlowUntil of 0 means the end of the run.
	SlowFactor          float64
	SlowFrom, SlowUntil time.Duration
	// FailureShare is the share of requests, from 0 to 1, that the endpoint resets
	// from FailuresFrom on.
	FailureShare float64
	FailuresFrom time.Duration
	// ColdFor is how long the endpoint is cold from the start of the run, or from RestartsAt
	// if that is set. ColdFactor multiplies the duration of work during that time; 0 means 1.
	ColdFor    time.Duration
	RestartsAt time.Duration
	ColdFactor float64
}

// Load describes the requests of the callers.
type Load struct {
	Duration time.Duration
	// RequestsPerSecond is the rate of requests. Between BurstFrom and BurstTo it is
	// multiplied by BurstFactor; 0 means no burst.
	RequestsPerSecond  float64
	BurstFactor        float64
	BurstFrom, BurstTo time.Duration
	// BurstZone is the zone from which the additional requests of the burst come;
	// empty for all zones.
	BurstZone string
	// ZoneRates, if not nil, returns the share of RequestsPerSecond that comes from each zone
	// at a time. The shares must not sum up to more than 1.
	ZoneRates func(at time.Duration) map[string]float64
	// InitialRequests is the number of requests that arrive at the start of the run,
	// as after an outage.
	InitialRequests int
	// MeanWork is the mean duration of the work for a request.
	MeanWork time.Duration
	// LongShare is the share of requests, from 0 to 1, that need LongFactor times as long as
	// the others. They are part of the mean.
	LongShare, LongFactor float64
	// WorkSigma is the standard deviation of the logarithm of the work, without that between
	// long requests and others; 0 means workSigma.
	WorkSigma float64
	// Objective is the latency objective of the callers. Deadline is the time after
	// which a request fails.
	Objective, Deadline time.Duration
	// Retries is how often a caller retries after a refusal.
	Retries int
}

// Placer chooses the endpoint of a new flow.
type Placer interface {
	// Place returns the endpoint for a flow from a zone, or false to refuse it.
	Place(s *Simulation, flow uint64, zone string) (endpoint int, ok bool)
}

// Dropper is a Placer that does not answer some of the flows that it refuses. Their
// callers send the flow's first packet again.
type Dropper interface {
	// DropsRefused reports whether the flow that Place has just refused is not answered.
	DropsRefused() bool
}

// Result counts the requests of a run by their outcome.
type Result struct {
	Requests, WithinObjective, Late, Failed int
	// RefusedAttempts counts refused attempts, including those of requests that
	// succeeded later.
	RefusedAttempts int
	P50, P99        time.Duration
	// Zones are the results by the callers' zone.
	Zones map[string]*ZoneResult
}

// ZoneResult counts the requests of a zone's callers. Left are those that endpoints of other
// zones have accepted.
type ZoneResult struct {
	Requests, WithinObjective, Left int
}

// share returns part/whole; 0 if whole is 0.
func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

const (
	// networkRoundTrip is the network delay from a caller to an endpoint and back.
	networkRoundTrip = 4 * time.Millisecond
	// retryDelay is how long a caller waits before it retries.
	retryDelay = 20 * time.Millisecond
	// workSigma is the standard deviation of the logarithm of the work.
	workSigma = 0.5
)

// Simulation is the state of a run. Placers read its exported fields.
type Simulation struct {
	Now       time.Duration
	Endpoints []Endpoint
	// InFlight is the number of requests at each endpoint, in work and queued.
	InFlight []int
	// ResponseTimes are the moving averages of each endpoint's response time.
	ResponseTimes []flow.ResponseTime
	// FailureRates are the moving averages of the share of requests that each
	// endpoint has reset.
	FailureRates []flow.FailureRate
	// ServiceTimes are the measurements of each endpoint's service time.
	ServiceTimes []flow.ServiceTime

	load   Load
	random *rand.Rand
	events eventHeap
	queues [][]*request
	// pending are the requests that each endpoint has accepted and not finished.
	pending []map[*request]bool
	// answeredAt is when each endpoint last answered a request.
	answeredAt []time.Duration
	result     Result
	latencies  []time.Duration
}

type request struct {
	key       uint64
	zone      string
	createdAt time.Duration
	// acceptedAt is when an endpoint accepted the request.
	acceptedAt time.Duration
	// isMeasured is set if the request found a free slot at a warm endpoint.
	isMeasured bool
	attempts   int
	// transmissions counts those of the first packet in the current attempt.
	transmissions int
	isDone        bool
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

// Len returns the number of events. The methods implement heap.Interface, ordered
// by time and then by order of scheduling.
func (h *eventHeap) Len() int { return len(h.events) }

// Less reports whether event a is due before event b.
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

func (s *Simulation) schedule(delay time.Duration, run func()) {
	s.events.lastSequence++
	heap.Push(&s.events, event{at: s.Now + delay, sequence: s.events.lastSequence, run: run})
}

// Run simulates a load and returns its result. Runs with the same seed are
// identical.
func Run(endpoints []Endpoint, load Load, placer Placer, seed uint64) Result {
	s := &Simulation{
		Endpoints: endpoints, InFlight: make([]int, len(endpoints)), load: load,
		ResponseTimes: make([]flow.ResponseTime, len(endpoints)), FailureRates: make([]flow.FailureRate, len(endpoints)), pending: make([]map[*request]bool, len(endpoints)),
		ServiceTimes: make([]flow.ServiceTime, len(endpoints)), answeredAt: make([]time.Duration, len(endpoints)),
		random: rand.New(rand.NewPCG(seed, 17)), queues: make([][]*request, len(endpoints)),
	}
	for range load.InitialRequests {
		s.newRequest(placer)
	}
	s.scheduleArrival(placer)
	s.scheduleRestarts()
	for len(s.events.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.Now = next.at
		next.run()
	}
	return s.finish()
}

// scheduleRestarts drops the measurement of an endpoint that restarts, as its agent does.
func (s *Simulation) scheduleRestarts() {
	for i, endpoint := range s.Endpoints {
		if endpoint.RestartsAt == 0 {
			continue
		}
		s.schedule(endpoint.RestartsAt, func() {
			s.ServiceTimes[i] = flow.ServiceTime{}
			for r := range s.pending[i] {
				r.isMeasured = false
			}
		})
	}
}

func (e *Endpoint) isCold(now time.Duration) bool {
	return now >= e.RestartsAt && now < e.RestartsAt+e.ColdFor
}

func (e *Endpoint) isSlow(now time.Duration) bool {
	return e.SlowFactor > 0 && now >= e.SlowFrom && (e.SlowUntil == 0 || now < e.SlowUntil)
}

func (s *Simulation) isBurst() bool {
	return s.load.BurstFactor > 0 && s.Now >= s.load.BurstFrom && s.Now < s.load.BurstTo
}

// callerZone draws the zone of a request at random.
func (s *Simulation) callerZone() string {
	if s.load.ZoneRates != nil {
		return s.drawZone(s.load.ZoneRates(s.Now))
	}
	excess := 1 - 1/max(s.load.BurstFactor, 1)
	if s.load.BurstZone != "" && s.isBurst() && s.random.Float64() < excess {
		return s.load.BurstZone
	}
	return s.Endpoints[s.random.IntN(len(s.Endpoints))].Zone
}

// drawZone draws a zone by its share, or returns the empty name for the rest.
func (s *Simulation) drawZone(shares map[string]float64) string {
	at := s.random.Float64()
	for _, zone := range slices.Sorted(maps.Keys(shares)) {
		if at < shares[zone] {
			return zone
		}
		at -= shares[zone]
	}
	return ""
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
	if r.zone == "" {
		return
	}
	s.result.Requests++
	s.zoneResult(r.zone).Requests++
	s.schedule(s.load.Deadline, func() {
		if !r.isDone {
			r.isDone = true
			s.result.Failed++
		}
	})
	s.attempt(placer, r)
}

func (s *Simulation) zoneResult(zone string) *ZoneResult {
	if s.result.Zones == nil {
		s.result.Zones = make(map[string]*ZoneResult)
	}
	if s.result.Zones[zone] == nil {
		s.result.Zones[zone] = new(ZoneResult)
	}
	return s.result.Zones[zone]
}

// transmissionIntervals are the times from each transmission of a flow's first packet to
// the next one, or to the end of the attempt.
var transmissionIntervals = [...]time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// attempt places a new flow for a request.
func (s *Simulation) attempt(placer Placer, r *request) {
	r.key, r.transmissions = s.random.Uint64(), 0
	s.transmit(placer, r)
}

// transmit places a flow. If it is refused, it schedules a retry or, if the caller is not
// told, the next transmission.
func (s *Simulation) transmit(placer Placer, r *request) {
	if r.isDone {
		return
	}
	chosen, ok := placer.Place(s, r.key, r.zone)
	if ok && s.InFlight[chosen] < s.Endpoints[chosen].Slots+s.Endpoints[chosen].Queue {
		s.accept(chosen, r)
		return
	}
	if dropper, ok := placer.(Dropper); ok && dropper.DropsRefused() && r.transmissions < len(transmissionIntervals) {
		r.transmissions++
		s.schedule(transmissionIntervals[r.transmissions-1], func() { s.transmit(placer, r) })
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

// SinceAnswer returns the time since an endpoint last answered a request.
func (s *Simulation) SinceAnswer(endpoint int) time.Duration { return s.Now - s.answeredAt[endpoint] }

// LongestWait returns the age of the oldest pending request of an endpoint.
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
		// Requests that may run only once are not retried after a reset.
		r.isDone = true
		s.result.Failed++
		return
	}
	if s.pending[chosen] == nil {
		s.pending[chosen] = make(map[*request]bool)
	}
	r.acceptedAt = s.Now
	if endpoint.Zone != r.zone {
		s.zoneResult(r.zone).Left++
	}
	s.pending[chosen][r] = true
	s.InFlight[chosen]++
	r.isMeasured = false
	if s.InFlight[chosen] <= s.Endpoints[chosen].Slots {
		r.isMeasured = !endpoint.isCold(s.Now)
		s.serve(chosen, r)
		return
	}
	s.queues[chosen] = append(s.queues[chosen], r)
}

func (s *Simulation) serve(chosen int, r *request) {
	s.schedule(s.serviceTime(chosen), func() {
		s.InFlight[chosen]--
		delete(s.pending[chosen], r)
		s.answeredAt[chosen] = s.Now
		s.ResponseTimes[chosen].Observe(s.Now, s.Now-r.acceptedAt)
		if r.isMeasured {
			s.ServiceTimes[chosen].Observe(s.Now - r.acceptedAt)
		}
		if !r.isDone {
			r.isDone = true
			s.recordLatency(r.zone, s.Now-r.createdAt+networkRoundTrip)
		}
		if queue := s.queues[chosen]; len(queue) > 0 {
			s.queues[chosen] = queue[1:]
			s.serve(chosen, queue[0])
		}
	})
}

func (s *Simulation) serviceTime(chosen int) time.Duration {
	endpoint := &s.Endpoints[chosen]
	work := s.drawWork()
	if endpoint.isSlow(s.Now) {
		work *= endpoint.SlowFactor
	}
	if endpoint.isCold(s.Now) && endpoint.ColdFactor > 0 {
		work *= endpoint.ColdFactor
	}
	return time.Duration(work)
}

// drawWork returns the work of a request in nanoseconds at the normal speed. Its mean is MeanWork.
func (s *Simulation) drawWork() float64 {
	sigma := s.load.WorkSigma
	if sigma == 0 {
		sigma = workSigma
	}
	work := float64(s.load.MeanWork) * math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2)
	if s.load.LongShare == 0 {
		return work
	}
	work /= 1 + s.load.LongShare*(s.load.LongFactor-1)
	if s.random.Float64() < s.load.LongShare {
		work *= s.load.LongFactor
	}
	return work
}

func (s *Simulation) recordLatency(zone string, latency time.Duration) {
	s.latencies = append(s.latencies, latency)
	if latency <= s.load.Objective {
		s.result.WithinObjective++
		s.zoneResult(zone).WithinObjective++
	} else {
		s.result.Late++
	}
}
