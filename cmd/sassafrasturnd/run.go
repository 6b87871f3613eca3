package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/zeebo/errs"

	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/machine/agent"
	"sassafrasturn.example/internal/machine/balancer"
	"sassafrasturn.example/internal/machine/control"
	"sassafrasturn.example/internal/machine/sample"
	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/platform"
)

// runCommand runs an instance until it is told to stop.
type runCommand struct {
	settingsPath string
	usePlatform  bool
}

// Name returns the name of the command.
func (*runCommand) Name() string { return "run" }

// Synopsis describes the command in a line.
func (*runCommand) Synopsis() string { return "run an instance from its settings file" }

// Usage describes the command.
func (*runCommand) Usage() string {
	return `run --settings FILE | run --platform
  Runs an instance until SIGTERM or Ctrl-C; then it finishes what is in flight
  and stops. Exit code 0 after a graceful stop, 1 after a failure, 2 for wrong
  usage or settings.
`
}

// SetFlags declares the flags.
func (r *runCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&r.settingsPath, "settings", "", "path of the INI settings file")
	flags.BoolVar(&r.usePlatform, "platform", false, "take the settings from the users' platform, by the variable "+platform.ConfigEnv)
}

// Execute runs the instance.
func (r *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, err := r.load()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if err := r.runInstance(ctx, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// path returns where the settings file is.
func (r *runCommand) path() string {
	if r.usePlatform {
		return os.Getenv(platform.ConfigEnv)
	}
	return r.settingsPath
}

// load reads the settings from the one place that the flags name.
func (r *runCommand) load() (*settings.Settings, error) {
	switch {
	case r.usePlatform && r.settingsPath != "":
		return nil, errs.New("sassafrasturnd run: --settings and --platform exclude each other")
	case r.usePlatform && os.Getenv(platform.ConfigEnv) == "":
		return nil, errs.New("sassafrasturnd run: --platform needs the path of the settings file in %s", platform.ConfigEnv)
	case r.usePlatform:
		return platform.LoadSettings(os.Getenv(platform.ConfigEnv))
	case r.settingsPath == "":
		return nil, errs.New("sassafrasturnd run: --settings is missing; try --settings examples/local.ini")
	}
	return settings.Load(r.settingsPath)
}

func (r *runCommand) runInstance(ctx context.Context, s *settings.Settings) error {
	// A limit on the size of files, or a quota, shows as a write that fails.
	signal.Ignore(syscall.SIGXFSZ)
	instance, err := machine.New(s)
	if err != nil {
		return err
	}
	instance.Source = machine.SettingsSource{Path: r.path(), Load: r.load}
	if s.Mode == settings.ModeOpaque {
		err = addOpaqueRole(ctx, instance)
	} else {
		err = addRoles(instance, s.Role)
	}
	if err != nil {
		return err
	}
	return instance.Run(ctx)
}

// addRoles adds the roles in the order in which they drain: an agent needs the
// balancer until its last answer is out, and both need control.
func addRoles(instance *machine.Instance, role settings.Role) error {
	isAll := role == settings.RoleAll
	if isAll || role == settings.RoleAgent {
		a, err := agent.New(instance)
		if err != nil {
			return err
		}
		instance.AddRole(a)
	}
	if isAll || role == settings.RoleBalancer {
		b, err := balancer.New(instance)
		if err != nil {
			return err
		}
		instance.AddRole(b)
	}
	if isAll || role == settings.RoleControl {
		c, err := control.New(instance)
		if err != nil {
			return err
		}
		instance.AddRole(c)
	}
	if isAll {
		instance.AddRole(sample.New(instance))
	}
	return nil
}
