package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"sassafrasturn.example/internal/harness"
	"sassafrasturn.example/internal/measure"
)

// measureFlags are the flags that the measurements share.
type measureFlags struct {
	isNaive bool
	seconds int
	csvPath string
}

func (f *measureFlags) declare(flags *flag.FlagSet, seconds int) {
	flags.BoolVar(&f.isNaive, "naive", false, "measure the naive baseline")
	flags.IntVar(&f.seconds, "seconds", seconds, "duration of the measurement in seconds")
	flags.StringVar(&f.csvPath, "csv", "", "also write the report to this CSV file")
}

func (f *measureFlags) title(text string) string {
	if f.isNaive {
		return text + ", naive baseline"
	}
	return text + ", sassafrasturn"
}

// Services of the reference plan, with the sizes of users' deployments.
const (
	largeService = "order-desk"
	smallService = "drawings"
)

// referencePlan returns the plan of a user's deployment: three zones, two services
// with 7 and 3 endpoints, and three balancers.
func referencePlan() harness.Plan {
	const extra = "\n[requests]\nnon_idempotent = POST /orders\nstreaming = GET /board, GET /drawings/*\n\n[limits]\nqueue = 1000\n"
	return harness.Plan{
		Controls:  3,
		Balancers: 3,
		Zones:     []string{"a", "b", "c"},
		Services: []harness.ServicePlan{
			{Name: largeService, Port: 8443, Endpoints: 7, Extra: extra},
			{Name: smallService, Port: 8444, Endpoints: 3, Extra: extra},
		},
	}
}

// buildPrograms builds the programs into a new temporary folder and returns them and
// the folder.
func buildPrograms() (harness.Binaries, string, error) {
	folder, err := os.MkdirTemp("", "sassafrasturn-measure-")
	if err != nil {
		return harness.Binaries{}, "", err
	}
	binaries, err := harness.Build(".", folder)
	return binaries, folder, err
}

// startSystem starts sassafrasturn or, with -naive, the naive baseline. The returned
// function stops it and removes its folder.
func (f *measureFlags) startSystem() (harness.System, func(), error) {
	if !f.isNaive {
		return startCluster(referencePlan())
	}
	binaries, folder, err := buildPrograms()
	if err != nil {
		return nil, nil, err
	}
	system, err := harness.StartNaive(binaries, folder, referencePlan())
	return system, cleanup(system, folder), err
}

func startCluster(plan harness.Plan) (*harness.Cluster, func(), error) {
	binaries, folder, err := buildPrograms()
	if err != nil {
		return nil, nil, err
	}
	cluster, err := harness.Start(binaries, folder, plan)
	return cluster, cleanup(cluster, folder), err
}

// cleanup returns a function that stops the system and removes its folder.
func cleanup(system harness.System, folder string) func() {
	return func() {
		system.Close()
		os.RemoveAll(folder)
	}
}

// run starts the system, measures it and writes the report.
func (f *measureFlags) run(ctx context.Context, measureSystem func(context.Context, harness.System) (*measure.Report, error)) subcommands.ExitStatus {
	system, end, err := f.startSystem()
	if err != nil {
		return failure(err)
	}
	defer end()
	report, err := measureSystem(ctx, system)
	if err != nil {
		return failure(err)
	}
	if err := f.write(report); err != nil {
		return failure(err)
	}
	return subcommands.ExitSuccess
}

func (f *measureFlags) write(report *measure.Report) error {
	if err := report.WriteText(os.Stdout); err != nil {
		return err
	}
	return writeFile(f.csvPath, report.WriteCSV)
}
