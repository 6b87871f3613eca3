package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func warmEndpoint() *Endpoint {
	return &Endpoint{ID: "e", Service: "orders", Slots: 5}
}

func TestGateReasons(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name     string
		endpoint func(*Endpoint) *Endpoint
		request  func(*AdmissionRequest)
		now      time.Duration
		want     Reason
	}{
		{name: "ready", want: Accepted},
		{name: "no announcement", endpoint: func(*Endpoint) *Endpoint { return nil }, want: RefusedUnknown},
		{name: "silent", now: 2 * time.Second, want: RefusedSilent},
		{name: "draining", endpoint: func(e *Endpoint) *Endpoint { e.IsDraining = true; return e }, want: RefusedDraining},
		{name: "agent leaving", request: func(r *AdmissionRequest) { r.IsLeaving = true }, want: RefusedLeaving},
		{name: "route not allowed", request: func(r *AdmissionRequest) { r.IsRouteAllowed = false }, want: RefusedRouteNotAllowed},
		{name: "zone out", request: func(r *AdmissionRequest) { r.IsZoneOut = true }, want: RefusedZoneOut},
		{name: "all slots busy, two candidates left", request: func(r *AdmissionRequest) { r.InFlight, r.CandidatesLeft = 5, 2 }, want: RefusedBusy},
		{name: "short queue, one candidate left", request: func(r *AdmissionRequest) { r.InFlight, r.CandidatesLeft = 14, 1 }, want: Accepted},
		{name: "longer queue, one candidate left", request: func(r *AdmissionRequest) { r.InFlight, r.CandidatesLeft = 15, 1 }, want: RefusedBusy},
		{name: "full-length queue, last candidate", request: func(r *AdmissionRequest) { r.InFlight = 24 }, want: Accepted},
		{name: "queue exceeded, last candidate", request: func(r *AdmissionRequest) { r.InFlight = 25 }, want: RefusedBusy},
		{name: "maximum number of flows", request: func(r *AdmissionRequest) { r.IsFull = true }, want: RefusedFull},
		{name: "slow, one candidate left", request: func(r *AdmissionRequest) { r.ResponseTime, r.Objective, r.CandidatesLeft = 80*ms, 150*ms, 1 }, want: RefusedSlow},
		{name: "slow, last candidate", request: func(r *AdmissionRequest) { r.ResponseTime, r.Objective = 80*ms, 150*ms }, want: Accepted},
		{name: "fast", request: func(r *AdmissionRequest) { r.ResponseTime, r.Objective, r.CandidatesLeft = 30*ms, 150*ms, 3 }, want: Accepted},
		{name: "fast, but many requests in flight", request: func(r *AdmissionRequest) {
			r.ResponseTime, r.Objective, r.InFlight, r.CandidatesLeft = 45*ms, 150*ms, 4, 3
		}, want: RefusedSlow},
		{name: "no answer for long, candidates left", request: func(r *AdmissionRequest) { r.LongestWait, r.Objective, r.CandidatesLeft = 160*ms, 150*ms, 3 }, want: RefusedSlow},
		{name: "failing, one candidate left", request: func(r *AdmissionRequest) { r.FailureRate, r.CandidatesLeft = 0.3, 1 }, want: RefusedFailing},
		{name: "failing, last candidate", request: func(r *AdmissionRequest) { r.FailureRate = 0.3 }, want: Accepted},
		{name: "a single failure", request: func(r *AdmissionRequest) { r.FailureRate, r.CandidatesLeft = sampleWeight, 1 }, want: Accepted},
		{name: "slow without an objective", request: func(r *AdmissionRequest) { r.ResponseTime, r.CandidatesLeft = time.Second, 3 }, want: Accepted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			endpoint, request := warmEndpoint(), AdmissionRequest{IsRouteAllowed: true}
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

// A cold endpoint receives no more than its limit in any second, wherever that second
// begins.
func TestGateEnforcesColdLimitInEverySecond(t *testing.T) {
	g := NewWithT(t)
	gate := Gate{SilenceTimeout: time.Hour, ColdFactor: 1.5, ColdSlack: 5}
	endpoint := warmEndpoint()
	endpoint.ColdUntil = time.Minute
	var accepted []time.Duration
	for now := time.Duration(0); now < 10*time.Second; now += 7 * time.Millisecond {
		if gate.Decide(now, endpoint, 4, AdmissionRequest{IsRouteAllowed: true}) == Accepted {
			accepted = append(accepted, now)
		}
	}
	const limit = 4*1.5 + 5
	for i, from := range accepted {
		count := 0
		for _, at := range accepted[i:] {
			if at-from < time.Second {
				count++
			}
		}
		g.Expect(count).To(BeNumerically("<=", limit))
	}
	g.Expect(len(accepted)).To(BeNumerically(">", 50), "the limit is reached")
}

// What is not known of a cold endpoint must not exceed its limit.
func TestGateAssumesTheWorstOfColdEndpoints(t *testing.T) {
	cases := []struct {
		name    string
		request AdmissionRequest
		isCold  bool
		rate    float64
		want    Reason
	}{
		{name: "cold, of which earlier requests are unknown", request: AdmissionRequest{IsHistoryUnknown: true}, isCold: true, rate: 20, want: RefusedCold},
		{name: "cold, without a stated rate", request: AdmissionRequest{IsHistoryUnknown: true}, isCold: true, want: Accepted},
		{name: "warm, of which earlier requests are unknown", request: AdmissionRequest{IsHistoryUnknown: true}, rate: 20, want: Accepted},
		{name: "may be cold, at the rate", request: AdmissionRequest{MayBeCold: true, RecentRequests: 20}, rate: 20, want: RefusedCold},
		{name: "may be cold, below the rate", request: AdmissionRequest{MayBeCold: true, RecentRequests: 19}, rate: 20, want: Accepted},
		{name: "may be cold, without a stated rate", request: AdmissionRequest{MayBeCold: true, RecentRequests: 1000}, want: Accepted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			gate := Gate{SilenceTimeout: time.Second, ColdFactor: 1.5, ColdSlack: 5}
			endpoint := warmEndpoint()
			if c.isCold {
				endpoint.ColdUntil = time.Minute
			}
			c.request.IsRouteAllowed = true
			NewWithT(t).Expect(gate.Decide(0, endpoint, c.rate, c.request)).To(Equal(c.want))
		})
	}
}

// After a power failure all endpoints are cold at once. If a service states no rate,
// its endpoints must not be limited to the slack of a few requests per second.
func TestGateDoesNotLimitColdEndpointsWithoutStatedRate(t *testing.T) {
	g := NewWithT(t)
	gate := Gate{SilenceTimeout: time.Hour, ColdFactor: 1.5, ColdSlack: 5}
	endpoint := warmEndpoint()
	endpoint.ColdUntil = time.Minute
	for now := time.Duration(0); now < time.Second; now += 25 * time.Millisecond {
		g.Expect(gate.Decide(now, endpoint, 0, AdmissionRequest{IsRouteAllowed: true})).To(Equal(Accepted))
	}
}
