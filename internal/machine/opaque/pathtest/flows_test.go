package pathtest

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/keyring"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/settings"
)

// disturbance is something that must break no open flow.
type disturbance struct {
	name string
	play func(w *world)
}

var disturbances = []disturbance{
	{"a balancer joins", func(w *world) {
		w.addBalancer()
		w.sleep(2 * time.Second)
	}},
	{"a balancer leaves", func(w *world) {
		w.balancers[0].isReady = false
	}},
	{"a balancer starts again with nothing in its memory", func(w *world) {
		b := w.balancers[1]
		b.isReady = false
		b.stop()
		w.sleep(time.Second)
		w.startBalancer(b, 2)
		w.sleep(2 * time.Second)
		b.isReady = true
	}},
	{"an agent starts again with nothing in its memory", func(w *world) {
		for _, s := range w.sites {
			s.restartAgent(100 * time.Millisecond)
			s.endpoint.announce()
		}
		w.sleep(2 * time.Second)
	}},
	{"endpoints are added", func(w *world) {
		w.addSite("orders")
		w.addSite("orders")
		w.sleep(2 * time.Second)
	}},
	{"an agent comes seconds before its endpoint, which resets what it gets", func(w *world) {
		for range 2 {
			s := w.addSite("orders")
			s.endpoint.isStarting, s.endpoint.isMute = true, true
			s.restartAgent(0)
		}
		w.sleep(2 * time.Second)
	}},
	{"an endpoint drains", func(w *world) {
		w.sites[0].endpoint.isDraining = true
		w.sites[0].endpoint.announce()
		w.sleep(2 * time.Second)
	}},
	{"the route turns to another service", func(w *world) {
		w.addSite("drawings")
		w.control.route(5, orders, "drawings")
		w.sleep(3 * time.Second)
	}},
	{"the route gets a second service", func(w *world) {
		w.addSite("drawings")
		w.control.route(5, orders, "orders", "drawings")
		w.sleep(3 * time.Second)
	}},
	{"a zone is taken out of service", func(w *world) {
		w.control.zones, w.control.out = 3, []string{zoneOf(0)}
		w.sleep(2 * time.Second)
	}},
	{"control is gone", func(w *world) {
		w.control.isDown = true
		w.sleep(8 * time.Second)
	}},
	{"callers move to another zone", func(w *world) {
		for _, f := range w.flows {
			f.zone = 2
		}
	}},
}

// countBroken plays a disturbance on a world with open flows and counts those
// that do not go on.
func countBroken(t *testing.T, isNaive bool, d disturbance) int {
	broken := 0
	play(t, isNaive, 4, 5, func(w *world) {
		var flows []*callerFlow
		for range 30 {
			f := w.dial(orders, anyZone)
			w.g.Expect(f.request()).NotTo(BeEmpty(), "flow %s", f.key)
			flows = append(flows, f)
		}
		d.play(w)
		for _, f := range flows {
			if f.request() == "" || f.wasResetOpen {
				broken++
			}
		}
	})
	return broken
}

func TestOpenFlowsOutliveEveryPlannedChange(t *testing.T) {
	for _, d := range disturbances {
		t.Run(d.name, func(t *testing.T) {
			NewWithT(t).Expect(countBroken(t, false, d)).To(BeZero())
		})
	}
}

// A hash over the list of endpoints breaks flows whenever the list changes.
// forgeOffer sends an agent a SYN as an instance with other keys would.
func (w *world) forgeOffer(number int, keys *keyring.Keyring, to *site) {
	instance := w.instance(settings.RoleBalancer, ip(8, number), zoneOf(0))
	instance.Keys = keys
	node, err := opaque.NewListener(instance, opaque.Handlers{})
	w.g.Expect(err).NotTo(HaveOccurred())
	syn := encode(&flow.Header{Source: netip.AddrPortFrom(ip(100, number), 999), Destination: orders, IsSYN: true}, nil)
	buffer := append(make([]byte, opaque.OfferHeadroom), syn...)
	offer := opaque.Offer{Service: opaque.TagOfService("orders"), Balancer: node.Address()}
	node.SendOffer(&offer, buffer, netip.AddrPortFrom(to.address, linkPort))
}

