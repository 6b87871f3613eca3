package main

import (
	"context"
	"fmt"
	"time"
)

// runEvacuation evacuates zones one after the other and takes them back. With the disruption,
// the servers of the zone are cold when they are taken back. It checks rule FAILBACK.
func runEvacuation(ctx context.Context, record *recorder, root string, hasTrouble bool) error {
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
	// Zone nbi-a has more clients than the others.
	for zone, perSecond := range []float64{400, 150, 150} {
		go d.load(ctx, zone, perSecond, d.routeAddress(1))
	}
	go d.logRates(ctx)
	pause(ctx, 3*time.Second)
	for cycle := range 5 {
		if !d.operator.evacuate(ctx, d.zones[0], true) {
			return fmt.Errorf("the evacuation was not acknowledged")
		}
		pause(ctx, 6*time.Second)
		for _, v := range d.servers {
			if hasTrouble && v.node.zone == d.zones[0] {
				v.turnCold(coldStartS * time.Second)
			}
		}
		if !d.operator.evacuate(ctx, d.zones[0], false) {
			return fmt.Errorf("the end of the evacuation was not acknowledged")
		}
		pause(ctx, (coldStartS+1)*time.Second)
		watch.check(fmt.Sprintf("evacuation %d", cycle+1))
	}
	d.logTotals()
	return d.errNotServed()
}
