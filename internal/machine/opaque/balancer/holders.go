package balancer

import (
	"net/netip"
	"sync"

	"sassafrasturn.example/internal/flow"
)

// maxHolders bounds each of the two generations: 2 MB with map overhead.
const maxHolders = 16_384

// holders remembers which agent holds a flow where that is not the first of
// its order. It is only a shortcut: without it, agents pass packets on until
// they reach the holder.
type holders struct {
	mu       sync.Mutex
	current  map[flow.Key]netip.AddrPort
	previous map[flow.Key]netip.AddrPort
}

func newHolders() *holders {
	return &holders{current: make(map[flow.Key]netip.AddrPort)}
}

func (c *holders) put(key flow.Key, holder netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.current) >= maxHolders {
		c.previous, c.current = c.current, make(map[flow.Key]netip.AddrPort)
	}
	c.current[key] = holder
}

func (c *holders) get(key flow.Key) (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if holder, ok := c.current[key]; ok {
		return holder, true
	}
	holder, ok := c.previous[key]
	return holder, ok
}
