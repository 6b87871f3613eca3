package flow

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The load of TestColdEndpointSurvivesLongFlows: callers with one long flow each, on
// which they send a request once a second on average. All of them connect at once to
// an endpoint that has just started.
const (
	coldCallers   = 60
	coldPeriod    = time.Second
	coldLength    = 6 * time.Second
	coldCapacity  = 12.0
	coldFactor    = 1.5
	coldSlack     = 5
	coldEnd       = 30 * time.Second
	coldDown      = time.Second
	coldAnswer    = 5 * time.Millisecond
	coldStep      = time.Millisecond
	coldHeartbeat = time.Second
)

// coldSimulation simulates an endpoint that crashes if it receives more requests than
// it can handle while it is cold, the decisions of its agent, and callers.
type coldSimulation struct {
	gate     Gate
	table    *Table
	endpoint *Endpoint
	// countsOpenFlows is set if the gate takes the requests on open flows into
	// account.
	countsOpenFlows bool

	now, upAt       time.Duration
	requestTimes    []time.Duration
	open            [coldCallers]bool
	crashes, served int
	servedAtEnd     int
}

func (s *coldSimulation) key(caller int) Key {
	address := netip.AddrFrom4([4]byte{100, 64, 0, byte(caller)})
	return Key{Caller: netip.AddrPortFrom(address, 1000), Dialed: dialed}
}

// request sends the endpoint a request. The endpoint crashes if that exceeds its
// capacity.
func (s *coldSimulation) request() {
	s.requestTimes = append(s.requestTimes, s.now)
	recent := 0
	for _, at := range s.requestTimes {
		if s.now-at < time.Second {
			recent++
		}
	}
	if s.now < s.endpoint.ColdUntil && float64(recent) > coldCapacity*coldFactor+coldSlack {
		s.crashes++
		s.upAt = s.now + coldDown
		s.table.Clear()
		s.open = [coldCallers]bool{}
		return
	}
	s.served++
	if s.now > coldEnd-time.Second {
		s.servedAtEnd++
	}
}

func (s *coldSimulation) sendRequest(caller int) {
	key := s.key(caller)
	if s.now < s.upAt {
		return
	}
	if !s.open[caller] {
		request := AdmissionRequest{IsRouteAllowed: true, InFlight: s.table.InFlight()}
		if s.countsOpenFlows {
			request.RecentRequests = s.table.RecentRequests(s.now)
		}
		if s.gate.Decide(s.now, s.endpoint, coldCapacity, request) != Accepted {
			return
		}
		s.open[caller] = true
		s.table.Offer(s.now, key)
		s.table.HandleEndpointPacket(s.now, &Header{Source: key.Dialed, Destination: key.Caller, IsSYN: true, IsACK: true})
	}
	s.table.HandleCallerPacket(s.now, &Header{Source: key.Caller, Destination: key.Dialed, IsACK: true, Ack: 1, Length: 10})
	s.table.HandleEndpointPacket(s.now+coldAnswer, &Header{Source: key.Dialed, Destination: key.Caller, IsACK: true, Seq: 1, Length: 10})
	s.request()
}

func (s *coldSimulation) run(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 5))
	s.gate = Gate{SilenceTimeout: time.Minute, ColdFactor: coldFactor, ColdSlack: coldSlack}
	s.table = NewTable()
	var next [coldCallers]time.Duration
	for i := range next {
		next[i] = time.Duration(random.Int64N(int64(coldPeriod)))
	}
	s.endpoint = &Endpoint{Slots: 50, ColdUntil: coldLength}
	for ; s.now < coldEnd; s.now += coldStep {
		if s.upAt > 0 && s.now == s.upAt {
			s.endpoint = &Endpoint{Slots: 50, ColdUntil: s.now + coldLength}
		}
		s.endpoint.LastSeen = s.now - s.now%coldHeartbeat
		for i := range next {
			if s.now >= next[i] {
				s.sendRequest(i)
				next[i] += coldPeriod/2 + time.Duration(random.Int64N(int64(coldPeriod)))
			}
		}
	}
}

// The capacity of a cold endpoint is a number of requests per second, including those
// on open flows. A limit on new flows alone would let long flows accumulate until the
// endpoint crashes, and again after each restart.
func TestColdEndpointSurvivesLongFlows(t *testing.T) {
	for seed := range uint64(10) {
		g := NewWithT(t)
		bounded, newFlowsOnly := &coldSimulation{countsOpenFlows: true}, &coldSimulation{}
		bounded.run(seed)
		newFlowsOnly.run(seed)
		t.Logf("seed %d: %d crashes, %d served, %d in the last second; with a limit on new flows alone %d, %d, %d",
			seed, bounded.crashes, bounded.served, bounded.servedAtEnd, newFlowsOnly.crashes, newFlowsOnly.served, newFlowsOnly.servedAtEnd)
		g.Expect(bounded.crashes).To(BeZero())
		g.Expect(bounded.servedAtEnd).To(BeNumerically(">", coldCallers/2), "the endpoint is warm and all callers have returned")
		g.Expect(newFlowsOnly.crashes).To(BeNumerically(">", 1))
		g.Expect(bounded.served).To(BeNumerically(">", newFlowsOnly.served))
	}
}
