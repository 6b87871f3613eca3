package flow

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestReachabilityDistinguishesCutOffFromSilentControl(t *testing.T) {
	// rounds returns a function that records rounds of four probes with the given
	// numbers of answers.
	rounds := func(answers ...int) func(r *Reachability) {
		return func(r *Reachability) {
			for _, count := range answers {
				r.StartRound(4)
				for range count {
					r.RecordAgentAnswer()
				}
			}
		}
	}
	cases := []struct {
		name   string
		seenAt time.Duration
		record func(r *Reachability)
		want   bool
	}{
		{"no probes sent", 0, rounds(), false},
		{"only one round completed", 0, rounds(0, 0), false},
		{"no agent answers", 0, rounds(0, 0, 0), true},
		{"no agent answers, control answered recently", 1500 * time.Millisecond, rounds(0, 0, 0), false},
		{"control silent, all agents answer", 0, rounds(4, 4, 4, 0), false},
		{"one agent of four still answers", 0, rounds(1, 1, 1), true},
		{"half of the agents answer", 0, rounds(2, 2, 2), false},
		{"connectivity restored", 0, rounds(0, 0, 0, 4, 4, 4, 0), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := new(Reachability)
			r.RecordControlAnswer(c.seenAt)
			c.record(r)
			NewWithT(t).Expect(r.IsCutOff(2 * time.Second)).To(Equal(c.want))
			r.RecordControlAnswer(2 * time.Second)
			NewWithT(t).Expect(r.IsCutOff(2 * time.Second)).To(BeFalse())
		})
	}
}

// New flows go to the own zone first, so its agents decide whether a balancer is
// usable. An agent of another zone may still be reachable when the own zone is not.
func TestSamplePrefersOwnZoneExceptOne(t *testing.T) {
	g := NewWithT(t)
	members := []Member{
		NewMember(addressOf(1), "a", "orders"), NewMember(addressOf(2), "a", "drawings"),
		NewMember(addressOf(3), "b", "orders"), NewMember(addressOf(4), "b", "orders"),
	}
	members[1].IsExpired = true
	view := NewView(members)
	random := rand.New(rand.NewPCG(1, 1))
	none := addressOf(9)
	b := Or(Equal(addressOf(3)), Equal(addressOf(4)))
	g.Expect(view.Sample(TagOf("a"), none, 2, random.Shuffle)).To(ConsistOf(Equal(addressOf(1)), b))
	g.Expect(view.Sample(TagOf("b"), none, 3, random.Shuffle)).To(ConsistOf(addressOf(1), addressOf(3), addressOf(4)))
	g.Expect(view.Sample(TagOf("b"), none, 2, random.Shuffle)).To(ConsistOf(Equal(addressOf(1)), b))
	g.Expect(view.Sample(TagOf("b"), addressOf(3), 4, random.Shuffle)).To(ConsistOf(addressOf(1), addressOf(4)))
	g.Expect(view.Sample(TagOf("c"), none, 4, random.Shuffle)).To(HaveLen(3), "no agent in the own zone")
	g.Expect(NewView(nil).Sample(TagOf("a"), none, 4, random.Shuffle)).To(BeEmpty())
}
