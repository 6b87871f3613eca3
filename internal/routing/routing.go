// Package routing implements the routing table of the opaque mode, which maps each
// address that callers dial to the services that accept its flows.
//
// Tables retain the services that earlier tables had for each route, because open
// flows stay with them, and a node that has just started must be able to route those
// flows too.
package routing

import (
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"sassafrasturn.example/internal/rendezvous"
	"sassafrasturn.example/internal/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("routing table")

// Route is the route of one dialed address to its services.
type Route struct {
	// Services accept new flows in proportion to their weights.
	Services []WeightedService
	// OwnerServices are the names of all services that may have open flows of the
	// route, including those that accepted its flows under earlier tables.
	OwnerServices []string
	// LatencyObjective is the latency that callers require, 0 if none is stated.
	LatencyObjective time.Duration
	// Timeout is the time after which callers give up a request, 0 if none is stated.
	Timeout time.Duration
	// Priority is the urgency of the route's flows, 0 being the most urgent.
	Priority int
	// LessUrgent is how many other priorities of the table's routes are less urgent.
	LessUrgent int

	totalWeight uint64
}

// HasDeadline reports whether the route states both an objective and a timeout, which decisions
// under load require.
func (r *Route) HasDeadline() bool { return r.LatencyObjective > 0 && r.Timeout > 0 }

// WeightedService is a service of a route with its weight.
type WeightedService struct {
	Name   string
	Weight uint32
}

// Service is the stated capacity of a service's endpoints.
type Service struct {
	// ColdPerSecond is how many requests per second a cold endpoint can handle.
	ColdPerSecond float64
	// MaxFlows is the maximum number of flows of an endpoint, 0 if it is not stated.
	MaxFlows int
	// MostUrgent and LeastUrgent are the lowest and the highest priority of the routes that lead
	// to the service.
	MostUrgent, LeastUrgent int
	// HasDeadline is set if one of these routes states an objective and a timeout.
	HasDeadline bool
}

// IsLeastUrgent reports whether other flows of the service are more urgent than those of a route,
// and none less.
func (s *Service) IsLeastUrgent(route *Route) bool {
	return route.Priority > s.MostUrgent && route.Priority >= s.LeastUrgent
}

// Table is a routing table that is indexed for lookups.
type Table struct {
	Version     uint64
	IdleTimeout time.Duration

	// routes are the routes that accept new flows, and dropped those that no longer
	// do.
	routes, dropped map[netip.AddrPort]*Route
	services        map[string]Service
	// retained are the former services of routes.
	retained map[string]bool
}

// Empty returns the table used until the first routing table is received.
func Empty() *Table {
	return &Table{}
}

// Check validates a table submitted by an operator. It returns the first of its Problems.
func Check(table *wire.RoutingTable) error {
	for problem := range Problems(table) {
		return problem.Err
	}
	return nil
}

// AddressNumber returns an IPv4 address as the integer used in messages.
func AddressNumber(address netip.Addr) uint32 {
	b := address.As4()
	return uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
}

// NumberAddress is the inverse of AddressNumber.
func NumberAddress(number uint32) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(number >> 24), byte(number >> 16), byte(number >> 8), byte(number)})
}

// AddrPortNumber returns an IPv4 address and a port as the integer used in messages: the address in
// the upper bits, the port in the lower 16.
func AddrPortNumber(address netip.AddrPort) uint64 {
	return uint64(AddressNumber(address.Addr()))<<16 | uint64(address.Port())
}

// NumberAddrPort is the inverse of AddrPortNumber. Bits beyond those of an address are ignored.
func NumberAddrPort(number uint64) netip.AddrPort {
	return netip.AddrPortFrom(NumberAddress(uint32(number>>16)), uint16(number))
}

func dialedAddress(route *wire.Route) netip.AddrPort {
	return netip.AddrPortFrom(NumberAddress(route.Address), uint16(route.Port))
}

