package flow

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestReachTellsACutFromASilentControl(t *testing.T) {
	// rounds gives the answers of the rounds of four questions.
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
		name    string
		heardAt time.Duration
		play    func(r *Reachability)
		want    bool
	}{
		{"nobody was asked", 0, rounds(), false},
		{"one round is over", 0, rounds(0, 0), false},
		{"asked in vain", 0, rounds(0, 0, 0), true},
		{"asked in vain, and control heard lately", 1500 * time.Millisecond, rounds(0, 0, 0), false},
		{"control is silent, all agents answer", 0, rounds(4, 4, 4, 0), false},
		{"one agent of four still answers", 0, rounds(1, 1, 1), true},
		{"half of the agents answer", 0, rounds(2, 2, 2), false},
		{"the cut has healed", 0, rounds(0, 0, 0, 4, 4, 4, 0), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := new(Reachability)
			r.RecordControlAnswer(c.heardAt)
			c.play(r)
			NewWithT(t).Expect(r.IsCutOff(2 * time.Second)).To(Equal(c.want))
			r.RecordControlAnswer(2 * time.Second)
			NewWithT(t).Expect(r.IsCutOff(2 * time.Second)).To(BeFalse())
		})
	}
}

// New flows go to the own zone first: its agents say whether a balancer is of use.
// One agent of another zone may know what the own zone is cut off from.
func TestSampleIsOfTheOwnZoneButForOne(t *testing.T) {
	g := NewWithT(t)
	members := []Member{
		NewMember(addressOf(1), "a", "orders"), NewMember(addressOf(2), "a", "drawings"),
		NewMember(addressOf(3), "b", "orders"), NewMember(addressOf(4), "b", "orders"),
	}
	members[1].IsExpired = true
	view := NewView(members)
	random := rand.New(rand.NewPCG(1, 1))
	nobody := addressOf(9)
	b := Or(Equal(addressOf(3)), Equal(addressOf(4)))
	g.Expect(view.Sample(TagOf("a"), nobody, 2, random.Shuffle)).To(ConsistOf(Equal(addressOf(1)), b))
	g.Expect(view.Sample(TagOf("b"), nobody, 3, random.Shuffle)).To(ConsistOf(addressOf(1), addressOf(3), addressOf(4)))
	g.Expect(view.Sample(TagOf("b"), nobody, 2, random.Shuffle)).To(ConsistOf(Equal(addressOf(1)), b))
	g.Expect(view.Sample(TagOf("b"), addressOf(3), 4, random.Shuffle)).To(ConsistOf(addressOf(1), addressOf(4)))
	g.Expect(view.Sample(TagOf("c"), nobody, 4, random.Shuffle)).To(HaveLen(3), "no agent in the own zone")
	g.Expect(NewView(nil).Sample(TagOf("a"), nobody, 4, random.Shuffle)).To(BeEmpty())
}