// With keys the whole path works on sealed datagrams, and nobody without the key
// can hand an endpoint a flow.
func TestSealedPathTakesNoForgedOffers(t *testing.T) {
	newKeys := func(fill byte) *keyring.Keyring {
		keys, err := keyring.New(1, map[keyring.Epoch][]byte{1: bytes.Repeat([]byte{fill}, 32)})
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		return keys
	}
	for _, c := range []struct {
		name  string
		keys  *keyring.Keyring
		taken int
	}{{"without keys", nil, 1}, {"with keys", newKeys(7), 0}} {
		t.Run(c.name, func(t *testing.T) {
			playKeyed(t, c.keys, false, 3, 3, func(w *world) {
				for range 5 {
					w.g.Expect(w.dial(orders, anyZone).request()).NotTo(BeEmpty())
				}
				before := len(w.sites[0].endpoint.opened)
				w.forgeOffer(1, nil, w.sites[0])
				w.forgeOffer(2, newKeys(8), w.sites[0])
				w.sleep(50 * time.Millisecond)
				w.g.Expect(len(w.sites[0].endpoint.opened) - before).To(Equal(c.taken))
			})
		})
	}
}

func TestNaiveForwardingBreaksFlows(t *testing.T) {
	for _, d := range disturbances {
		if d.name == "endpoints are added" {
			NewWithT(t).Expect(countBroken(t, true, d)).To(BeNumerically(">", 10))
		}
	}
}

// Only flows that an endpoint holds reach it, but for the moments after its
// agent has started again; packets that no endpoint wrote reach no caller.
func TestPacketsOfUnknownFlowsReachNoEndpoint(t *testing.T) {
	play(t, false, 2, 4, func(w *world) {
		open := w.dial(orders, anyZone)
		for i := range 50 {
			caller := netip.AddrPortFrom(open.key.Caller.Addr(), uint16(5000+i))
			h := &flow.Header{Source: caller, Destination: orders, IsACK: true, Seq: uint32(i), Ack: uint32(i * 1000)}
			packet := encode(h, []byte("stray"))
			if i%5 == 0 {
				packet = packet[:i/5]
			}
			w.network.send(packet, netip.AddrPortFrom(caller.Addr(), packetPort), w.balancers[i%2].address)
			// Garbage between instances.
			w.network.send(append([]byte{byte(i % 9)}, packet...), controlAddress, netip.AddrPortFrom(w.sites[i%4].address, linkPort))
		}
		w.sleep(time.Second)
		for _, s := range w.sites {
			w.g.Expect(s.endpoint.foreign).To(BeZero())
		}
		w.g.Expect(open.request()).NotTo(BeEmpty())
		w.g.Expect(open.isReset).To(BeFalse())
	})
}

// The way to the first agent is so slow that a copy of the SYN is taken by a
// second one. The caller goes on with the one whose answer came first.
func TestCopiesOfASYNAtTwoEndpoints(t *testing.T) {
	play(t, false, 3, 3, func(w *world) {
		for _, s := range w.sites[:2] {
			w.network.slow(netip.AddrPortFrom(s.address, linkPort), 350*time.Millisecond)
		}
		taken := 0
		for range 12 {
			f := w.dial(orders, anyZone)
			w.g.Expect(f.isOpen).To(BeTrue())
			first := f.request()
			w.g.Expect(first).NotTo(BeEmpty())
			w.g.Expect(f.request()).To(Equal(first), "all answers come from one endpoint")
			w.g.Expect(f.wasResetOpen).To(BeFalse())
			for _, s := range w.sites {
				taken += s.endpoint.opened[f.key]
			}
		}
		w.g.Expect(taken).To(BeNumerically(">", 12), "some SYN was taken twice")
	})
}

// An address is used again by an endpoint of another service, and the
// balancers do not know yet. It must not get flows of the former service.
func TestReusedAddressGetsNoFlowsOfTheFormerService(t *testing.T) {
	play(t, false, 3, 3, func(w *world) {
		w.control.isDown = true
		w.sites[0].startEndpoint("drawings")
		w.sites[1].endpoint.isMute = true
		w.sleep(3 * time.Second)
		for range 40 {
			w.g.Expect(w.isServed(orders)).To(BeTrue())
		}
		w.g.Expect(w.sites[0].endpoint.opened).To(BeEmpty(), "it serves drawings now")
		w.g.Expect(w.sites[1].endpoint.opened).To(BeEmpty(), "it has been silent for 3 s")
	})
}