// New returns the table built from its message.
func New(table *wire.RoutingTable) *Table {
	t := &Table{
		Version:     table.Version,
		IdleTimeout: time.Duration(table.IdleTimeoutMs) * time.Millisecond,
		routes:      make(map[netip.AddrPort]*Route, len(table.Routes)),
		dropped:     make(map[netip.AddrPort]*Route),
		services:    make(map[string]Service, len(table.Services)),
		retained:    make(map[string]bool),
	}
	for _, service := range table.Services {
		t.services[service.Service] = Service{ColdPerSecond: service.ColdPerSecond, MaxFlows: int(service.MaxFlows)}
	}
	for _, route := range table.Routes {
		for _, name := range route.Former {
			t.retained[name] = true
		}
		converted := newRoute(route)
		if len(converted.Services) == 0 {
			t.dropped[dialedAddress(route)] = converted
		} else {
			t.routes[dialedAddress(route)] = converted
		}
	}
	t.summarizeRoutes()
	return t
}

// summarizeRoutes sets LessUrgent of all routes that accept new flows, and what services state about
// the routes that lead to them.
func (t *Table) summarizeRoutes() {
	var priorities []int
	ranked := make(map[string]bool)
	for _, route := range t.routes {
		priorities = append(priorities, route.Priority)
		for _, to := range route.Services {
			service, ok := t.services[to.Name]
			if !ok {
				continue
			}
			if !ranked[to.Name] {
				ranked[to.Name] = true
				service.MostUrgent, service.LeastUrgent = route.Priority, route.Priority
			}
			service.MostUrgent, service.LeastUrgent = min(service.MostUrgent, route.Priority), max(service.LeastUrgent, route.Priority)
			service.HasDeadline = service.HasDeadline || route.HasDeadline()
			t.services[to.Name] = service
		}
	}
	slices.Sort(priorities)
	priorities = slices.Compact(priorities)
	for _, route := range t.routes {
		at, _ := slices.BinarySearch(priorities, route.Priority)
		route.LessUrgent = len(priorities) - 1 - at
	}
}

func newRoute(from *wire.Route) *Route {
	route := &Route{
		LatencyObjective: time.Duration(from.LatencyObjectiveMs) * time.Millisecond,
		Timeout:          time.Duration(from.TimeoutMs) * time.Millisecond,
		Priority:         int(from.Priority),
	}
	for _, service := range from.Services {
		if service.Weight > 0 {
			route.Services = append(route.Services, WeightedService{Name: service.Service, Weight: service.Weight})
			route.OwnerServices = append(route.OwnerServices, service.Service)
			route.totalWeight += uint64(service.Weight)
		}
	}
	for _, name := range from.Former {
		if !slices.Contains(route.OwnerServices, name) {
			route.OwnerServices = append(route.OwnerServices, name)
		}
	}
	return route
}

// Lookup returns the route for new flows of a dialed address, or nil.
func (t *Table) Lookup(dialed netip.AddrPort) *Route {
	return t.routes[dialed]
}

// LookupEstablished returns the route for open flows of a dialed address, which may be
// one that the table has dropped. It returns nil if there is none.
func (t *Table) LookupEstablished(dialed netip.AddrPort) *Route {
	if route := t.routes[dialed]; route != nil {
		return route
	}
	return t.dropped[dialed]
}

// Service returns the stated capacity of a service's endpoints.
func (t *Table) Service(name string) (Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Names reports whether the table names a service.
func (t *Table) Names(service string) bool {
	_, ok := t.services[service]
	return ok
}

// Retains reports whether a service was one of a route under an earlier table, and may have open
// flows.
func (t *Table) Retains(service string) bool { return t.retained[service] }

// Routes returns the number of routes that accept new flows.
func (t *Table) Routes() int {
	return len(t.routes)
}

// Allows reports whether new flows of the route may go to the service. A nil route
// allows none.
func (r *Route) Allows(service string) bool {
	return r != nil && slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Name == service })
}

// Pick chooses the service of a new flow according to the weights. The same flow
// always gets the same service, and a small change of the weights reassigns few flows.
func (r *Route) Pick(flow uint64) string {
	if len(r.Services) == 1 {
		return r.Services[0].Name
	}
	at := rendezvous.Mix(flow^pickSalt) % r.totalWeight
	for _, service := range r.Services {
		if at < uint64(service.Weight) {
			return service.Name
		}
		at -= uint64(service.Weight)
	}
	return r.Services[len(r.Services)-1].Name
}

// pickSalt makes the choice of the service independent of that of the endpoint.
const pickSalt = 0x9e3779b97f4a7c15
