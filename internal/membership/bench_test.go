package membership

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTargets measures the choice of the members to watch, which is repeated when
// members are added or removed.
func BenchmarkTargets(b *testing.B) {
	for _, agents := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			c := newCluster(testSeed, 1, 0, 7)
			table := c.watchers[0].table
			table.Apply(testStart, newFleet(agents))
			var watched int
			for b.Loop() {
				targets, _ := table.Targets()
				watched = len(targets)
			}
			b.ReportMetric(float64(watched), "watched")
		})
	}
}

// BenchmarkWatching reports the probes and the processing time per balancer in a cluster
// without failures.
func BenchmarkWatching(b *testing.B) {
	const simulated = 10 * time.Second
	for _, agents := range []int{100, 1000, 2000} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			c := newCluster(testSeed, agents/5, agents, 7)
			for _, w := range c.watchers {
				w.targets, w.generation = w.table.Targets()
				w.prober.SetTargets(c.now, w.targets)
			}
			c.probes = 0
			started := time.Now()
			for end := c.now.Add(simulated); c.now.Before(end); {
				c.now = c.now.Add(TickInterval)
				for _, w := range c.watchers {
					probes, _ := w.prober.Tick(c.now, c.now)
					c.probes += len(probes)
					for _, probe := range probes {
						w.prober.HandleAnswer(c.now, probe.Sequence, firstIncarnation)
					}
				}
			}
			perBalancer := float64(len(c.watchers)) * simulated.Seconds()
			b.ReportMetric(float64(c.probes)/perBalancer, "probes/s/balancer")
			b.ReportMetric(float64(time.Since(started).Microseconds())/perBalancer, "µs/s/balancer")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkFalseAlarms reports, for each loss rate and number of balancers, how many of a
// million checks of a live member found it down, and how long it took to detect a failed
// one. Each member has as many watchers as there are balancers, but at most three.
func BenchmarkFalseAlarms(b *testing.B) {
	for _, balancers := range []int{1, 2, 3, 14} {
		for _, loss := range []float64{0.01, 0.05, 0.1, 0.2} {
			b.Run(fmt.Sprintf("balancers=%d/loss=%v", balancers, loss), func(b *testing.B) {
				benchmarkFalseAlarms(b, balancers, loss)
			})
		}
	}
}

func benchmarkFalseAlarms(b *testing.B, balancers int, loss float64) {
	const (
		agents    = 35
		simulated = 10 * time.Minute
		ticks     = float64(simulated / TickInterval)
		aMillion  = 1e6
	)
	c := newCluster(testSeed, balancers, agents, 7)
	c.loss = loss
	c.run(simulated)
	looks := ticks * float64(balancers) * float64(balancers+agents)
	b.ReportMetric(float64(c.falseAlarms)/looks*aMillion, "alarms-ppm")
	b.ReportMetric(float64(c.naiveFalseAlarms)/looks*aMillion, "naive-ppm")
	failed := c.byAddress["agent-4"]
	failed.isDown = true
	detected := c.timeUntil(func(w *simWatcher) bool { return w.table.IsDown(failed.Kind, failed.Name) })
	b.ReportMetric(detected.Seconds(), "s-to-detect")
	b.ReportMetric(0, "ns/op")
}
