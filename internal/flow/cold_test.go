package flow

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The load of TestLongFlowsDoNotOverrunAColdEndpoint: callers with one long flow
// each, on which they ask once a second, all of whom come at once to an endpoint that
// has just started.
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

// coldSimulation is an endpoint that falls over when it is given more than it bears while
// it is cold, its agent's decisions, and callers.
type coldSimulation struct {
	gate     Gate
	table    *Table
	endpoint *Endpoint
	// countsOpenFlows: the gate is told of the requests on open flows.
	countsOpenFlows bool

	now, upAt       time.Duration
	requestTimes    []time.Duration
	open            [coldCallers]bool
	crashes, served int
	servedAtEnd     int
}

func (w *coldSimulation) key(caller int) Key {
	address := netip.AddrFrom4([4]byte{100, 64, 0, byte(caller)})
	return Key{Caller: netip.AddrPortFrom(address, 1000), Dialed: dialed}
}

// request gives the endpoint a request; it falls over when that is too much.
func (w *coldSimulation) request() {
	w.requestTimes = append(w.requestTimes, w.now)
	recent := 0
	for _, at := range w.requestTimes {
		if w.now-at < time.Second {
			recent++
		}
	}
	if w.now < w.endpoint.ColdUntil && float64(recent) > coldCapacity*coldFactor+coldSlack {
		w.crashes++
		w.upAt = w.now + coldDown
		w.table.Clear()
		w.open = [coldCallers]bool{}
		return
	}
	w.served++
	if w.now > coldEnd-time.Second {
		w.servedAtEnd++
	}
}

func (w *coldSimulation) sendRequest(caller int) {
	key := w.key(caller)
	if w.now < w.upAt {
		return
	}
	if !w.open[caller] {
		request := Request{IsRouteAllowed: true, InFlight: w.table.InFlight()}
		if w.countsOpenFlows {
			request.RecentRequests = w.table.RecentRequests(w.now)
		}
		if w.gate.Decide(w.now, w.endpoint, coldCapacity, request) != Accepted {
			return
		}
		w.open[caller] = true
		w.table.Offer(w.now, key)
		w.table.HandleEndpointPacket(w.now, &Header{Source: key.Dialed, Destination: key.Caller, IsSYN: true, IsACK: true})
	}
	w.table.HandleCallerPacket(w.now, &Header{Source: key.Caller, Destination: key.Dialed, IsACK: true, Ack: 1, Length: 10})
	w.table.HandleEndpointPacket(w.now+coldAnswer, &Header{Source: key.Dialed, Destination: key.Caller, IsACK: true, Seq: 1, Length: 10})
	w.request()
}

func (w *coldSimulation) run(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 5))
	w.gate = Gate{SilenceTimeout: time.Minute, ColdFactor: coldFactor, ColdSlack: coldSlack}
	w.table = NewTable()
	var next [coldCallers]time.Duration
	for i := range next {
		next[i] = time.Duration(random.Int64N(int64(coldPeriod)))
	}
	w.endpoint = &Endpoint{Slots: 50, ColdUntil: coldLength}
	for ; w.now < coldEnd; w.now += coldStep {
		if w.upAt > 0 && w.now == w.upAt {
			w.endpoint = &Endpoint{Slots: 50, ColdUntil: w.now + coldLength}
		}
		w.endpoint.LastSeen = w.now - w.now%coldHeartbeat
		for i := range next {
			if w.now >= next[i] {
				w.sendRequest(i)
				next[i] += coldPeriod/2 + time.Duration(random.Int64N(int64(coldPeriod)))
			}
		}
	}
}

// A cold endpoint bears so many requests a second, those on open flows included. An
// allowance of new flows alone lets long flows pile up until the endpoint falls over,
// again after each restart.
func TestLongFlowsDoNotOverrunAColdEndpoint(t *testing.T) {
	for seed := range uint64(10) {
		g := NewWithT(t)
		own, naive := &coldSimulation{countsOpenFlows: true}, &coldSimulation{}
		own.run(seed)
		naive.run(seed)
		t.Logf("seed %d: fell over %d times, %d served, %d in the last second; by new flows alone %d, %d, %d",
			seed, own.crashes, own.served, own.servedAtEnd, naive.crashes, naive.served, naive.servedAtEnd)
		g.Expect(own.crashes).To(BeZero())
		g.Expect(own.servedAtEnd).To(BeNumerically(">", coldCallers/2), "warm, and all callers back")
		g.Expect(naive.crashes).To(BeNumerically(">", 1))
		g.Expect(own.served).To(BeNumerically(">", naive.served))
	}
}
