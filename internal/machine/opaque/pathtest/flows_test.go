package pathtest

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/keyring"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/settings"
)

// disturbance is a change that must not break open flows.
type disturbance struct {
	name  string
	apply func(tc *testCluster)
}

var disturbances = []disturbance{
	{"a balancer joins", func(tc *testCluster) {
		tc.addBalancer()
		tc.sleep(2 * time.Second)
	}},
	{"a balancer leaves", func(tc *testCluster) {
		tc.balancers[0].isReady = false
	}},
	{"a balancer restarts without state", func(tc *testCluster) {
		b := tc.balancers[1]
		b.isReady = false
		b.stop()
		tc.sleep(time.Second)
		tc.startBalancer(b, 2)
		tc.sleep(2 * time.Second)
		b.isReady = true
	}},
	{"all agents restart without state", func(tc *testCluster) {
		tc.restartAgents()
		tc.sleep(2 * time.Second)
	}},
	{"endpoints are added", func(tc *testCluster) {
		tc.addSite("orders")
		tc.addSite("orders")
		tc.sleep(2 * time.Second)
	}},
	{"agents start before their endpoints, which reset all flows while starting", func(tc *testCluster) {
		for range 2 {
			s := tc.addSite("orders")
			s.endpoint.isStarting, s.endpoint.isSilent = true, true
			s.restartAgent(0)
		}
		tc.sleep(2 * time.Second)
	}},
	{"an endpoint drains", func(tc *testCluster) {
		tc.sites[0].endpoint.isDraining = true
		tc.sites[0].endpoint.announce()
		tc.sleep(2 * time.Second)
	}},
	{"the route changes to another service", func(tc *testCluster) {
		tc.addSite("drawings")
		tc.control.setRoute(5, orders, "drawings")
		tc.sleep(3 * time.Second)
	}},
	{"the route gets a second service", func(tc *testCluster) {
		tc.addSite("drawings")
		tc.control.setRoute(5, orders, "orders", "drawings")
		tc.sleep(3 * time.Second)
	}},
	{"a zone is taken out of service", func(tc *testCluster) {
		tc.control.zoneIndex, tc.control.zonesOut = 3, []string{zoneOf(0)}
		tc.sleep(2 * time.Second)
	}},
	{"control is down", func(tc *testCluster) {
		tc.control.isDown = true
		tc.sleep(8 * time.Second)
	}},
	{"callers move to another zone", func(tc *testCluster) {
		for _, f := range tc.flows {
			f.zone = 2
		}
	}},
}

// countBrokenFlows applies a disturbance to a cluster with open flows and returns how
// many of them break.
func countBrokenFlows(t *testing.T, isNaive bool, d disturbance) int {
	broken := 0
	runInCluster(t, isNaive, 4, 5, func(tc *testCluster) {
		var flows []*callerFlow
		for range 30 {
			f := tc.dial(orders, anyZone)
			tc.g.Expect(f.request()).NotTo(BeEmpty(), "flow %s", f.key)
			flows = append(flows, f)
		}
		d.apply(tc)
		for _, f := range flows {
			if f.request() == "" || f.wasResetOpen {
				broken++
			}
		}
	})
	return broken
}

func TestOpenFlowsSurvivePlannedChanges(t *testing.T) {
	for _, d := range disturbances {
		t.Run(d.name, func(t *testing.T) {
			NewWithT(t).Expect(countBrokenFlows(t, false, d)).To(BeZero())
		})
	}
}

// forgeOffer sends an agent an offered SYN from an instance with the given keys.
func (tc *testCluster) forgeOffer(number int, keys *keyring.Keyring, to *site) {
	key := flow.Key{Caller: netip.AddrPortFrom(ip(100, number), 999), Dialed: orders}
	tc.sendOffer(tc.instance(settings.RoleBalancer, ip(8, number), zoneOf(0)), keys, to, key, 0)
}

// offerTo offers a transmission of a flow's SYN to an agent, with no other candidate.
func (tc *testCluster) offerTo(to *site, key flow.Key, attempt int) {
	tc.sendOffer(tc.instance(settings.RoleBalancer, ip(8, 0), zoneOf(0)), tc.keys, to, key, attempt)
}

func (tc *testCluster) sendOffer(instance *machine.Instance, keys *keyring.Keyring, to *site, key flow.Key, attempt int) {
	instance.Keys = keys
	node, err := opaque.NewListener(instance, opaque.Handlers{})
	tc.g.Expect(err).NotTo(HaveOccurred())
	syn := encode(&flow.Header{Source: key.Caller, Destination: key.Dialed, IsSYN: true, Attempt: attempt}, nil)
	buffer := append(make([]byte, opaque.OfferHeadroom), syn...)
	offer := opaque.Offer{Service: opaque.TagOfService("orders"), Balancer: node.Address()}
	node.SendOffer(&offer, buffer, netip.AddrPortFrom(to.address, linkPort))
}

