package pathtest

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The users' routers check twice a second whether each balancer is ready. They take it
// out of rotation after two failed checks and put it back after one success. With fewer
// than half of the balancers in rotation, they use all of them, including those that are
// down.
const (
	healthCheckInterval = 500 * time.Millisecond
	unhealthyThreshold  = 2
)

// runRouter maintains the list of balancers in rotation as the routers do, until ctx ends.
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
			if failures[b] < unhealthyThreshold {
				inRotation++
			}
		}
		for _, b := range tc.balancers {
			b.isReady = failures[b] < unhealthyThreshold || 2*inRotation < len(tc.balancers)
		}
		tc.mu.Unlock()
		time.Sleep(healthCheckInterval)
	}
}

// Balancers of one zone are restarted one after the other, at intervals shorter than one
// restart takes. No packet may be routed to one that is down, because its caller would
// retransmit it only after 200 ms.
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
