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

// soakCommand runs the soak test with injected faults, seed by seed.
type soakCommand struct {
	firstSeed    uint64
	count        uint64
	seedFromTime bool
	planned      bool
	keep         bool
	seconds      int
	folder       string
	// sites and balancers are the numbers of agents and balancers; 0 means the small
	// default number.
	sites, balancers int
}

// Name returns the name of the command.
func (*soakCommand) Name() string { return "soak" }

// Synopsis returns a one-line description of the command.
func (*soakCommand) Synopsis() string {
	return "run the soak test: inject faults into real processes of the opaque mode"
}

// Usage returns the help text of the command.
func (*soakCommand) Usage() string {
	return `soak [-seed N] [-count N] [-fresh] [-planned] [-keep] [-seconds N] [-sites N] [-balancers N] [-folder DIR]
  For each seed, runs 14 processes on loopback, or as many as -sites and -balancers
  require, injects faults into them and into the links between them, and checks the
  guarantees. The logs of failed seeds stay in the folder. The exit code is 1 if a
  seed fails. Run it in the root folder of the project.
`
}

// SetFlags declares the flags.
func (c *soakCommand) SetFlags(flags *flag.FlagSet) {
	flags.Uint64Var(&c.firstSeed, "seed", 1, "the first seed")
	flags.Uint64Var(&c.count, "count", 1, "number of seeds")
	flags.BoolVar(&c.seedFromTime, "fresh", false, "take the first seed from the current time")
	flags.BoolVar(&c.planned, "planned", false, "make planned changes only, inject no faults, and allow no flow to break")
	flags.BoolVar(&c.keep, "keep", false, "also keep the logs of seeds that pass")
	flags.IntVar(&c.seconds, "seconds", 20, "for how many seconds faults are injected")
	flags.IntVar(&c.sites, "sites", 0, "number of agents with endpoints, up to 160; 0 for a small default")
	flags.IntVar(&c.balancers, "balancers", 0, "number of balancers, up to 60; 0 for a small default")
	flags.StringVar(&c.folder, "folder", "", "folder for settings, data and logs; a temporary folder by default")
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
	if c.seedFromTime {
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
		Daemon: binaries.Daemon, Folder: folder, Seed: seed, Duration: time.Duration(c.seconds) * time.Second,
		Agents: c.sites, Balancers: c.balancers, PlannedOnly: c.planned,
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
