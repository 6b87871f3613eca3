package agent

import (
	"time"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine/opaque"
)

const (
	// maxBounceableOffers bounds the number of stored offers.
	maxBounceableOffers = 8192
	// bounceTimeout is the time within which an endpoint must bounce a packet.
	bounceTimeout = 2 * time.Second
)

// bounceableOffers holds the offers of packets that were delivered to the endpoint and
// that it may bounce, by flow.
type bounceableOffers map[flow.Key]bounceableOffer

type bounceableOffer struct {
	offer       opaque.Offer
	deliveredAt time.Duration
}

// add stores an offer. It returns false if the maximum number is reached.
func (b bounceableOffers) add(now time.Duration, key flow.Key, offer *opaque.Offer) bool {
	if len(b) >= maxBounceableOffers {
		return false
	}
	b[key] = bounceableOffer{offer: *offer, deliveredAt: now}
	return true
}

// get returns the offer of the flow of a bounced packet.
func (b bounceableOffers) get(key flow.Key) (opaque.Offer, bool) {
	entry, ok := b[key]
	return entry.offer, ok
}

// sweep removes the offers that are older than bounceTimeout.
func (b bounceableOffers) sweep(now time.Duration) {
	for key, entry := range b {
		if now-entry.deliveredAt > bounceTimeout {
			delete(b, key)
		}
	}
}
