package control

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/wire"
)

func at(last byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, last}), 7000)
}

func TestPlanJoin(t *testing.T) {
	group := &wire.ControlGroup{Number: 7, HighestId: 20, Members: []*wire.ControlMember{
		{Id: 11, Disk: 1, Voter: true}, {Id: 20, Disk: 5},
	}}
	leader := &wire.DiskIdentity{Id: 11, Disk: 1, Group: group, Leads: true}
	follower := &wire.DiskIdentity{Id: 12, Disk: 2, Group: group}
	empty := func(id uint64) *wire.DiskIdentity { return &wire.DiskIdentity{Id: id, Disk: id, MayFound: true} }
	peers := []netip.AddrPort{at(2), at(1), at(3)}
	cases := []struct {
		name  string
		own   standing
		found map[netip.AddrPort]*wire.DiskIdentity
		want  joinStep
	}{
		{
			name: "an empty instance asks the leader", own: standing{address: at(9), identity: empty(30)},
			found: map[netip.AddrPort]*wire.DiskIdentity{at(1): leader}, want: joinStep{leader: at(1)},
		},
		{
			name: "with a higher ID than any", own: standing{address: at(9), identity: empty(3)},
			found: map[netip.AddrPort]*wire.DiskIdentity{at(1): leader}, want: joinStep{leader: at(1), renumberAbove: 20},
		},
		{
			name: "a learner that has not been told yet waits", own: standing{address: at(9), identity: &wire.DiskIdentity{Id: 20, Disk: 5}},
			found: map[netip.AddrPort]*wire.DiskIdentity{at(1): leader},
		},
		{
			name: "a member whose place was given away gives its identity up", own: standing{
				address: at(9), isMember: true, identity: &wire.DiskIdentity{Id: 12, Disk: 2, Group: group},
			},
			found: map[netip.AddrPort]*wire.DiskIdentity{at(1): leader}, want: joinStep{renumberAbove: 20},
		},
		{
			name: "but not on the word of a follower", own: standing{
				address: at(9), isMember: true, identity: &wire.DiskIdentity{Id: 12, Disk: 2, Group: group},
			},
			found: map[netip.AddrPort]*wire.DiskIdentity{at(1): follower},
		},
		{
			name: "nor on that of another group", own: standing{
				address: at(9), isMember: true, identity: &wire.DiskIdentity{Id: 12, Disk: 2, Group: &wire.ControlGroup{Number: 8}},
			},
			found: map[netip.AddrPort]*wire.DiskIdentity{at(1): leader},
		},
		{
			name: "the first of the peers founds", own: standing{address: at(1), identity: empty(3), peers: peers},
			found: map[netip.AddrPort]*wire.DiskIdentity{at(1): empty(3), at(2): empty(4), at(3): empty(5)},
			want: joinStep{found: []*wire.ControlMember{
				{Id: 4, Disk: 4, Address: "10.0.0.2:7000", Voter: true},
				{Id: 3, Disk: 3, Address: "10.0.0.1:7000", Voter: true},
				{Id: 5, Disk: 5, Address: "10.0.0.3:7000", Voter: true},
			}},
		},
		{
			name: "not the second", own: standing{address: at(2), identity: empty(4), peers: peers},
			found: map[netip.AddrPort]*wire.DiskIdentity{at(1): empty(3), at(2): empty(4), at(3): empty(5)},
		},
		{
			name: "not while one is silent", own: standing{address: at(1), identity: empty(3), peers: peers},
			found: map[netip.AddrPort]*wire.DiskIdentity{at(1): empty(3), at(2): empty(4)},
		},
		{
			name: "not with one that has lost its disk", own: standing{address: at(1), identity: empty(3), peers: peers},
			found: map[netip.AddrPort]*wire.DiskIdentity{at(1): empty(3), at(2): empty(4), at(3): {Id: 5, Disk: 5}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			step := planJoin(c.own, c.found)
			g.Expect(step.leader).To(Equal(c.want.leader))
			g.Expect(step.renumberAbove).To(Equal(c.want.renumberAbove))
			g.Expect(step.found).To(HaveLen(len(c.want.found)))
			for i, member := range step.found {
				g.Expect(member.String()).To(Equal(c.want.found[i].String()))
			}
		})
	}
}
