package roster

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// contactsCluster is a group of five whose gossip may be lost.
type contactsCluster struct {
	members  []netip.AddrPort
	contacts []*Contacts
	// isLost reports whether what one says does not reach another.
	isLost func(from, to int) bool
	random *rand.Rand
	phase  []time.Duration
}

const (
	contactsGossip = 500 * time.Millisecond
	contactsStep   = 10 * time.Millisecond
)

func newContactsCluster(seed uint64) *contactsCluster {
	w := &contactsCluster{random: rand.New(rand.NewPCG(seed, 5)), isLost: func(int, int) bool { return false }}
	for i := range 5 {
		w.members = append(w.members, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000))
		w.contacts = append(w.contacts, NewContacts())
		w.phase = append(w.phase, time.Duration(w.random.Int64N(int64(contactsGossip/contactsStep)))*contactsStep)
	}
	return w
}

// run plays the time from from to to and returns, by member, when it was first
// not complete, or -1.
func (w *contactsCluster) run(from, to time.Duration) []time.Duration {
	firstIncomplete := make([]time.Duration, len(w.members))
	for i := range firstIncomplete {
		firstIncomplete[i] = -1
	}
	for now := from; now < to; now += contactsStep {
		for i := range w.members {
			if (now+w.phase[i])%contactsGossip == 0 {
				w.gossip(now, i)
			}
		}
		for i, c := range w.contacts {
			if !c.IsComplete(now, w.members[i], w.members) && firstIncomplete[i] < 0 {
				firstIncomplete[i] = now - from
			}
		}
	}
	return firstIncomplete
}

func (w *contactsCluster) gossip(now time.Duration, from int) {
	recent := w.contacts[from].Recent(now)
	for to, c := range w.contacts {
		if to == from || w.isLost(from, to) {
			continue
		}
		c.RecordReceived(now, w.members[from])
		for _, address := range recent {
			c.RecordReported(now, address)
		}
	}
}

// Datagrams are lost between some control instances while their connections
// live: those that miss gossip must leave the nodes to others before agents that
// only the other side hears count as gone, and nobody else may.
func TestInstancesMissingGossipAreIncomplete(t *testing.T) {
	cases := []struct {
		name   string
		isLost func(from, to int) bool
		want   []bool
	}{
		{"nothing is lost", func(int, int) bool { return false }, []bool{false, false, false, false, false}},
		{"one is cut off", func(from, to int) bool { return from == 0 || to == 0 }, []bool{true, false, false, false, false}},
		{"one hears nothing", func(_, to int) bool { return to == 0 }, []bool{true, false, false, false, false}},
		{"two miss each other", func(from, to int) bool { return from+to == 1 }, []bool{true, true, false, false, false}},
		{"one does not hear another", func(from, to int) bool { return from == 0 && to == 1 }, []bool{false, true, false, false, false}},
		{"two against three", func(from, to int) bool { return (from < 2) != (to < 2) }, []bool{true, true, false, false, false}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(100) {
				w := newContactsCluster(seed)
				w.run(0, 5*time.Second)
				w.isLost = c.isLost
				for i, at := range w.run(5*time.Second, 10*time.Second) {
					g.Expect(at >= 0).To(Equal(c.want[i]), "member %d, seed %d", i, seed)
					// A node polls within 0.5 s and turns to another instance.
					g.Expect(at).To(BeNumerically("<=", Timeout-contactsGossip+contactsStep))
				}
				w.isLost = func(int, int) bool { return false }
				w.run(10*time.Second, 11*time.Second)
				for _, at := range w.run(11*time.Second, 13*time.Second) {
					g.Expect(at).To(BeNumerically("<", 0), "all is well again")
				}
			}
		})
	}
}

// An instance that ends is missed by all and by nobody more than by others.
func TestInstancesThatStopDoNotMakeOthersIncomplete(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(100) {
		w := newContactsCluster(seed)
		w.run(0, 5*time.Second)
		w.isLost = func(from, to int) bool { return from < 2 || to < 2 }
		for i, at := range w.run(5*time.Second, 20*time.Second) {
			g.Expect(at >= 0).To(Equal(i < 2), "member %d, seed %d", i, seed)
		}
	}
}

func TestContactsExpireAndAreBounded(t *testing.T) {
	g := NewWithT(t)
	w := newContactsCluster(1)
	c := NewContacts()
	c.RecordReceived(0, w.members[1])
	c.RecordReported(0, w.members[2])
	g.Expect(c.Known(time.Second)).To(ConsistOf(w.members[1], w.members[2]))
	g.Expect(c.Recent(ReportWindow)).To(ConsistOf(w.members[1]))
	g.Expect(c.Recent(ReportWindow + 1)).To(BeEmpty())
	g.Expect(c.Known(contactRetention + 1)).To(BeEmpty())
	for i := range 2 * maxContacts {
		c.RecordReceived(0, netip.AddrPortFrom(w.members[0].Addr(), uint16(i)))
	}
	g.Expect(c.Known(0)).To(HaveLen(maxContacts))
}

// What an instance sends is lost while it hears all others. They do not name it among
// those they hear, and take the agents that only it hears for gone: it must step aside
// before they do.
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
