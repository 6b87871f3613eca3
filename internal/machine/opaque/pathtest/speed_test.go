package pathtest

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/roster"
	"sassafrasturn.example/internal/routing"
)

// samplesToReport is how many requests an agent measures before it reports a service time.
const samplesToReport = 64

// setServiceTime makes the endpoint of a site answer after a time.
func (tc *testCluster) setServiceTime(s *site, serviceTime time.Duration) {
	tc.network.setDelay(netip.AddrPortFrom(s.address, outPort), serviceTime-linkLatency)
}

// serviceTimeOf returns the service time in the record of a site's agent, in milliseconds.
func (tc *testCluster) serviceTimeOf(s *site) uint32 {
	for _, record := range tc.control.roster.Since(time.Since(tc.control.start), roster.Position{}, 1<<20).Records {
		if record.Address == routing.AddressNumber(s.address) {
			return record.ServiceTimeMs
		}
	}
	return 0
}

// runMeasured runs a test on nine sites whose service has a route with an objective and a timeout.
func runMeasured(t *testing.T, run func(tc *testCluster)) {
	runInCluster(t, false, 4, 9, func(tc *testCluster) {
		tc.stateDeadline(2)
		run(tc)
	})
}

// openFlowsBySite opens count flows to each site and returns them by the ID of their endpoint.
func (tc *testCluster) openFlowsBySite(count int) map[string][]*callerFlow {
	flows := make(map[string][]*callerFlow)
	for _, s := range tc.sites {
		for len(flows[s.endpoint.id]) < count {
			f := tc.dial(orders, anyZone)
			id := f.request()
			flows[id[len("answer of "):]] = append(flows[id[len("answer of "):]], f)
		}
	}
	return flows
}

// measureSpeeds makes the endpoints of the first two sites slow, and sends requests until all
// agents have reported their service times and the balancers know them.
func (tc *testCluster) measureSpeeds() {
	flows := tc.openFlowsBySite(1)
	for i, s := range tc.sites {
		tc.setServiceTime(s, 20*time.Millisecond)
		if i < 2 {
			tc.setServiceTime(s, 60*time.Millisecond)
		}
		for range samplesToReport {
			tc.g.Expect(flows[s.endpoint.id][0].request()).NotTo(BeEmpty())
		}
	}
	tc.sleep(2 * time.Second)
	for i, s := range tc.sites {
		want := uint32(20)
		if i < 2 {
			want = 60
		}
		tc.g.Expect(tc.serviceTimeOf(s)).To(BeNumerically("~", want, want/6), "site %d", i)
	}
}

// countForwards counts the offers that agents send to agents.
func (tc *testCluster) countForwards() *int {
	count := new(int)
	agents := make(map[netip.AddrPort]bool)
	for _, s := range tc.sites {
		agents[netip.AddrPortFrom(s.address, linkPort)] = true
	}
	tc.setPolicy(func(data []byte, from, to netip.AddrPort, delay time.Duration) (time.Duration, bool) {
		if agents[from] && agents[to] && len(data) > 0 && opaque.Kind(data[0]) == opaque.KindOffer {
			*count++
		}
		return delay, false
	})
	return count
}

// slowAgents returns the gauge of slow agents of the only service.
func (tc *testCluster) slowAgents(instance *machine.Instance) float64 {
	families, err := instance.Metrics.Gather()
	tc.g.Expect(err).NotTo(HaveOccurred())
	for _, family := range families {
		if family.GetName() == "sassafrasturn_slow_agents" {
			return family.GetMetric()[0].GetGauge().GetValue()
		}
	}
	return 0
}

func (tc *testCluster) openedAt(sites []*site) int {
	opened := 0
	for _, s := range sites {
		opened += len(s.endpoint.opened)
	}
	return opened
}

// Slow endpoints get few new flows. The agent that takes a flow instead of the first one of the
// order tells the balancer, so later packets go straight there. Packets that come by another
// balancer, also one of another zone, or after all balancers have lost what they cached, find the
// flow's agent along the order, which speeds do not change, with their first transmission.
func TestFlowsReorderedBySpeedAreFoundByOtherBalancers(t *testing.T) {
	runMeasured(t, func(tc *testCluster) {
		tc.measureSpeeds()
		openedBefore := tc.openedAt(tc.sites[:2])
		forwards := tc.countForwards()
		const count = 120
		var flows []*callerFlow
		answers := make(map[*callerFlow]string)
		for range count {
			f := tc.dial(orders, anyZone)
			answers[f] = f.request()
			flows = append(flows, f)
		}
		tc.g.Expect(tc.openedAt(tc.sites[:2])-openedBefore).To(BeNumerically("<", count/10), "2 of 9 endpoints are slow")
		tc.g.Expect(*forwards).To(BeZero(), "the balancers know the agents of reordered flows")
		expectAnswers := func(when string) {
			for _, f := range flows {
				start := time.Now()
				tc.g.Expect(f.request()).To(Equal(answers[f]), when)
				tc.g.Expect(time.Since(start)).To(BeNumerically("<", firstRetransmit), when)
				tc.g.Expect(f.isReset).To(BeFalse(), when)
			}
		}
		tc.balancers[0].isReady = false
		expectAnswers("other balancers")
		tc.g.Expect(*forwards).NotTo(BeZero(), "other balancers do not know the agents yet")
		for _, f := range flows {
			f.zone = 2
		}
		expectAnswers("another zone")
		var restarted []*machine.Instance
		tc.configure = func(instance *machine.Instance) { restarted = append(restarted, instance) }
		tc.restartBalancers()
		tc.sleep(2 * time.Second)
		for _, instance := range restarted {
			tc.g.Expect(tc.slowAgents(instance)).To(Equal(2.0))
		}
		expectAnswers("balancers without state")
		for _, s := range tc.sites {
			tc.g.Expect(s.endpoint.unknownPackets).To(BeZero())
		}
	})
}

