package balancer

import "github.com/prometheus/client_golang/prometheus"

// dropReason labels datagrams that were dropped for reasons other than a
// routing decision.
type dropReason string

const (
	dropForged     dropReason = "forged"
	dropUnexpected dropReason = "unexpected"
	dropSendFailed dropReason = "send-failed"
)

type metrics struct {
	forwarded prometheus.Counter
	offered   prometheus.Counter
	replies   prometheus.Counter
	dropped   *prometheus.CounterVec
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		forwarded: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sassafrasturn_balancer_forwarded_datagrams_total",
			Help: "Datagrams of established flows handed to agents.",
		}),
		offered: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sassafrasturn_balancer_offered_datagrams_total",
			Help: "Datagrams of new flows offered to candidate agents.",
		}),
		replies: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sassafrasturn_balancer_reply_datagrams_total",
			Help: "Datagrams sent back to callers.",
		}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sassafrasturn_balancer_dropped_datagrams_total",
			Help: "Datagrams dropped, by reason.",
		}, []string{"reason"}),
	}
	registry.MustRegister(m.forwarded, m.offered, m.replies, m.dropped)
	return m
}
