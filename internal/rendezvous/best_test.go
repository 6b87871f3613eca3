package rendezvous

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

// A list of bounded length gives the same as sorting everything.
func TestBestIsTheHeadOfAStableSort(t *testing.T) {
	g := NewWithT(t)
	type item struct {
		number int
		score  uint64
	}
	random := rand.New(rand.NewPCG(3, 3))
	for range 500 {
		most, count := random.IntN(6), random.IntN(12)
		best := NewTopK(make([]item, most), make([]uint64, most))
		var all []item
		for number := range count {
			// Few different scores, so that some are equal.
			added := item{number: number, score: random.Uint64N(5)}
			all = append(all, added)
			best.Add(added, added.score)
		}
		slices.SortStableFunc(all, func(a, b item) int { return cmp.Compare(b.score, a.score) })
		g.Expect(slices.Equal(best.Items(), all[:min(most, count)])).To(BeTrue(), "%v of %v", best.Items(), all)
	}
}
