package agent

import (
	"time"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine/opaque"
)

const (
	// maxBounceableOffers bounds the offers that are remembered.
	maxBounceableOffers = 8192
	// bounceTimeout is how long an endpoint may take to bounce a packet.
	bounceTimeout = 2 * time.Second
)

// bounceableOffers remembers the offers of packets that the endpoint was bounceableOffers and may
// bounce, by their flows.
type bounceableOffers map[flow.Key]bounceableOffer

type bounceableOffer struct {
	offer       opaque.Offer
	deliveredAt time.Duration
}

// add remembers an offer; it reports false when there are too many.
func (g bounceableOffers) add(now time.Duration, key flow.Key, offer *opaque.Offer) bool {
	if len(g) >= maxBounceableOffers {
		return false
	}
	g[key] = bounceableOffer{offer: *offer, deliveredAt: now}
	return true
}

// get returns the offer of a packet that has been bounced.
func (g bounceableOffers) get(key flow.Key) (opaque.Offer, bool) {
	entry, ok := g[key]
	return entry.offer, ok
}

func (g bounceableOffers) sweep(now time.Duration) {
	for key, entry := range g {
		if now-entry.deliveredAt > bounceTimeout {
			delete(g, key)
		}
	}
}