// With keys, flows are served over sealed datagrams, and an instance without the key
// cannot offer a flow to an endpoint.
func TestSealedPathRejectsForgedOffers(t *testing.T) {
	newKeys := func(fill byte) *keyring.Keyring {
		keys, err := keyring.New(1, map[keyring.Epoch][]byte{1: bytes.Repeat([]byte{fill}, 32)})
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		return keys
	}
	for _, c := range []struct {
		name     string
		keys     *keyring.Keyring
		accepted int
	}{{"without keys", nil, 1}, {"with keys", newKeys(7), 0}} {
		t.Run(c.name, func(t *testing.T) {
			runInKeyedCluster(t, c.keys, false, 3, 3, func(tc *testCluster) {
				for range 5 {
					tc.g.Expect(tc.dial(orders, anyZone).request()).NotTo(BeEmpty())
				}
				before := len(tc.sites[0].endpoint.opened)
				tc.forgeOffer(1, nil, tc.sites[0])
				tc.forgeOffer(2, newKeys(8), tc.sites[0])
				tc.sleep(50 * time.Millisecond)
				tc.g.Expect(len(tc.sites[0].endpoint.opened) - before).To(Equal(c.accepted))
			})
		})
	}
}

// A hash over the list of endpoints breaks flows whenever the list changes.
func TestNaiveForwardingBreaksFlows(t *testing.T) {
	for _, d := range disturbances {
		if d.name == "endpoints are added" {
			NewWithT(t).Expect(countBrokenFlows(t, true, d)).To(BeNumerically(">", 10))
		}
	}
}

// An endpoint only receives packets of its own flows, except shortly after a restart of
// its agent, and a caller only receives packets that an endpoint has sent. Malformed
// packets and random datagrams between instances do not disturb open flows.
func TestPacketsOfUnknownFlowsReachNoEndpoint(t *testing.T) {
	runInCluster(t, false, 2, 4, func(tc *testCluster) {
		open := tc.dial(orders, anyZone)
		for i := range 50 {
			caller := netip.AddrPortFrom(open.key.Caller.Addr(), uint16(5000+i))
			h := &flow.Header{Source: caller, Destination: orders, IsACK: true, Seq: uint32(i), Ack: uint32(i * 1000)}
			packet := encode(h, []byte("stray"))
			if i%5 == 0 {
				packet = packet[:i/5]
			}
			tc.network.send(packet, netip.AddrPortFrom(caller.Addr(), packetPort), tc.balancers[i%2].address)
			// A random datagram between instances.
			tc.network.send(append([]byte{byte(i % 9)}, packet...), controlAddress, netip.AddrPortFrom(tc.sites[i%4].address, linkPort))
		}
		tc.sleep(time.Second)
		for _, s := range tc.sites {
			tc.g.Expect(s.endpoint.unknownPackets).To(BeZero())
		}
		tc.g.Expect(open.request()).NotTo(BeEmpty())
		tc.g.Expect(open.isReset).To(BeFalse())
	})
}

// The path to the first agent is so slow that a retransmitted SYN is accepted by a
// second one. The caller continues with the endpoint that answered first.
func TestSYNAcceptedByTwoEndpoints(t *testing.T) {
	runInCluster(t, false, 3, 3, func(tc *testCluster) {
		for _, s := range tc.sites[:2] {
			tc.network.setDelay(netip.AddrPortFrom(s.address, linkPort), 350*time.Millisecond)
		}
		accepted := 0
		for range 12 {
			f := tc.dial(orders, anyZone)
			tc.g.Expect(f.isOpen).To(BeTrue())
			first := f.request()
			tc.g.Expect(first).NotTo(BeEmpty())
			tc.g.Expect(f.request()).To(Equal(first), "all answers come from one endpoint")
			tc.g.Expect(f.wasResetOpen).To(BeFalse())
			for _, s := range tc.sites {
				accepted += s.endpoint.opened[f.key]
			}
		}
		tc.g.Expect(accepted).To(BeNumerically(">", 12), "no SYN was accepted by two endpoints")
	})
}

