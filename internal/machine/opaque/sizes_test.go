package opaque

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/routing"
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

// A node that has just started, on a link of 2 Mbit/s with little CPU time, must get a table
// of 850 routes in few polls, and each answer must fit one datagram. Without compression,
// in parts of 500 bytes, that took 68 polls.
func TestLargeRoutingTableIsFetchedInFewPolls(t *testing.T) {
	const (
		maxPolls         = 8
		maxDatagramBytes = 1500 - headerBytes - 64 // the last term is that of sealing
	)
	g := NewWithT(t)
	table := &wire.RoutingTable{Version: 67}
	for i := range 850 {
		table.Routes = append(table.Routes, &wire.Route{
			Address: 3323068416 + uint32(i), Port: 443, LatencyObjectiveMs: 200 + 10*uint32(i%7),
			Services: []*wire.WeightedService{{Service: "puba29a", Weight: uint32(60 + i%40)}, {Service: "puvo72b", Weight: uint32(40 - i%40)}},
		})
	}
	data, err := proto.Marshal(table)
	g.Expect(err).NotTo(HaveOccurred())
	committed := &Committed{RoutingVersion: 67, Table: routing.Compress(data)}
	poll := &wire.Poll{FetchVersion: 67}
	var fetched []byte
	polls := 0
	for len(fetched) == 0 || len(fetched) < len(committed.Table) {
		polls++
		answer := &wire.PollAnswer{Control: []string{"10.200.200.200:65000", "10.200.200.201:65000", "10.200.200.202:65000"}}
		poll.FetchOffset = uint32(len(fetched))
		committed.AddTo(answer, poll)
		g.Expect(proto.Size(answer)).To(BeNumerically("<=", maxDatagramBytes))
		fetched = append(fetched, answer.Part...)
	}
	decoded, err := routing.Decode(fetched)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(proto.Equal(decoded, table)).To(BeTrue())
	t.Logf("%d bytes encoded, %d compressed, %d polls", len(data), len(fetched), polls)
	g.Expect(polls).To(BeNumerically("<=", maxPolls))
}
