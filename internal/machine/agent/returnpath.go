package agent

import (
	"net/netip"
	"sync"
	"time"
)

// rotationWindow is how long a balancer stays in the rotation after it was
// last heard from.
const rotationWindow = 100 * time.Millisecond

// returnPaths chooses the balancer that each reply leaves through: those heard
// from lately take turns, and when there is none the last one heard is used.
type returnPaths struct {
	mu    sync.Mutex
	heard []heardBalancer
	next  int
}

type heardBalancer struct {
	address netip.AddrPort
	at      time.Time
}

func newReturnPaths() *returnPaths {
	return &returnPaths{}
}

// hear notes that the balancer was heard from.
func (p *returnPaths) hear(now time.Time, balancer netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	for i := range p.heard {
		if p.heard[i].address == balancer {
			p.heard[i].at = now
			return
		}
	}
	p.heard = append(p.heard, heardBalancer{address: balancer, at: now})
}

// expire drops balancers outside the window, but keeps the last one heard.
func (p *returnPaths) expire(now time.Time) {
	last := p.lastHeard()
	kept := p.heard[:0]
	for _, balancer := range p.heard {
		if now.Sub(balancer.at) <= rotationWindow || balancer.address == last {
			kept = append(kept, balancer)
		}
	}
	p.heard = kept
}

func (p *returnPaths) lastHeard() netip.AddrPort {
	var last heardBalancer
	for _, balancer := range p.heard {
		if !balancer.at.Before(last.at) {
			last = balancer
		}
	}
	return last.address
}

// pick returns the balancer for one reply; false when none was ever heard from.
func (p *returnPaths) pick(now time.Time) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	if len(p.heard) == 0 {
		return netip.AddrPort{}, false
	}
	p.next = (p.next + 1) % len(p.heard)
	return p.heard[p.next].address, true
}
