package agent

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sassafrasturn.example/internal/flow"
)

// serviceTime is what the agent reports of its endpoint's speed. The agent's lock guards it.
type serviceTime struct {
	// measured is the start of the endpoint that the measurement is of, nil for none.
	measured *flow.Endpoint
	gauge    prometheus.Gauge
}

func newServiceTime(registry *prometheus.Registry) serviceTime {
	gauge := prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "sassafrasturn_service_time_seconds", Help: "Median time that the endpoint needs for a request without waiting for a slot, 0 if it is not known.",
	})
	registry.MustRegister(gauge)
	return serviceTime{gauge: gauge}
}

// refreshServiceTime returns the endpoint's service time for the record, in milliseconds. It is 0 if
// it is not known, or if no route to the service states an objective and a timeout, without which new
// flows are not placed by speed. It drops the measurement when another start of the endpoint has
// begun, and measures only while one start runs that is not cold: which of two starts has answered a
// request is not known.
func (a *Agent) refreshServiceTime(now time.Duration) uint32 {
	endpoint := a.lifecycle.Endpoint()
	if endpoint != nil && !endpoint.IsSameStart(a.serviceTime.measured) {
		a.table.DropServiceTime()
		a.serviceTime.measured = endpoint
	}
	slots := 0
	isWarm := endpoint != nil && now >= endpoint.ColdUntil && endpoint.LastSeen >= a.zoneReturnedAt
	if isWarm && a.lifecycle.Admission(now) == endpoint {
		slots = endpoint.Slots
	}
	a.table.SetMeasuredSlots(slots)
	a.serviceTime.gauge.Set(a.table.ServiceTime().Seconds())
	reported := uint32(0)
	if endpoint != nil {
		if service, ok := a.node.State().Table.Service(endpoint.Service); ok && service.HasDeadline {
			reported = a.table.ReportedServiceTime()
		}
	}
	if before := a.record.ServiceTimeMs; reported != before {
		a.instance.Decisions.Decision("service-time").Uint32("reported_ms", reported).Uint32("before_ms", before).
			Dur("median_ms", a.table.ServiceTime()).Int("slots", slots).Msg("")
	}
	return reported
}
