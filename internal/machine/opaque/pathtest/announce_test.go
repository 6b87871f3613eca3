package pathtest

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/machine/opaque/agent"
	"sassafrasturn.example/internal/routing"
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
		// isRepeated is set if the second endpoint goes on announcing itself.
		isRepeated bool
	}{
		{name: "earlier sequence number of the same endpoint", second: announcement("e", 5000, 6, true)},
		{name: "duplicate", second: announcement("e", 5000, 7, true)},
		{name: "previous endpoint", second: announcement("before", 4000, 90, true)},
		{name: "previous start of the same endpoint", second: announcement("e", 4000, 90, true)},
		{name: "later sequence number of the same endpoint", second: announcement("e", 5000, 8, true), isApplied: true},
		{name: "next endpoint", second: announcement("next", 6000, 1, true), isApplied: true},
		{
			name: "next endpoint with an earlier clock, after silence", silence: 2500 * time.Millisecond,
			second: announcement("next", 1000, 1, true), isApplied: true, isRepeated: true,
		},
		{
			name: "previous start, after silence", silence: 2500 * time.Millisecond,
			second: announcement("e", 4000, 90, true),
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInCluster(t, false, 1, 1, func(tc *testCluster) {
				s := tc.sites[0]
				s.endpoint.stop()
				tc.sleep(3 * time.Second)
				s.startSilentEndpoint("orders")
				s.agent.Announce(announcement("e", 5000, 7, false))
				tc.sleep(500 * time.Millisecond)
				tc.g.Expect(tc.isServed(orders)).To(BeTrue())
				tc.sleep(c.silence)
				s.agent.Announce(c.second)
				if c.isRepeated {
					tc.sleep(heartbeat)
					c.second.Sequence++
					s.agent.Announce(c.second)
				}
				if !c.isApplied && c.silence > 0 {
					s.agent.Announce(announcement("e", 5000, 8, false))
					tc.sleep(100 * time.Millisecond)
				}
				tc.g.Expect(tc.isServed(orders)).To(Equal(!c.isApplied))
			})
		})
	}
}

// anotherWriter are forms of heartbeats that another writer sends about an endpoint.
var anotherWriter = []struct {
	name   string
	change func(a *agent.Announcement)
}{
	{"another ID and an unknown service", func(a *agent.Announcement) { a.ID, a.Service = "another", "ledger-export" }},
	{"another ID", func(a *agent.Announcement) { a.ID = "another" }},
	{"another ID, draining", func(a *agent.Announcement) { a.ID, a.IsDraining = "another", true }},
	{"another ID and a start long ago", func(a *agent.Announcement) { a.ID, a.StartedAt = "another", 1 }},
	{"another ID and a start in the future", func(a *agent.Announcement) { a.ID, a.StartedAt = "another", a.StartedAt+time.Hour.Milliseconds() }},
	{"another ID, another service and a start in the future", func(a *agent.Announcement) {
		a.ID, a.Service, a.StartedAt = "another", "drawings", a.StartedAt+time.Hour.Milliseconds()
	}},
	{"another ID without a start", func(a *agent.Announcement) { a.ID, a.StartedAt = "another", 0 }},
	{"its ID", func(*agent.Announcement) {}},
	{"its ID and another service", func(a *agent.Announcement) { a.Service = "drawings" }},
	{"its ID and an unknown service", func(a *agent.Announcement) { a.Service = "ledger-export" }},
}

