package machine

import (
	"github.com/prometheus/client_golang/prometheus"

	"sassafrasturn.example/internal/exchange"
	"sassafrasturn.example/internal/link"
)

// registerLinkMetrics registers the metrics of the links and of the record exchange.
func registerLinkMetrics(registry *prometheus.Registry, store *exchange.Store, mesh *exchange.Mesh, server *link.Server) {
	counter := func(name, help string, labels prometheus.Labels, read func() uint64) {
		registry.MustRegister(prometheus.NewCounterFunc(
			prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels},
			func() float64 { return float64(read()) },
		))
	}
	counter("sassafrasturn_exchange_sent_bytes_total", "Bytes of exchange messages sent.", nil, func() uint64 { return store.Traffic().SentBytes })
	counter("sassafrasturn_exchange_received_bytes_total", "Bytes of exchange messages received.", nil, func() uint64 { return store.Traffic().ReceivedBytes })
	for reason := range store.Rejected() {
		counter("sassafrasturn_exchange_rejected_records_total", "Records outside the bounds that were left out, by reason.",
			prometheus.Labels{"reason": reason}, func() uint64 { return store.Rejected()[reason] })
	}
	for reason, name := range link.RefusalNames {
		counter("sassafrasturn_link_refused_total", "Links, streams and requests refused, by reason.",
			prometheus.Labels{"reason": name}, func() uint64 { return server.Refused(reason) })
	}
	registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: "sassafrasturn_exchange_links", Help: "Open links to instances other than agents."},
		func() float64 { instances, _ := mesh.Links(); return float64(instances) },
	))
	registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: "sassafrasturn_exchange_agent_links", Help: "Open links to agents."},
		func() float64 { _, agents := mesh.Links(); return float64(agents) },
	))
}