// Once the agent has acknowledged that its endpoint drains, no new flow reaches
// the endpoint, whatever the balancers know.
func TestDrainingHoldsFromTheAcknowledgementOn(t *testing.T) {
	play(t, false, 3, 3, func(w *world) {
		w.control.isDown = true
		drained := w.sites[1].endpoint
		drained.isDraining = true
		drained.announce()
		for range 30 {
			w.g.Expect(w.isServed(orders)).To(BeTrue())
		}
		w.g.Expect(drained.opened).To(BeEmpty())
	})
}

func TestZoneOutGetsNoNewFlows(t *testing.T) {
	play(t, false, 3, 6, func(w *world) {
		w.control.zones, w.control.out = 1, []string{zoneOf(1)}
		w.sleep(time.Second)
		for range 30 {
			w.g.Expect(w.isServed(orders)).To(BeTrue())
		}
		for _, s := range w.sites {
			if zoneOf(s.number) == zoneOf(1) {
				w.g.Expect(s.endpoint.opened).To(BeEmpty())
			}
		}
		w.control.zones, w.control.out = 2, nil
		w.sleep(time.Second)
		for range 60 {
			w.g.Expect(w.isServed(orders)).To(BeTrue())
		}
		w.g.Expect(w.sites[1].endpoint.opened).NotTo(BeEmpty())
	})
}

// An endpoint that has started again has lost its flows: callers are told at
// once and need not wait for their deadline.
func TestCallersOfARestartedEndpointAreReset(t *testing.T) {
	play(t, false, 3, 1, func(w *world) {
		f := w.dial(orders, anyZone)
		w.g.Expect(f.request()).NotTo(BeEmpty())
		w.sleep(1500 * time.Millisecond)
		w.sites[0].startEndpoint("orders")
		w.sleep(50 * time.Millisecond)
		w.g.Expect(f.isReset).To(BeTrue())
		w.g.Expect(w.dial(orders, anyZone).request()).NotTo(BeEmpty())
	})
}

// An endpoint starts again in the place of one that has crashed, and takes flows
// before its first announcement. Those flows are its own and go on; those of the one
// before are reset.
func TestFlowsOutliveTheFirstAnnouncementOfTheirEndpoint(t *testing.T) {
	play(t, false, 3, 1, func(w *world) {
		s := w.sites[0]
		before := w.openFlows(5)
		w.sleep(1300 * time.Millisecond)
		late := w.openFlows(1)[0]
		s.startUnheardEndpoint("orders")
		own := w.openFlows(5)
		s.endpoint.isMute = false
		s.endpoint.announce()
		w.sleep(50 * time.Millisecond)
		for _, f := range before {
			w.g.Expect(f.isReset).To(BeTrue(), "flow of the endpoint before")
		}
		for _, f := range own {
			w.g.Expect(f.isReset).To(BeFalse(), "flow of the new endpoint")
			w.g.Expect(f.request()).NotTo(BeEmpty())
		}
		// Nobody can tell whose it is until the endpoint gets a packet of it.
		w.g.Expect(late.request()).To(BeEmpty())
		w.g.Expect(late.isReset).To(BeTrue())
	})
}

// openFlows opens flows to the orders service and makes a request on each.
func (w *world) openFlows(count int) []*callerFlow {
	var flows []*callerFlow
	for range count {
		f := w.dial(orders, anyZone)
		w.g.Expect(f.request()).NotTo(BeEmpty())
		flows = append(flows, f)
	}
	return flows
}

// expectToldAtOnce asserts that callers of lost flows are reset after no more than
// a round of the agents and one poll, and are served on a new flow.
func (w *world) expectToldAtOnce(flows []*callerFlow) {
	for _, f := range flows {
		start := time.Now()
		w.g.Expect(f.request()).To(BeEmpty())
		w.g.Expect(f.isReset).To(BeTrue())
		w.g.Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
		w.g.Expect(w.isServed(orders)).To(BeTrue())
	}
}

// All endpoints and agents lose power. Nobody knows the flows of before; their
// callers are told at once, after all agents were asked and control has named no others.
func TestCallersOfForgottenFlowsAreReset(t *testing.T) {
	play(t, false, 3, 4, func(w *world) {
		flows := w.openFlows(10)
		for _, s := range w.sites {
			s.stop()
			s.startEndpoint("orders")
		}
		w.sleep(100 * time.Millisecond)
		for _, s := range w.sites {
			s.startAgent()
			s.endpoint.announce()
		}
		w.sleep(700 * time.Millisecond)
		w.expectToldAtOnce(flows)
	})
}

