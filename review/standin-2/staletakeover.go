package main

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Figures of the case stale-takeover.
const (
	agentsPerRoll = 6
	rolls         = 3
	callersOpen   = 180
	flowLifeMin   = 6 * time.Second
	flowLifeMax   = 18 * time.Second
	rollGap       = 1200 * time.Millisecond
	// playEnd is when the last restart begins at the latest, from the start of the run.
	playEnd      = 98 * time.Second
	closingTime  = 8 * time.Second
	startTimeout = 12 * time.Second
)

// playStaleTakeover restarts the agents gracefully in three rolls at once, again and again, while
// the settings name other seeds in turn. All of it is planned work. It counts the open flows whose
// clients get a reset that the flow's server did not send.
func playStaleTakeover(d *deployment, isTroubled bool) (broken int64, err error) {
	for number, zone := range []int{0, 1, 2, 0, 1, 2, 0, 1} {
		d.add("core", zone, number, "")
	}
	for number, zone := range []int{0, 1} {
		d.add("edge", zone, number, "")
	}
	for number := range rolls * agentsPerRoll {
		zone := number % len(d.zones)
		d.add("side", zone, number, "orders")
	}
	first, second := d.core[:3], d.core[3:6]
	d.seeds = first
	if err := d.start(); err != nil {
		return 0, err
	}
	route := netip.AddrPortFrom(d.address(200, 1), 443)
	if err := d.replace(desiredState(1, 0, map[netip.AddrPort]string{route: "orders"}, []string{"orders"}), startTimeout); err != nil {
		return 0, err
	}
	if err := d.awaitReady(startTimeout); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	clients, err := newCallers(d.address(100, 1), d.ports.datagram, route, d.record)
	if err != nil {
		return 0, err
	}
	clients.servers, clients.balancer = d.servers, d.byHash
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range callersOpen {
		running.Go(func() {
			time.Sleep(rand.N(2 * time.Second))
			for {
				select {
				case <-stop:
					return
				default:
					clients.runFlow(flowLifeMin + rand.N(flowLifeMax-flowLifeMin))
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	rolled := make(chan error, 1000)
	end := d.record.started.Add(playEnd)
	for round := 0; isTroubled && time.Now().Before(end); round++ {
		if round > 0 {
			seeds := [][]*machine{first, second}[round%2]
			d.record.printf("plan: the settings name %s, %s and %s as seeds", seeds[0].name, seeds[1].name, seeds[2].name)
			if err := d.setSeeds(seeds...); err != nil {
				return 0, err
			}
		}
		for number := range agentsPerRoll {
			for roll := range rolls {
				m := d.side[roll*agentsPerRoll+number]
				d.record.printf("plan: %s is restarted", m.name)
				go func() { rolled <- m.roll() }()
			}
			time.Sleep(rollGap)
			select {
			case err := <-rolled:
				if err != nil {
					return 0, err
				}
			default:
			}
		}
	}
	time.Sleep(max(0, time.Until(end)))
	close(stop)
	time.Sleep(closingTime)
	broken = clients.broken.Load()
	d.record.printf("%d flows opened, %d requests answered, %d flows failed, %d broken", clients.opened.Load(), clients.answered.Load(), clients.failed.Load(), broken)
	if clients.answered.Load() == 0 {
		return 0, errors.New("no request was answered")
	}
	return broken, nil
}
