package flow

import "time"

const (
	// DeferTTL is how long a packet may be deferred. It is the largest interval between
	// the transmissions of a SYN, after which the caller has sent the packet again, plus
	// a margin.
	DeferTTL = 600 * time.Millisecond
	// maxDeferred bounds the deferred packets: half a megabyte if all are of full size.
	maxDeferred = 400
)

// Deferred holds the packets that an instance cannot forward yet, because it has recently
// started and does not know the routes or the agents. It answers the load after a
// restart of everything: all callers retransmit, at intervals that double up to 1.6 s,
// and a packet that is dropped in the last moments of the outage costs its caller one
// such interval. C is the type of what is kept with each packet. It is not safe for
// concurrent use.
type Deferred[C any] struct {
	packets []DeferredPacket[C]
	held    map[deferredID]bool
	// lost is the number of packets that were dropped since the last call of TakeLost.
	lost int
}

// DeferredPacket is a packet with the time at which it arrived.
type DeferredPacket[C any] struct {
	Packet    []byte
	ArrivedAt time.Duration
	Extra     C
	id        deferredID
}

// deferredID is the same for all transmissions of a packet.
type deferredID struct {
	flow   Key
	seq    uint32
	length int
	isSYN  bool
}

// NewDeferred returns an empty list of deferred packets.
func NewDeferred[C any]() *Deferred[C] {
	return &Deferred[C]{held: make(map[deferredID]bool)}
}

// Add stores a copy of a packet. It drops retransmissions of a packet that it holds, and
// packets beyond its capacity.
func (d *Deferred[C]) Add(now, arrivedAt time.Duration, h *Header, packet []byte, extra C) {
	d.dropOld(now)
	id := deferredID{flow: h.KeyFromCaller(), seq: h.Seq, length: h.Length, isSYN: h.IsSYN}
	if d.held[id] {
		return
	}
	if len(d.packets) >= maxDeferred {
		d.lost++
		return
	}
	d.held[id] = true
	d.packets = append(d.packets, DeferredPacket[C]{
		Packet: append([]byte(nil), packet...), ArrivedAt: arrivedAt, Extra: extra, id: id,
	})
}

// Take removes and returns the packets that are not older than DeferTTL, in the order in
// which they were added.
func (d *Deferred[C]) Take(now time.Duration) []DeferredPacket[C] {
	d.dropOld(now)
	taken := d.packets
	d.packets = nil
	clear(d.held)
	return taken
}

// TakeLost returns how many packets were dropped since it was last called, because they were too old
// or too many. Retransmissions of packets that are held do not count.
func (d *Deferred[C]) TakeLost() int {
	lost := d.lost
	d.lost = 0
	return lost
}

// Len returns the number of packets held.
func (d *Deferred[C]) Len() int { return len(d.packets) }

func (d *Deferred[C]) dropOld(now time.Duration) {
	kept := d.packets[:0]
	for _, p := range d.packets {
		if now-p.ArrivedAt > DeferTTL {
			delete(d.held, p.id)
			d.lost++
			continue
		}
		kept = append(kept, p)
	}
	d.packets = kept
}
