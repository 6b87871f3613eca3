package balancer

import (
	"net/netip"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"sassafrasturn.example/internal/flow"
)

// suspects guards flow.Suspects: packets and answers to probes come on goroutines
// of their own.
type suspects struct {
	mu        sync.Mutex
	agents    *flow.Suspects
	suspected prometheus.Counter
}

func newSuspects(registry *prometheus.Registry) *suspects {
	suspected := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "sassafrasturn_agents_suspected_total", Help: "Agents that answered neither a SYN nor a probe.",
	})
	registry.MustRegister(suspected)
	return &suspects{agents: flow.NewSuspects(), suspected: suspected}
}

// deprioritizeSuspects moves the agents that do not answer behind the others of an order
// of offers, and returns how many they are. A copy of a SYN throws doubt on the agent
// that the one before began with.
func (b *Balancer) deprioritizeSuspects(attempt int, agents []flow.Member) int {
	now := b.node.Now()
	s := b.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt > 0 {
		s.agents.Sweep(now)
		b.reportUnanswered(agents[(attempt-1)%len(agents)].Address)
	}
	fresh, count := s.agents.Deprioritize(now, agents)
	for _, agent := range fresh {
		s.suspected.Inc()
		b.instance.Log.Warn().Stringer("agent", agent).Msg("agent answers neither a SYN nor a probe; others are offered flows first")
	}
	for _, agent := range agents[len(agents)-count:] {
		// It may be back.
		b.reportUnanswered(agent.Address)
	}
	return count
}

// reportUnanswered probes an agent unless it was probed just now. The caller holds the lock.
func (b *Balancer) reportUnanswered(agent netip.AddrPort) {
	if b.suspects.agents.ReportUnanswered(b.node.Now(), agent) {
		b.node.Probe(agent)
	}
}

func (b *Balancer) handleProbeAnswer(agent netip.AddrPort) {
	s := b.suspects
	s.mu.Lock()
	wasSuspected := s.agents.RecordAnswer(agent)
	s.mu.Unlock()
	if wasSuspected {
		b.instance.Log.Info().Stringer("agent", agent).Msg("agent answers again")
	}
}
