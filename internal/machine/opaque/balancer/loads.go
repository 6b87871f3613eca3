package balancer

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine/opaque"
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
	// requests are those that await an answer, by sequence.
	requests     map[uint64]loadRequest
	lastSequence uint64
	sweptAt      time.Duration
	// handleAnswer, if set, is called without the lock with the answer to a request and the time
	// between them. It is set before the node runs.
	handleAnswer func(agent netip.AddrPort, load flow.Load, roundTrip time.Duration)
	received     *prometheus.CounterVec
}

type loadRequest struct {
	agent netip.AddrPort
	at    time.Duration
}

func newAgentLoads(registry *prometheus.Registry) *agentLoads {
	received := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sassafrasturn_load_reports_total", Help: "Reports of the load of agents' endpoints, by what became of them.",
	}, []string{"outcome"})
	registry.MustRegister(received)
	return &agentLoads{
		reports: flow.NewLoads(), requests: make(map[uint64]loadRequest), received: received,
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
	if isAnswer && outcome == flow.ReportRecorded && l.handleAnswer != nil {
		l.handleAnswer(agent, flow.LoadOf(message), now-at)
	}
	return outcome
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

// requestLoad requests a report of an agent. The answer is recorded in loads.reports and
// passed to loads.handleAnswer. It returns false if too many requests await their
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
