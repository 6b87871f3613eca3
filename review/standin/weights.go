package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// runWeights opens flows on a route that leads to six services by weight. With the disruption,
// a desired state leads the route to one of them. It checks rule FLOW on the open flows.
func runWeights(ctx context.Context, record *recorder, root string, hasTrouble bool) error {
	names := []string{"desk-1", "desk-2", "desk-3", "desk-4", "desk-5", "desk-new"}
	d, err := newDeployment(ctx, record, root, 1, [][]string{names[:2], names[2:4], names[4:]}, 10*time.Millisecond)
	if err != nil {
		return err
	}
	defer d.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	state := func(version, timeoutMs int, services []string) []byte {
		routes := []route{{name: "r-status", host: d.routeAddress(1).Addr().String(), port: 443, kind: "idempotent", timeoutMs: timeoutMs, services: services}}
		return desiredState(version, routes, names, 2, 0)
	}
	if err := d.start(ctx, state(7, 1500, names)); err != nil {
		return err
	}
	byID := make(map[string]*server)
	for _, v := range d.servers {
		byID[v.id] = v
	}
	flows := openFlows(d, byID)
	next := state(11, 1600, names)
	if hasTrouble {
		next = state(11, 1500, names[5:])
	}
	if !d.operator.replace(ctx, next) {
		return fmt.Errorf("the desired state was not acknowledged")
	}
	var group sync.WaitGroup
	for _, f := range flows {
		group.Go(func() { useFlow(ctx, d, f, byID) })
	}
	group.Wait()
	d.logTotals()
	return nil
}

// openFlows opens flows and sends a request on each.
func openFlows(d *deployment, byID map[string]*server) []*clientFlow {
	var flows []*clientFlow
	count := make(map[string]int)
	for i := range 90 {
		f := d.clients[i%3][i%clientsPerZone].prepare(d.routeAddress(1))
		if !f.open() {
			f.close()
			continue
		}
		if _, ok := f.request(fmt.Sprintf("status %d", i), 1500*time.Millisecond); !ok {
			f.close()
			continue
		}
		d.opened.Add(1)
		count[byID[f.server].service]++
		flows = append(flows, f)
		d.record.logf("flow %s opened, its first request is answered by %s of %s", f.key.client, f.server, byID[f.server].service)
	}
	for _, v := range d.servers {
		d.record.logf("%d flows are open at the server of %s", count[v.service], v.service)
	}
	return flows
}

// useFlow sends a request every second, and records a reset that the server did not send
// while it lives and holds the flow.
func useFlow(ctx context.Context, d *deployment, f *clientFlow, byID map[string]*server) {
	defer f.close()
	v := byID[f.server]
	for i := range 10 {
		pause(ctx, time.Second)
		_, ok := f.request(fmt.Sprintf("status again %d", i), 1500*time.Millisecond)
		switch {
		case ok:
			d.served.Add(1)
			d.record.logf("flow %s: request %d sent, answered by %s of %s", f.key.client, i+1, v.id, v.service)
			continue
		case f.resetBy == "system" && v.holds(f.key):
			d.reset.Add(1)
			d.record.breakf("FLOW: the client of flow %s got a reset of the system's own, %.1f s after the flow opened, while its server %s of %s lives and holds the flow",
				f.key.client, time.Since(f.openedAt).Seconds(), v.id, v.service)
		case f.resetBy != "":
			d.record.logf("flow %s was reset by %s", f.key.client, f.resetBy)
		default:
			d.unserved.Add(1)
			d.record.logf("a request on flow %s got no answer within its time limit", f.key.client)
		}
		return
	}
}
