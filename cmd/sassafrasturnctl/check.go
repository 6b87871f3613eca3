package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"sassafrasturn.example/internal/contract"
	"sassafrasturn.example/internal/settings"
)

// checkCommand validates files without a daemon.
type checkCommand struct {
	isSettings bool
}

// Name returns the name of the command.
func (*checkCommand) Name() string { return "check" }

// Synopsis describes the command in a line.
func (*checkCommand) Synopsis() string { return "check a service document or a settings file" }

// Usage describes the command.
func (*checkCommand) Usage() string {
	return `check [-settings] FILE...
  Checks service documents, or settings files with -settings, without a daemon
  and prints all findings. Exit code 2 when there are any.
`
}

// SetFlags declares the flags.
func (c *checkCommand) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&c.isSettings, "settings", false, "the files are settings files")
}

// Execute checks the files.
func (c *checkCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() == 0 {
		return usageError("check needs a FILE")
	}
	status := subcommands.ExitSuccess
	for _, path := range flags.Args() {
		if err := c.checkFile(path); err != nil {
			fmt.Fprintln(os.Stderr, err)
			status = subcommands.ExitUsageError
			continue
		}
		fmt.Printf("%s: no findings\n", path)
	}
	return status
}

func (c *checkCommand) checkFile(path string) error {
	if c.isSettings {
		_, err := settings.Load(path)
		return err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	_, err = contract.Parse(path, data)
	return err
}
