package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func warmEndpoint() *Endpoint {
	return &Endpoint{ID: "e", Service: "orders", Slots: 5}
}

func TestGateNamesWhyAFlowIsNotTaken(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name     string
		endpoint func(*Endpoint) *Endpoint
		request  func(*Request)
		now      time.Duration
		want     Reason
	}{
		{name: "ready", want: Accepted},
		{name: "no announcement", endpoint: func(*Endpoint) *Endpoint { return nil }, want: RefusedUnknown},
		{name: "silent", now: 2 * time.Second, want: RefusedSilent},
		{name: "draining", endpoint: func(e *Endpoint) *Endpoint { e.IsDraining = true; return e }, want: RefusedDraining},
		{name: "agent leaves", request: func(r *Request) { r.IsLeaving = true }, want: RefusedLeaving},
		{name: "other service", request: func(r *Request) { r.IsRouteAllowed = false }, want: RefusedRouteNotAllowed},
		{name: "zone out", request: func(r *Request) { r.IsZoneOut = true }, want: RefusedZoneOut},
		{name: "busy with others left", request: func(r *Request) { r.InFlight, r.CandidatesLeft = 5, 2 }, want: RefusedBusy},
		{name: "busy with one left", request: func(r *Request) { r.InFlight, r.CandidatesLeft = 14, 1 }, want: Accepted},
		{name: "a queue with one left", request: func(r *Request) { r.InFlight, r.CandidatesLeft = 15, 1 }, want: RefusedBusy},
		{name: "a queue and last", request: func(r *Request) { r.InFlight = 24 }, want: Accepted},
		{name: "full and last", request: func(r *Request) { r.InFlight = 25 }, want: RefusedBusy},
		{name: "as many flows as it may hold", request: func(r *Request) { r.IsFull = true }, want: RefusedFull},
		{name: "slow with others left", request: func(r *Request) { r.ResponseTime, r.Objective, r.CandidatesLeft = 80*ms, 150*ms, 1 }, want: RefusedSlow},
		{name: "slow and last", request: func(r *Request) { r.ResponseTime, r.Objective = 80*ms, 150*ms }, want: Accepted},
		{name: "fast", request: func(r *Request) { r.ResponseTime, r.Objective, r.CandidatesLeft = 30*ms, 150*ms, 3 }, want: Accepted},
		{name: "fast, but much in flight", request: func(r *Request) { r.ResponseTime, r.Objective, r.InFlight, r.CandidatesLeft = 45*ms, 150*ms, 4, 3 }, want: RefusedSlow},
		{name: "silent, with others left", request: func(r *Request) { r.LongestWait, r.Objective, r.CandidatesLeft = 160*ms, 150*ms, 3 }, want: RefusedSlow},
		{name: "failing with others left", request: func(r *Request) { r.FailureRate, r.CandidatesLeft = 0.3, 1 }, want: RefusedFailing},
		{name: "failing and last", request: func(r *Request) { r.FailureRate = 0.3 }, want: Accepted},
		{name: "failed once", request: func(r *Request) { r.FailureRate, r.CandidatesLeft = sampleWeight, 1 }, want: Accepted},
		{name: "slow without an objective", request: func(r *Request) { r.ResponseTime, r.CandidatesLeft = time.Second, 3 }, want: Accepted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			endpoint, request := warmEndpoint(), Request{IsRouteAllowed: true}
			if c.endpoint != nil {
				endpoint = c.endpoint(endpoint)
			}
			if c.request != nil {
				c.request(&request)
			}
			gate := Gate{SilenceTimeout: time.Second, ColdFactor: 1.5, ColdSlack: 5}
			NewWithT(t).Expect(gate.Decide(c.now, endpoint, 0, request)).To(Equal(c.want))
		})
	}
}

// In any second a cold endpoint gets no more than its allowance, wherever the
// second begins.
func TestGateKeepsTheColdAllowanceInEverySecond(t *testing.T) {
	g := NewWithT(t)
	gate := Gate{SilenceTimeout: time.Hour, ColdFactor: 1.5, ColdSlack: 5}
	endpoint := warmEndpoint()
	endpoint.ColdUntil = time.Minute
	var taken []time.Duration
	for now := time.Duration(0); now < 10*time.Second; now += 7 * time.Millisecond {
		if gate.Decide(now, endpoint, 4, Request{IsRouteAllowed: true}) == Accepted {
			taken = append(taken, now)
		}
	}
	const allowance = 4*1.5 + 5
	for i, from := range taken {
		count := 0
		for _, at := range taken[i:] {
			if at-from < time.Second {
				count++
			}
		}
		g.Expect(count).To(BeNumerically("<=", allowance))
	}
	g.Expect(len(taken)).To(BeNumerically(">", 50), "the allowance is used")
}

// After a loss of power every endpoint is cold at once. A service that states
// no allowance must not be cut down to the slack of some requests a second.
func TestGateDoesNotThrottleColdEndpointsWithoutAnAllowance(t *testing.T) {
	g := NewWithT(t)
	gate := Gate{SilenceTimeout: time.Hour, ColdFactor: 1.5, ColdSlack: 5}
	endpoint := warmEndpoint()
	endpoint.ColdUntil = time.Minute
	for now := time.Duration(0); now < time.Second; now += 25 * time.Millisecond {
		g.Expect(gate.Decide(now, endpoint, 0, Request{IsRouteAllowed: true})).To(Equal(Accepted))
	}
}

// An agent that takes an older endpoint for a younger one resets its open flows.
func TestEndpointIsYoungerOnlyWhenItIsCertain(t *testing.T) {
	const wall = 1_800_000_000_000
	cases := []struct {
		name   string
		born   int64
		uptime time.Duration
		want   bool
	}{
		{"started after the agent", wall - 300, time.Second, true},
		{"started before the agent", wall - 1300, time.Second, false},
		{"started with the agent", wall - 1000, time.Second, true},
		{"the clock went back since it started", wall + 1400, time.Second, false},
		{"the clock went ahead since it started", wall - 2700, time.Second, false},
		{"does not say when it started", 0, time.Hour, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect((&Endpoint{StartedAt: c.born}).StartedWithin(wall, c.uptime)).To(Equal(c.want))
		})
	}
}
