package control

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"sassafrasturn.example/internal/pause"
)

const (
	// waitingTTL is how long a node is remembered after a poll without a usable answer.
	// Nodes try one instance after the other, so that within this time each instance
	// remembers a part of them, and they do not all turn to the first that is ready.
	waitingTTL = 100 * time.Millisecond
	// maxWaiting bounds the nodes that are remembered.
	maxWaiting = 4096
	// readyCheckInterval separates the checks for a usable answer while nodes wait.
	readyCheckInterval = 5 * time.Millisecond
)

// waitingNodes remembers the nodes whose polls got no usable answer, with the time of
// their latest one. It is not safe for concurrent use.
type waitingNodes map[netip.AddrPort]time.Duration

func (w waitingNodes) add(now time.Duration, node netip.AddrPort) {
	if _, ok := w[node]; ok || len(w) < maxWaiting {
		w[node] = now
	}
}

// sweep removes the nodes that have polled another instance since.
func (w waitingNodes) sweep(now time.Duration) {
	maps.DeleteFunc(w, func(_ netip.AddrPort, at time.Duration) bool { return now-at > waitingTTL })
}

// addWaiting remembers a node, to be notified once this instance has a usable answer.
func (d *discovery) addWaiting(node netip.AddrPort) {
	d.mu.Lock()
	d.waiting.add(d.node.Now(), node)
	d.mu.Unlock()
	select {
	case d.waitingAdded <- struct{}{}:
	default:
	}
}

// notifyWaiting notifies waiting nodes until ctx ends.
func (d *discovery) notifyWaiting(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.waitingAdded:
		}
		for pause.For(ctx, readyCheckInterval) {
			nodes, areWaiting := d.takeWaiting()
			if len(nodes) > 0 {
				d.control.instance.Log.Info().Int("nodes", len(nodes)).Msg("ready to answer polls; telling the nodes that wait")
			}
			for _, node := range nodes {
				d.node.SendReady(node)
			}
			if !areWaiting {
				break
			}
		}
	}
}

// takeWaiting returns the nodes to notify, which is none until this instance has a usable
// answer, and whether other nodes still wait.
func (d *discovery) takeWaiting() (nodes []netip.AddrPort, areWaiting bool) {
	now := d.node.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting.sweep(now)
	if len(d.waiting) == 0 || !d.isReady(now) {
		return nil, len(d.waiting) > 0
	}
	nodes = slices.Collect(maps.Keys(d.waiting))
	clear(d.waiting)
	return nodes, false
}

// isReady reports whether this instance can answer polls with a complete state. The caller
// holds the lock.
func (d *discovery) isReady(now time.Duration) bool {
	d.applyRegistry(now)
	return d.control.loop.isCurrent() && d.roster.IsWarm(now) && d.hasAllContacts(now) && !d.control.isDraining.Load()
}
