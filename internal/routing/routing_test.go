package routing

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/wire"
)

var dialed = netip.MustParseAddrPort("198.51.100.1:443")

func route(services ...*wire.WeightedService) *wire.Route {
	return &wire.Route{Address: AddressNumber(dialed.Addr()), Port: uint32(dialed.Port()), Services: services}
}

func weighted(service string, weight uint32) *wire.WeightedService {
	return &wire.WeightedService{Service: service, Weight: weight}
}

func table(version uint64, routes ...*wire.Route) *wire.RoutingTable {
	services := []*wire.ServiceBounds{{Service: "old", ColdPerSecond: 3}, {Service: "new"}}
	return &wire.RoutingTable{Version: version, Routes: routes, Services: services, IdleTimeoutMs: 15000}
}

func TestCheckRejectsInvalidTables(t *testing.T) {
	cases := []struct {
		name  string
		table *wire.RoutingTable
		want  string
	}{
		{"valid", table(1, route(weighted("old", 1))), ""},
		{"no route", table(1), ""},
		{"unknown service", table(1, route(weighted("other", 1))), "refers to service"},
		{"duplicate address", table(1, route(weighted("old", 1)), route(weighted("new", 1))), "two routes have the same address"},
		{"no weight", table(1, route(weighted("old", 0))), "weight greater than 0"},
		{"no service", table(1, route()), "weight greater than 0"},
		{"port 0", table(1, &wire.Route{Address: 1, Services: []*wire.WeightedService{weighted("old", 1)}}), "port: found 0"},
		{"port beyond the range", table(1, &wire.Route{Address: 1, Port: 1<<16 + 443, Services: []*wire.WeightedService{weighted("old", 1)}}), "port: found 65979"},
		{"address 0", table(1, &wire.Route{Port: 443, Services: []*wire.WeightedService{weighted("old", 1)}}), "address: found 0.0.0.0"},
		{"negative cold rate", &wire.RoutingTable{Version: 1, Services: []*wire.ServiceBounds{{Service: "s", ColdPerSecond: -1}}}, "cold rate: found -1"},
		{"cold rate that is no number", &wire.RoutingTable{Version: 1, Services: []*wire.ServiceBounds{{Service: "s", ColdPerSecond: math.NaN()}}}, "cold rate: found NaN"},
		{"infinite cold rate", &wire.RoutingTable{Version: 1, Services: []*wire.ServiceBounds{{Service: "s", ColdPerSecond: math.Inf(1)}}}, "cold rate: found +Inf"},
		{"service without a name", &wire.RoutingTable{Services: []*wire.ServiceBounds{{}}}, "no name"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := Check(c.table)
			if c.want == "" {
				NewWithT(t).Expect(err).NotTo(HaveOccurred())
				return
			}
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
}

// Open flows stay with the service that owns them when the route changes to another
// service or is dropped. A node that has only the latest table must also be able to
// route them.
func TestCarryOverKeepsOwnersOfOpenFlows(t *testing.T) {
	g := NewWithT(t)
	first := table(1, route(weighted("old", 1)))
	second := table(2, route(weighted("new", 1)))
	CarryOver(first, second, 0)
	g.Expect(New(second).Lookup(dialed).Allows("old")).To(BeFalse())
	g.Expect(New(second).LookupEstablished(dialed).OwnerServices).To(Equal([]string{"new", "old"}))

	third := table(3)
	CarryOver(second, third, 0)
	g.Expect(New(third).Lookup(dialed)).To(BeNil())
	g.Expect(New(third).Routes()).To(BeZero())
	g.Expect(New(third).LookupEstablished(dialed).OwnerServices).To(Equal([]string{"new", "old"}))

	fourth := table(4, route(weighted("old", 1)))
	CarryOver(third, fourth, 0)
	g.Expect(New(fourth).LookupEstablished(dialed).OwnerServices).To(Equal([]string{"old", "new"}))
}

func TestPickFollowsWeights(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	before := New(table(1, route(weighted("old", 90), weighted("new", 10)))).Lookup(dialed)
	after := New(table(2, route(weighted("old", 80), weighted("new", 20)))).Lookup(dialed)
	const flows = 20_000
	picked, moved := 0, 0
	for range flows {
		flow := random.Uint64()
		if before.Pick(flow) == "new" {
			picked++
		}
		if before.Pick(flow) != after.Pick(flow) {
			moved++
		}
		g.Expect(before.Pick(flow)).To(Equal(before.Pick(flow)))
	}
	g.Expect(float64(picked) / flows).To(BeNumerically("~", 0.1, 0.01))
	g.Expect(float64(moved)/flows).To(BeNumerically("~", 0.1, 0.01), "10 of 100 points of weight move")
}

// A route without positive weights accepts no new flows, regardless of its source.
func TestRouteWithoutWeightIsDropped(t *testing.T) {
	g := NewWithT(t)
	built := New(table(1, route(weighted("old", 0))))
	g.Expect(built.Lookup(dialed)).To(BeNil())
	g.Expect(built.LookupEstablished(dialed).OwnerServices).To(BeEmpty())
}

func TestServiceBounds(t *testing.T) {
	g := NewWithT(t)
	next := New(table(1))
	service, ok := next.Service("old")
	g.Expect(ok).To(BeTrue())
	g.Expect(service.ColdPerSecond).To(Equal(3.0))
	g.Expect(next.IdleTimeout).To(Equal(15 * time.Second))
	_, ok = Empty().Service("old")
	g.Expect(ok).To(BeFalse())
}

func TestAddressNumbers(t *testing.T) {
	g := NewWithT(t)
	g.Expect(AddressNumber(netip.MustParseAddr("1.2.3.4"))).To(Equal(uint32(0x01020304)))
	g.Expect(NumberAddress(0x01020304).String()).To(Equal("1.2.3.4"))
}

// Routes whose flows are the least urgent of a table must be told from the others, whatever numbers
// the operator uses for priorities.
func TestRoutesAreRankedByUrgency(t *testing.T) {
	g := NewWithT(t)
	ranks := func(priorities ...uint32) (ranks []int) {
		next := table(1)
		for i, priority := range priorities {
			next.Routes = append(next.Routes, &wire.Route{Address: 1, Port: uint32(i + 1), Services: []*wire.WeightedService{weighted("old", 1)}, Priority: priority})
		}
		parsed := New(next)
		for i := range priorities {
			ranks = append(ranks, parsed.Lookup(netip.AddrPortFrom(NumberAddress(1), uint16(i+1))).LessUrgent)
		}
		return ranks
	}
	g.Expect(ranks(2, 1, 2, 7)).To(Equal([]int{1, 2, 1, 0}))
	g.Expect(ranks(0, 0)).To(Equal([]int{0, 0}))
	g.Expect(ranks(math.MaxUint32, 0)).To(Equal([]int{0, 1}))
}

// A service that only flows of one priority use must not hold places back for urgent flows, whatever
// other services have.
func TestUrgencyIsComparedWithinAService(t *testing.T) {
	g := NewWithT(t)
	next := table(1)
	for i, r := range []struct {
		service  string
		priority uint32
	}{{"old", 2}, {"old", 1}, {"new", 2}, {"old", 2}} {
		next.Routes = append(next.Routes, &wire.Route{Address: 1, Port: uint32(i + 1), Services: []*wire.WeightedService{weighted(r.service, 1)}, Priority: r.priority})
	}
	parsed := New(next)
	isLeastUrgent := func(port uint16, name string) bool {
		service, _ := parsed.Service(name)
		return service.IsLeastUrgent(parsed.Lookup(netip.AddrPortFrom(NumberAddress(1), port)))
	}
	g.Expect(isLeastUrgent(1, "old")).To(BeTrue())
	g.Expect(isLeastUrgent(2, "old")).To(BeFalse())
	g.Expect(isLeastUrgent(3, "new")).To(BeFalse())
	g.Expect(isLeastUrgent(4, "old")).To(BeTrue())
}
