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
			change := planReconfiguration(&wire.ControlGroup{Members: c.members, HighestId: 5}, c.silent, c.joiners, 3)
			g.Expect(change.remove).To(Equal(c.remove))
			g.Expect(change.add.GetId()).To(Equal(c.add))
			g.Expect(change.add.GetReplaces()).To(Equal(c.replace))
		})
	}
}