// An address is reused by an endpoint of another service before the balancers are
// updated. It must not get flows of the previous service.
func TestReusedAddressGetsNoFlowsOfThePreviousService(t *testing.T) {
	runInCluster(t, false, 3, 3, func(tc *testCluster) {
		tc.control.isDown = true
		tc.sites[0].startEndpoint("drawings")
		tc.sites[1].endpoint.isSilent = true
		tc.sleep(3 * time.Second)
		for range 40 {
			tc.g.Expect(tc.isServed(orders)).To(BeTrue())
		}
		tc.g.Expect(tc.sites[0].endpoint.opened).To(BeEmpty(), "endpoint that now serves drawings")
		tc.g.Expect(tc.sites[1].endpoint.opened).To(BeEmpty(), "endpoint that has been silent for 3 s")
	})
}

// Once the agent has acknowledged that its endpoint drains, no new flow reaches the
// endpoint, even if the balancers have not been updated.
func TestDrainingEndpointGetsNoFlowsOnceAcknowledged(t *testing.T) {
	runInCluster(t, false, 3, 3, func(tc *testCluster) {
		tc.control.isDown = true
		drained := tc.sites[1].endpoint
		drained.isDraining = true
		drained.announce()
		for range 30 {
			tc.g.Expect(tc.isServed(orders)).To(BeTrue())
		}
		tc.g.Expect(drained.opened).To(BeEmpty())
	})
}

func TestZoneOutGetsNoNewFlows(t *testing.T) {
	runInCluster(t, false, 3, 6, func(tc *testCluster) {
		tc.control.zoneIndex, tc.control.zonesOut = 1, []string{zoneOf(1)}
		tc.sleep(time.Second)
		for range 30 {
			tc.g.Expect(tc.isServed(orders)).To(BeTrue())
		}
		for _, s := range tc.sites {
			if zoneOf(s.number) == zoneOf(1) {
				tc.g.Expect(s.endpoint.opened).To(BeEmpty())
			}
		}
		tc.control.zoneIndex, tc.control.zonesOut = 2, nil
		tc.sleep(time.Second)
		for range 60 {
			tc.g.Expect(tc.isServed(orders)).To(BeTrue())
		}
		tc.g.Expect(tc.sites[1].endpoint.opened).NotTo(BeEmpty())
	})
}

// Tables lead a route away from many services. The flows at all of them stay open, and nodes
// that have just started find them.
func TestFlowsSurviveTablesThatLeadAwayFromManyServices(t *testing.T) {
	services := []string{"desk-1", "desk-2", "desk-3", "desk-4", "desk-5", "desk-6", "desk-7"}
	cases := []struct {
		name string
		// tables are the services of the route by each table.
		tables [][]string
	}{
		{"at once", [][]string{services, services[6:]}},
		{"at once, to another service", [][]string{services, {"orders"}}},
		{"in halves", [][]string{services, services[3:], services[6:]}},
		{"one by one", [][]string{services[:1], services[1:2], services[2:3], services[3:4], services[4:5], services[5:6], services[6:]}},
		{"one by one, and back", [][]string{services, services[1:], services[2:], services[3:], services[4:], services[5:], services[6:], services[:1]}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInCluster(t, false, 2, 1, func(tc *testCluster) {
				for _, service := range services {
					tc.addSite(service)
				}
				tc.sleep(time.Second)
				var flows []*callerFlow
				for i, to := range c.tables {
					tc.control.setRoute(uint64(2+i), drawings, to...)
					tc.sleep(1200 * time.Millisecond)
					for range 2 * len(services) {
						f := tc.dial(drawings, anyZone)
						tc.g.Expect(f.isOpen).To(BeTrue())
						flows = append(flows, f)
					}
				}
				tc.expectServed(flows)
				tc.addColdBalancer()
				tc.expectNoResets(flows, 3*time.Second)
				tc.expectServed(flows)
			})
		})
	}
}

// A restarted endpoint has lost its flows. They are reset immediately, so that callers
// do not wait for their deadline.
func TestFlowsOfARestartedEndpointAreReset(t *testing.T) {
	runInCluster(t, false, 3, 1, func(tc *testCluster) {
		f := tc.dial(orders, anyZone)
		tc.g.Expect(f.request()).NotTo(BeEmpty())
		tc.sleep(1500 * time.Millisecond)
		tc.sites[0].startEndpoint("orders")
		tc.sleep(50 * time.Millisecond)
		tc.g.Expect(f.isReset).To(BeTrue())
		tc.g.Expect(tc.dial(orders, anyZone).request()).NotTo(BeEmpty())
	})
}

