package consensus

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/wire"
)

func voter(id uint64, address string) *wire.ControlMember {
	return &wire.ControlMember{Id: id, Disk: id * 100, Address: address, Voter: true}
}

func joiner(id uint64, address string) *wire.ControlMember {
	return &wire.ControlMember{Id: id, Disk: id * 100, Address: address}
}

func TestPlanReconfiguration(t *testing.T) {
	complete := []*wire.ControlMember{voter(1, "a"), voter(2, "b"), voter(3, "c")}
	learner := joiner(4, "d")
	cases := []struct {
		name    string
		members []*wire.ControlMember
		silent  map[uint64]time.Duration
		joiners []*wire.ControlMember
		add     uint64
		replace uint64
		remove  uint64
	}{
		{name: "a complete group adds no instance", members: complete, joiners: []*wire.ControlMember{joiner(9, "z")}},
		{name: "a group with too few voters adds an instance", members: complete[:2], joiners: []*wire.ControlMember{joiner(9, "z")}, add: 9},
		{
			name: "an instance with the address of a member and another disk replaces it at once", members: complete,
			joiners: []*wire.ControlMember{joiner(9, "b")}, add: 9, replace: 2,
		},
		{
			name: "a silent voter is replaced", members: complete,
			silent:  map[uint64]time.Duration{3: ReplacementTimeout + 1},
			joiners: []*wire.ControlMember{joiner(9, "z")}, add: 9, replace: 3,
		},
		{
			name: "a voter that is silent for a short time is not replaced", members: complete,
			silent: map[uint64]time.Duration{3: ReplacementTimeout}, joiners: []*wire.ControlMember{joiner(9, "z")},
		},
		{name: "no instance waits to join", members: complete, silent: map[uint64]time.Duration{3: time.Hour}},
		{
			name: "an ID that was used before is not added", members: complete[:2],
			joiners: []*wire.ControlMember{joiner(5, "z")},
		},
		{
			name: "one change at a time", members: append(complete[:2:2], learner),
			joiners: []*wire.ControlMember{joiner(9, "z")},
		},
		{
			name: "a silent learner is removed", members: append(complete[:2:2], learner),
			silent:  map[uint64]time.Duration{4: ReplacementTimeout + 1},
			joiners: []*wire.ControlMember{joiner(9, "z")}, remove: 4,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			change := planReconfiguration(groupState{
				group: &wire.ControlGroup{Members: c.members, HighestId: 5}, silent: c.silent,
				joiners: c.joiners, voters: 3,
			})
			g.Expect(change.remove).To(Equal(c.remove))
			g.Expect(change.add.GetId()).To(Equal(c.add))
			g.Expect(change.add.GetReplaces()).To(Equal(c.replace))
		})
	}
}

func in(zone string, m *wire.ControlMember) *wire.ControlMember {
	m.Zone = zone
	return m
}

func TestPlanReconfigurationByZones(t *testing.T) {
	const short, long = ReplacementTimeout + 1, LossTimeout + 1
	none, inB := "", "b"
	spread := func() []*wire.ControlMember {
		return []*wire.ControlMember{
			in("a", voter(1, "a1")), in("a", voter(2, "a2")), in("b", voter(3, "b1")), in("b", voter(4, "b2")), in("c", voter(5, "c1")),
		}
	}
	gathered := append(spread()[:1:1], in("b", voter(3, "b1")), in("b", voter(4, "b2")), in("b", voter(5, "b3")), in("c", voter(2, "c1")))
	cases := []struct {
		name     string
		members  []*wire.ControlMember
		majority *string
		silent   map[uint64]time.Duration
		joiners  []*wire.ControlMember
		add      uint64
		replace  uint64
		kept     int
	}{
		{
			name: "a silent voter is replaced in its own zone", members: spread(), silent: map[uint64]time.Duration{1: short},
			joiners: []*wire.ControlMember{in("c", joiner(8, "c2")), in("a", joiner(9, "a3"))}, add: 9, replace: 1,
		},
		{
			name: "and else in a zone that has room", members: spread(), silent: map[uint64]time.Duration{1: short, 2: short},
			joiners: []*wire.ControlMember{in("b", joiner(8, "b3")), in("c", joiner(9, "c2"))}, add: 9, replace: 1,
		},
		{
			name: "the one that is silent for longer comes first", members: spread(), silent: map[uint64]time.Duration{1: short, 2: short + 1},
			joiners: []*wire.ControlMember{in("c", joiner(9, "c2"))}, add: 9, replace: 2,
		},
		{
			name: "a silent voter is kept if too many would be in one zone", members: spread(), majority: &none,
			silent: map[uint64]time.Duration{1: short}, joiners: []*wire.ControlMember{in("b", joiner(8, "b3"))}, kept: 1,
		},
		{
			name: "until it is lost for good", members: spread(), majority: &none,
			silent: map[uint64]time.Duration{1: long}, joiners: []*wire.ControlMember{in("b", joiner(8, "b3"))}, add: 8, replace: 1,
		},
		{
			name: "a zone with a majority of the instances has room for a majority", members: spread(), majority: &inB,
			silent: map[uint64]time.Duration{1: short}, joiners: []*wire.ControlMember{in("b", joiner(8, "b3"))}, add: 8, replace: 1,
		},
		{
			name: "and gets one", members: spread(), majority: &inB,
			joiners: []*wire.ControlMember{in("c", joiner(8, "c2")), in("b", joiner(9, "b3"))}, add: 9, replace: 1,
		},
		{
			name: "voters that have gathered in one zone are spread, but not the leader", members: gathered, majority: &none,
			joiners: []*wire.ControlMember{in("a", joiner(9, "a2"))}, add: 9, replace: 4,
		},
		{
			name: "not before it is known where the instances run", members: gathered,
			joiners: []*wire.ControlMember{in("a", joiner(9, "a2"))},
		},
		{
			name: "a member whose zone is unknown is replaced by any instance", members: append(spread()[1:], voter(1, "a1")),
			silent: map[uint64]time.Duration{1: short}, joiners: []*wire.ControlMember{in("a", joiner(9, "a3"))}, add: 9, replace: 1,
		},
		{
			name: "a group with too few voters adds an instance in a zone that has room", members: append(spread()[:2:2], spread()[3:]...),
			joiners: []*wire.ControlMember{in("a", joiner(8, "a3")), in("b", joiner(9, "b3"))}, add: 9,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			plan := planReconfiguration(groupState{
				group:  &wire.ControlGroup{Members: c.members, HighestId: 5, MajorityZone: c.majority},
				leader: 3, silent: c.silent, joiners: c.joiners, voters: 5,
			})
			g.Expect(plan.add.GetId()).To(Equal(c.add))
			g.Expect(plan.add.GetReplaces()).To(Equal(c.replace))
			g.Expect(plan.kept).To(HaveLen(c.kept))
		})
	}
}
