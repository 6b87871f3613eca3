package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// drainTime is drain-ms, and drainSlack what a packet may take on its way.
const (
	drainTime  = 3 * time.Second
	drainSlack = 100 * time.Millisecond
)

// runDrain lets a server of alpha crash and start again at once while its last two heartbeats are on
// their way, and takes the new lifetime out of service. It reports that it drains, which is
// confirmed. Later than drain-ms after that it may get no new flows.
func runDrain(o *options, w *world) error {
	alpha, beta, first, late, err := setUp(w)
	if err != nil {
		return err
	}
	const (
		delay        = 2400 * time.Millisecond
		restartAfter = 150 * time.Millisecond
		drainAfter   = 400 * time.Millisecond
		watched      = 9 * time.Second
	)
	server, id := first, "alpha-0"
	busier := alpha.route
	busier.name = "to-alpha-busier"
	if o.hasTrouble() {
		if err := w.awaitAnsweredBeat(id); err != nil {
			return err
		}
		if o.trouble != "crash" {
			late.setDelay(delay)
		}
		for range 2 {
			if err := w.awaitBeat(id); err != nil {
				return err
			}
		}
		time.Sleep(50 * time.Millisecond)
		first.kill()
		late.setDelay(0)
		w.record.line("alpha-0 has crashed")
		time.Sleep(restartAfter)
		id = "alpha-0-again"
		if server, err = w.startServer(w.sides[0], id, "alpha", address(w.sides[0].host, portControl)); err != nil {
			return err
		}
		w.record.line("%s starts at the address of alpha-0", id)
	}
	more := w.startTraffic(alpha.client, busier, 30*time.Millisecond)
	time.Sleep(drainAfter)
	server.signal(syscall.SIGUSR1)
	w.record.line("%s is to be taken out of service", id)
	time.Sleep(watched)
	more.end()
	alpha.end()
	beta.end()
	var confirmed time.Time
	for _, e := range w.eventsOf(id, "beat-answered") {
		if confirmed.IsZero() && strings.Contains(e.text, "state=draining status=200") {
			confirmed = e.at
		}
	}
	if confirmed.IsZero() {
		return fmt.Errorf("no heartbeat that reports draining was confirmed")
	}
	taken := w.eventsOf(id, "took ")
	for _, e := range taken {
		if after := e.at.Sub(confirmed); after > drainTime+drainSlack {
			w.record.violate("DRAIN", "a flow reached %s %.2f s after its draining was confirmed: %s", id, after.Seconds(), e.text)
		}
	}
	w.record.line("%d flows reached %s in all, draining was confirmed at %.3f", len(taken), id, confirmed.Sub(w.record.started).Seconds())
	return nil
}
