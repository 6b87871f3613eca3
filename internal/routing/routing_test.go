package routing

import (
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

func share(service string, weight uint32) *wire.WeightedService {
	return &wire.WeightedService{Service: service, Weight: weight}
}

func table(version uint64, routes ...*wire.Route) *wire.RoutingTable {
	services := []*wire.ServiceBounds{{Service: "old", ColdPerSecond: 3}, {Service: "new"}}
	return &wire.RoutingTable{Version: version, Routes: routes, Services: services, IdleTimeoutMs: 15000}
}

func TestCheckNamesWhatIsWrong(t *testing.T) {
	cases := []struct {
		name  string
		table *wire.RoutingTable
		want  string
	}{
		{"sound", table(1, route(share("old", 1))), ""},
		{"no route", table(1), ""},
		{"unknown service", table(1, route(share("other", 1))), "names the service"},
		{"same place twice", table(1, route(share("old", 1)), route(share("new", 1))), "two routes"},
		{"no weight", table(1, route(share("old", 0))), "weight over 0"},
		{"no service", table(1, route()), "weight over 0"},
		{"nameless service", &wire.RoutingTable{Services: []*wire.ServiceBounds{{}}}, "no name"},
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

// Open flows stay with the service that holds them when the route turns to
// another one or is dropped, for as long as a flow may live.
func TestNextRemembersWhoHoldsOpenFlows(t *testing.T) {
	g := NewWithT(t)
	first := Empty().Next(table(1, route(share("old", 1))), 0, time.Minute)
	second := first.Next(table(2, route(share("new", 1))), time.Second, time.Minute)
	g.Expect(second.Lookup(dialed).Allows("old")).To(BeFalse())
	g.Expect(second.Holding(dialed).Holders).To(Equal([]string{"new", "old"}))

	dropped := second.Next(table(3), 2*time.Second, time.Minute)
	g.Expect(dropped.Lookup(dialed)).To(BeNil())
	g.Expect(dropped.Holding(dialed).Holders).To(ConsistOf("new", "old"))

	later := dropped.Next(table(4), 61*time.Second+time.Millisecond, time.Minute)
	g.Expect(later.Holding(dialed).Holders).To(Equal([]string{"new"}), "old was dropped a minute ago")
	last := later.Next(table(5), time.Hour, time.Minute)
	g.Expect(last.Holding(dialed)).To(BeNil())
}

func TestPickFollowsTheWeights(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	before := Empty().Next(table(1, route(share("old", 90), share("new", 10))), 0, 0).Lookup(dialed)
	after := Empty().Next(table(2, route(share("old", 80), share("new", 20))), 0, 0).Lookup(dialed)
	const flows = 20_000
	taken, moved := 0, 0
	for range flows {
		flow := random.Uint64()
		if before.Pick(flow) == "new" {
			taken++
		}
		if before.Pick(flow) != after.Pick(flow) {
			moved++
		}
		g.Expect(before.Pick(flow)).To(Equal(before.Pick(flow)))
	}
	g.Expect(float64(taken) / flows).To(BeNumerically("~", 0.1, 0.01))
	g.Expect(float64(moved)/flows).To(BeNumerically("~", 0.1, 0.01), "ten in a hundred points of weight move")
}

func TestServiceBounds(t *testing.T) {
	g := NewWithT(t)
	next := Empty().Next(table(1), 0, 0)
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
