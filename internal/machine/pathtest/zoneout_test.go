package pathtest

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/token"
	"sassafrasturn.example/internal/wire"
)

// TestCallersReconnectAtOnceWhenZoneGoesOut guards against callers that wait for their own
// idle timeout, 30 s here, after their zone was taken out of service. Their connections
// must be closed, idle ones too, and their next request must succeed in another zone.
func TestCallersReconnectAtOnceWhenZoneGoesOut(t *testing.T) {
	tc := newTestCluster(t)
	balancers, agents := tc.startService(2)
	flows, names := tc.startFlows(12)
	out := tc.setRecord(wire.Record_KIND_ZONE, "a", 100, &wire.Zone{Number: 1, Name: "a", Out: true})
	mergeRecords(balancers, out)
	mergeRecords(agents, out)

	moved := 0
	for i, f := range flows {
		if names[i] != "order-desk-agent-0" {
			continue
		}
		moved++
		tc.g.Eventually(f.conn.Load().Context().Done(), 2*time.Second).Should(BeClosed())
		tc.g.Expect(f.endpointName(tc.g)).NotTo(Equal(names[i]))
	}
	tc.g.Expect(moved).To(BeNumerically(">", 0))
	for i, f := range flows {
		if names[i] != "order-desk-agent-0" {
			tc.g.Expect(f.dials.Load()).To(Equal(int32(1)))
			tc.g.Expect(f.endpointName(tc.g)).To(Equal(names[i]))
		}
	}
}

// TestEveryBalancerWithStaleViewIsCorrected guards against an agent that corrects only the
// first of several balancers that forward to a zone that is out of service.
func TestEveryBalancerWithStaleViewIsCorrected(t *testing.T) {
	tc := newTestCluster(t)
	balancers, agents := tc.startService(2)
	mergeRecords(agents[:1], tc.setRecord(wire.Record_KIND_ZONE, "a", 30, &wire.Zone{Number: 1, Name: "a", Out: true}))
	a := tc.newAttacker()
	datagram := a.datagram(token.Route{Agent: agentAddress(0), Zone: 1, Service: 1})
	for _, balancer := range balancers {
		tc.mu.Lock()
		service := tc.serviceSockets[balancer][netip.MustParseAddrPort(orderDesk)]
		tc.mu.Unlock()
		service.deliver(packet{data: datagram, from: a.address})
	}
	for _, balancer := range balancers {
		tc.g.Eventually(balancer.role.Details, waitTimeout).Should(ContainElement(ContainSubstring("2 endpoints take new flows")))
	}
}
