package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// runAgentKill starts servers anew, which are cold then. With the disruption, the process
// beside a cold server is killed and starts again at once. It checks rule FAILBACK.
func runAgentKill(ctx context.Context, record *recorder, root string, hasTrouble bool) error {
	services := []string{"order-desk", "order-desk", "order-desk"}
	d, err := newDeployment(ctx, record, root, 2, [][]string{services, services, services}, 10*time.Millisecond)
	if err != nil {
		return err
	}
	defer d.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	desired := desiredState(1, []route{{name: "r-orders", host: d.routeAddress(1).Addr().String(), port: 443, kind: "non_idempotent", timeoutMs: 2000, services: services[:1]}},
		services[:1], coldStartS, coldPerS)
	watch := newColdWatch(d)
	if err := d.start(ctx, desired); err != nil {
		return err
	}
	for zone := range d.zones {
		go d.load(ctx, zone, 340, d.routeAddress(1))
	}
	go d.logRates(ctx)
	pause(ctx, 3*time.Second)
	for round := range 8 {
		// One server of each zone is replaced by a new one.
		var group sync.WaitGroup
		for i, v := range d.servers {
			if i%len(services) != round%len(services) {
				continue
			}
			group.Go(func() {
				v.crash()
				pause(ctx, 2500*time.Millisecond)
				if err := v.start(ctx, coldStartS*time.Second); err != nil {
					record.logf("server at %s did not start: %v", v.node.name, err)
					return
				}
				pause(ctx, time.Duration(300+rand.IntN(400))*time.Millisecond)
				if hasTrouble {
					if err := v.node.restart(syscall.SIGKILL, 100*time.Millisecond); err != nil {
						record.logf("%s did not start: %v", v.node.name, err)
					}
				}
			})
		}
		group.Wait()
		pause(ctx, 3500*time.Millisecond)
		watch.check(fmt.Sprintf("round %d", round+1))
	}
	d.logTotals()
	return d.errNotServed()
}
