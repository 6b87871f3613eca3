package pathtest

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/machine/opaque/agent"
)

// afterAllStarts is a time of birth after that of the world's own endpoints.
const afterAllStarts = 2_000_000_000_000

func announcement(id string, startedAt, sequence int, isDraining bool) agent.Announcement {
	return agent.Announcement{ID: id, Service: "orders", Slots: 5, StartedAt: afterAllStarts + int64(startedAt), Sequence: uint64(sequence), IsDraining: isDraining}
}

// An announcement that was delayed says nothing about now: neither an older one
// of the same endpoint, nor one of an endpoint that had the place before.
func TestStaleAnnouncementsAreIgnored(t *testing.T) {
	cases := []struct {
		name      string
		stale     agent.Announcement
		silence   time.Duration
		isApplied bool
	}{
		{name: "an older one of the same endpoint", stale: announcement("e", 5000, 6, true)},
		{name: "the same once more", stale: announcement("e", 5000, 7, true)},
		{name: "one of the endpoint before", stale: announcement("before", 4000, 90, true)},
		{name: "one of the start before under the same identity", stale: announcement("e", 4000, 90, true)},
		{name: "a newer one of the same endpoint", stale: announcement("e", 5000, 8, true), isApplied: true},
		{name: "one of the next endpoint", stale: announcement("next", 6000, 1, true), isApplied: true},
		{
			name: "one of an endpoint whose clock went back, after silence", silence: 2500 * time.Millisecond,
			stale: announcement("next", 1000, 1, true), isApplied: true,
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
				s.agent.Announce(c.stale)
				tc.g.Expect(tc.isServed(orders)).To(Equal(!c.isApplied))
			})
		})
	}
}

func TestRemovedEndpointGetsNoFlows(t *testing.T) {
	runInCluster(t, false, 1, 2, func(tc *testCluster) {
		s := tc.sites[0]
		s.agent.RemoveEndpoint("somebody else")
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
