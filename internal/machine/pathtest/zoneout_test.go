package pathtest

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

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
