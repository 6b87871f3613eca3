// Package routing is the routing table of the opaque mode: which services take
// the flows of an address that callers dial.
//
// Tables carry the services that earlier ones had for each route, because open
// flows stay with them: a node that has just started must find them too.
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

// Route leads to services.
type Route struct {
	// Services take new flows, by their weights.
	Services []WeightedService
	// OwnerServices are the names of all services that may hold flows of the route,
	// those that took its flows under earlier tables included.
	OwnerServices []string
	// LatencyObjective is the latency that callers want, 0 when none is stated.
	LatencyObjective time.Duration

	totalWeight uint64
}

// WeightedService is the share of a service in a route.
type WeightedService struct {
	Name   string
	Weight uint32
}

// Service is what the endpoints of a service bear.
type Service struct {
	// ColdPerSecond is how many requests a second a cold endpoint bears.
	ColdPerSecond float64
	// MaxFlows is how many flows an endpoint holds, 0 when it is not stated.
	MaxFlows int
}

// Table is a routing table that is ready for use.
type Table struct {
	Version     uint64
	IdleTimeout time.Duration

	// routes are those that take new flows, dropped those that did.
	routes, dropped map[netip.AddrPort]*Route
	services        map[string]Service
}

// Empty is the table before the first configuration.
func Empty() *Table {
	return &Table{}
}

// Check reports what is wrong with a table that an operator sends.
func Check(table *wire.RoutingTable) error {
	known := make(map[string]bool)
	for _, service := range table.Services {
		if service.Service == "" {
			return Error.New("a service has no name")
		}
		known[service.Service] = true
	}
	seen := make(map[netip.AddrPort]bool)
	for _, route := range table.Routes {
		dialed := dialedAddress(route)
		if seen[dialed] {
			return Error.New("two routes have the address %s", dialed)
		}
		seen[dialed] = true
		if err := checkServices(dialed, route.Services, known); err != nil {
			return err
		}
	}
	return nil
}

func checkServices(dialed netip.AddrPort, services []*wire.WeightedService, known map[string]bool) error {
	total := uint64(0)
	for _, service := range services {
		if !known[service.Service] {
			return Error.New("route %s names the service %q, which the table does not have", dialed, service.Service)
		}
		total += uint64(service.Weight)
	}
	if total == 0 {
		return Error.New("route %s has no service with a weight over 0", dialed)
	}
	return nil
}

// AddressNumber gives an IPv4 address as the number that messages carry.
func AddressNumber(address netip.Addr) uint32 {
	b := address.As4()
	return uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
}

// NumberAddress is the reverse of AddressNumber.
func NumberAddress(number uint32) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(number >> 24), byte(number >> 16), byte(number >> 8), byte(number)})
}

func dialedAddress(route *wire.Route) netip.AddrPort {
	return netip.AddrPortFrom(NumberAddress(route.Address), uint16(route.Port))
}

// New makes a table ready for use.
func New(table *wire.RoutingTable) *Table {
	t := &Table{
		Version:     table.Version,
		IdleTimeout: time.Duration(table.IdleTimeoutMs) * time.Millisecond,
		routes:      make(map[netip.AddrPort]*Route, len(table.Routes)),
		dropped:     make(map[netip.AddrPort]*Route),
		services:    make(map[string]Service, len(table.Services)),
	}
	for _, service := range table.Services {
		t.services[service.Service] = Service{ColdPerSecond: service.ColdPerSecond, MaxFlows: int(service.MaxFlows)}
	}
	for _, route := range table.Routes {
		converted := newRoute(route)
		if len(converted.Services) == 0 {
			t.dropped[dialedAddress(route)] = converted
		} else {
			t.routes[dialedAddress(route)] = converted
		}
	}
	return t
}

func newRoute(from *wire.Route) *Route {
	route := &Route{LatencyObjective: time.Duration(from.LatencyObjectiveMs) * time.Millisecond}
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

// Lookup returns the route of new flows, or nil.
func (t *Table) Lookup(dialed netip.AddrPort) *Route {
	return t.routes[dialed]
}

// LookupEstablished returns the route that open flows may have: also one that the table
// has dropped. It is nil when there has been none.
func (t *Table) LookupEstablished(dialed netip.AddrPort) *Route {
	if route := t.routes[dialed]; route != nil {
		return route
	}
	return t.dropped[dialed]
}

// Service returns what the endpoints of a service bear.
func (t *Table) Service(name string) (Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Routes returns how many routes take new flows.
func (t *Table) Routes() int {
	return len(t.routes)
}

// Allows reports whether new flows of the route may go to the service.
func (r *Route) Allows(service string) bool {
	return r != nil && slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Name == service })
}

// Pick chooses the service of a new flow by the weights. The same flow gets the
// same service; a small change of the weights moves few flows.
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

// pickSalt keeps the choice of the service independent of that of the endpoint.
const pickSalt = 0x9e3779b97f4a7c15
