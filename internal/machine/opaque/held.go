package opaque

import "sassafrasturn.example/internal/wire"

// Committed is what an instance tells others of the replicated log: the newest routing
// table and zones that it knows. Both only ever come from committed entries, so a
// newer one is right whoever tells of it. It is immutable.
type Committed struct {
	// RoutingVersion is 0 before the first routing table.
	RoutingVersion uint64
	// Table is the encoded wire.RoutingTable, the same bytes at every instance.
	Table []byte
	// ZoneIndex is the log index of the newest zone change.
	ZoneIndex uint64
	ZonesOut  []string
}

// partBytes is how much of the routing table goes into one answer, which fits one
// datagram on networks with an MTU of 1,500 bytes together with some records.
const partBytes = 500

// newPoll asks for what is newer.
func (h *Committed) newPoll() *wire.Poll {
	return &wire.Poll{ZoneIndex: h.ZoneIndex, RoutingVersion: h.RoutingVersion}
}

// AddTo adds to an answer what the polling node lacks, and a part of the table.
func (h *Committed) AddTo(answer *wire.PollAnswer, poll *wire.Poll) {
	answer.ZoneIndex = h.ZoneIndex
	if h.ZoneIndex != poll.ZoneIndex {
		answer.ZonesOut = h.ZonesOut
	}
	answer.RoutingVersion = h.RoutingVersion
	answer.TableBytes = uint32(len(h.Table))
	if h.RoutingVersion <= poll.RoutingVersion {
		return
	}
	offset := 0
	if poll.FetchVersion == h.RoutingVersion {
		offset = min(int(poll.FetchOffset), len(h.Table))
	}
	answer.PartVersion, answer.PartOffset = h.RoutingVersion, uint32(offset)
	answer.Part = h.Table[offset:min(offset+partBytes, len(h.Table))]
}

// isOlderThan reports whether an answer tells of a newer table or newer zones.
func (h *Committed) isOlderThan(answer *wire.PollAnswer) bool {
	return answer.RoutingVersion > h.RoutingVersion || answer.ZoneIndex > h.ZoneIndex
}
