package pathtest

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/machine/opaque/agent"
)

// unnamedForms are forms of heartbeats that state a service which no routing table names.
var unnamedForms = []oddForm{
	{"another ID", func(a *agent.Announcement) { a.ID = "another" }},
	{"another ID, without a start", func(a *agent.Announcement) { a.ID, a.StartedAt = "another", 0 }},
	{"another ID and a start long ago", func(a *agent.Announcement) { a.ID, a.StartedAt = "another", 1 }},
	{"another ID and a start in the future", func(a *agent.Announcement) { a.ID, a.StartedAt = "another", a.StartedAt+time.Hour.Milliseconds() }},
	{"another ID, draining", func(a *agent.Announcement) { a.ID, a.IsDraining = "another", true }},
	{"its ID and start", func(*agent.Announcement) {}},
	{"its ID, without a start", func(a *agent.Announcement) { a.StartedAt = 0 }},
	{"an ID for each heartbeat", func(a *agent.Announcement) { a.ID = fmt.Sprint("another-", a.Sequence) }},
}

const unnamedService = "ledger-export"

// startAnotherWriter sends the agent of a site heartbeats of a service until the test ends, the
// first of them at once, and the first one to each start of the agent within an interval.
func (s *site) startAnotherWriter(service string, interval time.Duration, form oddForm) {
	ctx, _ := s.cluster.context()
	sequence := uint64(0)
	announce := func() {
		sequence++
		odd := s.endpoint.lastAnnouncement()
		odd.Service, odd.Sequence = service, sequence
		form.change(&odd)
		s.agent.Announce(odd)
	}
	announce()
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				s.cluster.mu.Lock()
				announce()
				s.cluster.mu.Unlock()
			}
		}
	}()
}

// Another writer of a service that is not named is heard before the endpoint, and goes on.
func TestEndpointIsUsedBesideAnotherWriterOfAnUnnamedService(t *testing.T) {
	for _, form := range unnamedForms {
		for _, interval := range []time.Duration{20 * time.Millisecond, 770 * time.Millisecond} {
			for _, isRestarted := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, every %s, restart %t", form.name, interval, isRestarted), func(t *testing.T) {
					runInCluster(t, false, 2, 3, func(tc *testCluster) {
						s, flows := tc.openAtBusiest(30)
						if isRestarted {
							s.endpoint.isSilent = true
							s.restartAgent(100 * time.Millisecond)
						}
						s.startAnotherWriter(unnamedService, interval, form)
						tc.sleep(50 * time.Millisecond)
						s.startAnotherWriter("another-"+unnamedService, interval, form)
						tc.sleep(heartbeat / 2)
						s.endpoint.isSilent = false
						s.endpoint.announce()
						tc.sleep(100 * time.Millisecond)
						tc.expectTakesNewFlows(s)
						tc.expectUndisturbed(s, flows)
					})
				})
			}
		}
	}
}

// All agents restart while other writers are heard first at each of them.
func TestServiceRecoversBesideOtherWritersOfAnUnnamedService(t *testing.T) {
	for _, configured := range []string{"orders", ""} {
		t.Run(fmt.Sprintf("configured %q", configured), func(t *testing.T) {
			runInCluster(t, false, 2, 3, func(tc *testCluster) {
				tc.configure = func(instance *machine.Instance) { instance.Settings.Opaque.Service = configured }
				for _, s := range tc.sites {
					s.startAnotherWriter(unnamedService, 20*time.Millisecond, unnamedForms[0])
				}
				for _, s := range tc.sites {
					s.stop()
				}
				tc.waitIdle()
				for _, s := range tc.sites {
					s.startAgent()
				}
				tc.sleep(5 * time.Second)
				for range 20 {
					tc.g.Expect(tc.isServed(orders)).To(BeTrue())
				}
			})
		})
	}
}

// Beside another writer, a routing table names an endpoint's service later, drops it and names it again.
func TestEndpointOfAServiceThatIsNamedLaterAndDropped(t *testing.T) {
	for _, c := range []struct {
		isRestarted bool
		next        string
	}{{false, "orders"}, {true, "orders"}, {true, "drawings"}} {
		isRestarted, next := c.isRestarted, c.next
		t.Run(fmt.Sprintf("restart %t, then %s", isRestarted, next), func(t *testing.T) {
			runInCluster(t, false, 2, 1, func(tc *testCluster) {
				s := tc.addSite("invoices")
				s.startAnotherWriter(unnamedService, 20*time.Millisecond, unnamedForms[0])
				restart := func() {
					if isRestarted {
						s.restartAgent(100 * time.Millisecond)
					}
				}
				restart()
				tc.sleep(2 * heartbeat)
				tc.control.setRoute(2, drawings, "invoices")
				tc.sleep(heartbeat)
				f := tc.dial(drawings, anyZone)
				expectGoesOn := func() {
					t.Helper()
					for range 5 {
						tc.expectServed([]*callerFlow{f})
						tc.sleep(heartbeat)
					}
				}
				expectGoesOn()
				tc.control.setRoute(3, drawings, next)
				expectGoesOn()
				restart()
				expectGoesOn()
				tc.control.setRoute(4, drawings, "invoices")
				tc.sleep(heartbeat)
				tc.g.Expect(tc.isServed(drawings)).To(BeTrue())
				expectGoesOn()
				tc.g.Expect(s.endpoint.opened).To(HaveLen(2))
			})
		})
	}
}

// Another writer is heard first while its service is named, and goes on after that was dropped.
func TestEndpointReturnsOnceTheServiceOfAnotherWriterIsDropped(t *testing.T) {
	for _, form := range unnamedForms {
		t.Run(form.name, func(t *testing.T) {
			runInCluster(t, false, 2, 3, func(tc *testCluster) {
				s, flows := tc.openAtBusiest(30)
				tc.control.setRoute(2, drawings, unnamedService)
				tc.sleep(heartbeat)
				s.endpoint.isSilent = true
				s.restartAgent(100 * time.Millisecond)
				tc.sleep(heartbeat / 2)
				s.startAnotherWriter(unnamedService, 770*time.Millisecond, form)
				tc.sleep(100 * time.Millisecond)
				s.endpoint.isSilent = false
				tc.sleep(2 * heartbeat)
				tc.control.setRoute(3, drawings)
				tc.sleep(4 * heartbeat)
				tc.expectTakesNewFlows(s)
				tc.expectUndisturbed(s, flows)
			})
		})
	}
}

// An endpoint that has started after its agent is named later, and crashes without a word.
func TestFlowsOfACrashedEndpointThatWasNamedLaterAreReset(t *testing.T) {
	runInCluster(t, false, 2, 1, func(tc *testCluster) {
		s := tc.addSite("invoices")
		tc.control.setRoute(2, drawings, "invoices")
		tc.sleep(heartbeat)
		f := tc.dial(drawings, anyZone)
		tc.g.Expect(f.request()).NotTo(BeEmpty())
		s.endpoint.stop()
		tc.sleep(3 * time.Second)
		tc.g.Expect(f.isReset).To(BeTrue())
	})
}
