package agent

import (
	"time"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine/opaque"
)

const (
	// maxGiven bounds the offers that are remembered.
	maxGiven = 8192
	// bounceTime is how long an endpoint may take to bounce a packet.
	bounceTime = 2 * time.Second
)

// given remembers the offers of packets that the endpoint was given and may
// bounce, by their flows.
type given map[flow.Key]givenOffer

type givenOffer struct {
	offer opaque.Offer
	since time.Duration
}

// note remembers an offer; it reports false when there are too many.
func (g given) note(now time.Duration, key flow.Key, offer *opaque.Offer) bool {
	if len(g) >= maxGiven {
		return false
	}
	g[key] = givenOffer{offer: *offer, since: now}
	return true
}

// take returns the offer of a packet that has been bounced.
func (g given) take(key flow.Key) (opaque.Offer, bool) {
	held, ok := g[key]
	return held.offer, ok
}

func (g given) sweep(now time.Duration) {
	for key, held := range g {
		if now-held.since > bounceTime {
			delete(g, key)
		}
	}
}
