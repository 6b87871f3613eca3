package flow

import (
	"net/netip"
	"time"
)

const (
	// probeTimeout is how long an agent may take to answer a probe: a round trip between
	// regions, and some delay.
	probeTimeout = 60 * time.Millisecond
	// probeInterval separates probes of one agent.
	probeInterval = 100 * time.Millisecond
	// suspectTTL is how long a suspicion outlives the last probe: control has
	// noticed by then.
	suspectTTL = 3 * time.Second
)

// Suspects are the agents that do not answer a balancer. It answers agents that die
// without a word: until control notices, 2 s and more, each new flow that is offered
// to one first waits for the second copy of its SYN. A copy of a SYN throws doubt on
// the agent that got the one before; one that answers a probe then is alive.
// It is not safe for concurrent use.
type Suspects struct {
	agents map[netip.AddrPort]*suspect
}

type suspect struct {
	// unansweredSince is when the first probe was sent that has no answer.
	unansweredSince time.Duration
	probedAt        time.Duration
	isReported      bool
}

// NewSuspects returns none.
func NewSuspects() *Suspects {
	return &Suspects{agents: make(map[netip.AddrPort]*suspect)}
}

// ReportUnanswered notes that a SYN that was offered to an agent is not answered. It reports
// whether the agent is to be probed now.
func (s *Suspects) ReportUnanswered(now time.Duration, agent netip.AddrPort) (isProbeDue bool) {
	held := s.agents[agent]
	switch {
	case held == nil || now-held.probedAt > suspectTTL:
		s.agents[agent] = &suspect{unansweredSince: now, probedAt: now}
	case now-held.probedAt < probeInterval:
		return false
	default:
		held.probedAt = now
	}
	return true
}

// RecordAnswer notes that an agent has answered. It reports whether it was suspected.
func (s *Suspects) RecordAnswer(agent netip.AddrPort) (wasSuspected bool) {
	held := s.agents[agent]
	delete(s.agents, agent)
	return held != nil && held.isReported
}

// Deprioritize moves the suspected agents behind the others, and returns those of them
// that were not suspected before. All stay on offer: the probes may be what is lost.
func (s *Suspects) Deprioritize(now time.Duration, agents []Member) (fresh []netip.AddrPort, count int) {
	if len(s.agents) == 0 {
		return nil, 0
	}
	var suspected [MaxCandidates]Member
	kept := 0
	for _, agent := range agents {
		held := s.agents[agent.Address]
		if !held.isSuspected(now) || count == len(suspected) {
			agents[kept] = agent
			kept++
			continue
		}
		if !held.isReported {
			held.isReported = true
			fresh = append(fresh, agent.Address)
		}
		suspected[count] = agent
		count++
	}
	copy(agents[kept:], suspected[:count])
	return fresh, count
}

func (s *suspect) isSuspected(now time.Duration) bool {
	return s != nil && now-s.unansweredSince > probeTimeout && now-s.probedAt <= suspectTTL
}

// Sweep forgets agents that have not been doubted for long.
func (s *Suspects) Sweep(now time.Duration) {
	for agent, held := range s.agents {
		if now-held.probedAt > suspectTTL {
			delete(s.agents, agent)
		}
	}
}