// The service time of an endpoint does not apply to its next start, which may run on another
// machine or with other settings. Flows of other endpoints stay, and the new start is measured.
func TestServiceTimeIsDroppedWithTheStartOfItsEndpoint(t *testing.T) {
	runMeasured(t, func(tc *testCluster) {
		tc.measureSpeeds()
		kept := tc.openFlows(20)
		s := tc.sites[0]
		s.startEndpoint("orders")
		tc.setServiceTime(s, 20*time.Millisecond)
		tc.sleep(6 * time.Second)
		tc.g.Expect(tc.serviceTimeOf(s)).To(BeZero())
		tc.g.Expect(tc.serviceTimeOf(tc.sites[1])).NotTo(BeZero())
		for _, f := range kept {
			tc.g.Expect(f.request()).NotTo(BeEmpty())
			tc.g.Expect(f.isReset).To(BeFalse())
		}
		f := tc.openFlowsBySite(1)[s.endpoint.id][0]
		tc.g.Expect(s.endpoint.opened).NotTo(BeEmpty())
		s.endpoint.coldLeft = time.Hour
		s.endpoint.announce()
		for range samplesToReport {
			tc.g.Expect(f.request()).NotTo(BeEmpty())
		}
		tc.sleep(2 * time.Second)
		tc.g.Expect(tc.serviceTimeOf(s)).To(BeZero(), "a cold endpoint is not measured")
		s.endpoint.coldLeft = 0
		s.endpoint.announce()
		for range samplesToReport {
			tc.g.Expect(f.request()).NotTo(BeEmpty())
		}
		tc.sleep(2 * time.Second)
		tc.g.Expect(tc.serviceTimeOf(s)).To(BeNumerically("~", 20, 3))
	})
}

// An agent that restarts knows nothing of its endpoint's speed, and counts as normal.
func TestServiceTimeIsUnknownAfterARestartOfTheAgent(t *testing.T) {
	runMeasured(t, func(tc *testCluster) {
		tc.measureSpeeds()
		flows := tc.openFlows(20)
		tc.sites[0].restartAgent(100 * time.Millisecond)
		tc.sites[0].endpoint.announce()
		tc.sleep(2 * time.Second)
		tc.g.Expect(tc.serviceTimeOf(tc.sites[0])).To(BeZero())
		for _, f := range flows {
			tc.g.Expect(f.request()).NotTo(BeEmpty())
		}
	})
}

// An endpoint is replaced so soon after the start of its agent that it is not certain whether it
// has ended, so its flows stay in the agent's table. Its service time must not.
func TestServiceTimeIsDroppedWhenTheEndOfTheEndpointIsNotCertain(t *testing.T) {
	runMeasured(t, func(tc *testCluster) {
		s := tc.sites[0]
		f := tc.openFlowsBySite(1)[s.endpoint.id][0]
		s.restartAgent(0)
		s.endpoint.announce()
		for range samplesToReport + 1 {
			tc.g.Expect(f.request()).NotTo(BeEmpty())
		}
		tc.sleep(200 * time.Millisecond)
		s.startEndpoint("orders")
		isReported := tc.serviceTimeOf(s) != 0
		tc.sleep(100 * time.Millisecond)
		isReported = isReported || tc.serviceTimeOf(s) != 0
		tc.sleep(6 * time.Second)
		tc.g.Expect(isReported).To(BeTrue())
		tc.g.Expect(tc.serviceTimeOf(s)).To(BeZero())
	})
}

// Without a route that states an objective and a timeout, agents report no service time and no agent
// counts as slow. Once a route states them, what was measured before is reported.
func TestServiceTimeIsReportedOnlyForRoutesWithADeadline(t *testing.T) {
	runInCluster(t, false, 4, 9, func(tc *testCluster) {
		f := tc.openFlowsBySite(1)[tc.sites[0].endpoint.id][0]
		for range samplesToReport {
			tc.g.Expect(f.request()).NotTo(BeEmpty())
		}
		tc.sleep(2 * time.Second)
		tc.g.Expect(tc.serviceTimeOf(tc.sites[0])).To(BeZero())
		tc.stateDeadline(2)
		tc.sleep(time.Second)
		tc.g.Expect(tc.serviceTimeOf(tc.sites[0])).NotTo(BeZero())
	})
}
