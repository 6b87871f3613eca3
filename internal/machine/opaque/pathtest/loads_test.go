package pathtest

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/keyring"
	"sassafrasturn.example/internal/machine/opaque"
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
// wait or are refused, at most once in 50 ms. It answers requests for its load.
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
		tc.g.Expect(len(l.reports)).To(And(BeNumerically(">=", 15), BeNumerically("<=", 21)))
		first, last := l.reports[0], l.reports[len(l.reports)-1]
		tc.g.Expect(first).To(And(HaveField("Ready", true), HaveField("Slots", uint32(5)), HaveField("InFlight", uint32(6)), HaveField("Saturated", false)))
		tc.g.Expect(last.InFlight).To(BeNumerically(">=", 25))
		tc.g.Expect(last.WaitMs[0]).To(BeNumerically(">", first.WaitMs[0]))

		address := netip.AddrPortFrom(s.address, linkPort)
		l.reports = nil
		for sequence := range uint64(3) {
			l.SendMessage(opaque.KindLoadRequest, &wire.EndpointLoad{Sequence: sequence}, address)
		}
		tc.sleep(10 * time.Millisecond)
		tc.g.Expect(l.reports).To(ConsistOf(HaveField("Sequence", uint64(1)), HaveField("Sequence", uint64(2))))
		tc.g.Expect(l.reports[0].Agent).To(Equal(flow.ReportNumber(address)))
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

// report sends all balancers a report of a site, as its agent does.
func (tc *testCluster) report(s *site, change func(*wire.EndpointLoad)) {
	address := netip.AddrPortFrom(s.address, linkPort)
	message := &wire.EndpointLoad{Agent: flow.ReportNumber(address), Slots: 5, InFlight: 25, WaitMs: []uint32{600}, Ready: true, Saturated: true}
	if change != nil {
		change(message)
	}
	data, _ := proto.Marshal(message)
	for _, b := range tc.balancers {
		tc.network.send(tc.control.seal(append([]byte{byte(opaque.KindLoad)}, data...)), address, netip.AddrPortFrom(b.address.Addr(), linkPort))
	}
}

func (tc *testCluster) reportAll(change func(*wire.EndpointLoad)) {
	for _, s := range tc.sites {
		tc.report(s, change)
	}
	tc.sleep(2 * linkLatency)
}

// isRefusedAtBalancer sends the first SYN of a flow, and reports whether it is reset in less time
// than an agent would need.
func (tc *testCluster) isRefusedAtBalancer() bool {
	f := tc.prepare(orders, anyZone)
	f.sendSYN(0)
	tc.sleep(2*linkLatency + linkLatency/2)
	return f.isReset
}

// maxRefusalTime is how long a report may lead to refusals.
const maxRefusalTime = 200 * time.Millisecond

// A balancer refuses a flow if all its candidates have reported that they would not take it, with
// and without control, and as long as the reports are recent. Whatever is missing, the flow is
// offered, and served if there is a free slot after all.
func TestBalancersRefuseWhatNoAgentWouldTake(t *testing.T) {
	for name, c := range map[string]struct {
		prepare   func(tc *testCluster)
		isRefused bool
	}{
		"all full":                  {func(tc *testCluster) { tc.reportAll(nil) }, true},
		"all full, control is down": {func(tc *testCluster) { tc.control.isDown = true; tc.sleep(5 * time.Second); tc.reportAll(nil) }, true},
		"one report is lost": {func(tc *testCluster) {
			tc.network.cutOneWay(tc.sites[1].address, tc.balancers[0].address.Addr())
			tc.network.cutOneWay(tc.sites[1].address, tc.balancers[1].address.Addr())
			tc.reportAll(nil)
		}, false},
		"reports are stale behind a cut in one direction": {func(tc *testCluster) {
			tc.reportAll(nil)
			for _, s := range tc.sites {
				for _, b := range tc.balancers {
					tc.network.cutOneWay(s.address, b.address.Addr())
				}
			}
			tc.sleep(maxRefusalTime)
			tc.reportAll(nil)
		}, false},
		"an agent dies after a report of a long wait": {func(tc *testCluster) {
			tc.report(tc.sites[0], func(m *wire.EndpointLoad) { m.WaitMs = []uint32{60_000} })
			tc.sites[0].stop()
			tc.sites[0].endpoint.stop()
			tc.sleep(maxRefusalTime)
			tc.report(tc.sites[1], nil)
			tc.report(tc.sites[2], nil)
			tc.sleep(2 * linkLatency)
		}, false},
		"the balancers restart":       {func(tc *testCluster) { tc.reportAll(nil); tc.restartBalancers(); tc.sleep(time.Second) }, false},
		"waits are short":             {func(tc *testCluster) { tc.reportAll(func(m *wire.EndpointLoad) { m.WaitMs = []uint32{150} }) }, false},
		"the endpoints are in a rush": {func(tc *testCluster) { tc.reportAll(func(m *wire.EndpointLoad) { m.Saturated = false }) }, false},
		"the waits are of other flows": {func(tc *testCluster) {
			tc.reportAll(func(m *wire.EndpointLoad) { m.WaitMs = []uint32{600, 600, 0, 600} })
		}, false},
		"reports are implausible":    {func(tc *testCluster) { tc.reportAll(func(m *wire.EndpointLoad) { m.Slots = 0 }) }, false},
		"answers were not requested": {func(tc *testCluster) { tc.reportAll(func(m *wire.EndpointLoad) { m.Sequence = 7 }) }, false},
		"the route has no deadline": {func(tc *testCluster) {
			tc.control.setRoute(3, orders, "orders")
			tc.sleep(time.Second)
			tc.reportAll(nil)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			runWithAndWithoutKeys(t, 2, 3, func(tc *testCluster) {
				c.prepare(tc)
				tc.g.Expect(tc.isRefusedAtBalancer()).To(Equal(c.isRefused))
				tc.sleep(maxRefusalTime)
				for range 10 {
					tc.g.Expect(tc.isServed(orders)).To(BeTrue())
				}
			})
		})
	}
}

