package main

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/google/subcommands"

	"sassafrasturn.example/internal/harness"
	"sassafrasturn.example/internal/measure"
)

// Load of the measure of imbalance.
const (
	balanceCallers  = 140
	balanceTimeout  = 20 * time.Second
	meanThink       = 100 * time.Millisecond
	meanWork        = 12 * time.Millisecond
	workShape       = 1.5
	maxWork         = time.Second
	meanConnection  = 2 * time.Second
	connectionShape = 1.5
	balanceSeed     = 1
	// warmUp passes before anything counts: endpoints begin cold.
	warmUp = 10 * time.Second
)

// imbalanceCommand measures the balance of work over endpoints.
type imbalanceCommand struct {
	measureFlags
}

// Name returns the name of the command.
func (*imbalanceCommand) Name() string { return "imbalance" }

// Synopsis describes the command in a line.
func (*imbalanceCommand) Synopsis() string { return "measure the balance of work over endpoints" }

// Usage describes the command.
func (*imbalanceCommand) Usage() string {
	return `imbalance [-naive] [-seconds N] [-csv FILE]
  140 callers hold connections of heavy-tailed length and send work of heavy-tailed
  length to 7 endpoints of 5 slots. After 10 s in which they warm, it reports requests by endpoint, max/mean of the
  work and the latency. Run it in the project's folder.
`
}

// SetFlags declares the flags.
func (c *imbalanceCommand) SetFlags(flags *flag.FlagSet) {
	c.declare(flags, 20)
}

// Execute measures.
func (c *imbalanceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(ctx, c.measure)
}

func (c *imbalanceCommand) measure(ctx context.Context, system harness.System) (*measure.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, warmUp+time.Duration(c.seconds)*time.Second)
	defer cancel()
	done := &workDone{countsFrom: time.Now().Add(warmUp), byEndpoint: make(map[string]time.Duration), requests: make(map[string]int)}
	var callers sync.WaitGroup
	for i := range balanceCallers {
		random := rand.New(rand.NewPCG(balanceSeed, uint64(i)))
		callers.Go(func() { done.call(ctx, system, random) })
	}
	callers.Wait()
	return c.report(done), nil
}

// pareto draws a heavy-tailed duration with the given mean and shape.
func pareto(random *rand.Rand, mean time.Duration, shape float64, limit time.Duration) time.Duration {
	least := float64(mean) * (shape - 1) / shape
	drawn := least / math.Pow(1-random.Float64(), 1/shape)
	return min(time.Duration(drawn), limit)
}

// workDone records what each endpoint did and what callers waited.
type workDone struct {
	countsFrom time.Time

	mu         sync.Mutex
	byEndpoint map[string]time.Duration
	requests   map[string]int
	waits      []time.Duration
	failed     int
}

// call sends work over one connection after the other until ctx ends.
func (d *workDone) call(ctx context.Context, system harness.System, random *rand.Rand) {
	for ctx.Err() == nil {
		client, connections := measure.NewClient(balanceTimeout)
		until := time.Now().Add(pareto(random, meanConnection, connectionShape, time.Minute))
		for ctx.Err() == nil && time.Now().Before(until) {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(meanThink)))
			work := pareto(random, meanWork, workShape, maxWork)
			began := time.Now()
			name, err := measure.FetchName(context.WithoutCancel(ctx), client, system.URL(largeService, fmt.Sprintf("/work?time=%s", work)))
			if began.After(d.countsFrom) {
				d.add(name, work, time.Since(began)-work, err)
			}
		}
		connections.Close()
	}
}

func (d *workDone) add(endpoint string, work, wait time.Duration, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.failed++
		return
	}
	d.byEndpoint[endpoint] += work
	d.requests[endpoint]++
	d.waits = append(d.waits, wait)
}

func (c *imbalanceCommand) report(d *workDone) *measure.Report {
	report := &measure.Report{Title: c.title("balance over endpoints"), Header: []string{"endpoint", "requests", "work ms"}}
	names := make([]string, 0, len(d.byEndpoint))
	var total, most time.Duration
	for name, work := range d.byEndpoint {
		names = append(names, name)
		total += work
		most = max(most, work)
	}
	sort.Strings(names)
	for _, name := range names {
		report.AddRow(name, d.requests[name], d.byEndpoint[name].Milliseconds())
	}
	mean := float64(total) / float64(userPlan().Services[0].Endpoints)
	report.Notes = append(report.Notes,
		fmt.Sprintf("work max/mean: %.2f", float64(most)/mean),
		fmt.Sprintf("wait beyond the work: p50 %s, p99 %s", measure.Percentile(d.waits, 0.5).Round(time.Millisecond), measure.Percentile(d.waits, 0.99).Round(time.Millisecond)),
		fmt.Sprintf("failed: %d", d.failed))
	return report
}
