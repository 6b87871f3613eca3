package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// runOddHeartbeat opens flows on a route. With the disruption, another writer sends one
// heartbeat with a service that no desired state names to three of the six nodes beside servers.
// It checks rule FLOW on the open flows.
func runOddHeartbeat(ctx context.Context, record *recorder, root string, hasTrouble bool) error {
	services := []string{"order-desk", "order-desk"}
	d, err := newDeployment(ctx, record, root, 1, [][]string{services, services, services}, 10*time.Millisecond)
	if err != nil {
		return err
	}
	defer d.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	routes := []route{{name: "r-status", host: d.routeAddress(1).Addr().String(), port: 443, kind: "idempotent", timeoutMs: 1500, services: services[:1]}}
	if err := d.start(ctx, desiredState(7, routes, services[:1], 2, 0)); err != nil {
		return err
	}
	byID := make(map[string]*server)
	for _, v := range d.servers {
		byID[v.id] = v
	}
	flows := openFlows(d, byID)
	if len(flows) == 0 {
		return fmt.Errorf("no flow opened")
	}
	var group sync.WaitGroup
	for _, f := range flows {
		group.Go(func() { useFlow(ctx, d, f, byID) })
	}
	for i := 0; hasTrouble && i < len(d.servers); i += 2 {
		pause(ctx, 1500*time.Millisecond)
		d.sendOddHeartbeat(ctx, d.servers[i].node)
	}
	group.Wait()
	d.logTotals()
	return nil
}

// sendOddHeartbeat sends a heartbeat of another writer on the same machine, about a service that
// is not known, to the node beside a server.
func (d *deployment) sendOddHeartbeat(ctx context.Context, n *node) {
	body, _ := json.Marshal(map[string]any{
		"service": "ledger-export", "addr": d.address(n.ip, portApp), "zone": n.zone, "version": "v1", "slots": slotCount,
		"state": "ready", "cold-left-ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	url := "http://" + d.address(n.ip, portControl) + "/Instances.Heartbeat/i-0ddba11"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := localClient(n.ip).Do(request)
	if err != nil {
		d.record.logf("odd heartbeat to %s: %v", n.name, err)
		return
	}
	response.Body.Close()
	d.record.logf("odd heartbeat %s to %s: %s", body, n.name, response.Status)
}
