package rendezvous

// TopK keeps the items with the highest scores, the highest first. Of items with equal
// scores it prefers the one added first. The capacity is that of the slices passed by
// the caller, so that use on a hot path needs no allocation.
type TopK[T any] struct {
	items  []T
	scores []uint64
	count  int
}

// NewTopK returns an empty list that is stored in the given slices, which must have
// the same length.
func NewTopK[T any](items []T, scores []uint64) TopK[T] {
	return TopK[T]{items: items, scores: scores}
}

// Add inserts an item if its score is high enough.
func (t *TopK[T]) Add(item T, score uint64) {
	if t.count < len(t.items) || t.count > 0 && score > t.scores[t.count-1] {
		t.insert(item, score)
	}
}

func (t *TopK[T]) insert(item T, score uint64) {
	at := t.count
	for at > 0 && t.scores[at-1] < score {
		at--
	}
	t.count = min(t.count+1, len(t.items))
	copy(t.items[at+1:t.count], t.items[at:])
	copy(t.scores[at+1:t.count], t.scores[at:])
	t.items[at], t.scores[at] = item, score
}

// Items returns the items in order. The result shares memory with the caller's slice.
func (t *TopK[T]) Items() []T { return t.items[:t.count] }
