package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// runFreeze replaces the server of one machine again and again by one of the other service, more
// than addr-reuse-s after it has fallen silent, while the node beside it is frozen. The last
// heartbeat of the old server and the first one of the new server wait at the node until it thaws.
func runFreeze(w *world, alpha, beta *traffic, first *process) error {
	const (
		rounds = 8
		// freezeAfter is when the node freezes after it has answered a heartbeat: shortly before the
		// next one.
		freezeAfter = 600 * time.Millisecond
		reuseAfter  = 2100 * time.Millisecond
		thawAfter   = 60 * time.Millisecond
		settled     = 5 * time.Second
	)
	s := w.sides[0]
	server, id := first, "alpha-0"
	for round := range rounds {
		if err := w.awaitAnsweredBeat(id); err != nil {
			return err
		}
		time.Sleep(freezeAfter)
		s.agent.signal(syscall.SIGSTOP)
		w.record.line("the node beside %s freezes", id)
		if err := w.awaitBeat(id); err != nil {
			s.agent.signal(syscall.SIGCONT)
			return err
		}
		time.Sleep(50 * time.Millisecond)
		server.signal(stopSignal)
		w.record.line("%s has fallen silent", id)
		time.Sleep(reuseAfter)
		server.kill()
		service := []string{"beta", "alpha"}[round%2]
		id = fmt.Sprintf("%s-%d", service, 10+round)
		var err error
		if server, err = w.startServer(s, id, service, address(s.host, portControl)); err != nil {
			return err
		}
		time.Sleep(thawAfter)
		s.agent.signal(syscall.SIGCONT)
		w.record.line("the node beside %s thaws", id)
		time.Sleep(settled)
	}
	alpha.end()
	beta.end()
	w.mu.Lock()
	events := append([]event(nil), w.events...)
	w.mu.Unlock()
	for _, e := range events {
		for _, t := range []*traffic{alpha, beta} {
			service := strings.TrimPrefix(t.route.name, "to-")
			if strings.HasPrefix(e.text, "run ") && strings.Contains(e.text, "dialed="+t.route.address().String()+" ") && !strings.HasPrefix(e.server, service+"-") {
				w.record.violate("ROUTE", "server %s ran a request for %s: %s", e.server, service, e.text)
			}
		}
	}
	return nil
}
