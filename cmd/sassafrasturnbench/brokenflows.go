package main

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"time"

	"github.com/google/subcommands"
	"sassafrasturn.example/internal/harness"
	"sassafrasturn.example/internal/measure"
	"sassafrasturn.example/internal/pause"
)

// Load and churn of the broken-flows measurement.
const (
	flowsPerKind         = 40
	drawingChunkBytes    = 16 << 10
	drawingChunkInterval = 50 * time.Millisecond
	eventInterval        = 100 * time.Millisecond
	balancerInterval     = 500 * time.Millisecond
	endpointInterval     = 3 * time.Second
	// flowGrace is how much longer than its planned duration a flow may take.
	flowGrace = 60 * time.Second
)

// brokenFlowsCommand measures broken flows under churn.
type brokenFlowsCommand struct {
	measureFlags
}

// Name returns the name of the command.
func (*brokenFlowsCommand) Name() string { return "broken-flows" }

// Synopsis returns a one-line description of the command.
func (*brokenFlowsCommand) Synopsis() string {
	return "measure broken flows while balancers are killed and endpoints drain"
}

// Usage returns the help text of the command.
func (*brokenFlowsCommand) Usage() string {
	return `broken-flows [-naive] [-seconds N] [-csv FILE]
  Runs downloads and event streams of N seconds and checks every byte. Meanwhile
  a balancer is killed and replaced every 500 ms, and an endpoint is drained and
  restarted every 3 s. Run it in the root folder of the project.
`
}

// SetFlags declares the flags.
func (c *brokenFlowsCommand) SetFlags(flags *flag.FlagSet) {
	c.declare(flags, 20)
}

// Execute runs the measurement.
func (c *brokenFlowsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(ctx, c.measure)
}

func (c *brokenFlowsCommand) measure(ctx context.Context, system harness.System) (*measure.Report, error) {
	tally := measure.NewTally()
	flows := c.startFlows(ctx, system, tally)
	churnCtx, stopChurn := context.WithCancel(ctx)
	churn := &churn{system: system, length: time.Duration(c.seconds) * time.Second}
	churnDone := make(chan error, 1)
	go func() { churnDone <- churn.run(churnCtx) }()
	flows.Wait()
	stopChurn()
	if err := <-churnDone; err != nil {
		return nil, err
	}
	report := &measure.Report{Title: c.title("broken flows"), Header: []string{"kind", "flows", "broken"}}
	for _, count := range tally.Counts() {
		report.AddRow(count.Kind, count.Flows, count.Broken)
		if count.Broken > 0 {
			report.Notes = append(report.Notes, "first broken "+count.Kind+": "+count.FirstError)
		}
	}
	report.Notes = append(report.Notes, fmt.Sprintf("%d balancers killed, %d endpoints drained in %d s", churn.balancers, churn.endpoints, c.seconds))
	return report, nil
}

func (c *brokenFlowsCommand) startFlows(ctx context.Context, system harness.System, tally *measure.Tally) *sync.WaitGroup {
	length := time.Duration(c.seconds) * time.Second
	size := int(length/drawingChunkInterval) * drawingChunkBytes
	events := int(length / eventInterval)
	drawing := system.URL(smallService, fmt.Sprintf("/drawings/%d?pace=%s", size, drawingChunkInterval))
	board := system.URL(largeService, fmt.Sprintf("/board?every=%s&count=%d", eventInterval, events))
	var flows sync.WaitGroup
	for range flowsPerKind {
		flows.Go(func() {
			client, connections := measure.NewClient(length + flowGrace)
			defer connections.Close()
			tally.Add("download", measure.Download(ctx, client, drawing, size))
		})
		flows.Go(func() {
			client, connections := measure.NewClient(length + flowGrace)
			defer connections.Close()
			tally.Add("board", measure.ReadEventStream(ctx, client, board, events))
		})
	}
	return &flows
}

// churn replaces balancers and restarts endpoints, one after another, until the
// flows have ended.
type churn struct {
	system    harness.System
	length    time.Duration
	balancers int
	endpoints int
}

func (c *churn) run(ctx context.Context) error {
	plan := referencePlan()
	restarts := make(chan error, int(c.length/endpointInterval)+1)
	began := time.Now()
	for ctx.Err() == nil {
		pause.For(ctx, balancerInterval)
		if err := c.system.ReplaceBalancer(c.balancers % plan.Balancers); err != nil {
			return err
		}
		c.balancers++
		isDue := time.Since(began) >= time.Duration(c.endpoints+1)*endpointInterval
		if isDue && c.endpoints < plan.Services[0].Endpoints {
			i := c.endpoints
			c.endpoints++
			go func() { restarts <- c.system.RestartEndpoint(largeService, i) }()
		}
	}
	return c.waitForRestarts(restarts)
}

// waitForRestarts waits for the restarts, which finish when their endpoints have
// drained, and returns the first error.
func (c *churn) waitForRestarts(restarts <-chan error) error {
	for range c.endpoints {
		select {
		case err := <-restarts:
			if err != nil {
				return err
			}
		case <-time.After(flowGrace):
			return fmt.Errorf("waiting for endpoint restarts: an endpoint is still draining %s after the last flow", flowGrace)
		}
	}
	return nil
}
