package agent

import (
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/wire"
)

// loadReports sends the load of the endpoint to balancers.
type loadReports struct {
	limit *flow.ReportLimit
	sent  *prometheus.CounterVec
}

// Outcomes of a report that is due.
const (
	reportSent      = "sent"
	reportAnswered  = "answered"
	reportLimited   = "limited"
	reportMalformed = "malformed-request"
)

func newLoadReports(registry *prometheus.Registry) loadReports {
	sent := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sassafrasturn_load_reports_sent_total",
		Help: "Reports of the endpoint's load to balancers: sent, sent on request, withheld by the rate limit, or requested by a message that cannot be read.",
	}, []string{"outcome"})
	registry.MustRegister(sent)
	return loadReports{limit: flow.NewReportLimit(), sent: sent}
}

// load returns the load of the endpoint. Its slots are 0 if there is no endpoint. The caller
// holds the lock.
func (a *Agent) load(now time.Duration) flow.Load {
	load := flow.Load{IsReady: a.record.Ready && !a.isZoneOut, InFlight: a.table.InFlight()}
	endpoint := a.lifecycle.Endpoint()
	if endpoint == nil {
		return load
	}
	load.Slots = endpoint.Slots
	if load.ServiceTime = a.table.ServiceTime(); load.ServiceTime == 0 {
		load.ServiceTime = flow.EstimateServiceTime(load.Slots, load.InFlight, a.table.ResponseTime(now))
	}
	load.Wait = flow.EstimateWait(load.Slots, load.InFlight, load.ServiceTime)
	return load
}

// reportOffer reports the load to the balancer of a flow that the endpoint has not taken, or that
// has to wait for a slot, if the flow's route states an objective and a timeout. The caller holds
// the lock.
func (a *Agent) reportOffer(now time.Duration, key flow.Key, balancer netip.AddrPort, reason flow.Reason) {
	endpoint := a.lifecycle.Endpoint()
	if endpoint == nil || reason == flow.Accepted && a.table.InFlight() <= endpoint.Slots {
		return
	}
	if route := a.node.State().Table.Lookup(key.Dialed); route == nil || !route.HasDeadline() {
		return
	}
	if balancer.Port() == 0 || !balancer.Addr().IsValid() {
		return
	}
	if !a.reports.limit.Allow(now, balancer) {
		a.reports.sent.WithLabelValues(reportLimited).Inc()
		return
	}
	a.sendLoad(now, 0, balancer, reportSent)
}

func (a *Agent) sendLoad(now time.Duration, sequence uint64, to netip.AddrPort, outcome string) {
	load := a.load(now)
	message := load.Message()
	message.Agent, message.Sequence = a.key(), sequence
	a.node.SendMessage(opaque.KindLoad, message, to)
	a.reports.sent.WithLabelValues(outcome).Inc()
}

// answerLoadRequest sends a balancer the report that it requests, if there is an endpoint.
func (a *Agent) answerLoadRequest(data []byte, from netip.AddrPort) {
	request := new(wire.EndpointLoad)
	if proto.Unmarshal(data, request) != nil || request.Sequence == 0 {
		a.reports.sent.WithLabelValues(reportMalformed).Inc()
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lifecycle.Endpoint() == nil {
		return
	}
	now := a.node.Now()
	if !a.reports.limit.AllowAnswer(now) {
		a.reports.sent.WithLabelValues(reportLimited).Inc()
		return
	}
	a.sendLoad(now, request.Sequence, from, reportAnswered)
}
