package agent

import "github.com/prometheus/client_golang/prometheus"

// dropReason is the reason for which a datagram was dropped.
type dropReason string

const (
	dropNone         dropReason = ""
	dropZoneOut      dropReason = "zone-out"
	dropOtherZone    dropReason = "other-zone"
	dropNotAllowed   dropReason = "not-allowed"
	dropForged       dropReason = "forged"
	dropUnexpected   dropReason = "unexpected"
	dropMalformed    dropReason = "malformed"
	dropOtherService dropReason = "other-service"
	dropOtherAgent   dropReason = "other-agent"
	dropQueueFull    dropReason = "queue-full"
	dropNoBalancer   dropReason = "no-balancer"
	dropRefused      dropReason = "refused"
	dropSendFailed   dropReason = "send-failed"
)

type metrics struct {
	delivered prometheus.Counter
	accepted  prometheus.Counter
	forwarded prometheus.Counter
	dropped   *prometheus.CounterVec
	requests  *prometheus.CounterVec
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		delivered: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sassafrasturn_agent_taken_datagrams_total",
			Help: "Callers' datagrams given to the QUIC transport.",
		}),
		accepted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sassafrasturn_agent_accepted_flows_total",
			Help: "New flows accepted.",
		}),
		forwarded: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sassafrasturn_agent_handed_on_flows_total",
			Help: "New flows handed on to the next candidate.",
		}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sassafrasturn_agent_dropped_datagrams_total",
			Help: "Datagrams dropped, by reason.",
		}, []string{"reason"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sassafrasturn_agent_requests_total",
			Help: "Requests, by outcome.",
		}, []string{"outcome"}),
	}
	registry.MustRegister(m.delivered, m.accepted, m.forwarded, m.dropped, m.requests)
	return m
}
