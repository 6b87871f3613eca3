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

// oddForm is a form of heartbeats that another writer sends about an endpoint. change applies it
// to an announcement of the endpoint's own.
type oddForm struct {
	name   string
	change func(a *agent.Announcement)
}

var oddForms = []oddForm{
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
	{"its ID and a sequence number that is too high", func(a *agent.Announcement) { a.Sequence += 1 << 60 }},
	{"its ID and another service", func(a *agent.Announcement) { a.Service = "drawings" }},
	{"its ID and an unknown service", func(a *agent.Announcement) { a.Service = "ledger-export" }},
}

// announceOdd sends the agent a heartbeat of another writer with a sequence number. It states
// the start of the endpoint or, if isSameStart is not set, one just now.
func (s *site) announceOdd(form oddForm, isSameStart bool, sequence uint64) {
	odd := s.endpoint.lastAnnouncement()
	odd.Sequence = sequence
	if isSameStart {
		odd.Sequence += s.endpoint.sequence
	} else {
		odd.StartedAt = time.Now().UnixMilli()
	}
	form.change(&odd)
	s.agent.Announce(odd)
}

// expectUndisturbed asserts that requests on open flows are answered for some heartbeats, and
// that the endpoint of a site gets new flows then.
func (tc *testCluster) expectUndisturbed(s *site, flows []*callerFlow) {
	for range 6 {
		tc.expectServed(flows)
		tc.sleep(heartbeat)
	}
	tc.expectTakesNewFlows(s)
}

// expectTakesNewFlows asserts that the endpoint of a site gets some of the new flows.
func (tc *testCluster) expectTakesNewFlows(s *site) {
	tc.t.Helper()
	opened := len(s.endpoint.opened)
	tc.openFlows(20)
	tc.g.Expect(len(s.endpoint.opened)).To(BeNumerically(">", opened))
}

// A heartbeat of another writer must not take the place of the endpoint, which lives, holds its
// flows and goes on announcing itself.
func TestFlowsSurviveHeartbeatsOfAnotherWriter(t *testing.T) {
	for _, form := range oddForms {
		for _, isSameStart := range []bool{false, true} {
			for _, interval := range []time.Duration{0, 10 * time.Millisecond, heartbeat / 2, heartbeat} {
				t.Run(fmt.Sprintf("%s, same start %t, every %s", form.name, isSameStart, interval), func(t *testing.T) {
					runInCluster(t, false, 2, 3, func(tc *testCluster) {
						s, flows := tc.openAtBusiest(30)
						tc.sleep(2 * heartbeat)
						tc.expectServed(flows)
						for sequence := range uint64(4) {
							s.announceOdd(form, isSameStart, sequence+1)
							if interval == 0 {
								break
							}
							tc.sleep(interval)
						}
						tc.expectUndisturbed(s, flows)
					})
				})
			}
		}
	}
}

// Heartbeats of one form prepare for those of another one.
func TestFlowsSurviveHeartbeatsOfAnotherWriterInTwoForms(t *testing.T) {
	for _, first := range oddForms {
		for _, second := range oddForms {
			for _, isSameStart := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, then %s, same start %t", first.name, second.name, isSameStart), func(t *testing.T) {
					runInCluster(t, false, 2, 3, func(tc *testCluster) {
						s, flows := tc.openAtBusiest(30)
						tc.sleep(2 * heartbeat)
						tc.expectServed(flows)
						s.announceOdd(first, true, 1)
						for sequence := range uint64(8) {
							tc.sleep(300 * time.Millisecond)
							s.announceOdd(second, isSameStart, sequence+2)
						}
						tc.expectUndisturbed(s, flows)
					})
				})
			}
		}
	}
}

