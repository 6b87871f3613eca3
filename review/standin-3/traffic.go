package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// traffic sends requests on short flows, one flow each, at a steady rate.
type traffic struct {
	w      *world
	client *client
	route  route
	every  time.Duration
	stop   chan struct{}
	wait   sync.WaitGroup
	served atomic.Int64
	sent   atomic.Int64
}

func (w *world) startTraffic(c *client, r route, every time.Duration) *traffic {
	t := &traffic{w: w, client: c, route: r, every: every, stop: make(chan struct{})}
	t.wait.Go(func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			select {
			case <-t.stop:
				return
			case <-ticker.C:
				t.wait.Go(t.one)
			}
		}
	})
	return t
}

func (t *traffic) one() {
	id := fmt.Sprintf("%s-%d", t.route.name, t.sent.Add(1))
	f := t.client.newFlow(t.route.address())
	t.w.record.line("client: request %s to %s on %s", id, t.route.name, f.key)
	if err := f.open(); err != nil {
		t.w.record.line("client: request %s not sent: %v", id, err)
		f.forget()
		return
	}
	server, err := f.request(id, "GET /"+t.route.name+" HTTP/1.1", 2*time.Second)
	if err != nil {
		t.w.record.line("client: request %s: %v", id, err)
		f.forget()
		return
	}
	t.served.Add(1)
	t.w.record.line("client: request %s answered by %s", id, server)
	f.close()
}

func (t *traffic) end() {
	close(t.stop)
	t.wait.Wait()
}

// await waits until a condition holds.
func await(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// awaitServed waits until some requests have been answered.
func (t *traffic) awaitServed(count int64, limit time.Duration) error {
	before := t.served.Load()
	if !await(limit, func() bool { return t.served.Load() >= before+count }) {
		return fmt.Errorf("only %d of %d requests to %s were answered within %s", t.served.Load()-before, count, t.route.name, limit)
	}
	return nil
}

// awaitAnsweredBeat waits for the next heartbeat of a server that is answered.
func (w *world) awaitAnsweredBeat(server string) error {
	before := len(w.eventsOf(server, "beat-answered"))
	if !await(5*time.Second, func() bool { return len(w.eventsOf(server, "beat-answered")) > before }) {
		return fmt.Errorf("no heartbeat of %s was answered", server)
	}
	return nil
}

// awaitBeat waits until a server sends its next heartbeat.
func (w *world) awaitBeat(server string) error {
	before := len(w.eventsOf(server, "beat seq"))
	if !await(5*time.Second, func() bool { return len(w.eventsOf(server, "beat seq")) > before }) {
		return fmt.Errorf("%s sent no heartbeat", server)
	}
	return nil
}
