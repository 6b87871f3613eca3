package main

import (
	"sync"
	"time"
)

// Bounds of the site and figures of the desired state for rule FAILBACK.
const (
	coldFactor = 1.5
	coldSlack  = 5
	coldPerS   = 20
	coldStartS = 2
	coldBound  = coldFactor*coldPerS + coldSlack
)

// opening is an opening packet that a cold server took.
type opening struct{ coldSince, sentAt, arrivedAt time.Time }

// coldWatch records the opening packets that servers take while they are cold.
type coldWatch struct {
	deployment *deployment
	mu         sync.Mutex
	openings   map[*server][]opening
}

func newColdWatch(d *deployment) *coldWatch {
	w := &coldWatch{deployment: d, openings: make(map[*server][]opening)}
	for _, v := range d.servers {
		v.onOpen = func(key flowKey, now time.Time) { w.observe(v, key, now) }
	}
	return w
}

// observe is called under the lock of the server.
func (w *coldWatch) observe(v *server, key flowKey, now time.Time) {
	if now.After(v.coldUntil) {
		return
	}
	w.deployment.mu.Lock()
	sentAt := w.deployment.sentAt[key]
	w.deployment.mu.Unlock()
	if sentAt.Before(v.coldSince) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.openings[v] = append(w.openings[v], opening{coldSince: v.coldSince, sentAt: sentAt, arrivedAt: now})
}

// check returns the largest number of opening packets that were sent and arrived inside one
// second, for each server since the last check, and records where it exceeds the bound.
func (w *coldWatch) check(label string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range w.deployment.servers {
		list := w.openings[v]
		most := 0
		for _, first := range list {
			w.deployment.record.logf("cold server at %s took a request that arrived %d ms after the server turned cold, sent %.1f ms before",
				v.node.name, first.arrivedAt.Sub(first.coldSince).Milliseconds(), first.arrivedAt.Sub(first.sentAt).Seconds()*1000)
			count := 0
			for _, o := range list {
				if !o.sentAt.Before(first.sentAt) && o.arrivedAt.Sub(first.sentAt) <= time.Second {
					count++
				}
			}
			most = max(most, count)
		}
		if len(list) > 0 {
			w.deployment.record.logf("%s: cold server at %s took %d requests, at most %d in one second, allowed %.0f", label, v.node.name, len(list), most, float64(coldBound))
		}
		if float64(most) > coldBound {
			w.deployment.record.breakf("FAILBACK: %s: the cold server at %s got %d requests in one second, allowed %.0f", label, v.node.name, most, float64(coldBound))
		}
		delete(w.openings, v)
	}
}