// What cannot be served is refused at once, not after the caller's patience.
func TestRefusalsComeAtOnce(t *testing.T) {
	cases := []struct {
		name string
		play func(w *world) netip.AddrPort
	}{
		{"no route", func(*world) netip.AddrPort { return drawings }},
		{"no endpoint", func(w *world) netip.AddrPort {
			w.control.route(2, drawings, "drawings")
			w.sleep(time.Second)
			return drawings
		}},
		{"all endpoints drain", func(w *world) netip.AddrPort {
			for _, s := range w.sites {
				s.endpoint.isDraining = true
				s.endpoint.announce()
			}
			return orders
		}},
		{"all endpoints bounce", func(w *world) netip.AddrPort {
			for _, s := range w.sites {
				s.endpoint.isFull = true
			}
			return orders
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			play(t, false, 3, 3, func(w *world) {
				dialed := c.play(w)
				start := time.Now()
				f := w.dial(dialed, anyZone)
				w.g.Expect(f.isOpen).To(BeFalse())
				w.g.Expect(f.isReset).To(BeTrue())
				w.g.Expect(time.Since(start)).To(BeNumerically("<=", firstCopy))
			})
		})
	}
}

// An endpoint that bounces a SYN since it is full costs the caller nothing.
func TestBouncedSYNGoesToAnotherEndpoint(t *testing.T) {
	play(t, false, 3, 3, func(w *world) {
		w.sites[0].endpoint.isFull = true
		for range 20 {
			f := w.dial(orders, anyZone)
			w.g.Expect(f.isOpen).To(BeTrue())
			w.g.Expect(strings.HasSuffix(f.request(), w.sites[0].address.String())).To(BeFalse())
		}
	})
}

// A dead agent that the views still have costs a copy of the SYN, 200 ms, not
// the whole attempt.
func TestDeadAgentCostsOneCopy(t *testing.T) {
	play(t, false, 3, 4, func(w *world) {
		w.control.isDown = true
		w.network.cutOff(netip.AddrPortFrom(w.sites[0].address, linkPort))
		for i := range 20 {
			start := time.Now()
			f := w.dial(orders, anyZone)
			w.g.Expect(f.isOpen).To(BeTrue(), fmt.Sprintf("flow %d", i))
			w.g.Expect(time.Since(start)).To(BeNumerically("<", secondCopy))
			w.g.Expect(f.request()).NotTo(BeEmpty())
		}
	})
}

// An agent that has just started knows no table, and so not what its cold endpoint
// bears; balancers know both.
func TestAgentWithoutATableTakesLittleForAColdEndpoint(t *testing.T) {
	play(t, false, 2, 1, func(w *world) {
		s := w.sites[0]
		s.endpoint.coldLeft = 5 * time.Second
		w.control.isDown = true
		w.network.cutLink(s.address, controlAddress.Addr())
		s.restartAgent(0)
		s.endpoint.announce()
		start := time.Now()
		for time.Since(start) < 900*time.Millisecond {
			w.dial(orders, anyZone)
			w.sleep(20 * time.Millisecond)
		}
		w.g.Expect(s.endpoint.opened).NotTo(BeEmpty())
		w.g.Expect(len(s.endpoint.opened)).To(BeNumerically("<", 5), "the slack that every service allows")
	})
}

// An agent has died, and control does not notice. Each balancer loses one flow's time
// to it, or two that come at once; after that, others are offered flows first. Once
// the agent is back, it gets its share again.
func TestDeadAgentIsAvoidedBeforeControlNotices(t *testing.T) {
	play(t, false, 3, 4, func(w *world) {
		w.control.isDown = true
		dead := w.sites[0]
		link := netip.AddrPortFrom(dead.address, linkPort)
		w.network.cutOff(link)
		late := 0
		for range 60 {
			start := time.Now()
			f := w.dial(orders, anyZone)
			if time.Since(start) >= firstCopy {
				late++
			}
			w.g.Expect(f.request()).NotTo(BeEmpty())
		}
		w.g.Expect(late).To(BeNumerically("<=", len(w.balancers)), "flows that waited for a copy")

		w.network.heal(link)
		w.sleep(200 * time.Millisecond)
		before := len(dead.endpoint.opened)
		w.openFlows(40)
		w.g.Expect(len(dead.endpoint.opened)).To(BeNumerically(">", before))
	})
}

