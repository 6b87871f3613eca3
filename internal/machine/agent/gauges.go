package agent

import "github.com/prometheus/client_golang/prometheus"

// registerGauges registers the gauges for the counts on which decisions about
// new flows and requests are based.
func (a *Agent) registerGauges(registry *prometheus.Registry) {
	gauge := func(name, help string, read func(s *serving) float64) {
		options := prometheus.GaugeOpts{Name: "sassafrasturn_agent_" + name, Help: help}
		registry.MustRegister(prometheus.NewGaugeFunc(options, func() float64 { return a.readGauge(read) }))
	}
	gauge("open_flows", "QUIC connections that are open.", func(s *serving) float64 { return float64(s.work.flows.Load()) })
	gauge("slots_taken", "Slots of the endpoint that are taken.", func(s *serving) float64 { return float64(s.limiter.Load().Taken) })
	gauge("slots_limit", "Slots of the endpoint that may be taken now.", func(s *serving) float64 { return float64(s.limiter.Load().Slots) })
	gauge("requests_waiting", "Requests that wait for a slot.", func(s *serving) float64 { return float64(s.limiter.Load().Waiting) })
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sassafrasturn_agent_reported_load",
		Help: "Load that the endpoint reports; nothing is decided by it.",
	}, func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.reportedLoad
	}))
}

// readGauge reads a value of the endpoint being served, or returns 0 if there is none.
func (a *Agent) readGauge(read func(s *serving) float64) float64 {
	a.mu.Lock()
	s := a.serving
	a.mu.Unlock()
	if s == nil {
		return 0
	}
	return read(s)
}