// The agent has started before its endpoint, which crashes without a word.
func TestFlowsOfACrashedEndpointAreReset(t *testing.T) {
	runInCluster(t, false, 3, 1, func(tc *testCluster) {
		f := tc.dial(orders, anyZone)
		tc.g.Expect(f.request()).NotTo(BeEmpty())
		tc.sites[0].endpoint.stop()
		tc.sleep(3 * time.Second)
		tc.g.Expect(f.isReset).To(BeTrue())
	})
}

// An endpoint replaces one that has crashed, and accepts flows before its first
// announcement. The announcement must not reset those flows, but only the flows of the
// previous endpoint.
func TestFlowsSurviveTheFirstAnnouncementOfTheirEndpoint(t *testing.T) {
	runInCluster(t, false, 3, 1, func(tc *testCluster) {
		s := tc.sites[0]
		before := tc.openFlows(5)
		tc.sleep(1300 * time.Millisecond)
		late := tc.openFlows(1)[0]
		s.startSilentEndpoint("orders")
		own := tc.openFlows(5)
		s.endpoint.isSilent = false
		s.endpoint.announce()
		tc.sleep(50 * time.Millisecond)
		for _, f := range before {
			tc.g.Expect(f.isReset).To(BeTrue(), "flow of the previous endpoint")
		}
		for _, f := range own {
			tc.g.Expect(f.isReset).To(BeFalse(), "flow of the new endpoint")
			tc.g.Expect(f.request()).NotTo(BeEmpty())
		}
		// The agent cannot attribute this flow to either endpoint until the endpoint
		// receives a packet of it.
		tc.g.Expect(late.request()).To(BeEmpty())
		tc.g.Expect(late.isReset).To(BeTrue())
	})
}

// openFlows opens flows to the orders service and sends a request on each.
func (tc *testCluster) openFlows(count int) []*callerFlow {
	var flows []*callerFlow
	for range count {
		f := tc.dial(orders, anyZone)
		tc.g.Expect(f.request()).NotTo(BeEmpty())
		flows = append(flows, f)
	}
	return flows
}

// expectPromptResets asserts that lost flows are reset after no more than one pass over
// the agents and one poll, and that their callers are served on a new flow.
func (tc *testCluster) expectPromptResets(flows []*callerFlow) {
	for _, f := range flows {
		start := time.Now()
		tc.g.Expect(f.request()).To(BeEmpty())
		tc.g.Expect(f.isReset).To(BeTrue())
		tc.g.Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
		tc.g.Expect(tc.isServed(orders)).To(BeTrue())
	}
}

// All endpoints and agents lose power, and the state of all flows is lost. The flows are
// reset as soon as all agents have been tried and control has confirmed that there are
// no others.
func TestFlowsLostInAFullRestartAreReset(t *testing.T) {
	runInCluster(t, false, 3, 4, func(tc *testCluster) {
		flows := tc.openFlows(10)
		for _, s := range tc.sites {
			s.stop()
			s.startEndpoint("orders")
		}
		tc.sleep(100 * time.Millisecond)
		for _, s := range tc.sites {
			s.startAgent()
			s.endpoint.announce()
		}
		tc.sleep(700 * time.Millisecond)
		tc.expectPromptResets(flows)
	})
}

// restartAll restarts control, all balancers and the given sites, which lose their
// flows.
func (tc *testCluster) restartAll(sites []*site) {
	tc.control.isDown = true
	for _, s := range sites {
		s.stop()
		s.startEndpoint("orders")
	}
	for _, b := range tc.balancers {
		b.stop()
	}
	tc.sleep(300 * time.Millisecond)
	for i, b := range tc.balancers {
		tc.startBalancer(b, i+1)
	}
	for _, s := range sites {
		s.startAgent()
		s.endpoint.announce()
	}
	tc.control.restart()
	tc.control.isDown = false
}

// Everything loses power, control included. With agents registered in the log, lost flows
// are reset as soon as the agents have polled once, and not only when a roster that began
// empty may call itself complete.
func TestRegisteredAgentsSpeedUpResetsAfterAFullRestart(t *testing.T) {
	for _, isRegistering := range []bool{true, false} {
		t.Run(fmt.Sprintf("registering %t", isRegistering), func(t *testing.T) {
			runInCluster(t, false, 3, 5, func(tc *testCluster) {
				tc.control.isRegistering = isRegistering
				tc.sleep(time.Second)
				flows := tc.openFlows(10)
				tc.restartAll(tc.sites)
				tc.sleep(300 * time.Millisecond)
				start := time.Now()
				tc.g.Expect(flows[0].request()).To(BeEmpty())
				tc.g.Expect(flows[0].isReset).To(BeTrue())
				tc.g.Expect(time.Since(start) < 250*time.Millisecond).To(Equal(isRegistering), "%s", time.Since(start))
				tc.g.Expect(tc.isServed(orders)).To(BeTrue())
			})
		})
	}
}

