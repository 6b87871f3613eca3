package emulate

import (
	"fmt"
	"io"
	"time"
)

// Scenario is a load on a set of endpoints.
type Scenario struct {
	Name      string
	Endpoints []Endpoint
	Load      Load
}

// Row is the result of one scenario with one placer. The shares are means over the
// seeds; the percentiles are the highest over the seeds.
type Row struct {
	Scenario, Placer              string
	WithinObjective, Late, Failed float64
	P50, P99                      time.Duration
}

// newEndpoints returns count endpoints, spread over three zones, with the sizes of
// smaller known deployments. change, if not nil, modifies each of them.
func newEndpoints(count int, change func(i int, e *Endpoint)) []Endpoint {
	endpoints := make([]Endpoint, count)
	for i := range endpoints {
		endpoints[i] = Endpoint{Zone: string(rune('a' + i%3)), Slots: 5, Queue: 20}
		if change != nil {
			change(i, &endpoints[i])
		}
	}
	return endpoints
}

// baseLoad returns a load of 45% of the capacity of seven endpoints.
func baseLoad() Load {
	return Load{
		Duration: 20 * time.Second, RequestsPerSecond: 500, MeanWork: 32 * time.Millisecond,
		Objective: 150 * time.Millisecond, Deadline: time.Second, Retries: 2,
	}
}

// Scenarios returns the scenarios in which the placers are compared.
func Scenarios() []Scenario {
	burst := baseLoad()
	burst.BurstFactor, burst.BurstFrom, burst.BurstTo = 2.6, 5*time.Second, 8*time.Second
	zoneBurst := baseLoad()
	zoneBurst.RequestsPerSecond, zoneBurst.BurstFactor, zoneBurst.BurstZone = 1400, 1.6, "a"
	zoneBurst.BurstFrom, zoneBurst.BurstTo = 5*time.Second, 10*time.Second
	outage := baseLoad()
	outage.InitialRequests, outage.Duration = 300, 3*time.Second
	return []Scenario{
		{Name: "calm", Endpoints: newEndpoints(7, nil), Load: baseLoad()},
		{Name: "slow-endpoints", Endpoints: newEndpoints(7, func(i int, e *Endpoint) {
			if i < 2 {
				e.SlowFactor = 5
			}
		}), Load: baseLoad()},
		{Name: "endpoint-turns-slow", Endpoints: newEndpoints(7, func(i int, e *Endpoint) {
			if i < 2 {
				e.SlowFactor, e.SlowFrom = 5, 8*time.Second
			}
		}), Load: baseLoad()},
		{Name: "silent-endpoint", Endpoints: newEndpoints(7, func(i int, e *Endpoint) {
			if i == 0 {
				e.SlowFactor, e.SlowFrom = 1000, 8*time.Second
			}
		}), Load: baseLoad()},
		{Name: "failing-endpoint", Endpoints: newEndpoints(7, func(i int, e *Endpoint) {
			if i == 0 {
				e.FailureShare, e.FailuresFrom = 0.4, 5*time.Second
			}
		}), Load: baseLoad()},
		{Name: "burst", Endpoints: newEndpoints(7, nil), Load: burst},
		{Name: "zone-burst", Endpoints: newEndpoints(45, func(_ int, e *Endpoint) { e.Slots, e.Queue = 2, 8 }), Load: zoneBurst},
		{Name: "after-outage", Endpoints: newEndpoints(9, func(_ int, e *Endpoint) { e.ColdFor, e.ColdFactor = 2*time.Second, 1.6 }), Load: outage},
	}
}

// placers are the compared strategies. Each run gets a new placer.
var placers = []struct {
	name string
	make func() Placer
}{
	{"offering", func() Placer { return &Offering{} }},
	{"hash", func() Placer { return Hash{} }},
	{"least-reported", func() Placer { return &LeastReported{Interval: 500 * time.Millisecond} }},
}

// Compare runs all scenarios with all placers, each with the given number of seeds.
func Compare(seeds int) []Row {
	var rows []Row
	for _, scenario := range Scenarios() {
		for _, p := range placers {
			row := RunScenario(scenario, p.make, seeds)
			row.Placer = p.name
			rows = append(rows, row)
		}
	}
	return rows
}

// RunScenario runs one scenario with the seeds 0 to seeds-1.
func RunScenario(scenario Scenario, newPlacer func() Placer, seeds int) Row {
	row := Row{Scenario: scenario.Name}
	for seed := range uint64(seeds) {
		result := Run(scenario.Endpoints, scenario.Load, newPlacer(), seed)
		row.WithinObjective += share(result.WithinObjective, result.Requests) / float64(seeds)
		row.Late += share(result.Late, result.Requests) / float64(seeds)
		row.Failed += share(result.Failed, result.Requests) / float64(seeds)
		row.P50, row.P99 = max(row.P50, result.P50), max(row.P99, result.P99)
	}
	return row
}

// Dimensions of the chart in pixels.
const (
	barHeight   = 18
	barGap      = 6
	labelWidth  = 240
	chartWidth  = 500
	chartMargin = 10
)

// Plot writes an SVG bar chart of the shares of requests that were within the
// objective, late and failed.
func Plot(w io.Writer, rows []Row) error {
	height := 2*chartMargin + len(rows)*(barHeight+barGap)
	text := fmt.Sprintf(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		labelWidth+chartWidth+2*chartMargin, height)
	for i, row := range rows {
		y := chartMargin + i*(barHeight+barGap)
		text += fmt.Sprintf(`<text x="%d" y="%d">%s, %s</text>`+"\n", chartMargin, y+barHeight-5, row.Scenario, row.Placer)
		x := float64(labelWidth)
		for _, part := range []struct {
			share float64
			color string
		}{{row.WithinObjective, "#4c9a4c"}, {row.Late, "#e0b040"}, {row.Failed, "#c04040"}} {
			text += fmt.Sprintf(`<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="%s"/>`+"\n", x, y, part.share*chartWidth, barHeight, part.color)
			x += part.share * chartWidth
		}
	}
	_, err := io.WriteString(w, text+"</svg>\n")
	return err
}
