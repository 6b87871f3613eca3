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

// Load of the imbalance measurement.
const (
	balanceCallers  = 140
	balanceTimeout  = 20 * time.Second
	meanThinkTime   = 100 * time.Millisecond
	meanWork        = 12 * time.Millisecond
	workShape       = 1.5
	maxWork         = time.Second
	meanConnection  = 2 * time.Second
	connectionShape = 1.5
	balanceSeed     = 1
	// warmUp is the time before requests are counted, since endpoints start cold.
	warmUp = 10 * time.Second
)

// imbalanceCommand measures how evenly work is distributed over endpoints.
type imbalanceCommand struct {
	measureFlags
}

// Name returns the name of the command.
func (*imbalanceCommand) Name() string { return "imbalance" }

// Synopsis returns a one-line description of the command.
func (*imbalanceCommand) Synopsis() string { return "measure the balance of work over endpoints" }

// Usage returns the help text of the command.
func (*imbalanceCommand) Usage() string {
	return `imbalance [-naive] [-seconds N] [-csv FILE]
  140 callers keep connections open for heavy-tailed durations and send work of
  heavy-tailed duration to 7 endpoints with 5 slots each. After a warm-up of 10 s,
  requests are counted. Reports the requests and the work of each endpoint, the
  max/mean of the work, and the latency beyond the work. Run it in the root folder
  of the project.
`
}

// SetFlags declares the flags.
func (c *imbalanceCommand) SetFlags(flags *flag.FlagSet) {
	c.declare(flags, 20)
}

// Execute runs the measurement.
func (c *imbalanceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(ctx, c.measure)
}

func (c *imbalanceCommand) measure(ctx context.Context, system harness.System) (*measure.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, warmUp+time.Duration(c.seconds)*time.Second)
	defer cancel()
	stats := &balanceStats{countsFrom: time.Now().Add(warmUp), workByEndpoint: make(map[string]time.Duration), requestsByEndpoint: make(map[string]int)}
	var callers sync.WaitGroup
	for i := range balanceCallers {
		random := rand.New(rand.NewPCG(balanceSeed, uint64(i)))
		callers.Go(func() { stats.runCaller(ctx, system, random) })
	}
	callers.Wait()
	return c.report(stats), nil
}

// pareto draws a duration from a Pareto distribution with the given mean and shape,
// cut off at limit.
func pareto(random *rand.Rand, mean time.Duration, shape float64, limit time.Duration) time.Duration {
	minimum := float64(mean) * (shape - 1) / shape
	drawn := minimum / math.Pow(1-random.Float64(), 1/shape)
	return min(time.Duration(drawn), limit)
}

// balanceStats records the work of each endpoint and how long callers waited beyond
// it, for requests that began after countsFrom.
type balanceStats struct {
	countsFrom time.Time

	mu                 sync.Mutex
	workByEndpoint     map[string]time.Duration
	requestsByEndpoint map[string]int
	waits              []time.Duration
	failed             int
}

// runCaller sends work over one connection after another until ctx ends.
func (s *balanceStats) runCaller(ctx context.Context, system harness.System, random *rand.Rand) {
	for ctx.Err() == nil {
		client, connections := measure.NewClient(balanceTimeout)
		until := time.Now().Add(pareto(random, meanConnection, connectionShape, time.Minute))
		for ctx.Err() == nil && time.Now().Before(until) {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(meanThinkTime)))
			work := pareto(random, meanWork, workShape, maxWork)
			began := time.Now()
			name, err := measure.FetchName(context.WithoutCancel(ctx), client, system.URL(largeService, fmt.Sprintf("/work?time=%s", work)))
			if began.After(s.countsFrom) {
				s.add(name, work, time.Since(began)-work, err)
			}
		}
		connections.Close()
	}
}

func (s *balanceStats) add(endpoint string, work, wait time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failed++
		return
	}
	s.workByEndpoint[endpoint] += work
	s.requestsByEndpoint[endpoint]++
	s.waits = append(s.waits, wait)
}

func (c *imbalanceCommand) report(s *balanceStats) *measure.Report {
	report := &measure.Report{Title: c.title("balance over endpoints"), Header: []string{"endpoint", "requests", "work ms"}}
	names := make([]string, 0, len(s.workByEndpoint))
	var total, most time.Duration
	for name, work := range s.workByEndpoint {
		names = append(names, name)
		total += work
		most = max(most, work)
	}
	sort.Strings(names)
	for _, name := range names {
		report.AddRow(name, s.requestsByEndpoint[name], s.workByEndpoint[name].Milliseconds())
	}
	mean := float64(total) / float64(referencePlan().Services[0].Endpoints)
	report.Notes = append(report.Notes,
		fmt.Sprintf("work max/mean: %.2f", float64(most)/mean),
		fmt.Sprintf("wait beyond the work: p50 %s, p99 %s", measure.Percentile(s.waits, 0.5).Round(time.Millisecond), measure.Percentile(s.waits, 0.99).Round(time.Millisecond)),
		fmt.Sprintf("failed: %d", s.failed))
	return report
}