// A heartbeat of another writer must not take the place of the endpoint, which lives, holds its
// flows and goes on announcing itself.
func TestFlowsSurviveHeartbeatsOfAnotherWriter(t *testing.T) {
	for _, form := range anotherWriter {
		for _, isSameStart := range []bool{false, true} {
			for _, interval := range []time.Duration{0, 10 * time.Millisecond, heartbeat / 2, heartbeat} {
				t.Run(fmt.Sprintf("%s, same start %t, every %s", form.name, isSameStart, interval), func(t *testing.T) {
					runInCluster(t, false, 2, 3, func(tc *testCluster) {
						s, flows := tc.openAtBusiest(30)
						tc.sleep(2 * heartbeat)
						tc.expectServed(flows)
						for sequence := range 4 {
							odd := s.endpoint.lastAnnouncement()
							odd.Sequence = uint64(sequence + 1)
							if isSameStart {
								odd.Sequence += s.endpoint.sequence
							} else {
								odd.StartedAt = time.Now().UnixMilli()
							}
							form.change(&odd)
							s.agent.Announce(odd)
							if interval == 0 {
								break
							}
							tc.sleep(interval)
						}
						for range 4 {
							tc.expectServed(flows)
							tc.sleep(heartbeat)
						}
						opened := len(s.endpoint.opened)
						tc.openFlows(20)
						tc.g.Expect(len(s.endpoint.opened)).To(BeNumerically(">", opened))
					})
				})
			}
		}
	}
}

// An agent that has restarted hears of another writer before its endpoint announces itself.
func TestFlowsSurviveAFirstHeartbeatOfAnotherWriter(t *testing.T) {
	for _, form := range anotherWriter {
		t.Run(form.name, func(t *testing.T) {
			runInCluster(t, false, 2, 3, func(tc *testCluster) {
				s, flows := tc.openAtBusiest(30)
				s.endpoint.isSilent = true
				s.restartAgent(100 * time.Millisecond)
				odd := s.endpoint.lastAnnouncement()
				odd.StartedAt, odd.Sequence = time.Now().UnixMilli(), 1
				form.change(&odd)
				s.agent.Announce(odd)
				tc.sleep(heartbeat / 2)
				s.endpoint.isSilent = false
				for range 6 {
					tc.expectServed(flows)
					tc.sleep(heartbeat)
				}
				opened := len(s.endpoint.opened)
				tc.openFlows(20)
				tc.g.Expect(len(s.endpoint.opened)).To(BeNumerically(">", opened))
			})
		})
	}
}

func TestLeavingEndpointGetsNoFlows(t *testing.T) {
	runInCluster(t, false, 1, 2, func(tc *testCluster) {
		s := tc.sites[0]
		s.agent.AnnounceLeave("another-endpoint", 0)
		tc.g.Expect(s.agent.Health()).To(Succeed())
		s.endpoint.isSilent = true
		s.agent.AnnounceLeave(s.endpoint.id, s.endpoint.startedAt)
		for range 10 {
			tc.g.Expect(tc.isServed(orders)).To(BeTrue())
		}
		s.endpoint.stop()
		tc.sleep(100 * time.Millisecond)
		tc.g.Expect(s.agent.Health()).NotTo(Succeed())
		for range 10 {
			tc.g.Expect(tc.isServed(orders)).To(BeTrue())
		}
		tc.g.Expect(s.endpoint.opened).To(BeEmpty())
	})
}

// An agent starts before its endpoint does. It must not take part in the service until
// the endpoint announces itself, however long the check of the endpoint takes.
func TestAgentDoesNotRegisterForEndpointThatIsNotRunning(t *testing.T) {
	runInCluster(t, false, 1, 1, func(tc *testCluster) {
		tc.dialTime = 40 * time.Millisecond
		s := &site{cluster: tc, number: len(tc.sites), address: ip(2, len(tc.sites)+1)}
		s.startAgent()
		start := time.Now()
		isRegistered := false
		for time.Since(start) < 300*time.Millisecond {
			tc.sleep(time.Millisecond)
			for _, record := range tc.control.roster.PolledSince(0) {
				if record.Address == routing.AddressNumber(s.address) {
					isRegistered = true
					tc.g.Expect(record.Service).To(BeEmpty(), "%s after the start", time.Since(start))
				}
			}
		}
		tc.g.Expect(isRegistered).To(BeTrue())
	})
}