// Control has just started and hears of one agent after the other. A balancer
// that goes on with the first list that it got would offer all flows to few.
func TestNodesFollowAYoungRosterClosely(t *testing.T) {
	play(t, false, 3, 2, func(w *world) {
		w.control.restart()
		w.sleep(550 * time.Millisecond)
		w.addSite("orders")
		w.sleep(150 * time.Millisecond)
		for _, b := range w.balancers {
			w.g.Expect(b.role.Details()).To(ContainElement("agents: 3"))
		}
	})
}

// A balancer without control goes on and stays ready. One that nobody hears is not
// ready, so that routers turn to others, until it is heard again.
func TestBalancerThatIsCutOffIsNotReady(t *testing.T) {
	play(t, false, 2, 3, func(w *world) {
		w.control.isDown = true
		w.sleep(5 * time.Second)
		lonely, other := w.balancers[0], w.balancers[1]
		w.g.Expect(lonely.role.Health()).To(Succeed(), "control is down, agents answer")
		w.g.Expect(w.isServed(orders)).To(BeTrue())

		link := netip.AddrPortFrom(lonely.address.Addr(), linkPort)
		w.network.cutOff(link)
		w.sleep(4 * time.Second)
		w.g.Expect(lonely.role.Health()).To(MatchError(ContainSubstring("cut off")))
		w.g.Expect(other.role.Health()).To(Succeed())

		w.network.heal(link)
		w.sleep(2500 * time.Millisecond)
		w.g.Expect(lonely.role.Health()).To(Succeed())
	})
}

// An agent and its endpoint are gone for good. Callers of their flows are told
// while the system still remembers the agent, not only once it has forgotten.
func TestCallersOfAGoneEndpointAreReset(t *testing.T) {
	play(t, false, 3, 4, func(w *world) {
		flows := w.openFlows(24)
		lost := w.sites[1]
		lost.stop()
		lost.endpoint.stop()
		w.sleep(4 * time.Second)
		for _, f := range flows {
			if lost.endpoint.opened[f.key] == 0 {
				w.g.Expect(f.request()).NotTo(BeEmpty())
				continue
			}
			start := time.Now()
			w.g.Expect(f.request()).To(BeEmpty())
			w.g.Expect(f.isReset).To(BeTrue())
			w.g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		}
	})
}

// All lose power, and some endpoints do not come back. Their agents know at once
// that nobody is there, and do not keep the callers of lost flows waiting.
func TestAgentsWithoutEndpointKeepNoCallerWaiting(t *testing.T) {
	play(t, false, 3, 6, func(w *world) {
		flows := w.openFlows(10)
		for i, s := range w.sites {
			s.stop()
			s.endpoint.stop()
			if i < 4 {
				s.startEndpoint("orders")
			}
		}
		w.sleep(100 * time.Millisecond)
		for _, s := range w.sites {
			s.endpoint.isMute = s.endpoint.isStopped()
			s.startAgent()
			s.endpoint.announce()
		}
		w.sleep(200 * time.Millisecond)
		w.expectToldAtOnce(flows)
	})
}

// Agents come back without their endpoints, and stop again. None of them may
// swallow the packets that pass along the order to the holder of a flow.
func TestAgentsWithoutEndpointStepOutOfTheWay(t *testing.T) {
	cases := []struct {
		name string
		stop func(w *world, s *site)
	}{
		{"they stop at once and say so", func(w *world, s *site) {
			w.mu.Unlock()
			s.agent.Drain(context.Background())
			w.mu.Lock()
			s.stop()
		}},
		{"they are killed after a while", func(w *world, s *site) {
			w.sleep(3 * time.Second)
			s.stop()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			play(t, false, 2, 8, func(w *world) {
				for _, s := range w.sites[:5] {
					s.endpoint.stop()
					s.endpoint.isMute = true
					s.restartAgent(0)
				}
				w.sleep(1600 * time.Millisecond)
				f := w.dial(orders, anyZone)
				w.g.Expect(f.request()).NotTo(BeEmpty())
				for _, s := range w.sites[:5] {
					c.stop(w, s)
				}
				// Another balancer knows nothing of the flow's holder.
				for _, b := range w.balancers {
					b.isReady = false
				}
				w.addBalancer()
				w.sleep(200 * time.Millisecond)
				for range 5 {
					start := time.Now()
					w.g.Expect(f.request()).NotTo(BeEmpty())
					w.g.Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
				}
			})
		})
	}
}
