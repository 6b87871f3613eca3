package retry

import (
	"testing"

	. "github.com/onsi/gomega"
)

// stormFactor is the maximum number of requests at the endpoints for each offered
// request.
const stormFactor = 1.2

// offeredRequests is the number of requests in a retry storm.
const offeredRequests = 5000

// sendThroughLayers sends requests through a caller and an agent, each of which makes
// up to tries attempts as far as its budget allows (nil: always), to an endpoint that
// succeeds on every succeedEvery-th request (0: never). It returns the number of
// requests at the endpoint.
func sendThroughLayers(succeedEvery, tries int, caller, agent *Budget) int {
	arrived := 0
	run := func() bool {
		arrived++
		return succeedEvery > 0 && arrived%succeedEvery == 0
	}
	withRetries := func(budget *Budget, next func() bool) func() bool {
		return func() bool {
			for i := range tries {
				if i > 0 && budget != nil && !budget.Allow() {
					return false
				}
				if next() {
					if budget != nil {
						budget.RecordSuccess()
					}
					return true
				}
			}
			return false
		}
	}
	request := withRetries(caller, withRetries(agent, run))
	for range offeredRequests {
		request()
	}
	return arrived
}

func TestRetryStormStaysWithinFactor(t *testing.T) {
	for _, succeedEvery := range []int{0, 2, 3, 10, 100} {
		budget := func() *Budget { return NewBudget(DefaultTokenRatio, DefaultCapacity) }
		unbounded := sendThroughLayers(succeedEvery, 3, nil, nil)
		bounded := sendThroughLayers(succeedEvery, 3, budget(), budget())
		t.Logf("one in %d succeeds: %d offered, %d sent without budgets, %d with budgets", succeedEvery, offeredRequests, unbounded, bounded)
		g := NewWithT(t)
		g.Expect(float64(unbounded)).To(BeNumerically(">", stormFactor*offeredRequests))
		g.Expect(float64(bounded)).To(BeNumerically("<=", stormFactor*offeredRequests))
	}
}
