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
	// against is the operator address of a control instance, and format that of the findings.
	// Both are for desired states only.
	against, format string
}

// Name returns the name of the command.
func (*checkCommand) Name() string { return "check" }

// Synopsis describes the command in a line.
func (*checkCommand) Synopsis() string {
	return "check a service document, a desired state or a settings file"
}

// Usage describes the command.
func (*checkCommand) Usage() string {
	return `check FILE [-against HOST:PORT] [-format text|json]
  Checks a desired state, a JSON object as sent to /Config.Replace, and lists
  errors, entries without effect, contradictions, and with -against what differs
  from the version in force at that control instance. It changes nothing. Exit
  code 0 without findings, 1 with findings, 2 if the file or the version in
  force cannot be read.
check [-settings] FILE...
  Checks service documents, or settings files with -settings, without a daemon
  and prints all findings. Exit code 2 when there are any.
`
}

// SetFlags declares the flags.
func (c *checkCommand) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&c.isSettings, "settings", false, "the files are settings files")
	flags.StringVar(&c.against, "against", "", "operator address of a control instance, whose desired state FILE is compared with")
	flags.StringVar(&c.format, "format", "", "format of the findings in a desired state, text or json")
}

// Execute checks the files.
func (c *checkCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	paths, err := parseInterleaved(flags)
	if err != nil {
		return usageError(err.Error())
	}
	if len(paths) == 0 {
		return usageError("check needs a FILE")
	}
	if !c.isSettings && (c.against != "" || c.format != "" || isDesiredState(paths[0])) {
		if len(paths) > 1 {
			return usageError("check needs one FILE if it is a desired state")
		}
		return c.checkState(ctx, paths[0], os.Stdout)
	}
	status := subcommands.ExitSuccess
	for _, path := range paths {
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
