package pathtest

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The users' routers: they ask each balancer twice a second whether it is ready, take
// it out after two refusals and back after one answer. With fewer than half of the
// balancers in rotation they use all of them, also those that are down.
const (
	healthCheckInterval    = 500 * time.Millisecond
	maxHealthCheckFailures = 2
)

// runRouter keeps the list of balancers as the routers do, until ctx ends.
func (tc *testCluster) runRouter(ctx context.Context) {
	failures := make(map[*runningBalancer]int)
	for ctx.Err() == nil {
		tc.mu.Lock()
		inRotation := 0
		for _, b := range tc.balancers {
			failures[b]++
			if !b.isDown && b.role.Health() == nil {
				failures[b] = 0
			}
			if failures[b] < maxHealthCheckFailures {
				inRotation++
			}
		}
		for _, b := range tc.balancers {
			b.isReady = failures[b] < maxHealthCheckFailures || 2*inRotation < len(tc.balancers)
		}
		tc.mu.Unlock()
		time.Sleep(healthCheckInterval)
	}
}

// Balancers of one zone are stopped and started in turn, faster than one of them
// takes for it. No packet may go to one that is down: its caller would send it again
// only 200 ms later.
func TestRollingBalancerRestartLosesNoPacket(t *testing.T) {
	const (
		gap  = 1500 * time.Millisecond
		down = 500 * time.Millisecond
	)
	runInCluster(t, false, 3, 4, func(tc *testCluster) {
		ctx, stop := tc.context()
		go tc.runRouter(ctx)
		tc.sleep(time.Second)
		for i, b := range tc.balancers {
			go func() {
				time.Sleep(time.Duration(i) * gap)
				b.role.Drain(ctx)
				tc.mu.Lock()
				b.stop()
				b.isDown = true
				tc.mu.Unlock()
				time.Sleep(down)
				tc.mu.Lock()
				defer tc.mu.Unlock()
				tc.startBalancer(b, i+1)
				b.isDown = false
			}()
		}
		flows := tc.openFlows(10)
		late := 0
		for start := time.Now(); time.Since(start) < 8*time.Second; {
			for _, f := range flows {
				sentAt := time.Now()
				tc.g.Expect(f.request()).NotTo(BeEmpty())
				if time.Since(sentAt) >= firstRetransmit {
					late++
				}
			}
			tc.sleep(20 * time.Millisecond)
		}
		stop()
		tc.sleep(healthCheckInterval)
		tc.g.Expect(late).To(BeZero())
	})
}
