package control

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"sassafrasturn.example/internal/consensus"
)

// registerMetrics registers gauges of the consensus status of the loop's replica, and of the
// imbalance of the group.
func registerMetrics(registry *prometheus.Registry, l *loop, imbalance *atomic.Int64) {
	gauge := func(name, help string, value func(*consensus.Status) float64) {
		opts := prometheus.GaugeOpts{Name: "sassafrasturn_control_" + name, Help: help}
		registry.MustRegister(prometheus.NewGaugeFunc(opts, func() float64 { return value(l.status.Load()) }))
	}
	gauge("leader", "1 when this instance leads the control group.", func(s *consensus.Status) float64 {
		if s.Role == consensus.Leader {
			return 1
		}
		return 0
	})
	gauge("known_leader", "ID of the leader that this instance follows; 0 when it knows none.", func(s *consensus.Status) float64 {
		return float64(s.Leader)
	})
	gauge("term", "Term of the agreement.", func(s *consensus.Status) float64 { return float64(s.Term) })
	gauge("commit_index", "Log index up to which commands are committed.", func(s *consensus.Status) float64 { return float64(s.Commit) })
	gauge("applied_index", "Log index up to which commands are applied.", func(s *consensus.Status) float64 { return float64(s.Applied) })
	gauge("members", "Members of the control group, learners included.", func(s *consensus.Status) float64 {
		return float64(len(s.Group.GetMembers()))
	})
	gauge("misplaced_voters", "On the leader: voters that should be in another availability zone, so that a majority of the instances has a majority of the voters whichever zone is cut off.", func(s *consensus.Status) float64 {
		if s.Role != consensus.Leader {
			return 0
		}
		return float64(imbalance.Load())
	})
}

// registerHandoverMetrics registers the metrics about the flows of agents that stop.
func (d *discovery) registerHandoverMetrics(registry *prometheus.Registry) {
	d.refusedHandovers = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "sassafrasturn_handover_parts_refused_total", Help: "Parts of flows of agents that stop that were refused: no room, or from an earlier start.",
	})
	reserved := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sassafrasturn_handover_flows", Help: "Flows of agents that have stopped for which there is room, one more for each agent.",
	}, func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return float64(d.handovers.Len())
	})
	registry.MustRegister(d.refusedHandovers, reserved)
}
