package flow

import (
	"slices"
	"time"
)

const (
	// transmissionMargin covers a walk over MaxCandidates agents, some in other zones, and the way
	// of the answer to the caller, which must arrive before the next transmission is sent.
	transmissionMargin = 20 * time.Millisecond
	// maxUsedAge is up to which age a report is used. By then the agents have given up the SYNs of
	// first transmissions that waited when the report was made, so its wait may have ended early.
	maxUsedAge = 200 * time.Millisecond
)

// MaxSYNWait returns for how long a transmission of a SYN, from 0, may wait for a slot so that its
// caller has the answer before it sends the next transmission, or gives the attempt up.
func MaxSYNWait(transmission int) time.Duration {
	next := handshakeTimeout
	if transmission+1 < len(transmissionTimes) {
		next = TransmissionTime(transmission + 1)
	}
	return next - TransmissionTime(transmission) - transmissionMargin
}

// ReportedWait is what the report of a candidate says about its wait.
type ReportedWait struct {
	// IsKnown is set if there is a recent report of an agent that takes new flows.
	IsKnown bool
	// Wait is how long a flow has to wait at least, and Age the age of the report.
	Wait, Age   time.Duration
	IsSaturated bool
}

// Candidates are the agents that a transmission of a SYN is offered to, in order, as
// Loads.Consider has changed them.
type Candidates struct {
	Agents []Member
	// Waits are those of the agents before the change.
	Waits [MaxCandidates]ReportedWait
	// LeftOut is the number of agents that were left out.
	LeftOut int
	// IsRefused is set if none of the agents would take the flow.
	IsRefused bool
}

// Consider applies the reports of load to the candidates for a transmission of a SYN of a flow.
// The last suspected of them are suspected to have failed. Without recent reports it changes
// nothing. It overwrites agents.
//
// It addresses two load conditions:
//
// In an overload that lasts, a flow that no agent takes would be offered to all of them before it
// is refused. The flow is refused at once if each candidate is saturated and has a longer wait
// than MaxSYNWait, so that the agents would refuse it too.
//
// In an uneven overload, some candidates are full for a flow: its wait there is longer than
// MaxSYNWait. They are left out as long as others remain that are not suspected, so that the flow
// waits at one of these. They are not moved to the end, because that is where a flow waits.
func (l *Loads) Consider(now time.Duration, urgency Urgency, transmission int, agents []Member, suspected int) Candidates {
	c := Candidates{Agents: agents}
	if len(l.byAgent) == 0 || len(agents) > MaxCandidates {
		return c
	}
	limit, full := MaxSYNWait(transmission), 0
	c.IsRefused = transmission == 0 && len(agents) > 0
	for i := range agents {
		wait := l.reportedWait(now, &agents[i], urgency)
		c.Waits[i] = wait
		if wait.Wait > limit {
			full++
		}
		c.IsRefused = c.IsRefused && wait.IsSaturated && wait.Wait > limit
	}
	if full > 0 && !c.IsRefused {
		c.leaveOut(limit, suspected)
	}
	return c
}

// reportedWait returns what the latest report of an agent says.
func (l *Loads) reportedWait(now time.Duration, agent *Member, urgency Urgency) ReportedWait {
	report := l.byAgent[agent.Address]
	if report == nil || now-report.at > maxUsedAge || !report.load.IsReady {
		return ReportedWait{}
	}
	age := now - report.at
	return ReportedWait{IsKnown: true, Wait: max(0, report.load.Waits[urgency]-age), Age: age, IsSaturated: report.load.IsSaturated}
}

// leaveOut leaves out the agents with waits over a limit, unless none remained that is not
// suspected.
func (c *Candidates) leaveOut(limit time.Duration, suspected int) {
	isFull := func(wait ReportedWait) bool { return wait.Wait > limit }
	trusted := len(c.Agents) - suspected
	if !slices.ContainsFunc(c.Waits[:trusted], func(wait ReportedWait) bool { return !isFull(wait) }) {
		return
	}
	kept := c.Agents[:0]
	for i, agent := range c.Agents {
		if !isFull(c.Waits[i]) {
			kept = append(kept, agent)
		}
	}
	c.LeftOut = len(c.Agents) - len(kept)
	c.Agents = kept
}

const (
	// maxRecentOffers is how many flows RecentOffers remembers: 64 KB. A balancer of the largest
	// known deployments offers fewer within duplicateAge.
	maxRecentOffers = 4096
	// duplicateAge is for how long a late copy of a SYN is expected.
	duplicateAge = 2 * time.Second
)

// RecentOffers remembers the flows that a balancer has offered. A SYN of such a flow may be a copy
// of one that an endpoint has received, so it must not be refused. When two flows share an entry,
// only the later one is remembered. It is not safe for concurrent use.
type RecentOffers struct {
	entries [maxRecentOffers]recentOffer
}

type recentOffer struct {
	flow uint64
	at   time.Duration
}

// Record records that a flow, identified by its hash, is offered.
func (r *RecentOffers) Record(now time.Duration, flow uint64) {
	r.entries[flow%maxRecentOffers] = recentOffer{flow: flow, at: now}
}

// Has reports whether a flow has recently been offered.
func (r *RecentOffers) Has(now time.Duration, flow uint64) bool {
	entry := r.entries[flow%maxRecentOffers]
	return entry.flow == flow && entry.at > 0 && now-entry.at <= duplicateAge
}