// Everything but one agent restarts, and the polls of that agent do not reach control.
// Its open flows are served, since control knows that it may own some. Control that has
// only what agents poll takes it for gone, and the flows are reset.
func TestFlowsOfARegisteredAgentSurviveARestartOfTheOthers(t *testing.T) {
	for _, isRegistering := range []bool{true, false} {
		t.Run(fmt.Sprintf("registering %t", isRegistering), func(t *testing.T) {
			runInCluster(t, false, 3, 5, func(tc *testCluster) {
				tc.control.isRegistering = isRegistering
				tc.sleep(time.Second)
				flows := tc.openFlows(30)
				silent := slices.MaxFunc(tc.sites, func(a, b *site) int { return len(a.endpoint.flows) - len(b.endpoint.flows) })
				flows = slices.DeleteFunc(flows, func(f *callerFlow) bool { return silent.endpoint.flows[f.key] == nil })
				tc.network.cutLink(controlAddress.Addr(), silent.address)
				tc.restartAll(slices.DeleteFunc(slices.Clone(tc.sites), func(s *site) bool { return s == silent }))
				resets := 0
				for start := time.Now(); time.Since(start) < 5*time.Second; tc.sleep(200 * time.Millisecond) {
					for _, f := range flows {
						if f.request() == "" {
							resets++
						}
					}
				}
				tc.g.Expect(resets == 0).To(Equal(isRegistering), "%d requests without an answer", resets)
			})
		})
	}
}

// Balancers restart while control is down, and a caller dials. Its first SYN opens the flow
// once control is back, before the caller sends the next one.
func TestPacketsWaitForTheRoutingTable(t *testing.T) {
	runInCluster(t, false, 3, 4, func(tc *testCluster) {
		tc.control.isDown = true
		tc.restartBalancers()
		time.AfterFunc(100*time.Millisecond, func() {
			tc.mu.Lock()
			defer tc.mu.Unlock()
			tc.control.isDown = false
		})
		start := time.Now()
		tc.g.Expect(tc.dial(orders, anyZone).isOpen).To(BeTrue())
		tc.g.Expect(time.Since(start)).To(BeNumerically("<", firstRetransmit))
	})
}

// All slots and queues are taken. Callers are not reset as long as this may be a rush, and
// are reset at once when it lasts longer than a caller's attempt.
func TestBusyEndpointsResetOnlyInALastingOverload(t *testing.T) {
	runInCluster(t, false, 1, 1, func(tc *testCluster) {
		endpoint := tc.sites[0].endpoint
		endpoint.slots, endpoint.isPaused = 1, true
		endpoint.announce()
		for range 5 {
			f := tc.dial(orders, anyZone)
			tc.g.Expect(f.isOpen).To(BeTrue())
			f.sendRequest()
		}
		tc.sleep(100 * time.Millisecond)
		inRush := tc.dial(orders, anyZone)
		tc.g.Expect(inRush.isOpen || inRush.isReset).To(BeFalse())
		start := time.Now()
		tc.g.Expect(tc.dial(orders, anyZone).isReset).To(BeTrue())
		tc.g.Expect(time.Since(start)).To(BeNumerically("<", firstRetransmit))
	})
}

// A flow that cannot be served is refused immediately instead of timing out.
func TestUnservableFlowsAreRefusedImmediately(t *testing.T) {
	cases := []struct {
		name  string
		setUp func(tc *testCluster) netip.AddrPort
	}{
		{"no route", func(*testCluster) netip.AddrPort { return drawings }},
		{"no endpoint", func(tc *testCluster) netip.AddrPort {
			tc.control.setRoute(2, drawings, "drawings")
			tc.sleep(time.Second)
			return drawings
		}},
		{"all endpoints drain", func(tc *testCluster) netip.AddrPort {
			for _, s := range tc.sites {
				s.endpoint.isDraining = true
				s.endpoint.announce()
			}
			return orders
		}},
		{"all endpoints bounce", func(tc *testCluster) netip.AddrPort {
			for _, s := range tc.sites {
				s.endpoint.isFull = true
			}
			return orders
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInCluster(t, false, 3, 3, func(tc *testCluster) {
				dialed := c.setUp(tc)
				start := time.Now()
				f := tc.dial(dialed, anyZone)
				tc.g.Expect(f.isOpen).To(BeFalse())
				tc.g.Expect(f.isReset).To(BeTrue())
				tc.g.Expect(time.Since(start)).To(BeNumerically("<=", firstRetransmit))
			})
		})
	}
}

