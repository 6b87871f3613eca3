package balancer

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sassafrasturn.example/internal/route"
	"sassafrasturn.example/internal/zone"
)

// reasonNoLease is the reason for drops while the zone lease does not allow forwarding.
const reasonNoLease route.Reason = "no-lease"

// dropReason is the reason for which a datagram was dropped: one of the constants below,
// or the reason of a routing decision.
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
	// corrections counts messages of agents that correct a stale view.
	corrections  prometheus.Counter
	leaseChanges *prometheus.CounterVec
	dropped      *prometheus.CounterVec
}

func newMetrics(registry *prometheus.Registry, lease *zone.LeaseHolder) *metrics {
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
	m.corrections = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "sassafrasturn_balancer_corrections_total",
		Help: "Messages by which agents corrected a stale view.",
	})
	m.leaseChanges = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sassafrasturn_balancer_lease_changes_total",
		Help: "Changes of the zone lease, by the state that began.",
	}, []string{"state"})
	state := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sassafrasturn_balancer_lease_state",
		Help: "State of the zone lease: 0 none, 1 fresh, 2 static, 3 isolated, 4 stale; 1 and 2 forward.",
	}, func() float64 { return float64(lease.State(time.Now())) })
	registry.MustRegister(m.forwarded, m.offered, m.replies, m.dropped, m.corrections, m.leaseChanges, state)
	return m
}

func (m *metrics) drop(reason dropReason) {
	m.dropped.WithLabelValues(string(reason)).Inc()
}
