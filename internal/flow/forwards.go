package flow

import (
	"net/netip"
	"time"
)

const (
	// forwardTTL is how long a forwarded packet is remembered: longer than the largest
	// interval between its transmissions, 1.6 s.
	forwardTTL = 2 * time.Second
	// maxForwards bounds the packets that are remembered.
	maxForwards = 8192
)

// Forwards remembers the last packet of each flow that an agent has forwarded to another one.
// A packet that is forwarded again has got no answer: the next agent, or one behind it, may
// have failed. It is not safe for concurrent use.
type Forwards struct {
	last map[Key]forwarded
}

type forwarded struct {
	seq, ack uint32
	length   int
	next     netip.AddrPort
	// at is the time of the newest transmission, and since that of the first one.
	at, since time.Duration
}

// NewForwards returns an empty memory.
func NewForwards() *Forwards {
	return &Forwards{last: make(map[Key]forwarded)}
}

// Record records that a packet is forwarded to an agent, and reports whether the same packet
// was forwarded to it before.
func (f *Forwards) Record(now time.Duration, h *Header, next netip.AddrPort) (isRepeated bool) {
	key := h.KeyFromCaller()
	last, ok := f.last[key]
	if !ok && len(f.last) >= maxForwards {
		return false
	}
	since := now
	if ok && last.isOf(h) && now-last.at <= forwardTTL {
		since = last.since
	}
	f.last[key] = forwarded{seq: h.Seq, ack: h.Ack, length: h.Length, next: next, at: now, since: since}
	return ok && last.seq == h.Seq && last.ack == h.Ack && last.length == h.Length && last.next == next && now-last.at <= forwardTTL
}

// Observe records a transmission of a packet that may be forwarded, and returns how long its
// transmissions have been seen, 0 for the first. It returns false if there is no room.
func (f *Forwards) Observe(now time.Duration, h *Header) (repeatedFor time.Duration, ok bool) {
	key := h.KeyFromCaller()
	last, isKnown := f.last[key]
	if !isKnown && len(f.last) >= maxForwards {
		return 0, false
	}
	if !isKnown || !last.isOf(h) || now-last.at > forwardTTL {
		last = forwarded{seq: h.Seq, ack: h.Ack, length: h.Length, since: now}
	}
	last.at = now
	f.last[key] = last
	return now - last.since, true
}

// isOf reports whether a packet is a transmission of the one that was forwarded.
func (f *forwarded) isOf(h *Header) bool { return f.seq == h.Seq && f.length == h.Length }

// Sweep removes the flows without recent packets.
func (f *Forwards) Sweep(now time.Duration) {
	for key, last := range f.last {
		if now-last.at > forwardTTL {
			delete(f.last, key)
		}
	}
}