// If an endpoint bounces a SYN because it is full, another one accepts the flow.
func TestBouncedSYNGoesToAnotherEndpoint(t *testing.T) {
	runInCluster(t, false, 3, 3, func(tc *testCluster) {
		tc.sites[0].endpoint.isFull = true
		for range 20 {
			f := tc.dial(orders, anyZone)
			tc.g.Expect(f.isOpen).To(BeTrue())
			tc.g.Expect(strings.HasSuffix(f.request(), tc.sites[0].address.String())).To(BeFalse())
		}
	})
}

// A failed agent that is still in the views costs one retransmission of the SYN, 200 ms,
// not the full dial timeout.
func TestFailedAgentCostsOneRetransmission(t *testing.T) {
	runInCluster(t, false, 3, 4, func(tc *testCluster) {
		tc.control.isDown = true
		tc.network.cutOff(netip.AddrPortFrom(tc.sites[0].address, linkPort))
		for i := range 20 {
			start := time.Now()
			f := tc.dial(orders, anyZone)
			tc.g.Expect(f.isOpen).To(BeTrue(), fmt.Sprintf("flow %d", i))
			tc.g.Expect(time.Since(start)).To(BeNumerically("<", secondRetransmit))
			tc.g.Expect(f.request()).NotTo(BeEmpty())
		}
	})
}

// A recently started agent has no routing table, and therefore not the rate that its cold
// endpoint can handle, while balancers already offer it flows.
func TestAgentWithoutATableLimitsFlowsToAColdEndpoint(t *testing.T) {
	runInCluster(t, false, 2, 1, func(tc *testCluster) {
		s := tc.sites[0]
		s.endpoint.coldLeft = 5 * time.Second
		tc.control.isDown = true
		tc.network.cutLink(s.address, controlAddress.Addr())
		s.restartAgent(0)
		s.endpoint.announce()
		start := time.Now()
		for time.Since(start) < 900*time.Millisecond {
			tc.dial(orders, anyZone)
			tc.sleep(20 * time.Millisecond)
		}
		tc.g.Expect(s.endpoint.opened).NotTo(BeEmpty())
		tc.g.Expect(len(s.endpoint.opened)).To(BeNumerically("<", 5), "more flows than the slack of every service")
	})
}

// An agent has failed, and control does not detect it. At each balancer it delays one
// flow, or two that arrive at the same time. After that, others are offered flows first.
// Once the agent has recovered, it gets its share again.
func TestFailedAgentIsAvoidedBeforeControlDetectsIt(t *testing.T) {
	runInCluster(t, false, 3, 4, func(tc *testCluster) {
		tc.control.isDown = true
		failed := tc.sites[0]
		link := netip.AddrPortFrom(failed.address, linkPort)
		tc.network.cutOff(link)
		late := 0
		for range 60 {
			start := time.Now()
			f := tc.dial(orders, anyZone)
			if time.Since(start) >= firstRetransmit {
				late++
			}
			tc.g.Expect(f.request()).NotTo(BeEmpty())
		}
		tc.g.Expect(late).To(BeNumerically("<=", len(tc.balancers)), "flows delayed by a retransmission")

		tc.network.heal(link)
		tc.sleep(200 * time.Millisecond)
		before := len(failed.endpoint.opened)
		tc.openFlows(40)
		tc.g.Expect(len(failed.endpoint.opened)).To(BeNumerically(">", before))
	})
}

// Control has recently started and learns of one agent after another. A balancer that
// kept the first list for a full poll interval would offer all flows to a few agents.
func TestNodesPollFasterUntilTheRosterConverges(t *testing.T) {
	runInCluster(t, false, 3, 2, func(tc *testCluster) {
		tc.control.restart()
		tc.sleep(550 * time.Millisecond)
		tc.addSite("orders")
		tc.sleep(150 * time.Millisecond)
		for _, b := range tc.balancers {
			tc.g.Expect(b.role.Details()).To(ContainElement("agents: 3"))
		}
	})
}

