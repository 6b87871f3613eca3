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
func (b *TopK[T]) Add(item T, score uint64) {
	if b.count < len(b.items) || b.count > 0 && score > b.scores[b.count-1] {
		b.insert(item, score)
	}
}

func (b *TopK[T]) insert(item T, score uint64) {
	at := b.count
	for at > 0 && b.scores[at-1] < score {
		at--
	}
	b.count = min(b.count+1, len(b.items))
	copy(b.items[at+1:b.count], b.items[at:])
	copy(b.scores[at+1:b.count], b.scores[at:])
	b.items[at], b.scores[at] = item, score
}

// Items returns the items in order. The result shares memory with the caller's slice.
func (b *TopK[T]) Items() []T { return b.items[:b.count] }
