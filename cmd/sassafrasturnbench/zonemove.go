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
)

// Load of the zone-move measurement. In a measurement of the default duration, which
// is zoneMoveSeconds, the zone leaves at zoneOutSecond and returns at zoneInSecond.
// For other durations both times are scaled in proportion.
const (
	zoneCallers      = 60
	zoneCallInterval = 50 * time.Millisecond
	zoneCallTimeout  = 2 * time.Second
	movedZone        = "b"
	zoneOutSecond    = 5
	zoneInSecond     = 15
	zoneMoveSeconds  = 25
)

// zoneMoveCommand measures the success rate and the latency of requests while an
// availability zone leaves and returns.
type zoneMoveCommand struct {
	measureFlags
}

// Name returns the name of the command.
func (*zoneMoveCommand) Name() string { return "zone-move" }

// Synopsis returns a one-line description of the command.
func (*zoneMoveCommand) Synopsis() string {
	return "measure requests while an availability zone leaves and returns"
}

// Usage returns the help text of the command.
func (*zoneMoveCommand) Usage() string {
	return `zone-move [-naive] [-seconds N] [-csv FILE]
  Each of 60 callers sends a request every 50 ms with a timeout of 2 s. One of three
  zones leaves after a fifth of the time and returns after three fifths. Reports the
  success rate and the p99 latency of each second. Run it in the root folder of the
  project.
`
}

// SetFlags declares the flags.
func (c *zoneMoveCommand) SetFlags(flags *flag.FlagSet) {
	c.declare(flags, zoneMoveSeconds)
}

// Execute runs the measurement.
func (c *zoneMoveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(ctx, c.measure)
}

func (c *zoneMoveCommand) measure(ctx context.Context, system harness.System) (*measure.Report, error) {
	length := time.Duration(c.seconds) * time.Second
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	series := measure.NewSeries(time.Now())
	var callers sync.WaitGroup
	for range zoneCallers {
		callers.Go(func() { callRepeatedly(ctx, system.URL(largeService, "/name"), series) })
	}
	outAt := length * zoneOutSecond / zoneMoveSeconds
	inAt := length * zoneInSecond / zoneMoveSeconds
	time.Sleep(outAt)
	if err := system.EvacuateZone(movedZone); err != nil {
		return nil, err
	}
	time.Sleep(inAt - outAt)
	if err := system.RestoreZone(movedZone); err != nil {
		return nil, err
	}
	callers.Wait()
	return c.report(series, outAt, inAt), nil
}

func (c *zoneMoveCommand) report(series *measure.Series, outAt, inAt time.Duration) *measure.Report {
	report := &measure.Report{Title: c.title("service during a zone move"), Header: []string{"second", "succeeded", "failed", "success rate", "p99 ms"}}
	succeeded, failed := 0, 0
	for _, second := range series.PerSecond() {
		report.AddRow(second.Second, second.Succeeded, second.Failed, fmt.Sprintf("%.4f", second.SuccessRate()), second.P99.Milliseconds())
		succeeded += second.Succeeded
		failed += second.Failed
	}
	report.Notes = append(report.Notes,
		fmt.Sprintf("zone %s left after %s and returned after %s", movedZone, outAt, inAt),
		fmt.Sprintf("total: %d succeeded, %d failed", succeeded, failed))
	return report
}

// callRepeatedly sends requests at a fixed rate until ctx ends. The next request is
// sent only after the previous one has completed, as with a person who waits.
func callRepeatedly(ctx context.Context, url string, series *measure.Series) {
	client, connections := measure.NewClient(zoneCallTimeout)
	defer connections.Close()
	ticker := time.NewTicker(zoneCallInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		began := time.Now()
		_, err := measure.FetchName(context.WithoutCancel(ctx), client, url)
		series.Add(began, time.Since(began), err)
	}
}
