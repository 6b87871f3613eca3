package flow

import "slices"

// maxWitnesses bounds the kept packets, of 32 bytes each on the users' platform: half of them
// wait for the next announcement of the endpoint.
const maxWitnesses = 8

// Witnesses keeps the latest acknowledgements without data that callers have sent on a few open
// flows of the current endpoint. A copy of one shows whether the endpoint still runs: one that
// has started again bounces it, and one that has the flow ignores it.
// A Witnesses is not safe for concurrent use.
type Witnesses struct {
	// recent are packets since the last announcement of the endpoint, and certain those of flows
	// that it had at that time.
	recent, certain []witness
}

type witness struct {
	flow   Key
	packet []byte
}

// Record keeps a packet of an open flow, which it copies.
func (w *Witnesses) Record(flow Key, packet []byte) {
	i := slices.IndexFunc(w.recent, func(kept witness) bool { return kept.flow == flow })
	switch {
	case i >= 0:
	case len(w.recent) < maxWitnesses/2:
		i = len(w.recent)
		w.recent = append(w.recent, witness{})
	default:
		w.recent = append(w.recent[1:], w.recent[0])
		i = len(w.recent) - 1
	}
	w.recent[i] = witness{flow: flow, packet: append(w.recent[i].packet[:0], packet...)}
}

// RecordAnnouncement records that the endpoint has announced itself, and so has the flows of the
// recorded packets that isKept returns true for.
func (w *Witnesses) RecordAnnouncement(isKept func(flow Key) bool) {
	isNew := func(kept witness) bool {
		return slices.ContainsFunc(w.recent, func(r witness) bool { return r.flow == kept.flow })
	}
	certain := append(slices.Clone(w.recent), slices.DeleteFunc(w.certain, isNew)...)
	certain = slices.DeleteFunc(certain, func(kept witness) bool { return !isKept(kept.flow) })
	w.certain = certain[:min(len(certain), maxWitnesses/2)]
	w.recent = nil
}

// AppendPackets appends the packets of flows that the endpoint had when it last announced itself
// and that isKept returns true for.
func (w *Witnesses) AppendPackets(to [][]byte, isKept func(flow Key) bool) [][]byte {
	for _, kept := range w.certain {
		if isKept(kept.flow) {
			to = append(to, kept.packet)
		}
	}
	return to
}

// Clear removes all packets.
func (w *Witnesses) Clear() { *w = Witnesses{} }
