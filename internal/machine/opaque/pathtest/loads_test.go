package pathtest

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/keyring"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/routing"
	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/internal/wire"
)

func newTestKeys(t *testing.T) *keyring.Keyring {
	keys, err := keyring.New(1, map[keyring.Epoch][]byte{1: []byte("01234567890123456789012345678901")})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return keys
}

// runWithAndWithoutKeys runs a test on a cluster of each kind, whose route states an objective
// and a timeout.
func runWithAndWithoutKeys(t *testing.T, balancers, sites int, run func(tc *testCluster)) {
	for name, keys := range map[string]*keyring.Keyring{"without keys": nil, "with keys": newTestKeys(t)} {
		t.Run(name, func(t *testing.T) {
			runInKeyedCluster(t, keys, false, balancers, sites, func(tc *testCluster) {
				tc.stateDeadline(2)
				run(tc)
			})
		})
	}
}

// stateDeadline states an objective and a timeout for the route to orders in a new version of the
// routing table.
func (tc *testCluster) stateDeadline(version uint64) {
	tc.control.setRoute(version, orders, "orders")
	route := tc.control.table.Routes[0]
	route.LatencyObjectiveMs, route.TimeoutMs, route.Priority = 400, 3000, 2
	tc.sleep(time.Second)
}

// loadListener is an instance that keeps the reports that it gets.
type loadListener struct {
	*opaque.Node
	reports []*wire.EndpointLoad
}

func (tc *testCluster) addLoadListener(number int) *loadListener {
	l := new(loadListener)
	node, err := opaque.NewListener(tc.instance(settings.RoleBalancer, ip(8, number), zoneOf(0)), opaque.Handlers{
		Message: func(kind opaque.Kind, data []byte, _ netip.AddrPort) {
			report := new(wire.EndpointLoad)
			if kind == opaque.KindLoad && proto.Unmarshal(data, report) == nil {
				tc.mu.Lock()
				l.reports = append(l.reports, report)
				tc.mu.Unlock()
			}
		},
	})
	tc.g.Expect(err).NotTo(HaveOccurred())
	l.Node = node
	ctx, _ := tc.context()
	go node.Run(ctx)
	return l
}

// offerTo offers a new flow to a site as the only candidate.
func (l *loadListener) offerTo(to *site, port uint16) {
	key := flow.Key{Caller: netip.AddrPortFrom(ip(100, 1), port), Dialed: orders}
	buffer := append(make([]byte, opaque.OfferHeadroom), encode(&flow.Header{Source: key.Caller, Destination: key.Dialed, IsSYN: true}, nil)...)
	offer := opaque.Offer{Service: opaque.TagOfService("orders"), Balancer: l.Address(), RoutingVersion: 2}
	l.SendOffer(&offer, buffer, netip.AddrPortFrom(to.address, linkPort))
}

// An agent reports nothing while slots are free, then its load to the balancers of flows that
// wait or are refused, at most once in 250 ms. It answers requests for its load.
func TestAgentsReportTheirLoad(t *testing.T) {
	runWithAndWithoutKeys(t, 1, 1, func(tc *testCluster) {
		s, l := tc.sites[0], tc.addLoadListener(1)
		tc.openFlows(20)
		s.endpoint.isPaused = true
		for port := range uint16(5) {
			l.offerTo(s, 1+port)
		}
		tc.sleep(10 * time.Millisecond)
		tc.g.Expect(l.reports).To(BeEmpty(), "reports while slots were free")
		start := time.Now()
		for port := uint16(10); time.Since(start) < time.Second; port++ {
			l.offerTo(s, port)
			tc.sleep(5 * time.Millisecond)
		}
		tc.g.Expect(len(l.reports)).To(And(BeNumerically(">=", 4), BeNumerically("<=", 5)))
		first, last := l.reports[0], l.reports[len(l.reports)-1]
		tc.g.Expect(first).To(And(HaveField("Ready", true), HaveField("Slots", uint32(5)), HaveField("InFlight", uint32(6))))
		tc.g.Expect(last.InFlight).To(BeNumerically(">=", 25))
		tc.g.Expect(last.WaitMs).To(BeNumerically(">", first.WaitMs))

		address := netip.AddrPortFrom(s.address, linkPort)
		l.reports = nil
		for sequence := range uint64(3) {
			l.SendMessage(opaque.KindLoadRequest, &wire.EndpointLoad{Sequence: sequence}, address)
		}
		tc.sleep(10 * time.Millisecond)
		tc.g.Expect(l.reports).To(ConsistOf(HaveField("Sequence", uint64(1)), HaveField("Sequence", uint64(2))))
		tc.g.Expect(l.reports[0].Agent).To(Equal(routing.AddrPortNumber(address)))
	})
}

// Routes without an objective and a timeout are served as before, without reports.
func TestAgentsDoNotReportForRoutesWithoutDeadline(t *testing.T) {
	runInCluster(t, false, 1, 1, func(tc *testCluster) {
		s, l := tc.sites[0], tc.addLoadListener(1)
		for port := range uint16(100) {
			l.offerTo(s, 1+port)
		}
		tc.sleep(100 * time.Millisecond)
		tc.g.Expect(l.reports).To(BeEmpty())
	})
}

// Instances of an earlier release take no message of an unknown kind. They go on, and so do those
// that get no reports from them.
func TestInstancesIgnoreReportsThatAreNotForThem(t *testing.T) {
	runWithAndWithoutKeys(t, 1, 2, func(tc *testCluster) {
		flows := tc.openFlows(5)
		earlier, err := opaque.NewListener(tc.instance(settings.RoleBalancer, ip(8, 2), zoneOf(0)), opaque.Handlers{})
		tc.g.Expect(err).NotTo(HaveOccurred())
		ctx, _ := tc.context()
		go earlier.Run(ctx)
		l := tc.addLoadListener(1)
		targets := []netip.AddrPort{
			earlier.Address(), netip.AddrPortFrom(tc.balancers[0].address.Addr(), linkPort), netip.AddrPortFrom(tc.sites[0].address, linkPort),
		}
		for _, to := range targets {
			for kind := opaque.KindLoad; kind < opaque.KindLoadRequest+3; kind++ {
				l.SendMessage(kind, &wire.EndpointLoad{}, to)
				l.SendMessage(kind, &wire.PollAnswer{RoutingVersion: 1 << 60, Control: []string{"a"}}, to)
			}
		}
		tc.sleep(20 * time.Millisecond)
		tc.g.Expect(l.reports).To(BeEmpty())
		tc.expectServed(flows)
		tc.g.Expect(tc.isServed(orders)).To(BeTrue())
	})
}
