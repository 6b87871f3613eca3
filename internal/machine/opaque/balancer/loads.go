package balancer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/routing"
	"sassafrasturn.example/internal/wire"
)

const (
	// loadRequestTimeout is how long an answer to a request for a load is awaited.
	loadRequestTimeout = time.Second
	// maxLoadRequests bounds the requests that await their answers.
	maxLoadRequests = 1024
	// loadSweepInterval is after what time old reports and requests are removed.
	loadSweepInterval = time.Second
)

// agentLoads holds the agents' reports of their load. Reports are received and used on different
// goroutines.
type agentLoads struct {
	mu      sync.Mutex
	reports *flow.Loads
	offered flow.RecentOffers
	// requests are those that await an answer, by sequence.
	requests     map[uint64]loadRequest
	lastSequence uint64
	sweptAt      time.Duration
	// handleRoundTrip, if set, is called without the lock with the time from a request to its
	// answer. It is set before the node runs.
	handleRoundTrip func(agent netip.AddrPort, roundTrip time.Duration)
	received        *prometheus.CounterVec
	leftOut         prometheus.Counter
}

type loadRequest struct {
	agent netip.AddrPort
	at    time.Duration
}

func newAgentLoads(registry *prometheus.Registry) *agentLoads {
	received := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sassafrasturn_load_reports_total", Help: "Reports of the load of agents' endpoints, by what became of them.",
	}, []string{"outcome"})
	leftOut := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "sassafrasturn_candidates_left_out_total", Help: "Candidates that new flows were not offered to, because the flow would have to wait there for too long.",
	})
	registry.MustRegister(received, leftOut)
	return &agentLoads{
		reports: flow.NewLoads(), requests: make(map[uint64]loadRequest), received: received, leftOut: leftOut,
		// Answers to requests of an earlier start of the process do not match.
		lastSequence: rand.Uint64(),
	}
}

// handleMessage handles a report of an agent. Messages of other kinds are ignored.
func (b *Balancer) handleMessage(kind opaque.Kind, data []byte, _ netip.AddrPort) {
	if kind != opaque.KindLoad {
		return
	}
	message := new(wire.EndpointLoad)
	outcome := flow.ReportUnreadable
	if proto.Unmarshal(data, message) == nil {
		outcome = b.loads.record(b.node.Now(), message, b.node.State().View)
	}
	b.loads.received.WithLabelValues(string(outcome)).Inc()
}

func (l *agentLoads) record(now time.Duration, message *wire.EndpointLoad, view *flow.View) flow.ReportOutcome {
	l.mu.Lock()
	l.sweep(now)
	at, agent, isAnswer := now, flow.ReportSender(message), message.Sequence != 0
	if isAnswer {
		request, ok := l.requests[message.Sequence]
		if !ok || request.agent != agent || now-request.at > loadRequestTimeout {
			l.mu.Unlock()
			return flow.ReportUnrequested
		}
		delete(l.requests, message.Sequence)
		at = request.at
	}
	outcome := l.reports.RecordReport(at, message, view)
	l.mu.Unlock()
	if isAnswer && outcome == flow.ReportRecorded && l.handleRoundTrip != nil {
		l.handleRoundTrip(agent, now-at)
	}
	return outcome
}

// considerLoads applies the reports of load to the candidates for a new flow with a hash, of which
// the last suspected are suspected to have failed. It returns the agents that the flow is offered
// to, or true if it is to be refused. Routes without an objective and a timeout are not concerned.
func (b *Balancer) considerLoads(route *routing.Route, h *flow.Header, hash uint64, agents []flow.Member, suspected int, isLate bool) (remaining []flow.Member, isRefused bool) {
	if !route.HasDeadline() {
		return agents, false
	}
	var addresses [flow.MaxCandidates]netip.AddrPort
	for i := range agents {
		addresses[i] = agents[i].Address
	}
	now := b.node.Now()
	b.loads.mu.Lock()
	c := b.loads.reports.Consider(now, flow.UrgencyOf(route.Priority), h.Attempt, agents, suspected)
	// An endpoint may have a flow whose SYN was held back until the next transmission, or whose SYN
	// was offered before.
	if c.IsRefused = c.IsRefused && !isLate && !b.loads.offered.Has(now, hash); !c.IsRefused {
		b.loads.offered.Record(now, hash)
	}
	b.loads.mu.Unlock()
	if c.IsRefused || c.LeftOut > 0 {
		b.loads.leftOut.Add(float64(c.LeftOut))
		b.logLoads(h, route, &c, addresses[:len(agents)])
	}
	return c.Agents, c.IsRefused
}

// logLoads writes the waits and ages of the reports that a decision is based on, in the order of
// the candidates.
func (b *Balancer) logLoads(h *flow.Header, route *routing.Route, c *flow.Candidates, agents []netip.AddrPort) {
	entry := b.instance.Decisions.Decision("load")
	if entry == nil {
		return
	}
	var inputs strings.Builder
	for i, agent := range agents {
		if wait := c.Waits[i]; wait.IsKnown {
			fmt.Fprintf(&inputs, "%s=%dms/%dms ", agent, wait.Wait.Milliseconds(), wait.Age.Milliseconds())
		} else {
			fmt.Fprintf(&inputs, "%s=none ", agent)
		}
	}
	entry.Str("flow", h.KeyFromCaller().String()).Int("attempt", h.Attempt).Int("priority", route.Priority).
		Str("waits_and_ages", strings.TrimSpace(inputs.String())).
		Int("left_out", c.LeftOut).Bool("refused", c.IsRefused).Msg("")
}

// sweep removes old reports and requests. The caller holds the lock.
func (l *agentLoads) sweep(now time.Duration) {
	if now-l.sweptAt < loadSweepInterval {
		return
	}
	l.sweptAt = now
	l.reports.Sweep(now)
	for sequence, request := range l.requests {
		if now-request.at > loadRequestTimeout {
			delete(l.requests, sequence)
		}
	}
}

// requestLoad requests a report of an agent. The answer is recorded in loads.reports, and its
// round trip passed to loads.handleRoundTrip. It returns false if too many requests await their
// answers.
func (b *Balancer) requestLoad(agent netip.AddrPort) bool {
	l := b.loads
	now := b.node.Now()
	l.mu.Lock()
	l.sweep(now)
	if len(l.requests) >= maxLoadRequests {
		l.mu.Unlock()
		return false
	}
	l.lastSequence++
	if l.lastSequence == 0 {
		l.lastSequence++
	}
	sequence := l.lastSequence
	l.requests[sequence] = loadRequest{agent: agent, at: now}
	l.mu.Unlock()
	b.node.SendMessage(opaque.KindLoadRequest, &wire.EndpointLoad{Sequence: sequence}, agent)
	return true
}
