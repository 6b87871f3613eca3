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
	// maxIncompleteDelay is how long an instance may serve nodes after gossip was lost:
	// with the 0.5 s until a node polls again it has left the instance within 2 s.
	maxIncompleteDelay = 1500*time.Millisecond + stepInterval
)

func newContactsCluster(seed uint64) *contactsCluster {
	cluster := &contactsCluster{random: rand.New(rand.NewPCG(seed, 5)), isLost: func(int, int) bool { return false }}
	for i := range 5 {
		cluster.members = append(cluster.members, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000))
		cluster.contacts = append(cluster.contacts, NewContacts(cluster.random.Uint64()))
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
	sender := cluster.contacts[from]
	reports, sentAt := sender.Reports(now), sender.SendTime(now)
	for to, c := range cluster.contacts {
		if to == from || cluster.isLost(from, to) {
			continue
		}
		c.RecordReceived(now, cluster.members[from], sentAt)
		for _, report := range reports {
			c.RecordReported(now, report.Address)
			if report.Address == cluster.members[to] {
				c.RecordConfirmed(now, cluster.members[from], report.SentAt)
			}
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
		{"nobody receives from one", func(from, _ int) bool { return from == 0 }, []bool{true, false, false, false, false}},
		{"three do not receive from two", func(from, to int) bool { return from < 2 && to >= 2 }, []bool{true, true, false, false, false}},
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
					g.Expect(at).To(BeNumerically("<=", maxIncompleteDelay))
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
	c := NewContacts(1)
	c.RecordReceived(0, cluster.members[1], 7)
	c.RecordReported(0, cluster.members[2])
	g.Expect(c.Known(time.Second)).To(ConsistOf(cluster.members[1], cluster.members[2]))
	g.Expect(c.Reports(ReportWindow)).To(ConsistOf(Report{Address: cluster.members[1], SentAt: 7}))
	g.Expect(c.Reports(ReportWindow + 1)).To(BeEmpty())
	g.Expect(c.Known(contactRetention + 1)).To(BeEmpty())
	for i := range 2 * maxContacts {
		address := netip.AddrPortFrom(cluster.members[0].Addr(), uint16(i))
		c.RecordReceived(0, address, 0)
		c.RecordConfirmed(0, address, c.SendTime(0))
	}
	g.Expect(c.Known(0)).To(HaveLen(maxContacts))
	g.Expect(c.confirmed).To(HaveLen(maxContacts))
}

// Confirmations that belong to an earlier run, or that arrive in the wrong order, must
// not make gossip count as received that nobody has received.
func TestConfirmationsOfAnEarlierRunAreIgnored(t *testing.T) {
	own, other := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")
	const now = 10 * time.Second
	earlier := NewContacts(1 << 40)
	cases := []struct {
		name   string
		sentAt func(c *Contacts) []uint64
		want   bool
	}{
		{"recent", func(c *Contacts) []uint64 { return []uint64{c.SendTime(now - time.Second)} }, true},
		{"too old", func(c *Contacts) []uint64 { return []uint64{c.SendTime(now - maxConfirmationAge - 1)} }, false},
		{"older one last", func(c *Contacts) []uint64 { return []uint64{c.SendTime(now - time.Second), c.SendTime(0)} }, true},
		{"earlier run", func(*Contacts) []uint64 { return []uint64{earlier.SendTime(now - time.Second)} }, false},
		{"in the future", func(c *Contacts) []uint64 { return []uint64{c.SendTime(now + time.Second)} }, false},
		{"before the start", func(c *Contacts) []uint64 { return []uint64{c.SendTime(0) - 1} }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			contacts := NewContacts(1 << 50)
			for _, sentAt := range c.sentAt(contacts) {
				contacts.RecordConfirmed(now, other, sentAt)
			}
			NewWithT(t).Expect(contacts.isConfirmedByMajority(now, own, []netip.AddrPort{own, other})).To(Equal(c.want))
		})
	}
}

// All datagrams that an instance sends are lost, while it receives from all others.
// The others do not confirm that they receive its gossip, and the agents that poll only
// this instance expire in their rosters. It must stop serving nodes before that.
func TestInstanceThatNobodyHearsStepsAside(t *testing.T) {
	g := NewWithT(t)
	own := netip.MustParseAddrPort("10.0.0.1:7000")
	others := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:7000"), netip.MustParseAddrPort("10.0.0.3:7000")}
	members := append([]netip.AddrPort{own}, others...)
	contacts := NewContacts(1)
	const cutAt = 5 * time.Second
	for now := time.Second; now <= cutAt+Timeout; now += 500 * time.Millisecond {
		for _, other := range others {
			contacts.RecordReceived(now, other, uint64(now))
			for _, named := range members {
				if named != other && (named != own || now <= cutAt) {
					contacts.RecordReported(now, named)
				}
			}
			if now <= cutAt {
				contacts.RecordConfirmed(now, other, contacts.SendTime(now))
			}
		}
		if now <= cutAt {
			g.Expect(contacts.IsComplete(now, own, members)).To(BeTrue(), "%s", now)
		}
	}
	g.Expect(contacts.IsComplete(cutAt+Timeout, own, members)).To(BeFalse())
}
