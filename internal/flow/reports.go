package flow

import (
	"net/netip"
	"time"

	"sassafrasturn.example/internal/routing"
	"sassafrasturn.example/internal/wire"
)

// ReportOutcome is what becomes of a report of an endpoint's load.
type ReportOutcome string

// Outcomes of reports.
const (
	ReportRecorded ReportOutcome = "recorded"
	// ReportUnreadable means that the report cannot be decoded.
	ReportUnreadable ReportOutcome = "unreadable"
	// ReportUnknownAgent means that the view has no live agent with the address in the report.
	ReportUnknownAgent ReportOutcome = "unknown-agent"
	// ReportImplausible means that the report has no slots, or values out of range.
	ReportImplausible ReportOutcome = "implausible"
	// ReportUnrequested means that the report answers a request that this process has not made,
	// or made too long ago.
	ReportUnrequested ReportOutcome = "unrequested"
)

// ReportSender returns the agent that a report names, an invalid address if it names none.
func ReportSender(message *wire.EndpointLoad) netip.AddrPort {
	if message.Agent >= 1<<48 {
		return netip.AddrPort{}
	}
	return routing.NumberAddrPort(message.Agent)
}

// RecordReport keeps a report that its agent sent at a time, or later, if the report is plausible
// and the view has its agent as a live one, which bounds the store.
func (l *Loads) RecordReport(at time.Duration, message *wire.EndpointLoad, view *View) ReportOutcome {
	agent := ReportSender(message)
	switch {
	case !view.IsLive(agent):
		return ReportUnknownAgent
	case !isPlausible(message):
		return ReportImplausible
	}
	l.Record(at, agent, LoadOf(message))
	return ReportRecorded
}

// isPlausible reports whether the values of a report are in their ranges. Those that are not come from
// a faulty sender, so that limited values would say nothing about its endpoint.
func isPlausible(message *wire.EndpointLoad) bool {
	return message.Slots > 0 && message.Slots <= maxLoadCount && message.InFlight <= maxLoadCount &&
		time.Duration(message.WaitMs)*time.Millisecond <= maxLoadTime &&
		time.Duration(message.ServiceTimeMs)*time.Millisecond <= maxLoadTime
}

const (
	// reportInterval is the shortest interval between reports of an agent to the same balancer. With
	// 50 ms, reports took a tenth of a balancer's link of 2.7 Mbit/s in an overload.
	reportInterval = 250 * time.Millisecond
	// Bursts of up to maxReportBurst reports follow each other at once, and more of them at
	// intervals of reportSpacing. In no second are there more than 60.
	maxReportBurst = 10
	reportSpacing  = time.Second / 50
	// maxReportedBalancers bounds the balancers that are remembered for reportInterval.
	maxReportedBalancers = 1024
)

// ReportLimit bounds the reports that an agent sends. It is not safe for concurrent use.
type ReportLimit struct {
	sentTo map[netip.AddrPort]time.Duration
	// nextAt is when the next report would be due if all were sent at intervals of
	// reportSpacing.
	nextAt time.Duration
}

// NewReportLimit returns a limit that has counted no reports.
func NewReportLimit() *ReportLimit {
	return &ReportLimit{sentTo: make(map[netip.AddrPort]time.Duration)}
}

// Allow reports whether an unrequested report to a balancer may be sent now, and counts it.
func (r *ReportLimit) Allow(now time.Duration, balancer netip.AddrPort) bool {
	last, ok := r.sentTo[balancer]
	if ok && now-last < reportInterval || !ok && len(r.sentTo) >= maxReportedBalancers || !r.AllowAnswer(now) {
		return false
	}
	r.sentTo[balancer] = now
	return true
}

// AllowAnswer is Allow for a report that a balancer has requested, which counts only against
// the reports of all balancers.
func (r *ReportLimit) AllowAnswer(now time.Duration) bool {
	nextAt := max(r.nextAt, now)
	if nextAt-now > (maxReportBurst-1)*reportSpacing {
		return false
	}
	r.nextAt = nextAt + reportSpacing
	return true
}

// Sweep forgets the balancers that may be sent a report again.
func (r *ReportLimit) Sweep(now time.Duration) {
	for balancer, at := range r.sentTo {
		if now-at >= reportInterval {
			delete(r.sentTo, balancer)
		}
	}
}
