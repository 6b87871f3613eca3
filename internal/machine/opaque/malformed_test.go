package opaque

import (
	"fmt"
	"math"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/catalog"
	"sassafrasturn.example/internal/routing"
	"sassafrasturn.example/internal/wire"
)

var (
	answeringControl = netip.MustParseAddrPort("10.0.0.1:7000")
	answeringAgent   = netip.MustParseAddrPort("10.0.0.8:7000")
)

// tableAnswer returns a usable answer with the complete routing table of a version.
func tableAnswer(g Gomega, version uint64) *wire.PollAnswer {
	data, err := proto.Marshal(&wire.RoutingTable{Version: version})
	g.Expect(err).NotTo(HaveOccurred())
	table := routing.Compress(data)
	return &wire.PollAnswer{
		Fresh: true, RoutingVersion: version, TableBytes: uint32(len(table)), PartVersion: version, Part: table,
	}
}

// A node must follow the routing tables of control after an answer that announces a table
// that nobody has, or that is not of the announced version.
func TestNodeFollowsTablesAfterMalformedOnes(t *testing.T) {
	g := NewWithT(t)
	other := tableAnswer(g, 4)
	other.RoutingVersion, other.PartVersion = math.MaxUint64, math.MaxUint64
	cases := map[string]*wire.PollAnswer{
		"version that nobody has":        {Fresh: true, RoutingVersion: math.MaxUint64, TableBytes: 1000, PartVersion: math.MaxUint64, Part: []byte("part")},
		"version without a part":         {Fresh: true, RoutingVersion: math.MaxUint64, TableBytes: 1000},
		"version with an empty table":    {Fresh: true, RoutingVersion: math.MaxUint64, PartVersion: math.MaxUint64},
		"table of another version":       other,
		"table that cannot be decoded":   {Fresh: true, RoutingVersion: 9, TableBytes: 4, PartVersion: 9, Part: []byte{0, 1, 2, 3}},
		"table that is too large":        {Fresh: true, RoutingVersion: 9, TableBytes: math.MaxUint32, PartVersion: 9, Part: make([]byte, 1300)},
		"part of no version":             {Fresh: true, RoutingVersion: 9, TableBytes: 8, Part: make([]byte, 8)},
		"part beyond the announced size": {Fresh: true, RoutingVersion: 9, TableBytes: 1, PartVersion: 9, Part: make([]byte, 1300)},
		"part at a later offset":         {Fresh: true, RoutingVersion: 9, TableBytes: 8, PartVersion: 9, PartOffset: math.MaxUint32, Part: make([]byte, 8)},
	}
	for name, malformed := range cases {
		for _, isFromAgent := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				g := NewWithT(t)
				p := newDiscardingNode(t, Handlers{}).poller
				p.apply(answer{message: tableAnswer(g, 3), from: answeringControl})
				g.Expect(p.node.State().Table.Version).To(Equal(uint64(3)))
				if isFromAgent {
					p.applyPeer(answer{message: malformed, from: answeringAgent})
				} else {
					p.apply(answer{message: malformed, from: answeringControl})
				}
				g.Expect(p.node.State().Table.Version).To(Equal(uint64(3)))
				p.apply(answer{message: tableAnswer(g, 4), from: answeringControl})
				g.Expect(p.node.State().Table.Version).To(Equal(uint64(4)))
			})
		}
	}
}

// An answer that cannot be satisfied must not make a node poll without a pause.
func TestNodePausesAfterMalformedAnswers(t *testing.T) {
	cases := map[string]*wire.PollAnswer{
		"incarnation that no later one can exceed": {Fresh: true, Incarnation: math.MaxUint64},
		"table that is too large":                  {Fresh: true, RoutingVersion: 9, TableBytes: math.MaxUint32, PartVersion: 9, Part: make([]byte, 1300)},
	}
	for name, malformed := range cases {
		t.Run(name, func(t *testing.T) {
			p := newDiscardingNode(t, Handlers{}).poller
			p.self = func() *wire.AgentRecord { return &wire.AgentRecord{Incarnation: 5} }
			p.newPoll()
			NewWithT(t).Expect(p.apply(answer{message: malformed, from: answeringControl})).To(BeFalse())
		})
	}
}

// A failure while the answer of an agent is applied drops that answer only.
func TestFailureToApplyAnAgentsAnswerDoesNotEndTheProcess(t *testing.T) {
	g, applied := NewWithT(t), 0
	p := newDiscardingNode(t, Handlers{Published: func() {
		applied++
		panic("injected")
	}}).poller
	for index := range uint64(2) {
		g.Expect(func() {
			p.applyPeer(answer{message: &wire.PollAnswer{ZoneIndex: index + 1}, from: answeringAgent})
		}).NotTo(Panic())
	}
	g.Expect(applied).To(Equal(2))
}

// Returns of zones are merged. Those that nobody can have made neither hide later ones nor pile up.
func TestReturnsOfZonesAreMergedAndBounded(t *testing.T) {
	g, committed := NewWithT(t), new(Committed)
	apply := func(index uint64, back ...*wire.ZoneReturn) {
		committed.applyZones(&wire.PollAnswer{ZoneIndex: index, ZonesBack: back})
	}
	apply(5, &wire.ZoneReturn{Name: "a", Index: 4}, &wire.ZoneReturn{Name: "b", Index: math.MaxUint64})
	before := committed.ZonesBack
	apply(9, &wire.ZoneReturn{Name: "b", Index: 9}, &wire.ZoneReturn{Name: "a", Index: 3})
	g.Expect(committed.ZonesBack).To(Equal(map[string]uint64{"a": 4, "b": 9}))
	g.Expect(before).To(Equal(map[string]uint64{"a": 4}), "the state before is immutable")
	for i := range uint64(1000) {
		apply(10+i, &wire.ZoneReturn{Name: fmt.Sprint(i), Index: 10 + i})
	}
	g.Expect(len(committed.ZonesBack)).To(BeNumerically("<=", catalog.MaxZones))

	answer := new(wire.PollAnswer)
	(&Committed{ZoneIndex: 9, ZonesBack: map[string]uint64{"a": 4, "b": 9}}).AddTo(answer, &wire.Poll{ZoneIndex: 4})
	g.Expect(answer.ZonesBack).To(HaveLen(1))
	g.Expect(answer.ZonesBack[0].Name).To(Equal("b"))
}
