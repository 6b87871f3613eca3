package retry

import (
	"testing"

	. "github.com/onsi/gomega"
)

// stormFactor is the most that the endpoints may get for each request offered.
const stormFactor = 1.2

// offeredRequests is the length of a storm.
const offeredRequests = 5000

// sendThroughLayers sends requests through a caller and an agent, each of which retries
// up to tries-1 times where mayRetry allows it, to an endpoint of which every
// failEvery-th answer succeeds (0: none). It returns the endpoint's requests.
func sendThroughLayers(succeedEvery, tries int, caller, agent *Budget) int {
	arrived := 0
	run := func() bool {
		arrived++
		return succeedEvery > 0 && arrived%succeedEvery == 0
	}
	through := func(budget *Budget, next func() bool) func() bool {
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
	request := through(caller, through(agent, run))
	for range offeredRequests {
		request()
	}
	return arrived
}

func TestRetryStormStaysWithinFactor(t *testing.T) {
	for _, succeedEvery := range []int{0, 2, 3, 10, 100} {
		budget := func() *Budget { return NewBudget(DefaultTokenRatio, DefaultCapacity) }
		naive := sendThroughLayers(succeedEvery, 3, nil, nil)
		bounded := sendThroughLayers(succeedEvery, 3, budget(), budget())
		t.Logf("one in %d succeeds: %d offered, naive %d, with budgets %d", succeedEvery, offeredRequests, naive, bounded)
		g := NewWithT(t)
		g.Expect(float64(naive)).To(BeNumerically(">", stormFactor*offeredRequests))
		g.Expect(float64(bounded)).To(BeNumerically("<=", stormFactor*offeredRequests))
	}
}
