package roster

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// contactsCluster is a group of five control instances whose gossip may be lost.
type contactsCluster struct {
	members  []netip.AddrPort
	contacts []*Contacts
	// isLost reports whether gossip from one member to another is lost.
	isLost func(from, to int) bool
	random *rand.Rand
	phase  []time.Duration
}

const (
	gossipInterval = 500 * time.Millisecond
	stepInterval   = 10 * time.Millisecond
)

func newContactsCluster(seed uint64) *contactsCluster {
	cluster := &contactsCluster{random: rand.New(rand.NewPCG(seed, 5)), isLost: func(int, int) bool { return false }}
	for i := range 5 {
		cluster.members = append(cluster.members, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000))
		cluster.contacts = append(cluster.contacts, NewContacts())
		cluster.phase = append(cluster.phase, time.Duration(cluster.random.Int64N(int64(gossipInterval/stepInterval)))*stepInterval)
	}
	return cluster
}

// run simulates the time between from and to and returns, by member, how long after
// from it was first not complete, or -1 if it always was.
func (cluster *contactsCluster) run(from, to time.Duration) []time.Duration {
	firstIncomplete := make([]time.Duration, len(cluster.members))
	for i := range firstIncomplete {
		firstIncomplete[i] = -1
	}
	for now := from; now < to; now += stepInterval {
		for i := range cluster.members {
			if (now+cluster.phase[i])%gossipInterval == 0 {
				cluster.gossip(now, i)
			}
		}
		for i, c := range cluster.contacts {
			if !c.IsComplete(now, cluster.members[i], cluster.members) && firstIncomplete[i] < 0 {
				firstIncomplete[i] = now - from
			}
		}
	}
	return firstIncomplete
}

func (cluster *contactsCluster) gossip(now time.Duration, from int) {
	recent := cluster.contacts[from].Recent(now)
	for to, c := range cluster.contacts {
		if to == from || cluster.isLost(from, to) {
			continue
		}
		c.RecordReceived(now, cluster.members[from])
		for _, address := range recent {
			c.RecordReported(now, address)
		}
	}
}

// Datagrams between some control instances are lost while their connections work.
// The instances that miss gossip must stop serving nodes before the agents that poll
// only the other side expire, and no other instance may stop.
func TestInstancesMissingGossipAreIncomplete(t *testing.T) {
	cases := []struct {
		name   string
		isLost func(from, to int) bool
		want   []bool
	}{
		{"nothing is lost", func(int, int) bool { return false }, []bool{false, false, false, false, false}},
		{"one is partitioned", func(from, to int) bool { return from == 0 || to == 0 }, []bool{true, false, false, false, false}},
		{"one receives nothing", func(_, to int) bool { return to == 0 }, []bool{true, false, false, false, false}},
		{"two do not receive from each other", func(from, to int) bool { return from+to == 1 }, []bool{true, true, false, false, false}},
		{"one does not receive from another", func(from, to int) bool { return from == 0 && to == 1 }, []bool{false, true, false, false, false}},
		{"two are partitioned from three", func(from, to int) bool { return (from < 2) != (to < 2) }, []bool{true, true, false, false, false}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(100) {
				cluster := newContactsCluster(seed)
				cluster.run(0, 5*time.Second)
				cluster.isLost = c.isLost
				for i, at := range cluster.run(5*time.Second, 10*time.Second) {
					g.Expect(at >= 0).To(Equal(c.want[i]), "member %d, seed %d", i, seed)
					// A node polls within 0.5 s and switches to another instance.
					g.Expect(at).To(BeNumerically("<=", Timeout-gossipInterval+stepInterval))
				}
				cluster.isLost = func(int, int) bool { return false }
				cluster.run(10*time.Second, 11*time.Second)
				for _, at := range cluster.run(11*time.Second, 13*time.Second) {
					g.Expect(at).To(BeNumerically("<", 0), "complete again after the loss has ended")
				}
			}
		})
	}
}

// When instances stop, all others miss their gossip alike, so that none of the others
// may report incomplete gossip.
func TestInstancesThatStopDoNotMakeOthersIncomplete(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(100) {
		cluster := newContactsCluster(seed)
		cluster.run(0, 5*time.Second)
		cluster.isLost = func(from, to int) bool { return from < 2 || to < 2 }
		for i, at := range cluster.run(5*time.Second, 20*time.Second) {
			g.Expect(at >= 0).To(Equal(i < 2), "member %d, seed %d", i, seed)
		}
	}
}

func TestContactsExpireAndAreBounded(t *testing.T) {
	g := NewWithT(t)
	cluster := newContactsCluster(1)
	c := NewContacts()
	c.RecordReceived(0, cluster.members[1])
	c.RecordReported(0, cluster.members[2])
	g.Expect(c.Known(time.Second)).To(ConsistOf(cluster.members[1], cluster.members[2]))
	g.Expect(c.Recent(ReportWindow)).To(ConsistOf(cluster.members[1]))
	g.Expect(c.Recent(ReportWindow + 1)).To(BeEmpty())
	g.Expect(c.Known(contactRetention + 1)).To(BeEmpty())
	for i := range 2 * maxContacts {
		c.RecordReceived(0, netip.AddrPortFrom(cluster.members[0].Addr(), uint16(i)))
	}
	g.Expect(c.Known(0)).To(HaveLen(maxContacts))
}

// All datagrams that an instance sends are lost, while it receives from all others.
// The others do not report that they receive its gossip, and the agents that poll only
// this instance expire in their rosters. It must stop serving nodes before that.
func TestInstanceThatNobodyHearsStepsAside(t *testing.T) {
	g := NewWithT(t)
	own := netip.MustParseAddrPort("10.0.0.1:7000")
	others := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:7000"), netip.MustParseAddrPort("10.0.0.3:7000")}
	members := append([]netip.AddrPort{own}, others...)
	contacts := NewContacts()
	const cutAt = 5 * time.Second
	for now := time.Second; now <= cutAt+Timeout; now += 500 * time.Millisecond {
		for _, other := range others {
			contacts.RecordReceived(now, other)
			for _, named := range members {
				if named != other && (named != own || now <= cutAt) {
					contacts.RecordReported(now, named)
				}
			}
		}
		if now <= cutAt {
			g.Expect(contacts.IsComplete(now, own, members)).To(BeTrue(), "%s", now)
		}
	}
	g.Expect(contacts.IsComplete(cutAt+Timeout, own, members)).To(BeFalse())
}
