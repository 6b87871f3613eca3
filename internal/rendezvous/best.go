package rendezvous

// TopK keeps the items with the highest scores, the highest first, as many as
// its space holds; of equal scores the one that came first. Its space is the
// caller's, so that a choice on a hot path needs no allocation.
type TopK[T any] struct {
	items  []T
	scores []uint64
	count  int
}

// NewTopK returns an empty list in the given space, of which both parts have
// the same length.
func NewTopK[T any](items []T, scores []uint64) TopK[T] {
	return TopK[T]{items: items, scores: scores}
}

// Add takes an item in if its score is high enough.
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

// Items returns the items in order, in the caller's space.
func (b *TopK[T]) Items() []T { return b.items[:b.count] }
