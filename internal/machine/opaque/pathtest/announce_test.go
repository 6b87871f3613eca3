package pathtest

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/machine/opaque/agent"
)

// afterAllStarts is a start time, in Unix milliseconds, after that of the cluster's
// own endpoints.
const afterAllStarts = 2_000_000_000_000

func announcement(id string, startedAt, sequence int, isDraining bool) agent.Announcement {
	return agent.Announcement{ID: id, Service: "orders", Slots: 5, StartedAt: afterAllStarts + int64(startedAt), Sequence: uint64(sequence), IsDraining: isDraining}
}

// A delayed announcement must not change the current state, whether it is an earlier one
// of the same endpoint or one of the endpoint that previously used the address.
func TestStaleAnnouncementsAreIgnored(t *testing.T) {
	cases := []struct {
		name      string
		second    agent.Announcement
		silence   time.Duration
		isApplied bool
	}{
		{name: "earlier sequence number of the same endpoint", second: announcement("e", 5000, 6, true)},
		{name: "duplicate", second: announcement("e", 5000, 7, true)},
		{name: "previous endpoint", second: announcement("before", 4000, 90, true)},
		{name: "previous start of the same endpoint", second: announcement("e", 4000, 90, true)},
		{name: "later sequence number of the same endpoint", second: announcement("e", 5000, 8, true), isApplied: true},
		{name: "next endpoint", second: announcement("next", 6000, 1, true), isApplied: true},
		{
			name: "next endpoint with an earlier clock, after silence", silence: 2500 * time.Millisecond,
			second: announcement("next", 1000, 1, true), isApplied: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInCluster(t, false, 1, 1, func(tc *testCluster) {
				s := tc.sites[0]
				s.endpoint.isSilent = true
				s.agent.Announce(announcement("e", 5000, 7, false))
				tc.g.Expect(tc.isServed(orders)).To(BeTrue())
				tc.sleep(c.silence)
				s.agent.Announce(c.second)
				tc.g.Expect(tc.isServed(orders)).To(Equal(!c.isApplied))
			})
		})
	}
}

func TestRemovedEndpointGetsNoFlows(t *testing.T) {
	runInCluster(t, false, 1, 2, func(tc *testCluster) {
		s := tc.sites[0]
		s.agent.RemoveEndpoint("another-endpoint")
		tc.g.Expect(s.agent.Health()).To(Succeed())
		s.endpoint.isSilent = true
		s.agent.RemoveEndpoint(s.endpoint.id)
		tc.g.Expect(s.agent.Health()).NotTo(Succeed())
		for range 10 {
			tc.g.Expect(tc.isServed(orders)).To(BeTrue())
		}
		tc.g.Expect(s.endpoint.opened).To(BeEmpty())
	})
}
