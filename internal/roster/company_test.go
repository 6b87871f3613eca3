package roster

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// companyWorld is a group of five whose gossip may be lost.
type companyWorld struct {
	members   []netip.AddrPort
	companies []*Company
	// isLost reports whether what one says does not reach another.
	isLost func(from, to int) bool
	random *rand.Rand
	phase  []time.Duration
}

const (
	companyGossip = 500 * time.Millisecond
	companyStep   = 10 * time.Millisecond
)

func newCompanyWorld(seed uint64) *companyWorld {
	w := &companyWorld{random: rand.New(rand.NewPCG(seed, 5)), isLost: func(int, int) bool { return false }}
	for i := range 5 {
		w.members = append(w.members, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000))
		w.companies = append(w.companies, NewCompany())
		w.phase = append(w.phase, time.Duration(w.random.Int64N(int64(companyGossip/companyStep)))*companyStep)
	}
	return w
}

// run plays the time from from to to and returns, by member, when it was first
// not complete, or -1.
func (w *companyWorld) run(from, to time.Duration) []time.Duration {
	missed := make([]time.Duration, len(w.members))
	for i := range missed {
		missed[i] = -1
	}
	for now := from; now < to; now += companyStep {
		for i := range w.members {
			if (now+w.phase[i])%companyGossip == 0 {
				w.gossip(now, i)
			}
		}
		for i, c := range w.companies {
			if !c.IsComplete(now, w.members[i], w.members) && missed[i] < 0 {
				missed[i] = now - from
			}
		}
	}
	return missed
}

func (w *companyWorld) gossip(now time.Duration, from int) {
	heard := w.companies[from].Recent(now)
	for to, c := range w.companies {
		if to == from || w.isLost(from, to) {
			continue
		}
		c.Hear(now, w.members[from])
		for _, address := range heard {
			c.Told(now, address)
		}
	}
}

// Datagrams are lost between some control instances while their connections
// live: those that miss gossip must leave the nodes to others before agents that
// only the other side hears count as gone, and nobody else may.
func TestInstancesThatMissGossipStepAside(t *testing.T) {
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
				w := newCompanyWorld(seed)
				w.run(0, 5*time.Second)
				w.isLost = c.isLost
				for i, at := range w.run(5*time.Second, 10*time.Second) {
					g.Expect(at >= 0).To(Equal(c.want[i]), "member %d, seed %d", i, seed)
					// A node polls within 0.5 s and turns to another instance.
					g.Expect(at).To(BeNumerically("<=", Timeout-companyGossip+companyStep))
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
func TestInstancesThatEndAreNotMissed(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(100) {
		w := newCompanyWorld(seed)
		w.run(0, 5*time.Second)
		w.isLost = func(from, to int) bool { return from < 2 || to < 2 }
		for i, at := range w.run(5*time.Second, 20*time.Second) {
			g.Expect(at >= 0).To(Equal(i < 2), "member %d, seed %d", i, seed)
		}
	}
}

func TestCompanyKnowsWhoWasHeardOrToldOf(t *testing.T) {
	g := NewWithT(t)
	w := newCompanyWorld(1)
	c := NewCompany()
	c.Hear(0, w.members[1])
	c.Told(0, w.members[2])
	g.Expect(c.Known(time.Second)).To(ConsistOf(w.members[1], w.members[2]))
	g.Expect(c.Recent(TellTime)).To(ConsistOf(w.members[1]))
	g.Expect(c.Recent(TellTime + 1)).To(BeEmpty())
	g.Expect(c.Known(companyMemory + 1)).To(BeEmpty())
	for i := range 2 * maxCompany {
		c.Hear(0, netip.AddrPortFrom(w.members[0].Addr(), uint16(i)))
	}
	g.Expect(c.Known(0)).To(HaveLen(maxCompany))
}
