// Package lint finds what is wrong or suspicious in a desired state before it is sent, and
// how it differs from the one in force.
package lint

import (
	"fmt"
	"slices"

	"sassafrasturn.example/internal/wire"
)

// Severity is the kind of a finding.
type Severity string

// The severities.
const (
	// Error is what the product rejects.
	Error Severity = "error"
	// Warning is what the product accepts, though it has no effect or contradicts other values.
	Warning Severity = "warning"
	// Difference is what differs from the version in force.
	Difference Severity = "difference"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	// Line and Column count from 1, in bytes; 0 if the finding has no place in the file.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Path is the place in the body, as in "routes[2].host".
	Path string `json:"path,omitempty"`
	// Entry names what a difference is about, as in `route "orders"`.
	Entry string `json:"entry,omitempty"`
	// Field, From and To state a difference. From and To are JSON values, empty if there is none.
	Field   string `json:"field,omitempty"`
	From    string `json:"from,omitempty"`
	To      string `json:"to,omitempty"`
	Message string `json:"message"`
}

// State is a desired state: the product's routing table, and what only its text has.
type State struct {
	Table *wire.RoutingTable
	// Routes and Services are in the order of the table.
	Routes, Services []Entry
	Limits           Entry
	// Unknown are the paths of the fields that no desired state has.
	Unknown []string
}

// Entry is a route or a service of a desired state, or its limits.
type Entry struct {
	// Path is the place in the body, and Name the stated name.
	Path, Name string
	// Fields are the stated values, as JSON texts with sorted keys and without spaces.
	Fields map[string]string
	// Weighted are the paths of the weighted services, in the order of the route in the table.
	Weighted []string
}

// Warnings returns what the product accepts in a state but has no effect or contradicts itself.
func Warnings(state *State) []Finding {
	var findings []Finding
	warn := func(path, format string, args ...any) {
		findings = append(findings, Finding{Severity: Warning, Path: path, Message: fmt.Sprintf(format, args...)})
	}
	for _, path := range state.Unknown {
		warn(path, "unknown field, which is ignored")
	}
	named := make(map[string]bool)
	for i, route := range state.Table.Routes {
		entry := state.Routes[i]
		warnOfRoute(route, &entry, warn)
		for _, service := range route.Services {
			named[service.Service] = true
		}
	}
	last := make(map[string]int)
	for i, service := range state.Table.Services {
		last[service.Service] = i
	}
	for i, service := range state.Table.Services {
		entry := state.Services[i]
		switch {
		case service.Service == "":
			// The product rejects it.
		case last[service.Service] != i:
			warn(entry.Path, "service %q has no effect: %s has the same name, and the last one counts", service.Service, state.Services[last[service.Service]].Path)
		case !named[service.Service]:
			warn(entry.Path, "service %q gets no flows: no route names it", service.Service)
		}
		if entry.Fields["max-conns"] == "0" {
			warn(entry.Path+".max-conns", "service %q: max-conns is 0, which sets no limit", service.Service)
		}
	}
	return findings
}

func warnOfRoute(route *wire.Route, entry *Entry, warn func(path, format string, args ...any)) {
	if objective := route.LatencyObjectiveMs; route.TimeoutMs > 0 && objective > route.TimeoutMs {
		warn(entry.Path+".timeout-ms", "route %q: timeout-ms is %d, below target-latency-ms, which is %d", entry.Name, route.TimeoutMs, objective)
	}
	total := uint64(0)
	for _, service := range route.Services {
		total += uint64(service.Weight)
	}
	for i, service := range route.Services {
		// Weights that are all 0 are an error of the table.
		if service.Weight == 0 && total > 0 {
			warn(entry.Weighted[i], "route %q: service %q gets no new flows: its weight is 0", entry.Name, service.Service)
		}
		if slices.ContainsFunc(route.Services[:i], func(s *wire.WeightedService) bool { return s.Service == service.Service }) {
			warn(entry.Weighted[i], "route %q: service %q is named more than once, and its weights are added", entry.Name, service.Service)
		}
	}
}