// A balancer without control keeps forwarding and stays ready. One whose datagrams reach
// no instance is not ready, so that routers use others, until it is reachable again.
func TestCutOffBalancerIsNotReady(t *testing.T) {
	runInCluster(t, false, 2, 3, func(tc *testCluster) {
		tc.control.isDown = true
		tc.sleep(5 * time.Second)
		isolated, other := tc.balancers[0], tc.balancers[1]
		tc.g.Expect(isolated.role.Health()).To(Succeed(), "balancer without control whose agents answer")
		tc.g.Expect(tc.isServed(orders)).To(BeTrue())

		link := netip.AddrPortFrom(isolated.address.Addr(), linkPort)
		tc.network.cutOff(link)
		tc.sleep(4 * time.Second)
		tc.g.Expect(isolated.role.Health()).To(MatchError(ContainSubstring("cut off")))
		tc.g.Expect(other.role.Health()).To(Succeed())

		tc.network.heal(link)
		tc.sleep(2500 * time.Millisecond)
		tc.g.Expect(isolated.role.Health()).To(Succeed())
	})
}

// An agent and its endpoint are permanently lost. Their flows are reset while the agent
// is still in the roster as expired, not only once it has been removed.
func TestFlowsOfALostEndpointAreReset(t *testing.T) {
	runInCluster(t, false, 3, 4, func(tc *testCluster) {
		flows := tc.openFlows(24)
		lost := tc.sites[1]
		lost.stop()
		lost.endpoint.stop()
		tc.sleep(4 * time.Second)
		for _, f := range flows {
			if lost.endpoint.opened[f.key] == 0 {
				tc.g.Expect(f.request()).NotTo(BeEmpty())
				continue
			}
			start := time.Now()
			tc.g.Expect(f.request()).To(BeEmpty())
			tc.g.Expect(f.isReset).To(BeTrue())
			tc.g.Expect(time.Since(start)).To(BeNumerically("<", 400*time.Millisecond))
		}
	})
}

// The polls of an agent do not reach control, and it expires there, while it serves its
// flows. Requests on them must be answered and no flow may be reset, also while the
// endpoint is so slow that callers retransmit.
func TestFlowsOfAServingAgentThatExpiresStayOpen(t *testing.T) {
	cases := []struct {
		name string
		// pauseAfter and pause are when and for how long the endpoint answers nothing.
		pauseAfter, pause time.Duration
	}{
		{"fast endpoint", 0, 0},
		{"slow endpoint", 3500 * time.Millisecond, 1100 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInCluster(t, false, 3, 5, func(tc *testCluster) {
				flows := tc.openFlows(30)
				silent := slices.MaxFunc(tc.sites, func(a, b *site) int { return len(a.endpoint.flows) - len(b.endpoint.flows) })
				flows = slices.DeleteFunc(flows, func(f *callerFlow) bool { return silent.endpoint.flows[f.key] == nil })
				tc.g.Expect(flows).NotTo(BeEmpty())
				tc.network.cutLink(controlAddress.Addr(), silent.address)
				start := time.Now()
				for time.Since(start) < 8*time.Second {
					sinceStart := time.Since(start)
					silent.endpoint.isPaused = sinceStart >= c.pauseAfter && sinceStart < c.pauseAfter+c.pause
					if silent.endpoint.isPaused {
						time.AfterFunc(c.pause, func() {
							tc.mu.Lock()
							defer tc.mu.Unlock()
							silent.endpoint.isPaused = false
						})
					}
					for _, f := range flows {
						tc.g.Expect(f.request()).NotTo(BeEmpty(), "%s after the cut, reset %t", time.Since(start), f.isReset)
					}
					tc.sleep(100 * time.Millisecond)
				}
				tc.g.Expect(tc.control.roster.LiveCount()).To(Equal(4), "the agent must have expired")
				for _, f := range flows {
					tc.g.Expect(f.isReset).To(BeFalse())
				}
			})
		})
	}
}

// All instances lose power, and some endpoints do not restart. Their agents detect this
// at their start, so that the resets of lost flows are not delayed.
func TestAgentsWithoutEndpointDoNotDelayResets(t *testing.T) {
	runInCluster(t, false, 3, 6, func(tc *testCluster) {
		flows := tc.openFlows(10)
		for i, s := range tc.sites {
			s.stop()
			s.endpoint.stop()
			if i < 4 {
				s.startEndpoint("orders")
			}
		}
		tc.sleep(100 * time.Millisecond)
		for _, s := range tc.sites {
			s.endpoint.isSilent = s.endpoint.isStopped()
			s.startAgent()
			s.endpoint.announce()
		}
		tc.sleep(200 * time.Millisecond)
		tc.expectPromptResets(flows)
	})
}

