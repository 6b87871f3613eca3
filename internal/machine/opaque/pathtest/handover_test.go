package pathtest

import (
	"context"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/flow"
)

// rollAgent stops the agent gracefully and starts another one after a pause.
func (s *site) rollAgent(down time.Duration) {
	s.cluster.mu.Unlock()
	s.agent.Drain(context.Background())
	s.cluster.mu.Lock()
	s.restartAgent(down)
}

// expectNoForeignPackets asserts that no endpoint has got a packet of a flow that it does not have.
func (tc *testCluster) expectNoForeignPackets() {
	for _, s := range tc.sites {
		tc.g.Expect(s.endpoint.unknown).To(BeEmpty(), "endpoint %s", s.endpoint.id)
	}
}

// Agents that have been restarted know the flows of their endpoints. They do not try others'
// packets there while the agent of a flow restarts, and callers reach balancers that know no owner.
func TestPacketsReachNoOtherEndpointInPlannedRestarts(t *testing.T) {
	runInCluster(t, false, 2, 6, func(tc *testCluster) {
		flows := tc.openFlows(60)
		tc.sleep(2 * heartbeat)
		for _, s := range tc.sites {
			s.rollAgent(500 * time.Millisecond)
		}
		tc.sleep(2 * heartbeat)
		tc.addColdBalancer()
		tc.expectServed(flows)
		for _, s := range tc.sites[:3] {
			tc.mu.Unlock()
			s.agent.Drain(context.Background())
			tc.mu.Lock()
			s.stop()
			tc.expectNoResets(flows, 2500*time.Millisecond)
			s.startAgent()
			tc.sleep(heartbeat)
		}
		tc.expectServed(flows)
		tc.expectNoForeignPackets()
	})
}

// Late copies of SYNs, which the endpoint does not answer, arrive before the flows are taken over.
func TestFlowsSurviveLateCopiesOfTheirSYNsDuringATakeover(t *testing.T) {
	runInCluster(t, false, 1, 3, func(tc *testCluster) {
		s, flows := tc.openAtBusiest(30)
		s.endpoint.ignoresSYNs = true
		tc.setPolicy(func(data []byte, _, _ netip.AddrPort, delay time.Duration) (time.Duration, bool) {
			if isHandoverKind(data) {
				delay += 100 * time.Millisecond
			}
			return delay, false
		})
		s.rollAgent(300 * time.Millisecond)
		tc.sleep(20 * time.Millisecond)
		s.endpoint.announce()
		opened := len(s.endpoint.opened)
		for _, f := range flows {
			tc.offerTo(s, f.key, 0)
		}
		tc.sleep(500 * time.Millisecond)
		tc.g.Expect(s.endpoint.opened).To(HaveLen(opened))
		tc.expectNoResets(flows, 2500*time.Millisecond)
		tc.expectServed(flows)
	})
}

// Packets of others arrive before an agent has got the flows of its previous start.
func TestPacketsReachNoOtherEndpointWhileAnAgentTakesOver(t *testing.T) {
	runInCluster(t, false, 2, 6, func(tc *testCluster) {
		flows := tc.openFlows(60)
		tc.sleep(2 * heartbeat)
		for _, s := range tc.sites {
			tc.mu.Unlock()
			s.agent.Drain(context.Background())
			tc.mu.Lock()
			s.stop()
			tc.waitIdle()
			tc.addColdBalancer()
			s.startAgent()
			for range 40 {
				for _, f := range flows {
					f.sendRequest()
				}
				tc.sleep(time.Millisecond)
			}
			tc.sleep(heartbeat)
		}
		tc.expectNoForeignPackets()
	})
}

// Flows that were opened after a planned restart survive a kill of the agent shortly after it.
func TestFlowsSurviveAKillAfterAPlannedRestart(t *testing.T) {
	runInCluster(t, false, 2, 3, func(tc *testCluster) {
		s := tc.sites[0]
		flows := tc.openFlows(30)
		tc.sleep(2 * heartbeat)
		s.rollAgent(500 * time.Millisecond)
		tc.sleep(2 * heartbeat)
		flows = append(flows, tc.openFlows(30)...)
		s.restartAgent(100 * time.Millisecond)
		tc.sleep(heartbeat)
		tc.addColdBalancer()
		tc.expectServed(flows)
		tc.expectNoResets(flows, 2*time.Second)
	})
}

// An agent has handed over its flows when its endpoint answers one more SYN. Its next start would
// not know the flow.
func TestFlowAnsweredAfterAHandoverDoesNotOpen(t *testing.T) {
	runInCluster(t, false, 2, 1, func(tc *testCluster) {
		s := tc.sites[0]
		known := tc.dial(orders, anyZone)
		tc.g.Expect(known.request()).NotTo(BeEmpty())
		late := tc.prepare(orders, anyZone)
		tc.mu.Unlock()
		s.agent.Drain(context.Background())
		tc.mu.Lock()
		s.endpoint.reply(late.key, &flow.Header{IsSYN: true, IsACK: true, Seq: 5, Ack: late.seq + 1}, nil)
		tc.sleep(50 * time.Millisecond)
		tc.g.Expect(late.isOpen).To(BeFalse())
		tc.g.Expect(known.request()).NotTo(BeEmpty())
	})
}

// No control instance answers while an agent restarts, so that it adopts the flows.
func TestFlowsSurviveAPlannedRestartWithoutControl(t *testing.T) {
	runInCluster(t, false, 2, 3, func(tc *testCluster) {
		s, flows := tc.openAtBusiest(30)
		tc.sleep(2 * heartbeat)
		tc.control.isDown = true
		s.rollAgent(500 * time.Millisecond)
		tc.sleep(500 * time.Millisecond)
		tc.control.isDown = false
		tc.sleep(2 * heartbeat)
		tc.addColdBalancer()
		tc.expectServed(flows)
	})
}

// The endpoint has started again while its agent restarted.
func TestFlowsOfAnEndpointThatRestartsWithItsAgentAreReset(t *testing.T) {
	runInCluster(t, false, 2, 1, func(tc *testCluster) {
		s := tc.sites[0]
		f := tc.dial(orders, anyZone)
		tc.g.Expect(f.request()).NotTo(BeEmpty())
		tc.mu.Unlock()
		s.agent.Drain(context.Background())
		tc.mu.Lock()
		s.stop()
		s.startSilentEndpoint("orders")
		tc.sleep(500 * time.Millisecond)
		s.startAgent()
		tc.sleep(100 * time.Millisecond)
		s.endpoint.isSilent = false
		s.endpoint.announce()
		tc.g.Expect(f.request()).To(BeEmpty())
		tc.g.Expect(f.isReset).To(BeTrue())
		tc.sleep(heartbeat)
		tc.g.Expect(tc.isServed(orders)).To(BeTrue())
	})
}
