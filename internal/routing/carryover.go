package routing

import (
	"net/netip"
	"slices"

	"sassafrasturn.example/internal/wire"
)

// What a table retains of earlier ones.
const (
	// keptServices and keptRoutes are how many of a route's former services, and of the dropped
	// routes, are kept although all their flows have ended: a node that was cut off may have
	// opened flows by an old table. The latest ones are kept.
	keptServices = 4
	keptRoutes   = 256
	// maxRetained bounds the former services of a table, each of which may be on a dropped route
	// of its own, so that nodes can decode it. The latest ones are kept.
	maxRetained = 100_000
)

// former is a service that a route had until the table of a version.
type former struct {
	service string
	version uint64
}

// CarryOver adds to the next table what open flows need from the table before: the services
// that its routes had, and the routes that were dropped. settled is the highest version such
// that all flows have ended that it or an earlier one led to other services. CarryOver depends
// only on its arguments, so that all control instances compute the same result.
func CarryOver(before, next *wire.RoutingTable, settled uint64) {
	kept := make(map[netip.AddrPort]*wire.Route, len(next.Routes))
	for _, route := range next.Routes {
		kept[dialedAddress(route)] = route
	}
	dropped := 0
	for _, old := range before.GetRoutes() {
		if route := kept[dialedAddress(old)]; route != nil {
			setFormer(route, formerServices(before.Version, old, next.Version, route, settled))
			continue
		}
		services := formerServices(before.Version, old, next.Version, &wire.Route{}, settled)
		isSettled := !slices.ContainsFunc(services, func(f former) bool { return f.version > settled })
		if len(services) == 0 || isSettled && dropped >= keptRoutes {
			continue
		}
		dropped++
		route := &wire.Route{Address: old.Address, Port: old.Port}
		setFormer(route, services)
		next.Routes = append(next.Routes, route)
	}
	limitRetained(next)
}

// CarryOverByCount is CarryOver for commands of earlier releases, which do not state what has
// settled: it keeps keptServices of a route and keptRoutes, whether their flows have ended or not.
func CarryOverByCount(before, next *wire.RoutingTable) {
	CarryOver(before, next, next.Version)
	for _, route := range next.Routes {
		route.FormerVersions = nil
	}
}

// formerServices returns the services that a route had before and that next does not have, the
// latest first: those whose flows may be open, and others up to keptServices.
func formerServices(beforeVersion uint64, before *wire.Route, nextVersion uint64, next *wire.Route, settled uint64) []former {
	var services []former
	add := func(f former) {
		isCurrent := slices.ContainsFunc(next.Services, func(s *wire.WeightedService) bool { return s.Service == f.service && s.Weight > 0 })
		isKnown := slices.ContainsFunc(services, func(known former) bool { return known.service == f.service })
		if !isCurrent && !isKnown && (f.version > settled || len(services) < keptServices) {
			services = append(services, f)
		}
	}
	for _, service := range before.Services {
		if service.Weight > 0 {
			add(former{service: service.Service, version: nextVersion})
		}
	}
	for _, f := range formerOf(before, beforeVersion) {
		add(f)
	}
	return services
}

// formerOf returns the former services of a route. Those whose version is not stated count as
// taken from the route by the given one.
func formerOf(route *wire.Route, version uint64) []former {
	services := make([]former, len(route.Former))
	for i, name := range route.Former {
		services[i] = former{service: name, version: version}
		if i < len(route.FormerVersions) {
			services[i].version = route.FormerVersions[i]
		}
	}
	return services
}

func setFormer(route *wire.Route, services []former) {
	route.Former, route.FormerVersions = nil, nil
	for _, f := range services {
		route.Former = append(route.Former, f.service)
		route.FormerVersions = append(route.FormerVersions, f.version)
	}
}

// limitRetained removes the oldest former services, and then dropped routes without one, if
// there are more than maxRetained.
func limitRetained(table *wire.RoutingTable) {
	var versions []uint64
	for _, route := range table.Routes {
		versions = append(versions, route.FormerVersions...)
	}
	if len(versions) <= maxRetained {
		return
	}
	slices.Sort(versions)
	oldest := versions[len(versions)-maxRetained]
	for _, route := range table.Routes {
		services := formerOf(route, 0)
		setFormer(route, slices.DeleteFunc(services, func(f former) bool { return f.version <= oldest }))
	}
	table.Routes = slices.DeleteFunc(table.Routes, func(route *wire.Route) bool {
		return len(route.Services) == 0 && len(route.Former) == 0
	})
}
