// Package retry bounds retries by a budget, so that retries cannot multiply the
// load on endpoints that fail.
package retry

import "sync"

// Budget is a token bucket that successes fill and retries empty. With no
// successes at all, at most its capacity is retried. It is safe for concurrent
// use; no time passes in it.
type Budget struct {
	mu         sync.Mutex
	tokens     float64
	capacity   float64
	tokenRatio float64
}

const (
	// DefaultTokenRatio of a retry that each success allows. Agent and caller
	// together stay under (1 + DefaultTokenRatio)^2 = 1.17 requests at the endpoint
	// for each one offered, and their capacities on top.
	DefaultTokenRatio = 0.08
	// DefaultCapacity is how many retries may be saved up.
	DefaultCapacity = 10
)

// NewBudget returns a full budget; share is how much of a retry each success allows.
func NewBudget(tokenRatio, capacity float64) *Budget {
	return &Budget{tokens: capacity, capacity: capacity, tokenRatio: tokenRatio}
}

// RecordSuccess notes a request that succeeded.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity, b.tokens+b.tokenRatio)
}

// Allow takes the right to one retry; it reports false when none is left.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
