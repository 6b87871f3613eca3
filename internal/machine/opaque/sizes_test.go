package opaque

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

// maxControlBytesPerSecond is what a node may spend on control, in bytes a second, and
// pollsPerSecond how often it polls.
const (
	maxControlBytesPerSecond = 21_000
	pollsPerSecond           = 2
	headerBytes              = 28 // IPv4 and UDP
)

// A node's polls without changes stay far below its bound, also with seven
// control instances in the answer.
func TestPollTrafficStaysBelowNodeLimit(t *testing.T) {
	g := NewWithT(t)
	self := &wire.AgentRecord{Address: 1 << 31, Port: 7400, Zone: "zone-a", Service: "order-desk", Ready: true, Incarnation: 1 << 42, Sequence: 20}
	poll := &wire.Poll{Sequence: 1 << 20, Roster: 1 << 63, Revision: 1 << 20, RoutingVersion: 1 << 20, ZoneIndex: 1 << 20, Self: self}
	answer := &wire.PollAnswer{
		Sequence: 1 << 20, Fresh: true, Roster: 1 << 63, Revision: 1 << 20, RoutingVersion: 1 << 20, TableBytes: 1 << 20,
		ZoneIndex: 1 << 20, Incarnation: 1 << 42,
	}
	for range 7 {
		answer.Control = append(answer.Control, "10.200.200.200:65000")
	}
	bytes := pollsPerSecond * (proto.Size(poll) + proto.Size(answer) + 2*headerBytes)
	t.Logf("a poll of %d bytes, an answer of %d, %d bytes a second", proto.Size(poll), proto.Size(answer), bytes)
	g.Expect(bytes).To(BeNumerically("<", maxControlBytesPerSecond/10))
}
