package agent

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// rotationWindow is how long a balancer stays in the rotation for replies
	// after it has forwarded a datagram.
	rotationWindow = 100 * time.Millisecond
	// probeWindow is how long a balancer is considered alive after its last
	// datagram or probe: the probe interval of 1 s plus 25% for delays.
	probeWindow = 1250 * time.Millisecond
	// maxReturnPaths limits how many balancers are tracked. The least recently
	// seen one is evicted.
	maxReturnPaths = 64
)

// returnPaths chooses the balancer through which each reply is sent. It rotates
// through the balancers that have forwarded a datagram within rotationWindow.
// If there are none, it rotates through those that have forwarded a datagram or
// sent a probe within probeWindow, and otherwise uses the one seen last. A
// balancer that may have failed is thus not chosen while a live one is known.
type returnPaths struct {
	mu    sync.Mutex
	paths []returnPath
	next  int
}

type returnPath struct {
	balancer netip.AddrPort
	// lastForwarded is when it last forwarded a datagram; zero if it never did.
	lastForwarded time.Time
	// lastSeen is when it last forwarded a datagram or sent a probe.
	lastSeen time.Time
}

func newReturnPaths() *returnPaths {
	return &returnPaths{}
}

// recordForwarded records that the balancer forwarded a datagram.
func (p *returnPaths) recordForwarded(now time.Time, balancer netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.findOrAdd(balancer)
	path.lastForwarded, path.lastSeen = now, now
}

// recordProbe records that the balancer probed the agent.
func (p *returnPaths) recordProbe(now time.Time, balancer netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.findOrAdd(balancer).lastSeen = now
}

// findOrAdd returns the path through the balancer, and adds it if it is missing,
// in place of the least recently seen one if there are maxReturnPaths.
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

// pick returns the balancer for a reply, or false if none is known.
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

// nextLive returns the next live path in the rotation, or nil if there is none.
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
