package routing

import (
	"iter"
	"math"
	"net/netip"

	"sassafrasturn.example/internal/wire"
)

// Field is the part of an entry that a Problem is about.
type Field int

// The fields of services (name and cold rate) and of routes.
const (
	FieldName Field = iota
	FieldColdRate
	FieldAddress
	FieldPort
	FieldServices
)

// Problem is one reason for which a table is not accepted.
type Problem struct {
	// IsService tells that Index counts the services of the table, otherwise its routes.
	IsService bool
	Index     int
	Field     Field
	// Service is the index of the route's service if the problem is about one of them, otherwise -1.
	Service int
	Err     error
}

// Problems returns all problems of a table submitted by an operator: those of its services, then
// those of its routes. It finds them as they are asked for.
func Problems(table *wire.RoutingTable) iter.Seq[Problem] {
	return func(yield func(Problem) bool) {
		known, ok := serviceProblems(table, yield)
		if ok {
			routeProblems(table, known, yield)
		}
	}
}

func serviceProblems(table *wire.RoutingTable, yield func(Problem) bool) (known map[string]bool, ok bool) {
	known = make(map[string]bool)
	for i, service := range table.Services {
		report := func(field Field, err error) bool {
			return yield(Problem{IsService: true, Index: i, Field: field, Service: -1, Err: err})
		}
		if service.Service == "" && !report(FieldName, Error.New("a service of the table has no name")) {
			return known, false
		}
		if rate := service.ColdPerSecond; !(rate >= 0 && rate <= math.MaxFloat64) &&
			!report(FieldColdRate, Error.New("service %q: cold rate: found %v, allowed: 0 or more", service.Service, rate)) {
			return known, false
		}
		known[service.Service] = service.Service != ""
	}
	return known, true
}

func routeProblems(table *wire.RoutingTable, known map[string]bool, yield func(Problem) bool) {
	seen := make(map[netip.AddrPort]bool)
	for i, route := range table.Routes {
		dialed := dialedAddress(route)
		report := func(field Field, service int, err error) bool {
			return yield(Problem{Index: i, Field: field, Service: service, Err: err})
		}
		isPort := route.Port >= 1 && route.Port <= math.MaxUint16
		if !isPort && !report(FieldPort, -1, Error.New("route %s: port: found %d, allowed: 1 to %d", dialed, route.Port, math.MaxUint16)) {
			return
		}
		if route.Address == 0 && !report(FieldAddress, -1, Error.New("route %s: address: found %s, allowed: an address that callers can dial", dialed, dialed.Addr())) {
			return
		}
		// An invalid address is reported once, and not compared with others.
		isDialed := isPort && route.Address != 0
		if isDialed && seen[dialed] && !report(FieldAddress, -1, Error.New("two routes have the same address %s", dialed)) {
			return
		}
		seen[dialed] = seen[dialed] || isDialed
		if !servicesOfRoute(dialed, route.Services, known, report) {
			return
		}
	}
}

func servicesOfRoute(dialed netip.AddrPort, services []*wire.WeightedService, known map[string]bool, report func(Field, int, error) bool) bool {
	total := uint64(0)
	for i, service := range services {
		if !known[service.Service] && !report(FieldServices, i, Error.New("route %s refers to service %q, which is not in the table", dialed, service.Service)) {
			return false
		}
		total += uint64(service.Weight)
	}
	return total > 0 || report(FieldServices, -1, Error.New("route %s has no service with a weight greater than 0", dialed))
}