// Agents restart without their endpoints, and stop again. None of them may drop packets
// that are forwarded along the order to the owner of a flow.
func TestAgentsWithoutEndpointDoNotDropPackets(t *testing.T) {
	cases := []struct {
		name string
		stop func(tc *testCluster, s *site)
	}{
		{"stopped gracefully", func(tc *testCluster, s *site) {
			tc.mu.Unlock()
			s.agent.Drain(context.Background())
			tc.mu.Lock()
			s.stop()
		}},
		{"killed after 3 s", func(tc *testCluster, s *site) {
			tc.sleep(3 * time.Second)
			s.stop()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInCluster(t, false, 2, 8, func(tc *testCluster) {
				for _, s := range tc.sites[:5] {
					s.endpoint.stop()
					s.endpoint.isSilent = true
					s.restartAgent(0)
				}
				tc.sleep(1600 * time.Millisecond)
				f := tc.dial(orders, anyZone)
				tc.g.Expect(f.request()).NotTo(BeEmpty())
				for _, s := range tc.sites[:5] {
					c.stop(tc, s)
				}
				tc.addColdBalancer()
				for range 5 {
					start := time.Now()
					tc.g.Expect(f.request()).NotTo(BeEmpty())
					tc.g.Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
				}
			})
		})
	}
}

// addColdBalancer adds a balancer that has no cached owner of any flow, and takes all
// others out of rotation.
func (tc *testCluster) addColdBalancer() {
	for _, b := range tc.balancers {
		b.isReady = false
	}
	tc.addBalancer()
	tc.sleep(200 * time.Millisecond)
}

// restartWithoutTable restarts sites with new endpoints, whose agents take part before they
// have the routing table. It returns those of the flows that other sites own.
func (tc *testCluster) restartWithoutTable(sites []*site, flows []*callerFlow) []*callerFlow {
	for _, s := range sites {
		flows = slices.DeleteFunc(flows, func(f *callerFlow) bool { return s.endpoint.flows[f.key] != nil })
		tc.control.isTableWithheld[s.address] = true
		s.stop()
		s.endpoint.stop()
	}
	tc.sleep(500 * time.Millisecond)
	for _, s := range sites {
		s.startAgent()
		s.startEndpoint("orders")
	}
	tc.addColdBalancer()
	return flows
}

// Agents without a routing table must not reset the flows of others, however long they
// lack it.
func TestAgentsWithoutRoutingTableResetNoFlows(t *testing.T) {
	runInCluster(t, false, 2, 8, func(tc *testCluster) {
		flows := tc.restartWithoutTable(tc.sites[:5], tc.openFlows(40))
		tc.g.Expect(len(flows)).To(BeNumerically(">", 5))
		for _, f := range flows {
			f.sendRequest()
		}
		tc.sleep(time.Second)
		clear(tc.control.isTableWithheld)
		tc.sleep(time.Second)
		for _, f := range flows {
			tc.g.Expect(f.isReset).To(BeFalse())
			tc.g.Expect(f.request()).NotTo(BeEmpty())
		}
	})
}

// A route moves to a service, and a flow of that service arrives through a balancer that
// does not know of it. The agents of the former service do: they must not reset the flow, and
// send its packets to the agents that the balancer has left out.
func TestBalancerWithOlderRoutingTableCausesNoReset(t *testing.T) {
	runInCluster(t, false, 2, 4, func(tc *testCluster) {
		tc.addSite("drawings")
		tc.sleep(time.Second)
		current, behind := tc.balancers[0], tc.balancers[1]
		tc.control.isTableWithheld[behind.address.Addr()] = true
		behind.isReady = false
		tc.control.setRoute(2, orders, "drawings")
		tc.sleep(time.Second)
		f := tc.openFlows(1)[0]
		current.isReady, behind.isReady = false, true
		start := time.Now()
		tc.g.Expect(f.request()).NotTo(BeEmpty())
		tc.g.Expect(time.Since(start)).To(BeNumerically("<", firstRetransmit))
		tc.g.Expect(f.isReset).To(BeFalse())
		clear(tc.control.isTableWithheld)
		tc.sleep(time.Second)
		tc.g.Expect(f.request()).NotTo(BeEmpty())
	})
}

// A request that reaches agents shortly before they have the routing table is answered
// without another transmission.
func TestPacketsWaitForTheRoutingTableOfAgents(t *testing.T) {
	runInCluster(t, false, 2, 8, func(tc *testCluster) {
		flows := tc.restartWithoutTable(tc.sites[:5], tc.openFlows(40))
		for _, f := range flows {
			f.sendRequest()
		}
		tc.sleep(100 * time.Millisecond)
		clear(tc.control.isTableWithheld)
		for _, f := range flows {
			tc.g.Expect(f.awaitAnswer(200 * time.Millisecond)).NotTo(BeEmpty())
		}
	})
}
