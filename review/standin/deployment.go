package main

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// deployment is a running site with its servers, clients and operator.
type deployment struct {
	*site
	operator *operator
	servers  []*server
	// clients are those of each zone.
	clients [][]*client

	mu sync.Mutex
	// sentAt is when the client first sent the opening packet of a flow.
	sentAt map[flowKey]time.Time

	opened, served, reset, unserved atomic.Int64
}

const clientsPerZone = 4

// newDeployment returns a site with five core machines and an edge machine count for each
// zone. services names the services of the side machines of each zone.
func newDeployment(ctx context.Context, record *recorder, root string, edgesPerZone int, services [][]string, work time.Duration) (*deployment, error) {
	s, err := newSite(record, root)
	if err != nil {
		return nil, err
	}
	d := &deployment{site: s, operator: newOperator(s), sentAt: make(map[flowKey]time.Time)}
	for i, zone := range []int{0, 0, 1, 1, 2} {
		s.add("core", zone, 1+i%2, "")
	}
	for zone := range s.zones {
		for number := range edgesPerZone {
			s.add("edge", zone, 1+number, "")
		}
		for number, service := range services[zone] {
			n := s.add("side", zone, 1+number, service)
			d.servers = append(d.servers, newServer(s, n, work))
		}
	}
	return d, nil
}

// routeAddress returns an address that clients dial.
func (d *deployment) routeAddress(number int) netip.AddrPort {
	return addrPort(fmt.Sprintf("%s.200.%d", d.net, number), 443)
}

// start starts the processes, submits the first desired state, and starts servers and clients.
func (d *deployment) start(ctx context.Context, first []byte) error {
	if err := d.startAll(); err != nil {
		return err
	}
	if !d.operator.replace(ctx, first) {
		return fmt.Errorf("the first desired state was not acknowledged")
	}
	for _, v := range d.servers {
		if err := v.start(ctx, 0); err != nil {
			return err
		}
	}
	for zone, name := range d.zones {
		r := newRouter(ctx, d.site, name)
		var pool []*client
		for number := range clientsPerZone {
			c, err := newClient(ctx, d.site, zone, 1+number, r)
			if err != nil {
				return err
			}
			pool = append(pool, c)
		}
		d.clients = append(d.clients, pool)
	}
	return d.awaitService(ctx)
}

// awaitService waits until the clients of each zone are served.
func (d *deployment) awaitService(ctx context.Context) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); pause(ctx, 200*time.Millisecond) {
		isServed := true
		for _, pool := range d.clients {
			isServed = d.runFlow(pool[0], d.routeAddress(1)) && isServed
		}
		if isServed {
			// Calm machines are in touch contact-ms after the start.
			pause(ctx, 5*time.Second)
			return nil
		}
	}
	return fmt.Errorf("no service within 20 s")
}

// runFlow opens a flow, sends one request on it and closes it.
func (d *deployment) runFlow(c *client, dialed netip.AddrPort) bool {
	f := c.prepare(dialed)
	d.mu.Lock()
	d.sentAt[f.key] = time.Now()
	d.mu.Unlock()
	if !f.open() {
		f.close()
		d.unserved.Add(1)
		return false
	}
	d.opened.Add(1)
	_, ok := f.request(fmt.Sprintf("order %s", f.key.client), 2*time.Second)
	switch {
	case ok:
		d.served.Add(1)
	case f.resetBy == "system":
		d.reset.Add(1)
	default:
		d.unserved.Add(1)
	}
	f.finish()
	return ok
}

// load opens flows from the clients of a zone at a rate until the context ends.
func (d *deployment) load(ctx context.Context, zone int, perSecond float64, dialed netip.AddrPort) {
	interval := time.Duration(float64(time.Second) / perSecond)
	pool := d.clients[zone]
	next := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		next = next.Add(interval)
		time.Sleep(time.Until(next))
		go d.runFlow(pool[i%len(pool)], dialed)
	}
}

// logRates writes every second how many flows were opened and answered.
func (d *deployment) logRates(ctx context.Context) {
	for pause(ctx, time.Second) {
		d.logTotals()
	}
}

// errNotServed reports that the load was not served, so that a rule was not tried.
func (d *deployment) errNotServed() error {
	if d.served.Load() < d.opened.Load()/2 || d.served.Load() == 0 {
		return fmt.Errorf("only %d of %d opened flows were served", d.served.Load(), d.opened.Load())
	}
	return nil
}

func (d *deployment) logTotals() {
	d.record.logf("flows opened %d, requests answered %d, flows reset by the system %d, not served %d",
		d.opened.Load(), d.served.Load(), d.reset.Load(), d.unserved.Load())
}
