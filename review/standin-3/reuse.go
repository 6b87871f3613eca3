package main

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// setUp starts the system with three servers of the service alpha, of which the first one sends its
// heartbeats through the proxy, and one of beta. It returns when requests to both are served.
func setUp(w *world) (alpha, beta *traffic, first *process, late *lateProxy, err error) {
	services := []string{"alpha", "alpha", "alpha", "beta"}
	if err = w.start(2, services); err != nil {
		return
	}
	late, err = newLateProxy(address(w.sides[0].host, portLate), address(w.sides[0].host, portControl))
	if err != nil {
		return
	}
	for i, service := range services {
		control := address(w.sides[i].host, portControl)
		if i == 0 {
			control = late.address
		}
		p, startErr := w.startServer(w.sides[i], fmt.Sprintf("%s-%d", service, i), service, control)
		if startErr != nil {
			err = startErr
			return
		}
		if i == 0 {
			first = p
		}
	}
	routes := []route{
		{name: "to-alpha", host: "127.198.0.1", port: 443, service: "alpha"},
		{name: "to-beta", host: "127.198.0.2", port: 443, service: "beta"},
	}
	status, _ := w.call("POST", "/Config.Replace", desiredState(1, 0, []string{"alpha", "beta"}, routes), 20*time.Second)
	if status != 200 {
		err = fmt.Errorf("the first desired state was answered %d", status)
		return
	}
	c, err := newClient(netip.MustParseAddr(w.host(firstClient)), portPackets, w.router, w.record)
	if err != nil {
		return
	}
	alpha = w.startTraffic(c, routes[0], 100*time.Millisecond)
	beta = w.startTraffic(c, routes[1], 200*time.Millisecond)
	if err = alpha.awaitServed(10, 20*time.Second); err != nil {
		return
	}
	if err = beta.awaitServed(5, 20*time.Second); err != nil {
		return
	}
	// The control group completes, and all machines are in touch.
	time.Sleep(6 * time.Second)
	return
}

// runReuse lets a server of alpha fall silent while its last heartbeat is on its way, and gives its
// address to a server of beta more than addr-reuse-s later. The heartbeat arrives after the new
// server has registered. No request to alpha may run at beta's servers.
func runReuse(o *options, w *world) error {
	alpha, beta, first, late, err := setUp(w)
	if err != nil {
		return err
	}
	const (
		delay = 2700 * time.Millisecond
		// reuseAfter is more than addr-reuse-s.
		reuseAfter = 2200 * time.Millisecond
		watched    = 8 * time.Second
	)
	if o.trouble == "freeze" {
		return runFreeze(w, alpha, beta, first)
	}
	if o.hasTrouble() {
		if err := w.awaitAnsweredBeat("alpha-0"); err != nil {
			return err
		}
		if o.trouble != "reuse" {
			late.setDelay(delay)
		}
		if err := w.awaitBeat("alpha-0"); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
		first.signal(stopSignal)
		w.record.line("alpha-0 has fallen silent")
		time.Sleep(reuseAfter)
		first.kill()
		late.setDelay(0)
		if _, err := w.startServer(w.sides[0], "beta-9", "beta", address(w.sides[0].host, portControl)); err != nil {
			return err
		}
		w.record.line("beta-9 starts at the address of alpha-0")
	}
	time.Sleep(watched)
	alpha.end()
	beta.end()
	if alpha.served.Load() < alpha.sent.Load()/2 {
		return fmt.Errorf("only %d of %d requests to alpha were served", alpha.served.Load(), alpha.sent.Load())
	}
	w.mu.Lock()
	events := append([]event(nil), w.events...)
	w.mu.Unlock()
	dialed := "dialed=" + alpha.route.address().String()
	for _, e := range events {
		if strings.HasPrefix(e.text, "run ") && strings.HasPrefix(e.server, "beta-") && strings.Contains(e.text, dialed+" ") {
			w.record.violate("ROUTE", "server %s of beta ran a request for alpha: %s", e.server, e.text)
		}
	}
	return nil
}
