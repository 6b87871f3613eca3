package opaque

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

// maxControlBytesPerSecond is the limit on a node's control traffic, and
// pollsPerSecond the rate at which it polls.
const (
	maxControlBytesPerSecond = 21_000
	pollsPerSecond           = 2
	headerBytes              = 28 // IPv4 and UDP headers
)

// Polls without changes take less than a tenth of the limit of a node, even if the
// answer lists seven control instances.
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
	t.Logf("poll of %d bytes, answer of %d bytes, %d bytes per second", proto.Size(poll), proto.Size(answer), bytes)
	g.Expect(bytes).To(BeNumerically("<", maxControlBytesPerSecond/10))
}
