package routing

import (
	"net/netip"
	"slices"

	"sassafrasturn.example/internal/wire"
)

// Bounds on what a table retains of earlier ones.
const (
	// maxFormerServices bounds the former services of a route. A flow lasts a minute,
	// and a route rarely has more services in that time.
	maxFormerServices = 4
	// maxDroppedRoutes bounds the dropped routes. The latest ones are kept.
	maxDroppedRoutes = 256
)

// CarryOver adds to the next table what open flows need from the table before: the
// services that its routes had, and the routes that were dropped. It depends only on
// the two tables, so that all control instances compute the same result.
func CarryOver(before, next *wire.RoutingTable) {
	kept := make(map[netip.AddrPort]*wire.Route, len(next.Routes))
	for _, route := range next.Routes {
		kept[dialedAddress(route)] = route
	}
	dropped := 0
	for _, old := range before.GetRoutes() {
		if route := kept[dialedAddress(old)]; route != nil {
			route.Former = formerServices(old, route)
			continue
		}
		if names := formerServices(old, &wire.Route{}); len(names) > 0 && dropped < maxDroppedRoutes {
			dropped++
			next.Routes = append(next.Routes, &wire.Route{Address: old.Address, Port: old.Port, Former: names})
		}
	}
}

// formerServices returns the services that a route had before and that next does not
// have, the latest first.
func formerServices(before, next *wire.Route) []string {
	var names []string
	add := func(name string) {
		isCurrent := slices.ContainsFunc(next.Services, func(s *wire.WeightedService) bool { return s.Service == name && s.Weight > 0 })
		if !isCurrent && !slices.Contains(names, name) && len(names) < maxFormerServices {
			names = append(names, name)
		}
	}
	for _, service := range before.Services {
		if service.Weight > 0 {
			add(service.Service)
		}
	}
	for _, name := range before.Former {
		add(name)
	}
	return names
}
