package balancer

import (
	"sync"
	"time"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine/opaque"
)

// deferredPackets guards flow.Deferred with a mutex: packets are added on the goroutine of
// the callers' socket and released on that of the polls.
type deferredPackets struct {
	mu      sync.Mutex
	packets *flow.Deferred[struct{}]
}

func (d *deferredPackets) add(now, arrivedAt time.Duration, h *flow.Header, packet []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.packets.Add(now, arrivedAt, h, packet, struct{}{})
}

func (d *deferredPackets) take(now time.Duration) []flow.DeferredPacket[struct{}] {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.packets.Len() == 0 {
		return nil
	}
	return d.packets.Take(now)
}

// releaseDeferred forwards the deferred packets once routes and agents are known. Those
// that still cannot be placed are deferred again, at most until DeferTTL.
func (b *Balancer) releaseDeferred() {
	if !b.node.State().IsUsable {
		return
	}
	now := b.node.Now()
	packets := b.deferred.take(now)
	if len(packets) == 0 {
		return
	}
	b.instance.Log.Info().Int("packets", len(packets)).Dur("oldest_ms", now-packets[0].ArrivedAt).Msg("forwarding deferred packets")
	w := &worker{balancer: b, counts: b.counters()}
	buffer := make([]byte, opaque.OfferHeadroom, opaque.OfferHeadroom+opaque.MaxPacketBytes)
	for _, p := range packets {
		w.handle(append(buffer, p.Packet...), p.ArrivedAt)
	}
}
