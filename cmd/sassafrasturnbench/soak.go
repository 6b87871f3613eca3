package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"

	"sassafrasturn.example/internal/harness"
	"sassafrasturn.example/internal/soak"
)

// soakCommand runs seeds of the fault soak.
type soakCommand struct {
	firstSeed  uint64
	count      uint64
	randomSeed bool
	planned    bool
	keep       bool
	seconds    int
	folder     string
	// sites and balancers are how many there are; 0 stands for the usual few.
	sites, balancers int
}

// Name returns the name of the command.
func (*soakCommand) Name() string { return "soak" }

// Synopsis describes the command in a line.
func (*soakCommand) Synopsis() string { return "disturb real processes of the opaque mode by seeds" }

// Usage describes the command.
func (*soakCommand) Usage() string {
	return `soak [-seed N] [-count N] [-fresh] [-planned] [-keep] [-seconds N] [-sites N] [-balancers N] [-folder DIR]
  Runs 14 processes on loopback for each seed, or as many as asked for, disturbs
  them and the links between them, and checks the promises. Logs of seeds that
  fail stay in the folder. Exit code 1 when one fails. Run it in the project's
  folder.
`
}

// SetFlags declares the flags.
func (c *soakCommand) SetFlags(flags *flag.FlagSet) {
	flags.Uint64Var(&c.firstSeed, "seed", 1, "the first seed")
	flags.Uint64Var(&c.count, "count", 1, "how many seeds")
	flags.BoolVar(&c.randomSeed, "fresh", false, "begin at a seed drawn from the time")
	flags.BoolVar(&c.planned, "planned", false, "disturb nothing but by planned change, and allow no flow to break")
	flags.BoolVar(&c.keep, "keep", false, "keep the logs of seeds that pass, too")
	flags.IntVar(&c.seconds, "seconds", 20, "how long faults are injected")
	flags.IntVar(&c.sites, "sites", 0, "how many agents with endpoints, up to 160; a few by default")
	flags.IntVar(&c.balancers, "balancers", 0, "how many balancers, up to 60; a few by default")
	flags.StringVar(&c.folder, "folder", "", "where settings, data and logs go; a temporary folder by default")
}

// Execute runs the seeds.
func (c *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	failed, err := c.runAll(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sassafrasturnbench soak:", err)
		return subcommands.ExitFailure
	}
	if failed > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *soakCommand) runAll(ctx context.Context) (failed int, err error) {
	if c.folder == "" {
		if c.folder, err = os.MkdirTemp("", "sassafrasturn-soak-"); err != nil {
			return 0, err
		}
	}
	binaries, err := harness.Build(".", c.folder)
	if err != nil {
		return 0, err
	}
	if c.randomSeed {
		c.firstSeed = uint64(time.Now().UnixMilli())
	}
	for seed := c.firstSeed; seed < c.firstSeed+c.count && ctx.Err() == nil; seed++ {
		passed, err := c.runOne(ctx, binaries, seed)
		if err != nil {
			return failed, err
		}
		if !passed {
			failed++
		}
	}
	return failed, nil
}

func (c *soakCommand) runOne(ctx context.Context, binaries harness.Binaries, seed uint64) (bool, error) {
	folder := filepath.Join(c.folder, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return false, err
	}
	report, err := soak.Run(ctx, soak.Config{
		Daemon: binaries.Daemon, Folder: folder, Seed: seed, Length: time.Duration(c.seconds) * time.Second,
		Sites: c.sites, Balancers: c.balancers, Planned: c.planned,
	})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d flows served, %d not; %d orders, %d faults; %d violations\n",
		seed, report.Served, report.Unserved, report.Orders, report.Faults, len(report.Violations))
	for _, violation := range report.Violations {
		fmt.Println("   ", violation)
	}
	if len(report.Violations) > 0 {
		fmt.Println("    logs:", folder)
		return false, nil
	}
	if c.keep {
		return true, nil
	}
	return true, os.RemoveAll(folder)
}
