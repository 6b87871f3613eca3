package balancer

import (
	"net/netip"
	"sync"

	"sassafrasturn.example/internal/flow"
)

// maxCachedOwners bounds the entries of each of the two generations: 2.5 MB with map
// overhead.
const maxCachedOwners = 16_384

// ownerCache stores the owners of flows that are not owned by the first agent of their
// order. It is only an optimization: without an entry, agents forward packets until
// they reach the owner.
type ownerCache struct {
	mu       sync.Mutex
	current  map[flow.Key]cachedOwner
	previous map[flow.Key]cachedOwner
}

type cachedOwner struct {
	address netip.AddrPort
	// crossing is why packets go to another zone, empty if the owner is in the balancer's zone.
	crossing flow.PlacementReason
}

func newOwnerCache() *ownerCache {
	return &ownerCache{current: make(map[flow.Key]cachedOwner)}
}

func (c *ownerCache) put(key flow.Key, owner cachedOwner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.current) >= maxCachedOwners {
		c.previous, c.current = c.current, make(map[flow.Key]cachedOwner)
	}
	c.current[key] = owner
}

func (c *ownerCache) get(key flow.Key) (cachedOwner, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if owner, ok := c.current[key]; ok {
		return owner, true
	}
	owner, ok := c.previous[key]
	return owner, ok
}
