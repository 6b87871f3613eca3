package machine

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const metricsReadTimeout = 5 * time.Second

func newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

// serveMetrics serves /metrics and /healthz until ctx ends.
func (i *Instance) serveMetrics(ctx context.Context) error {
	if !i.Settings.Metrics.Listen.IsValid() {
		return nil
	}
	listener, err := net.Listen("tcp", i.Settings.Metrics.Listen.String())
	if err != nil {
		return Error.Wrap(err)
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(i.Metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("/healthz", i.serveHealth)
	server := &http.Server{Handler: mux, ReadTimeout: metricsReadTimeout}
	context.AfterFunc(ctx, func() { server.Close() })
	go server.Serve(listener)
	return nil
}

func (i *Instance) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if err := i.Health(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}
