package pathtest

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// All agents have been killed, and one endpoint drains. Its agent answers, so that packets do not have
// to wait for their turn at the other endpoints.
func TestPacketsAreTriedAtOnceWhileAnEndpointDrains(t *testing.T) {
	runInCluster(t, false, 2, 6, func(tc *testCluster) {
		flows := tc.openFlows(60)
		tc.sites[0].endpoint.isDraining = true
		tc.sites[0].endpoint.announce()
		tc.restartAgents()
		tc.sleep(2 * heartbeat)
		tc.addColdBalancer()
		for _, f := range flows {
			begin := time.Now()
			tc.g.Expect(f.request()).NotTo(BeEmpty())
			tc.g.Expect(time.Since(begin)).To(BeNumerically("<", 2*firstRetransmit))
		}
	})
}

// All agents have been killed, and the owner of some flows is stopped for a while. In any 2 s no more
// than two other endpoints get a packet of a flow.
func TestPacketsReachFewEndpointsWhileTheirAgentIsAbsent(t *testing.T) {
	runInCluster(t, false, 2, 6, func(tc *testCluster) {
		owner, flows := tc.openAtBusiest(60)
		tc.restartAgents()
		tc.sleep(2 * heartbeat)
		owner.drainAndStop()
		tc.addColdBalancer()
		before := make(map[*site]int)
		for _, s := range tc.sites {
			before[s] = s.endpoint.unknownPackets
		}
		for range 9 {
			for _, f := range flows {
				f.sendRequest()
			}
			tc.sleep(firstRetransmit)
		}
		count := 0
		for _, s := range tc.sites {
			count += s.endpoint.unknownPackets - before[s]
		}
		tc.g.Expect(count).To(BeNumerically("<=", 2*len(flows)))
		owner.startAgent()
		tc.sleep(heartbeat)
		tc.expectServed(flows)
	})
}
