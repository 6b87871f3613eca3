package agent

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/wire"
)

const (
	// maxBounceableOffers bounds the number of stored offers, and of the flows that the
	// endpoint is known not to have.
	maxBounceableOffers = 8192
	// maxKeptPackets bounds the stored packets: one megabyte if all are of full size.
	maxKeptPackets = 800
	// bounceTimeout is the time within which an endpoint must bounce a packet.
	bounceTimeout = 2 * time.Second
	// maxForeignStates bounds the flows that are handed over although the endpoint does not have
	// them, to half of what an agent usually has.
	maxForeignStates = 2000
	// bouncedRetention is how long a flow without packets is remembered that the endpoint
	// does not have.
	bouncedRetention = 15 * time.Second
)

// bounceableOffers holds the offers of packets that were delivered to the endpoint and
// that it may bounce, by flow, and the flows of which it has bounced packets.
type bounceableOffers struct {
	offers map[flow.Key]bounceableOffer
	// bounced has the time of the last packet by flow.
	bounced map[flow.Key]time.Duration
}

type bounceableOffer struct {
	offer       opaque.Offer
	deliveredAt time.Duration
	// buffer contains the packet at offset opaque.OfferHeadroom, if the endpoint may answer it
	// with a reset instead of bouncing it.
	buffer []byte
}

func newBounceableOffers() *bounceableOffers {
	return &bounceableOffers{offers: make(map[flow.Key]bounceableOffer), bounced: make(map[flow.Key]time.Duration)}
}

// add stores an offer. It returns false if the maximum number is reached.
func (b *bounceableOffers) add(now time.Duration, key flow.Key, offer *opaque.Offer) bool {
	if len(b.offers) >= maxBounceableOffers {
		return false
	}
	b.offers[key] = bounceableOffer{offer: *offer, deliveredAt: now}
	return true
}

// get returns the offer of the flow of a bounced packet.
func (b *bounceableOffers) get(key flow.Key) (opaque.Offer, bool) {
	entry, ok := b.offers[key]
	return entry.offer, ok
}

// keep stores the packet of the offer of a flow, which starts at offset OfferHeadroom of the
// buffer, unless there are too many offers.
func (b *bounceableOffers) keep(key flow.Key, buffer []byte) {
	if len(b.offers) > maxKeptPackets {
		return
	}
	entry := b.offers[key]
	entry.buffer = slices.Clone(buffer)
	b.offers[key] = entry
}

// takeKept returns the offer and the packet of a flow, once.
func (b *bounceableOffers) takeKept(key flow.Key) (offer opaque.Offer, buffer []byte, ok bool) {
	entry := b.offers[key]
	if entry.buffer == nil {
		return opaque.Offer{}, nil, false
	}
	delete(b.offers, key)
	return entry.offer, entry.buffer, true
}

// setBounced records that the endpoint does not have a flow.
func (b *bounceableOffers) setBounced(now time.Duration, key flow.Key) {
	if len(b.bounced) < maxBounceableOffers {
		b.bounced[key] = now
	}
}

// isBounced reports whether the endpoint is known not to have a flow.
func (b *bounceableOffers) isBounced(now time.Duration, key flow.Key) bool {
	_, ok := b.bounced[key]
	if ok {
		b.bounced[key] = now
	}
	return ok
}

// export returns the newest of the flows that the endpoint does not have.
func (b *bounceableOffers) export(now time.Duration) []*wire.FlowState {
	keys := slices.SortedFunc(maps.Keys(b.bounced), func(x, y flow.Key) int { return cmp.Compare(b.bounced[y], b.bounced[x]) })
	var states []*wire.FlowState
	for _, key := range keys[:min(len(keys), maxForeignStates)] {
		states = append(states, flow.ForeignState(key, now-b.bounced[key]))
	}
	return states
}

// importFrom adds the flows that the endpoint does not have, as the previous start has exported them.
func (b *bounceableOffers) importFrom(now time.Duration, states []*wire.FlowState) {
	for _, s := range states {
		b.setBounced(now-time.Duration(s.IdleMs)*time.Millisecond, flow.KeyOfState(s))
	}
}

// sweep removes what is older than bounceTimeout and bouncedRetention.
func (b *bounceableOffers) sweep(now time.Duration) {
	for key, entry := range b.offers {
		if now-entry.deliveredAt > bounceTimeout {
			delete(b.offers, key)
		}
	}
	for key, at := range b.bounced {
		if now-at > bouncedRetention {
			delete(b.bounced, key)
		}
	}
}
