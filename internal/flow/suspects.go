package flow

import (
	"net/netip"
	"time"
)

const (
	// probeTimeout is how long an agent may take to answer a probe: a round trip
	// between regions plus a margin for delay.
	probeTimeout = 60 * time.Millisecond
	// probeInterval is the minimum interval between probes of the same agent.
	probeInterval = 100 * time.Millisecond
	// suspectTTL is how long an agent stays suspected after the last probe. By then
	// control has detected the failure.
	suspectTTL = 3 * time.Second
)

// Suspects tracks the agents that do not answer an instance. It is not safe for
// concurrent use.
//
// Balancers use it because control takes 1.7 s or more to detect an agent that fails
// without notice. Until then, each new flow that is offered to it would first have to
// wait for the second transmission of its SYN. A retransmitted SYN raises the suspicion
// that the agent that received the previous copy has failed, and an answer to a probe
// clears it.
//
// Agents use it for agents that have expired at control, which may serve their flows all
// the same when only their polls are lost, and for those that a packet was forwarded to more
// than once.
type Suspects struct {
	agents map[netip.AddrPort]*suspect
}

type suspect struct {
	// unansweredSince is when the first probe without an answer was sent.
	unansweredSince time.Duration
	probedAt        time.Duration
	// probes is the number of probes since unansweredSince.
	probes     int
	isReported bool
}

// NewSuspects returns an empty tracker.
func NewSuspects() *Suspects {
	return &Suspects{agents: make(map[netip.AddrPort]*suspect)}
}

// RecordUnanswered records that an agent has not answered an offered SYN, or has
// expired. It returns true if the agent is to be probed now.
func (s *Suspects) RecordUnanswered(now time.Duration, agent netip.AddrPort) (isProbeDue bool) {
	entry := s.agents[agent]
	switch {
	case entry == nil || now-entry.probedAt > suspectTTL:
		s.agents[agent] = &suspect{unansweredSince: now, probedAt: now, probes: 1}
	case now-entry.probedAt < probeInterval:
		return false
	default:
		entry.probedAt = now
		entry.probes++
	}
	return true
}

// RecordAnswer records that an agent has answered. It reports whether the agent was
// suspected.
func (s *Suspects) RecordAnswer(agent netip.AddrPort) (wasSuspected bool) {
	entry := s.agents[agent]
	delete(s.agents, agent)
	return entry != nil && entry.isReported
}

// Deprioritize moves the suspected agents behind the others. It returns their count
// and those that are newly suspected. All agents remain candidates, since it may be
// the probes that are lost.
func (s *Suspects) Deprioritize(now time.Duration, agents []Member) (newlySuspected []netip.AddrPort, count int) {
	if len(s.agents) == 0 {
		return nil, 0
	}
	var suspected [MaxCandidates]Member
	kept := 0
	for _, agent := range agents {
		entry := s.agents[agent.Address]
		if !entry.isSuspected(now) || count == len(suspected) {
			agents[kept] = agent
			kept++
			continue
		}
		if !entry.isReported {
			entry.isReported = true
			newlySuspected = append(newlySuspected, agent.Address)
		}
		suspected[count] = agent
		count++
	}
	copy(agents[kept:], suspected[:count])
	return newlySuspected, count
}

// IsSilent reports whether an agent has not answered two probes, of which one may have
// been lost, and has been silent for at least the given time.
func (s *Suspects) IsSilent(now time.Duration, agent netip.AddrPort, minSilence time.Duration) bool {
	entry := s.agents[agent]
	return entry.isSuspected(now) && entry.probes > 1 && now-entry.probedAt > probeTimeout && now-entry.unansweredSince >= minSilence
}

// IsUnresponsive is IsSilent for an agent that is probed all the time: the newest probe may
// still be answered.
func (s *Suspects) IsUnresponsive(now time.Duration, agent netip.AddrPort) bool {
	entry := s.agents[agent]
	return entry.isSuspected(now) && entry.probes > 1 && now-entry.unansweredSince > probeInterval+probeTimeout
}

// IsSuspected reports whether an agent has left a probe unanswered.
func (s *Suspects) IsSuspected(now time.Duration, agent netip.AddrPort) bool {
	return s.agents[agent].isSuspected(now)
}

func (s *suspect) isSuspected(now time.Duration) bool {
	return s != nil && now-s.unansweredSince > probeTimeout && now-s.probedAt <= suspectTTL
}

// Sweep removes agents without recent probes.
func (s *Suspects) Sweep(now time.Duration) {
	for agent, entry := range s.agents {
		if now-entry.probedAt > suspectTTL {
			delete(s.agents, agent)
		}
	}
}
