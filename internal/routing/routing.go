// Package routing is the routing table of the opaque mode: which services take
// the flows of an address that callers dial.
//
// A table is immutable. A newer one remembers the services that its
// predecessors had for each route, because open flows stay with them.
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
	// Holders are the names of all services that may hold flows of the route,
	// those that took its flows under earlier tables included.
	Holders []string

	totalWeight uint64
	// formerUntil tells until when each service outside Services may hold flows.
	formerUntil map[string]time.Duration
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
	MaxFlows      int
}

// Table is a routing table that is ready for use.
type Table struct {
	Version     uint64
	IdleTimeout time.Duration

	routes   map[netip.AddrPort]*Route
	former   map[netip.AddrPort]*Route
	services map[string]Service
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
		dialed := dialedOf(route)
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

func dialedOf(route *wire.Route) netip.AddrPort {
	return netip.AddrPortFrom(NumberAddress(route.Address), uint16(route.Port))
}

// Next builds the table that follows t at the time now. Services that lose a
// route keep its open flows for the given time.
func (t *Table) Next(table *wire.RoutingTable, now, flowLifetime time.Duration) *Table {
	next := &Table{
		Version:     table.Version,
		IdleTimeout: time.Duration(table.IdleTimeoutMs) * time.Millisecond,
		routes:      make(map[netip.AddrPort]*Route, len(table.Routes)),
		former:      make(map[netip.AddrPort]*Route),
		services:    make(map[string]Service, len(table.Services)),
	}
	for _, service := range table.Services {
		next.services[service.Service] = Service{ColdPerSecond: service.ColdPerSecond, MaxFlows: int(service.MaxFlows)}
	}
	for _, route := range table.Routes {
		dialed := dialedOf(route)
		next.routes[dialed] = newRoute(route.Services, t.Holding(dialed), now, flowLifetime)
	}
	for _, held := range []map[netip.AddrPort]*Route{t.routes, t.former} {
		for dialed, route := range held {
			if next.routes[dialed] != nil || next.former[dialed] != nil {
				continue
			}
			if former := newRoute(nil, route, now, flowLifetime); len(former.Holders) > 0 {
				next.former[dialed] = former
			}
		}
	}
	return next
}

func newRoute(services []*wire.WeightedService, before *Route, now, flowLifetime time.Duration) *Route {
	route := &Route{formerUntil: make(map[string]time.Duration)}
	for _, service := range services {
		if service.Weight > 0 {
			route.Services = append(route.Services, WeightedService{Name: service.Service, Weight: service.Weight})
			route.Holders = append(route.Holders, service.Service)
			route.totalWeight += uint64(service.Weight)
		}
	}
	if before == nil {
		return route
	}
	for _, name := range before.Holders {
		until, isFormer := before.formerUntil[name]
		if !isFormer {
			until = now + flowLifetime
		}
		if until > now && !slices.Contains(route.Holders, name) {
			route.Holders = append(route.Holders, name)
			route.formerUntil[name] = until
		}
	}
	return route
}

// Lookup returns the route of new flows, or nil.
func (t *Table) Lookup(dialed netip.AddrPort) *Route {
	return t.routes[dialed]
}

// Holding returns the route that open flows may have: also one that the table
// has dropped. It is nil when there has been none.
func (t *Table) Holding(dialed netip.AddrPort) *Route {
	if route := t.routes[dialed]; route != nil {
		return route
	}
	return t.former[dialed]
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
