package measure

import (
	"fmt"
	"sort"
	"sync"
)

// Tally counts flows and broken flows by kind. It is safe for concurrent use.
type Tally struct {
	mu    sync.Mutex
	kinds map[string]*KindCount
}

// KindCount is the tally of one kind of flow.
type KindCount struct {
	Kind   string
	Flows  int
	Broken int
	// FirstError is the error of the first broken flow.
	FirstError string
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{kinds: make(map[string]*KindCount)}
}

// Add counts a flow that has ended; err is nil unless the flow broke.
func (t *Tally) Add(kind string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := t.kinds[kind]
	if count == nil {
		count = &KindCount{Kind: kind}
		t.kinds[kind] = count
	}
	count.Flows++
	if err == nil {
		return
	}
	count.Broken++
	if count.FirstError == "" {
		count.FirstError = fmt.Sprint(err)
	}
}

// Counts returns the counts sorted by kind.
func (t *Tally) Counts() []KindCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make([]KindCount, 0, len(t.kinds))
	for _, count := range t.kinds {
		counts = append(counts, *count)
	}
	sort.Slice(counts, func(a, b int) bool { return counts[a].Kind < counts[b].Kind })
	return counts
}
