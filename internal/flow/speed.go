package flow

import (
	"net/netip"
	"slices"
	"time"

	"sassafrasturn.example/internal/rendezvous"
)

const (
	// fastShare is that agents are compared with the fastest one in so many of the service. With the
	// median, none would be slow where most endpoints are.
	fastShare = 8
	// slowRatio is the ratio to the fast agents of the service above which an agent is slow. It is
	// between one and two steps of the reported values, so one step is not enough.
	slowRatio = 1.4
	// minSlowExcess is by how much a slow agent's service time exceeds that of the fast ones at least.
	// Service times are reported in whole milliseconds, and a hop to another agent takes up to
	// one, so less than that cannot be gained.
	minSlowExcess = 2 * time.Millisecond
	// minMeasuredAgents is how many agents of a service must be measured for any to be slow.
	minMeasuredAgents = 4
	// remeasureShare is that one in so many flows ignores speeds. So an endpoint that is slow
	// gets some flows also at loads at which the fast ones have free slots, and its recovery
	// shows.
	remeasureShare = 16
	// remeasureTag distinguishes the hash by which these flows are chosen from those of agents.
	remeasureTag = 0x5bd1e9955bd1e995
)

// Speed is the speed of a service's agents in a view.
type Speed struct {
	// Fast is the service time that one in fastShare of the agents does not exceed, of those that
	// have reported one and have not expired. Measured is the number of these agents.
	Fast     time.Duration
	Measured int
	// Slow is the number of slow agents.
	Slow int
}

// Speed returns the speed of a service's agents.
func (v *View) Speed(service string) Speed { return v.speeds[service] }

// Services returns the services that have agents in the view, in no particular order.
func (v *View) Services() []string {
	services := make([]string, 0, len(v.byService))
	for service := range v.byService {
		services = append(services, service)
	}
	return services
}

// SlowAgents returns the slow agents of a service.
func (v *View) SlowAgents(service string) []Member {
	var slow []Member
	for _, member := range v.byService[service] {
		if member.isSlow {
			slow = append(slow, member)
		}
	}
	return slow
}

// ServiceTimeOf returns the service time that an agent of a service has reported, 0 if it is not
// known.
func (v *View) ServiceTimeOf(agent netip.AddrPort, service string) time.Duration {
	for i := range v.byService[service] {
		if member := &v.byService[service][i]; member.Address == agent {
			return member.ServiceTime
		}
	}
	return 0
}

// IsSlow reports whether the endpoint of an agent is slow for its service.
func (v *View) IsSlow(agent netip.AddrPort) bool { return v.slow[agent] }

// rateSpeeds determines the slow agents of each service.
func (v *View) rateSpeeds() {
	v.speeds, v.slow = make(map[string]Speed, len(v.byService)), make(map[netip.AddrPort]bool)
	var times []time.Duration
	for service, members := range v.byService {
		times = times[:0]
		for i := range members {
			if members[i].isMeasured() {
				times = append(times, members[i].ServiceTime)
			}
		}
		if len(times) < minMeasuredAgents {
			v.speeds[service] = Speed{Measured: len(times)}
			continue
		}
		slices.Sort(times)
		speed := Speed{Fast: times[(len(times)-1)/fastShare], Measured: len(times)}
		for i := range members {
			member := &members[i]
			member.isSlow = member.isMeasured() && speed.isSlow(member.ServiceTime)
			if member.isSlow {
				speed.Slow++
				v.slow[member.Address] = true
			}
		}
		v.speeds[service] = speed
	}
}

func (m *Member) isMeasured() bool { return m.ServiceTime > 0 && !m.IsExpired }

func (s *Speed) isSlow(serviceTime time.Duration) bool {
	return float64(serviceTime) > slowRatio*float64(s.Fast) && serviceTime-s.Fast >= minSlowExcess
}

// ranksBySpeed reports whether the candidates of a flow to a service are ranked by speed.
func (v *View) ranksBySpeed(service string, flow uint64) bool {
	return v.speeds[service].Slow > 0 && !isRemeasuring(flow)
}

// isRemeasuring reports whether a flow ignores speeds.
func isRemeasuring(flow uint64) bool {
	return rendezvous.Score(flow, remeasureTag)%remeasureShare == 0
}

const fastBit = 1 << 63

// rankBySpeed changes the score of an agent, so that slow agents come behind all others. Within
// both classes the order remains.
func rankBySpeed(score uint64, member *Member) uint64 {
	if member.isSlow {
		return score >> 1
	}
	return score>>1 | fastBit
}

// slowBest is the slow agent with the highest score.
type slowBest struct {
	first *Member
	score uint64
}

func (s *slowBest) add(member *Member, score uint64) {
	if member.isSlow && (s.first == nil || score > s.score) {
		s.first, s.score = member, score
	}
}

// lastOfFirst is the position up to which the candidates of the caller's zone are tried before
// those that may queue flows. Two more follow, see queuePerSlot.
const lastOfFirst = MaxCandidates - 3

// keepSlow makes sure that a slow agent is among the candidates of the caller's zone, of which
// there are at least four: behind the fast ones that are tried first, and before the last one, at
// which a flow may queue longest. So in an overload the slots of slow agents are used, while flows
// wait at fast ones.
func keepSlow(own []*Member, slow *Member) {
	at := min(len(own)-2, lastOfFirst)
	if slow == nil || len(own) < maxOwnZoneCandidates || own[at].isSlow {
		return
	}
	from := slices.Index(own, slow)
	if from < 0 {
		from = len(own) - 1
	}
	copy(own[at+1:from+1], own[at:from])
	own[at] = slow
}

// IsReorderedBySpeed reports whether a slow agent among the candidates of a flow comes before the
// first candidate in the flow's Order.
func IsReorderedBySpeed(flow uint64, candidates []Member) bool {
	if len(candidates) == 0 || candidates[0].isSlow {
		return false
	}
	first := &candidates[0]
	score := rendezvous.Score(flow, first.hash)
	return slices.ContainsFunc(candidates[1:], func(m Member) bool {
		return m.isSlow && m.zone == first.zone && rendezvous.Score(flow, m.hash) > score
	})
}
