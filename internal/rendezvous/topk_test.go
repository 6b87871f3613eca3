package rendezvous

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

func TestTopKMatchesStableSort(t *testing.T) {
	g := NewWithT(t)
	type item struct {
		number int
		score  uint64
	}
	random := rand.New(rand.NewPCG(3, 3))
	for range 500 {
		capacity, count := random.IntN(6), random.IntN(12)
		best := NewTopK(make([]item, capacity), make([]uint64, capacity))
		var all []item
		for number := range count {
			// Use few different scores, so that some are equal.
			added := item{number: number, score: random.Uint64N(5)}
			all = append(all, added)
			best.Add(added, added.score)
		}
		slices.SortStableFunc(all, func(a, b item) int { return cmp.Compare(b.score, a.score) })
		g.Expect(slices.Equal(best.Items(), all[:min(capacity, count)])).To(BeTrue(), "%v of %v", best.Items(), all)
	}
}
