package pathtest

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/settings"
)

// The link of a balancer is full: open flows must go on, and new ones must not be taken until there
// is room, and be served afterwards.
func TestFullLinkOfABalancerTakesNoNewFlows(t *testing.T) {
	runInCluster(t, false, 0, 3, func(tc *testCluster) {
		const bytesPerSecond = 50_000
		tc.configure = func(instance *machine.Instance) {
			if instance.Settings.Role == settings.RoleBalancer {
				instance.Settings.Link.BytesPerSecond = bytesPerSecond
			}
		}
		tc.addBalancer()
		for _, s := range tc.sites {
			s.endpoint.slots = 10_000
		}
		tc.sleep(2 * time.Second)
		open := tc.openFlows(20)
		// Each flow that is taken costs the link some 150 bytes, so these need twice its rate.
		var flows []*callerFlow
		for start := time.Now(); time.Since(start) < 5*time.Second; tc.sleep(1500 * time.Microsecond) {
			f := tc.prepare(orders, anyZone)
			f.sendSYN(0)
			flows = append(flows, f)
		}
		tc.expectServed(open)
		taken := 0
		for _, f := range flows {
			tc.g.Expect(f.isReset).To(BeFalse(), "the next transmission may find room")
			if f.isOpen {
				taken++
			}
		}
		tc.g.Expect(taken).To(BeNumerically("~", len(flows)/2, len(flows)/5))
		tc.sleep(time.Second)
		tc.g.Expect(tc.isServed(orders)).To(BeTrue())
	})
}
