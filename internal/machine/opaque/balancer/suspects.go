package balancer

import (
	"net/netip"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"sassafrasturn.example/internal/flow"
)

// suspects guards flow.Suspects with a mutex, because packets and probe answers are
// handled on different goroutines.
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

// deprioritizeSuspects moves the suspected agents behind the others in the candidates
// of an offer, and returns their number. A retransmitted SYN counts as unanswered by
// the agent that the previous transmission was sent to.
func (b *Balancer) deprioritizeSuspects(attempt int, agents []flow.Member) int {
	now := b.node.Now()
	s := b.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt > 0 {
		s.agents.Sweep(now)
		b.recordUnanswered(agents[(attempt-1)%len(agents)].Address)
	}
	newlySuspected, count := s.agents.Deprioritize(now, agents)
	for _, agent := range newlySuspected {
		s.suspected.Inc()
		b.instance.Log.Warn().Stringer("agent", agent).Msg("agent suspected: it answered neither a SYN nor a probe; offering flows to others first")
	}
	for _, agent := range agents[len(agents)-count:] {
		// Probe the suspected agents, so that recovery is detected.
		b.recordUnanswered(agent.Address)
	}
	return count
}

// recordUnanswered records that an agent did not answer, and probes it unless it was
// probed recently. The caller holds the lock.
func (b *Balancer) recordUnanswered(agent netip.AddrPort) {
	if b.suspects.agents.RecordUnanswered(b.node.Now(), agent) {
		b.node.Probe(agent)
	}
}

func (b *Balancer) handleProbeAnswer(agent netip.AddrPort) {
	s := b.suspects
	s.mu.Lock()
	wasSuspected := s.agents.RecordAnswer(agent)
	s.mu.Unlock()
	if wasSuspected {
		b.instance.Log.Info().Stringer("agent", agent).Msg("suspected agent answers again")
	}
}
