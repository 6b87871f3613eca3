package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

// TestRemovingOneNameChangesFewRankings compares rendezvous hashing with hashing
// modulo the number of names, where nearly every choice changes.
func TestRemovingOneNameChangesFewRankings(t *testing.T) {
	g := NewWithT(t)
	const keys, first = 1000, 3
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprintf("name-%d", i))
	}
	fewer := names[:19]
	moved, movedByModulo := 0, 0
	for i := range keys {
		key := fmt.Sprintf("key-%d", i)
		before, after := Rank(key, names, first), Rank(key, fewer, first)
		if !slices.Equal(before, after) && !slices.Contains(before, names[19]) {
			t.Errorf("%s moved from %v to %v", key, before, after)
		}
		if !slices.Equal(before, after) {
			moved++
		}
		if Hash(key)%20 != Hash(key)%19 {
			movedByModulo++
		}
	}
	g.Expect(moved).To(BeNumerically("<", keys*first*2/20))
	g.Expect(movedByModulo).To(BeNumerically(">", keys/2))
	g.Expect(Rank("key", names, 50)).To(HaveLen(20))
}