// Agents in a real overload, whose endpoints have no free slot for 1.4 s, report waits that lead to
// refusals at the balancer, which end once they have free slots.
func TestOverloadedAgentsHaveFlowsRefusedAtTheBalancer(t *testing.T) {
	runWithAndWithoutKeys(t, 1, 1, func(tc *testCluster) {
		endpoint := tc.sites[0].endpoint
		flows := tc.openFlows(40)
		sendAll := func() {
			for _, f := range flows {
				f.sendRequest()
			}
		}
		for range 10 {
			// Answers take 1.8 s.
			endpoint.isPaused = true
			sendAll()
			tc.sleep(1800 * time.Millisecond)
			endpoint.isPaused = false
			sendAll()
			tc.sleep(20 * time.Millisecond)
			for _, f := range flows {
				f.seq += uint32(len("request"))
			}
		}
		endpoint.isPaused = true
		sendAll()
		refused := 0
		for range 60 {
			tc.sleep(50 * time.Millisecond)
			sendAll()
			if tc.isRefusedAtBalancer() {
				refused++
			}
		}
		tc.g.Expect(refused).To(BeNumerically(">", 10))
		endpoint.isPaused = false
		sendAll()
		tc.sleep(maxRefusalTime)
		tc.g.Expect(tc.isServed(orders)).To(BeTrue())
	})
}

// A copy of a SYN that an endpoint has accepted arrives when all agents have become full. A reset
// would close the open flow.
func TestCopyOfAnOfferedSYNIsNotRefused(t *testing.T) {
	runWithAndWithoutKeys(t, 1, 2, func(tc *testCluster) {
		f := tc.dial(orders, anyZone)
		// The agents have free slots, and would say so on request.
		tc.dropLoadRequests()
		tc.reportAll(nil)
		f.seq--
		f.sendSYN(0)
		f.seq++
		tc.sleep(20 * time.Millisecond)
		tc.g.Expect(f.isReset).To(BeFalse())
		tc.g.Expect(tc.isRefusedAtBalancer()).To(BeTrue())
		tc.expectServed([]*callerFlow{f})
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

// A flow that is not offered to the first agent of its order, because that one is full, has its owner
// reported with its SYN. Otherwise its next packets would pass that agent.
func TestOwnersOfFlowsPastFullAgentsAreReported(t *testing.T) {
	runInCluster(t, false, 1, 2, func(tc *testCluster) {
		tc.stateDeadline(2)
		var updates atomic.Int64
		tc.network.mu.Lock()
		tc.network.policy = func(data []byte, _, to netip.AddrPort, delay time.Duration) (time.Duration, bool) {
			if to.Port() == linkPort && opaque.Kind(data[0]) == opaque.KindOwnerUpdate {
				updates.Add(1)
			}
			return delay, false
		}
		tc.network.mu.Unlock()
		first, _ := tc.openAtBusiest(10)
		tc.g.Expect(updates.Load()).To(BeZero())
		opened := len(first.endpoint.opened)
		tc.report(first, nil)
		tc.sleep(2 * linkLatency)
		tc.prepare(orders, anyZone).sendSYN(0)
		// The agent has the SYN, and the caller has not sent anything else yet.
		tc.sleep(3 * linkLatency)
		tc.g.Expect(first.endpoint.opened).To(HaveLen(opened), "flows at an agent that is full")
		tc.g.Expect(updates.Load()).To(Equal(int64(1)))
	})
}
