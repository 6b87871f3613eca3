package agent

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// rotationWindow is how long a balancer stays in the rotation after it has
	// forwarded a datagram.
	rotationWindow = 100 * time.Millisecond
	// probeWindow is how long a balancer counts as alive after it was heard in
	// any way: the probe interval of one second and a quarter for delays.
	probeWindow = 1250 * time.Millisecond
	// maxReturnPaths bounds how many balancers are remembered; the one heard
	// longest ago makes room.
	maxReturnPaths = 64
)

// returnPaths chooses the balancer that each reply leaves through. Those that
// have forwarded a datagram within rotationWindow take turns. When there is
// none, those heard within probeWindow take turns, probes included, and
// without any of these the one heard last is used. A balancer that may be dead
// is thus never chosen while a live one is known.
type returnPaths struct {
	mu    sync.Mutex
	paths []returnPath
	next  int
}

type returnPath struct {
	balancer netip.AddrPort
	// lastForwarded is when it last lastForwarded a datagram, zero for never.
	lastForwarded time.Time
	// lastSeen is when it last forwarded a datagram or probed.
	lastSeen time.Time
}

func newReturnPaths() *returnPaths {
	return &returnPaths{}
}

// recordForwarded notes that the balancer forwarded a datagram.
func (p *returnPaths) recordForwarded(now time.Time, balancer netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.findOrAdd(balancer)
	path.lastForwarded, path.lastSeen = now, now
}

// recordProbe notes that the balancer probed the agent.
func (p *returnPaths) recordProbe(now time.Time, balancer netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.findOrAdd(balancer).lastSeen = now
}

// findOrAdd returns the path through the balancer and adds it where it is missing.
func (p *returnPaths) findOrAdd(balancer netip.AddrPort) *returnPath {
	oldest := 0
	for i := range p.paths {
		if p.paths[i].balancer == balancer {
			return &p.paths[i]
		}
		if p.paths[i].lastSeen.Before(p.paths[oldest].lastSeen) {
			oldest = i
		}
	}
	if len(p.paths) < maxReturnPaths {
		p.paths = append(p.paths, returnPath{})
		oldest = len(p.paths) - 1
	}
	p.paths[oldest] = returnPath{balancer: balancer}
	return &p.paths[oldest]
}

// pick returns the balancer for one reply; false when none was ever heard from.
func (p *returnPaths) pick(now time.Time) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.paths) == 0 {
		return netip.AddrPort{}, false
	}
	if path := p.nextLive(func(path *returnPath) bool { return now.Sub(path.lastForwarded) <= rotationWindow }); path != nil {
		return path.balancer, true
	}
	if path := p.nextLive(func(path *returnPath) bool { return now.Sub(path.lastSeen) <= probeWindow }); path != nil {
		return path.balancer, true
	}
	return p.mostRecent().balancer, true
}

// nextLive returns the next path in nextLive that is live, or nil.
func (p *returnPaths) nextLive(isLive func(*returnPath) bool) *returnPath {
	for range p.paths {
		p.next = (p.next + 1) % len(p.paths)
		if path := &p.paths[p.next]; isLive(path) {
			return path
		}
	}
	return nil
}

func (p *returnPaths) mostRecent() *returnPath {
	last := &p.paths[0]
	for i := range p.paths {
		if p.paths[i].lastSeen.After(last.lastSeen) {
			last = &p.paths[i]
		}
	}
	return last
}
