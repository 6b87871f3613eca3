package balancer

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/routing"
)

// link guards the budget of the balancer's network link with a mutex: packets are handled on the
// goroutine of the callers' socket and on that of the polls.
type link struct {
	mu     sync.Mutex
	budget *flow.LinkBudget
	wait   prometheus.Gauge
}

func newLink(instance *machine.Instance) *link {
	wait := prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "sassafrasturn_link_wait_seconds",
		Help: "How long packets would wait at a link of nine tenths of the rate of the balancer's.",
	})
	instance.Metrics.MustRegister(wait)
	return &link{budget: flow.NewLinkBudget(instance.Settings.Link.BytesPerSecond), wait: wait}
}

// decide returns whether the link has room for a new flow of a route, and for how long packets
// would wait at the modelled link.
func (l *link) decide(node *opaque.Node, route *routing.Route) (flow.LinkDecision, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	decision := l.budget.Decide(node.Now(), node.SentBytes(), route.LessUrgent)
	wait := l.budget.Wait()
	l.wait.Set(wait.Seconds())
	return decision, wait
}
