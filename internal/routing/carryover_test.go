package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

// names returns the names of services from first on.
func names(first, count int) []string {
	var list []string
	for i := range count {
		list = append(list, fmt.Sprintf("service-%02d", first+i))
	}
	return list
}

func routeTo(services ...string) *wire.Route {
	to := route()
	for _, name := range services {
		to.Services = append(to.Services, weighted(name, 1))
	}
	return to
}

// Flows stay with all services that a route had within their lifetime, however many they are.
func TestCarryOverKeepsAllServicesThatMayHaveOpenFlows(t *testing.T) {
	const count = 40
	all := names(0, count)
	cases := []struct {
		name   string
		tables [][]string
	}{
		{"one table leads to one of them", [][]string{all, all[count-1:]}},
		{"one table leads to another one", [][]string{all, {"another"}}},
		{"one table drops the route", [][]string{all, nil}},
		{"one after the other", func() (tables [][]string) {
			for i := range all {
				tables = append(tables, all[i:i+1])
			}
			return tables
		}()},
		{"one after the other, and back", func() (tables [][]string) {
			for i := range all {
				tables = append(tables, all[i:i+1], all[:1])
			}
			return tables
		}()},
		{"dropped and added again in between", func() (tables [][]string) {
			for i := range all {
				tables = append(tables, all[i:i+1], nil)
			}
			return tables
		}()},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			current := table(0)
			for i, services := range c.tables {
				next := table(uint64(i + 1))
				if services != nil {
					next.Routes = append(next.Routes, routeTo(services...))
				}
				CarryOver(current, next, 0)
				current = next
			}
			NewWithT(t).Expect(New(current).LookupEstablished(dialed).OwnerServices).To(ContainElements(all))
		})
	}
}

// Many routes are dropped at once, or within the lifetime of a flow.
func TestCarryOverKeepsAllDroppedRoutesThatMayHaveOpenFlows(t *testing.T) {
	g := NewWithT(t)
	const perTable, tables = 300, 5
	current := table(0)
	for version := range uint32(tables + 1) {
		next := table(uint64(version + 1))
		for i := range uint32(perTable) {
			if version < tables {
				next.Routes = append(next.Routes, &wire.Route{Address: 1 + version*perTable + i, Port: 1, Services: []*wire.WeightedService{weighted("old", 1)}})
			}
		}
		CarryOver(current, next, 0)
		current = next
	}
	g.Expect(current.Routes).To(HaveLen(perTable * tables))
}

// Services whose flows have ended are retained up to a count, however often the routes change.
func TestCarryOverIsBoundedByWhatHasSettled(t *testing.T) {
	const unsettled = 30
	for _, isByCount := range []bool{true, false} {
		g := NewWithT(t)
		current := table(0)
		for version := range uint32(2000) {
			name := names(int(version%100), 1)[0]
			next := table(uint64(version), &wire.Route{Address: version, Port: 1, Services: []*wire.WeightedService{weighted(name, 1)}},
				&wire.Route{Address: 1 << 31, Port: 1, Services: []*wire.WeightedService{weighted(name, 1)}})
			if isByCount {
				CarryOverByCount(current, next)
			} else {
				CarryOver(current, next, uint64(max(version, unsettled)-unsettled))
			}
			current = next
		}
		if isByCount {
			g.Expect(len(current.Routes)).To(Equal(keptRoutes + 2))
		} else {
			g.Expect(len(current.Routes)).To(BeNumerically("<=", keptRoutes+2+unsettled))
		}
		for _, route := range current.Routes {
			limit := keptServices
			if !isByCount {
				limit = max(keptServices, unsettled)
			}
			g.Expect(len(route.Former)).To(BeNumerically("<=", limit))
		}
	}
}

// Over random changes a naive list of what each route had in the last tables has nothing more.
func TestCarryOverAgreesWithANaiveList(t *testing.T) {
	for seed := range uint64(50) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 1))
		const lifetime = 8
		var had [][]string
		current := table(0)
		for version := uint64(1); version < 100; version++ {
			services := names(random.IntN(20), random.IntN(4))
			next := table(version)
			if len(services) > 0 {
				next.Routes = append(next.Routes, routeTo(services...))
			}
			settled := max(version, lifetime) - lifetime
			CarryOver(current, next, settled)
			current, had = next, append(had, services)
			var owners []string
			if found := New(current).LookupEstablished(dialed); found != nil {
				owners = found.OwnerServices
			}
			// The table of version settled+1 has taken the services of the one before it.
			for _, earlier := range had[max(settled, 1)-1:] {
				for _, name := range earlier {
					g.Expect(owners).To(ContainElement(name), "seed %d, version %d", seed, version)
				}
			}
		}
	}
}

// Tables of earlier releases do not state since when a service is a former one.
func TestCarryOverOfATableWithoutVersions(t *testing.T) {
	g := NewWithT(t)
	old := routeTo("current")
	old.Former = names(0, 4)
	next := table(8, routeTo("next"))
	CarryOver(table(7, old), next, 6)
	g.Expect(next.Routes[0].Former).To(Equal(slices.Concat([]string{"current"}, names(0, 4))))
	last := table(9, routeTo("last"))
	CarryOver(next, last, 7)
	g.Expect(last.Routes[0].Former).To(Equal([]string{"next", "current", "service-00", "service-01"}))
}

// More than a node can decode is not retained. The latest services are.
func TestCarryOverRetainsWhatNodesCanDecode(t *testing.T) {
	g := NewWithT(t)
	// The most routes that a desired state of 4 MB has room for, with another address in each
	// table.
	const routes = 64_000
	current := table(0)
	for version := range uint32(4) {
		next := table(uint64(version + 1))
		for i := range uint32(routes) {
			next.Routes = append(next.Routes, &wire.Route{Address: 1 + version*routes + i, Port: 443, Services: []*wire.WeightedService{weighted("a", 1)}})
		}
		CarryOver(current, next, 0)
		current = next
		data, err := proto.Marshal(current)
		g.Expect(err).NotTo(HaveOccurred())
		decoded, err := Decode(data)
		g.Expect(err).NotTo(HaveOccurred(), "version %d", version)
		g.Expect(len(decoded.Routes)).To(BeNumerically("<=", routes+maxRetained))
	}
	g.Expect(New(current).LookupEstablished(dialedAddress(&wire.Route{Address: 1 + 2*routes, Port: 443}))).NotTo(BeNil())
}

func TestHistorySettlesVersionsAfterTwoLifetimes(t *testing.T) {
	g := NewWithT(t)
	h := NewHistory(time.Minute)
	g.Expect(h.Settled(time.Hour)).To(BeZero())
	h.Record(time.Hour, 7)
	h.Record(time.Hour+time.Minute, 9)
	h.Record(time.Hour+90*time.Second, 9)
	h.Record(time.Hour+91*time.Second, 8)
	g.Expect(h.Settled(time.Hour + 2*time.Minute - 1)).To(BeZero())
	g.Expect(h.Settled(time.Hour + 2*time.Minute)).To(Equal(uint64(7)))
	g.Expect(h.Settled(time.Hour + 3*time.Minute)).To(Equal(uint64(9)))
	h.Record(2*time.Hour, 9)
	g.Expect(h.entries).To(BeEmpty())
	for version := uint64(10); version < 10_000; version++ {
		h.Record(2*time.Hour+time.Duration(version)*time.Second, version)
		g.Expect(len(h.entries)).To(BeNumerically("<=", 120))
	}
}
