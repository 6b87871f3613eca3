package control

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// pollerTTL is how long a node is remembered after a poll: two of its intervals.
	pollerTTL = time.Second
	// maxPollers bounds the nodes that are remembered, of some 40 bytes each. There are 3,720 in the
	// designed cluster size.
	maxPollers = 4096
)

// pollers remembers the nodes that have polled this instance, with the time of their latest
// poll. It is not safe for concurrent use.
type pollers map[netip.AddrPort]time.Duration

func (p pollers) add(now time.Duration, node netip.AddrPort) {
	if _, ok := p[node]; ok || len(p) < maxPollers {
		p[node] = now
	}
}

func (p pollers) sweep(now time.Duration) {
	maps.DeleteFunc(p, func(_ netip.AddrPort, at time.Duration) bool { return now-at > pollerTTL })
}

func (d *discovery) addPoller(node netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pollers.add(d.node.Now(), node)
}

// signalZones makes notifyZones run once. It does not wait for it.
func (d *discovery) signalZones() {
	select {
	case d.zonesChanged <- struct{}{}:
	default:
	}
}

// notifyZones tells the nodes that poll this instance of each change of zones, until ctx ends: they
// must stop new flows to a zone, or limit them, sooner than with their next poll. A notice may be
// lost.
func (d *discovery) notifyZones(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.zonesChanged:
		}
		d.mu.Lock()
		d.pollers.sweep(d.node.Now())
		nodes := slices.Collect(maps.Keys(d.pollers))
		d.mu.Unlock()
		committed := d.control.replica.committed.Load()
		for _, node := range nodes {
			d.node.SendVersions(committed.RoutingVersion, committed.ZoneIndex, node)
		}
	}
}
