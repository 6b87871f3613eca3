package pathtest

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/wire"
)

const (
	coldPerSecond = 20
	// maxColdFlows is how many new flows a cold endpoint may get in any second, by the factor and
	// the slack of the cluster's settings.
	maxColdFlows = coldPerSecond*1.5 + 5
)

// openColdFlows opens flows for a time, without waiting for each, and asserts that none of the
// endpoints gets more than a cold one may in any second. It returns how many were opened.
func (tc *testCluster) openColdFlows(duration time.Duration) (opened int) {
	const interval = 2 * time.Millisecond
	first := make(map[*site][]time.Duration)
	start := time.Now()
	for time.Since(start) < duration {
		tc.prepare(orders, anyZone).sendSYN(0)
		tc.sleep(interval)
		for _, s := range tc.sites {
			for count := len(first[s]); count < len(s.endpoint.opened); count++ {
				first[s] = append(first[s], time.Since(start))
			}
		}
	}
	for s, times := range first {
		opened += len(times)
		for i, from := range times {
			count := 0
			for _, at := range times[i:] {
				if at-from < time.Second {
					count++
				}
			}
			tc.g.Expect(count).To(BeNumerically("<=", maxColdFlows), "%s from %s on", s.endpoint.id, from)
		}
	}
	return opened
}

// Endpoints of a zone have become cold just before it is taken back, and have not said so yet.
func TestColdEndpointsOfAZoneThatReturnsGetNoMoreThanTheyMay(t *testing.T) {
	runInCluster(t, false, 2, 1, func(tc *testCluster) {
		tc.control.coldPerSecond = coldPerSecond
		tc.control.setRoute(2, orders, "orders")
		s := tc.sites[0]
		s.endpoint.slots = 1000
		tc.sleep(2 * heartbeat)
		tc.control.zoneIndex, tc.control.zonesOut = 1, []string{zoneOf(s.number)}
		tc.sleep(3*heartbeat + 50*time.Millisecond)
		s.endpoint.coldLeft = 5 * time.Second
		tc.control.zoneIndex, tc.control.zonesOut = 2, nil
		tc.g.Expect(tc.openColdFlows(4 * time.Second)).To(BeNumerically(">", 2*coldPerSecond))
	})
}

// A zone is taken out of service and back between two polls of its agents, which see it in service
// each time (review 9).
func TestColdEndpointsOfABrieflyEvacuatedZoneGetNoMoreThanTheyMay(t *testing.T) {
	runInCluster(t, false, 2, 1, func(tc *testCluster) {
		tc.control.coldPerSecond = coldPerSecond
		tc.control.setRoute(2, orders, "orders")
		s := tc.sites[0]
		s.endpoint.slots = 1000
		tc.sleep(2*heartbeat + 20*time.Millisecond)
		s.endpoint.coldLeft = 5 * time.Second
		tc.control.zoneIndex = 2
		tc.control.zonesBack = []*wire.ZoneReturn{{Name: zoneOf(s.number), Index: 2}}
		tc.sleep(550 * time.Millisecond)
		tc.g.Expect(tc.openColdFlows(4 * time.Second)).To(BeNumerically(">", 2*coldPerSecond))
	})
}

// The agent of a cold endpoint is killed, and does not know what the endpoint has just got.
func TestColdEndpointOfARestartedAgentGetsNoMoreThanItMay(t *testing.T) {
	runInCluster(t, false, 2, 1, func(tc *testCluster) {
		tc.control.coldPerSecond = coldPerSecond
		tc.control.setRoute(2, orders, "orders")
		s := tc.sites[0]
		s.endpoint.slots, s.endpoint.coldLeft = 1000, 9*time.Second
		s.endpoint.announce()
		tc.sleep(2 * heartbeat)
		go func() {
			time.Sleep(300 * time.Millisecond)
			tc.mu.Lock()
			s.restartAgent(10 * time.Millisecond)
			s.endpoint.announce()
			tc.mu.Unlock()
		}()
		tc.g.Expect(tc.openColdFlows(4 * time.Second)).To(BeNumerically(">", 2*coldPerSecond))
	})
}