// An agent that has restarted hears of another writer before its endpoint announces itself.
func TestFlowsSurviveAFirstHeartbeatOfAnotherWriter(t *testing.T) {
	for _, form := range oddForms {
		t.Run(form.name, func(t *testing.T) {
			runInCluster(t, false, 2, 3, func(tc *testCluster) {
				s, flows := tc.openAtBusiest(30)
				s.endpoint.isSilent = true
				s.restartAgent(100 * time.Millisecond)
				s.announceOdd(form, false, 1)
				tc.sleep(heartbeat / 2)
				s.endpoint.isSilent = false
				tc.expectUndisturbed(s, flows)
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

// crashWithLateAnnouncements replaces the endpoint of a site by one of a service that starts at
// once, and returns the last two announcements of the one before, which have not arrived.
func (s *site) crashWithLateAnnouncements(service string) (late []agent.Announcement) {
	e := s.endpoint
	for range 2 {
		e.sequence++
		late = append(late, e.lastAnnouncement())
	}
	s.startSilentEndpoint(service)
	s.endpoint.id = e.id + "-next"
	s.endpoint.startedAt++
	s.endpoint.isSilent = false
	s.endpoint.announce()
	return late
}

// Late announcements of an endpoint that has crashed must not give it the flows of the next one.
func TestFlowsSurviveLateAnnouncementsOfACrashedEndpoint(t *testing.T) {
	for _, delays := range [][2]time.Duration{{600 * time.Millisecond, 2200 * time.Millisecond}, {400 * time.Millisecond, 3 * time.Second}, {2 * time.Second, 2500 * time.Millisecond}} {
		t.Run(fmt.Sprint(delays), func(t *testing.T) {
			runInCluster(t, false, 2, 1, func(tc *testCluster) {
				s := tc.sites[0]
				tc.sleep(heartbeat / 3)
				late := s.crashWithLateAnnouncements("orders")
				start, flows := time.Now(), tc.openFlows(10)
				for i, announcement := range late {
					tc.sleep(delays[i] - time.Since(start))
					s.agent.Announce(announcement)
					flows = append(flows, tc.openFlows(5)...)
				}
				tc.sleep(8 * heartbeat)
				for _, f := range flows {
					tc.g.Expect(f.isReset).To(BeFalse(), "flow %s", f.key)
				}
				tc.expectServed(flows)
			})
		})
	}
}

// Late announcements of an endpoint that has crashed must not bring flows to the next one.
func TestLateAnnouncementsOfACrashedEndpointBringNoFlows(t *testing.T) {
	for _, service := range []string{"orders", "drawings"} {
		for _, silence := range []time.Duration{0, 2200 * time.Millisecond} {
			t.Run(fmt.Sprintf("next of %s, after silence of %s", service, silence), func(t *testing.T) {
				runInCluster(t, false, 2, 2, func(tc *testCluster) {
					s := tc.sites[0]
					s.endpoint.isSilent = true
					tc.sleep(silence + heartbeat/3)
					late := s.crashWithLateAnnouncements(service)
					if service == "orders" {
						tc.sleep(400 * time.Millisecond)
						s.endpoint.isDraining = true
						s.endpoint.announce()
					}
					opened := len(s.endpoint.opened)
					for _, announcement := range late {
						tc.sleep(600 * time.Millisecond)
						s.agent.Announce(announcement)
						for range 4 {
							tc.sleep(250 * time.Millisecond)
							tc.openFlows(10)
						}
					}
					tc.sleep(4 * heartbeat)
					tc.openFlows(10)
					tc.g.Expect(s.endpoint.opened).To(HaveLen(opened))
				})
			})
		}
	}
}

// expectReturnsBeside asserts that an idle endpoint gets new flows beside another writer of a named
// service that drains, within the time that the users' platform allows for a recovery.
func expectReturnsBeside(t *testing.T, idOf func(sequence uint64) string) {
	const recoveryTime = 12 * time.Second
	for _, service := range []string{"orders", "drawings"} {
		t.Run("a writer of "+service, func(t *testing.T) {
			runInCluster(t, false, 2, 3, func(tc *testCluster) {
				s, _ := tc.openAtBusiest(30)
				startedAt := s.endpoint.startedAt + 1
				s.startAnotherWriter(service, 770*time.Millisecond, oddForm{change: func(a *agent.Announcement) {
					a.ID, a.StartedAt, a.IsDraining = idOf(a.Sequence), startedAt, true
				}})
				tc.sleep(recoveryTime)
				tc.expectTakesNewFlows(s)
			})
		})
	}
}

func TestIdleEndpointReturnsBesideAnotherWriterOfANamedService(t *testing.T) {
	expectReturnsBeside(t, func(uint64) string { return "another" })
}

func TestIdleEndpointReturnsBesideAnotherWriterWithAnIDForEachHeartbeat(t *testing.T) {
	expectReturnsBeside(t, func(sequence uint64) string { return fmt.Sprint("another-", sequence) })
}
