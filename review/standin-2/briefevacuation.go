package main

import (
	"errors"
	"net/netip"
	"sync"
	"time"
)

// Figures of the case brief-evacuation.
const (
	coldPerSecond = 10
	// coldBound is cold-per-s x cold-factor + cold-slack.
	coldBound     = coldPerSecond*1.5 + 5
	flowsPerTick  = 2
	tick          = 20 * time.Millisecond
	evacuations   = 12
	evacuationGap = 4300 * time.Millisecond
	// evacuationTime is how long the operator waits before it withdraws an evacuation.
	evacuationTime = 200 * time.Millisecond
	// coldLead is how long before the end of the evacuation the servers of the zone turn cold.
	coldLead = 100 * time.Millisecond
)

// playBriefEvacuation evacuates a zone and withdraws that at once, several times. The servers of
// the zone turn cold shortly before. It counts the evacuations after which a cold server got more
// new flows in a second than the bound.
func playBriefEvacuation(d *deployment, isTroubled bool) (broken int64, err error) {
	for number, zone := range []int{0, 1, 2, 0, 1} {
		d.add("core", zone, number, "")
	}
	d.add("edge", 1, 0, "")
	for number, zone := range []int{0, 1, 2, 0, 2} {
		d.add("side", zone, number, "orders")
	}
	d.seeds = d.core[:3]
	if err := d.start(); err != nil {
		return 0, err
	}
	route := netip.AddrPortFrom(d.address(200, 1), 443)
	if err := d.replace(desiredState(1, coldPerSecond, map[netip.AddrPort]string{route: "orders"}, []string{"orders"}), startTimeout); err != nil {
		return 0, err
	}
	if err := d.awaitReady(startTimeout); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	clients, err := newCallers(d.address(100, 1), d.ports.datagram, route, d.record)
	if err != nil {
		return 0, err
	}
	clients.servers, clients.balancer = d.servers, d.byHash
	stop := make(chan struct{})
	var opening sync.WaitGroup
	opening.Go(func() {
		ticker := time.NewTicker(tick)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				for range flowsPerTick {
					go clients.runFlow(0)
				}
			}
		}
	})
	time.Sleep(2 * time.Second)
	zone := d.zones[1]
	for range evacuations {
		started := time.Now()
		if isTroubled {
			if err := d.evacuate(zone, true, startTimeout); err != nil {
				return 0, err
			}
		}
		time.Sleep(evacuationTime - coldLead)
		if isTroubled {
			for _, s := range d.servers {
				if s.zone == zone {
					s.turnCold(coldTime)
					d.record.printf("server %s turns cold", s.id)
				}
			}
		}
		time.Sleep(coldLead)
		if isTroubled {
			if err := d.evacuate(zone, false, startTimeout); err != nil {
				return 0, err
			}
		}
		time.Sleep(time.Until(started.Add(evacuationGap)))
		for _, s := range d.servers {
			if most := clients.mostWhileCold(s, started); most > coldBound {
				broken++
				d.record.printf("FAILBACK: server %s, which was cold, got %d new flows in one second, allowed %v", s.id, most, coldBound)
			} else if s.zone == zone {
				d.record.printf("server %s got at most %d new flows in one second while it was cold", s.id, most)
			}
		}
	}
	close(stop)
	opening.Wait()
	d.record.printf("%d flows opened, %d failed, %d times more than the bound", clients.opened.Load(), clients.failed.Load(), broken)
	if clients.opened.Load() == 0 {
		return 0, errors.New("no flow was opened")
	}
	return broken, nil
}

// mostWhileCold returns the largest number of new flows since a time that were sent and arrived
// within one second, and that a server took while it was cold.
func (c *callers) mostWhileCold(s *server, since time.Time) int {
	type passage struct{ sent, arrived time.Time }
	var passages []passage
	s.mu.Lock()
	c.mu.Lock()
	for _, taken := range s.taken {
		if taken.isCold && taken.at.After(since) {
			passages = append(passages, passage{c.sentAt[taken.key], taken.at})
		}
	}
	c.mu.Unlock()
	s.mu.Unlock()
	most := 0
	for _, first := range passages {
		count := 0
		for _, p := range passages {
			if !p.sent.Before(first.sent) && p.arrived.Before(first.sent.Add(time.Second)) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
