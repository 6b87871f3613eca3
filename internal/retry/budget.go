// Package retry limits retries by a budget, so that they cannot multiply the load on
// failing endpoints.
package retry

import "sync"

// Budget is a token bucket that successes fill and retries empty. Without successes,
// the number of retries is at most its capacity. It does not depend on time. It is
// safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	tokens     float64
	capacity   float64
	tokenRatio float64
}

const (
	// DefaultTokenRatio is the number of retries that each success allows. Agent and
	// caller together send the endpoint less than (1 + DefaultTokenRatio)^2 = 1.17
	// requests for each offered one, plus their capacities.
	DefaultTokenRatio = 0.08
	// DefaultCapacity is the maximum number of retries that can accumulate.
	DefaultCapacity = 10
)

// NewBudget returns a full budget. tokenRatio is the number of retries that each
// success allows.
func NewBudget(tokenRatio, capacity float64) *Budget {
	return &Budget{tokens: capacity, capacity: capacity, tokenRatio: tokenRatio}
}

// RecordSuccess records a request that succeeded.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity, b.tokens+b.tokenRatio)
}

// Allow reports whether a retry is allowed, and if so consumes its token.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
