package balancer

import (
	"net/netip"

	"github.com/prometheus/client_golang/prometheus"

	"sassafrasturn.example/internal/flow"
)

// speeds are the slow agents of the latest view, for log lines and metrics. Decisions use the
// view itself. It is used by the polling goroutine only.
type speeds struct {
	slow  map[netip.AddrPort]flow.Member
	gauge *prometheus.GaugeVec
}

func newSpeeds(registry *prometheus.Registry) *speeds {
	gauge := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "sassafrasturn_slow_agents", Help: "Agents whose endpoint is slow for its service, by service.",
	}, []string{"service"})
	registry.MustRegister(gauge)
	return &speeds{slow: make(map[netip.AddrPort]flow.Member), gauge: gauge}
}

// handlePublished compares the speeds of agents in a new view with those of the previous one.
func (b *Balancer) handlePublished() {
	view := b.node.State().View
	services := view.Services()
	b.speeds.setGauges(view, services)
	slow := make(map[netip.AddrPort]flow.Member)
	for _, service := range services {
		for _, agent := range view.SlowAgents(service) {
			slow[agent.Address] = agent
			if _, wasSlow := b.speeds.slow[agent.Address]; !wasSlow {
				b.logSpeed(view, &agent, "slow")
			}
		}
	}
	for address, agent := range b.speeds.slow {
		if _, isSlow := slow[address]; !isSlow {
			agent.ServiceTime = view.ServiceTimeOf(address, agent.Service)
			b.logSpeed(view, &agent, "normal")
		}
	}
	b.speeds.slow = slow
}

// setGauges sets the gauges of the services in a view, and deletes those of services that had slow
// agents and have no agent left.
func (s *speeds) setGauges(view *flow.View, services []string) {
	for _, agent := range s.slow {
		if view.Speed(agent.Service) == (flow.Speed{}) {
			s.gauge.DeleteLabelValues(agent.Service)
		}
	}
	for _, service := range services {
		s.gauge.WithLabelValues(service).Set(float64(view.Speed(service).Slow))
	}
}

// logSpeed writes that the class of an agent has changed to the decision log. A service time of 0
// means that it is no longer known.
func (b *Balancer) logSpeed(view *flow.View, agent *flow.Member, class string) {
	speed := view.Speed(agent.Service)
	b.instance.Decisions.Decision("speed").Stringer("agent", agent.Address).Str("service", agent.Service).Str("class", class).
		Dur("service_time_ms", agent.ServiceTime).Dur("fast_ms", speed.Fast).Int("measured", speed.Measured).Int("slow", speed.Slow).
		Dur("agents_known_ago_ms", b.node.Now()-b.node.SyncedAt()).Msg("")
}
