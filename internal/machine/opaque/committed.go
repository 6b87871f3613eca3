package opaque

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/catalog"
	"sassafrasturn.example/internal/wire"
)

// Committed is the part of the replicated log that instances pass on to each other:
// the newest routing table and zones that an instance has. Both originate only from
// committed entries, so a newer one is correct whichever instance reports it. It is
// immutable.
type Committed struct {
	// RoutingVersion is 0 until the first routing table is received.
	RoutingVersion uint64
	// Table is the routing table as routing.Compress returns it. Only the state that the
	// log of a control instance holds is not compressed.
	Table []byte
	// ZoneIndex is the log index of the newest zone change.
	ZoneIndex uint64
	// ZonesOut are the names of the zones that are out of service.
	ZonesOut []string
	// ZonesBack is the log index at which each zone was last taken back into service.
	ZonesBack map[string]uint64
}

const (
	// maxAnswerBytes is the size up to which an answer is filled with a part of the
	// routing table. Sealed, it fits one datagram on networks with an MTU of 1,500 bytes.
	maxAnswerBytes = 1300
	// minPartBytes is the size of the part beside other content.
	minPartBytes = 300
)

// newPoll returns a poll that requests newer routing tables and zones.
func (c *Committed) newPoll() *wire.Poll {
	return &wire.Poll{ZoneIndex: c.ZoneIndex, RoutingVersion: c.RoutingVersion}
}

// AddTo adds to an answer the zones if the polling node's differ, and the requested
// part of the routing table if the node's is older.
func (c *Committed) AddTo(answer *wire.PollAnswer, poll *wire.Poll) {
	answer.ZoneIndex = c.ZoneIndex
	if c.ZoneIndex != poll.ZoneIndex {
		answer.ZonesOut = c.ZonesOut
	}
	for name, index := range c.ZonesBack {
		if index > poll.ZoneIndex {
			answer.ZonesBack = append(answer.ZonesBack, &wire.ZoneReturn{Name: name, Index: index})
		}
	}
	answer.RoutingVersion = c.RoutingVersion
	answer.TableBytes = uint32(len(c.Table))
	if c.RoutingVersion <= poll.RoutingVersion {
		return
	}
	offset := 0
	if poll.FetchVersion == c.RoutingVersion {
		offset = min(int(poll.FetchOffset), len(c.Table))
	}
	answer.PartVersion, answer.PartOffset = c.RoutingVersion, uint32(offset)
	partBytes := max(minPartBytes, maxAnswerBytes-proto.Size(answer))
	answer.Part = c.Table[offset:min(offset+partBytes, len(c.Table))]
}

// applyZones applies the newer zones of an answer. It ignores returns that are newer than the newest
// change, and those of more zones than a cluster has.
func (c *Committed) applyZones(answer *wire.PollAnswer) {
	c.ZoneIndex, c.ZonesOut = answer.ZoneIndex, answer.ZonesOut
	back := make(map[string]uint64)
	maps.Copy(back, c.ZonesBack)
	for _, zone := range answer.ZonesBack {
		_, isKnown := back[zone.Name]
		if zone.Index <= answer.ZoneIndex && (isKnown || len(back) < catalog.MaxZones) {
			back[zone.Name] = max(back[zone.Name], zone.Index)
		}
	}
	c.ZonesBack = back
}

// isOlderThan reports whether an answer announces a newer routing table or newer zones.
func (c *Committed) isOlderThan(answer *wire.PollAnswer) bool {
	return answer.RoutingVersion > c.RoutingVersion || answer.ZoneIndex > c.ZoneIndex
}
