package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const stopSignal = syscall.SIGSTOP

// contactTime is contact-ms. A reset sooner after the start of the server doesn't count.
const contactTime = 4 * time.Second

// runQuiet lets a server of alpha crash and start again at once while its last two heartbeats are
// on their way. They arrive after the new lifetime has registered and accepted flows. These flows
// pause between two requests. The system may not reset them.
func runQuiet(o *options, w *world) error {
	alpha, beta, first, late, err := setUp(w)
	if err != nil {
		return err
	}
	const (
		delay        = 2400 * time.Millisecond
		restartAfter = 150 * time.Millisecond
		// Flows are opened from openedFrom until openedUntil after the restart, between the two
		// heartbeats that are late, and watched until watched after it.
		openedFrom  = 600 * time.Millisecond
		openedUntil = 1800 * time.Millisecond
		openEvery   = 40 * time.Millisecond
		watched     = 9 * time.Second
	)
	server := "alpha-0"
	if o.hasTrouble() {
		if err := w.awaitAnsweredBeat("alpha-0"); err != nil {
			return err
		}
		if o.trouble != "crash" {
			late.setDelay(delay)
		}
		for range 2 {
			if err := w.awaitBeat("alpha-0"); err != nil {
				return err
			}
		}
		time.Sleep(50 * time.Millisecond)
		first.kill()
		late.setDelay(0)
		w.record.line("alpha-0 has crashed")
		time.Sleep(restartAfter)
		server = "alpha-0-again"
		if _, err := w.startServer(w.sides[0], server, "alpha", address(w.sides[0].host, portControl)); err != nil {
			return err
		}
		w.record.line("%s starts at the address of alpha-0", server)
	}
	started := time.Now()
	alpha.end()
	var wait sync.WaitGroup
	opened, onServer := 0, 0
	var mu sync.Mutex
	time.Sleep(openedFrom)
	for time.Since(started) < openedUntil {
		opened++
		number := opened
		wait.Go(func() {
			f := alpha.client.newFlow(alpha.route.address())
			defer f.forget()
			id := fmt.Sprintf("quiet-%d", number)
			w.record.line("client: request %s on %s", id, f.key)
			if err := f.open(); err != nil {
				w.record.line("client: request %s not sent: %v", id, err)
				return
			}
			by, err := f.request(id, "GET /quiet HTTP/1.1", 2*time.Second)
			if err != nil {
				w.record.line("client: request %s: %v", id, err)
				return
			}
			w.record.line("client: request %s answered by %s", id, by)
			if by == server {
				mu.Lock()
				onServer++
				mu.Unlock()
			}
			if f.watch(started.Add(watched)) {
				if time.Since(started) < contactTime {
					w.record.line("client: open flow %s at %s was reset within contact-ms", f.key, by)
					return
				}
				w.record.violate("FLOW", "open flow %s at %s, which lives, was reset by the system", f.key, by)
				return
			}
			f.close()
		})
		time.Sleep(openEvery)
	}
	wait.Wait()
	beta.end()
	if onServer == 0 {
		return fmt.Errorf("none of %d flows was opened at %s", opened, server)
	}
	w.record.line("%d flows were opened, %d of them at %s", opened, onServer, server)
	return nil
}
