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

// runCommand runs an instance until it receives a signal to stop.
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
  Runs an instance until SIGTERM or Ctrl-C, then drains and stops it. Exit code
  0 after a graceful stop, 1 after a failure, 2 for invalid usage or settings.
`
}

// SetFlags declares the flags.
func (r *runCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&r.settingsPath, "settings", "", "path of the INI settings file")
	flags.BoolVar(&r.usePlatform, "platform", false, "read the settings file of the users' platform, whose path is in the environment variable "+platform.ConfigEnv)
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

// path returns the path of the settings file.
func (r *runCommand) path() string {
	if r.usePlatform {
		return os.Getenv(platform.ConfigEnv)
	}
	return r.settingsPath
}

// load reads the settings file that the flags select.
func (r *runCommand) load() (*settings.Settings, error) {
	switch {
	case r.usePlatform && r.settingsPath != "":
		return nil, errs.New("sassafrasturnd run: --settings and --platform are mutually exclusive")
	case r.usePlatform && os.Getenv(platform.ConfigEnv) == "":
		return nil, errs.New("sassafrasturnd run: --platform requires the path of the settings file in the environment variable %s", platform.ConfigEnv)
	case r.usePlatform:
		return platform.LoadSettings(os.Getenv(platform.ConfigEnv))
	case r.settingsPath == "":
		return nil, errs.New("sassafrasturnd run: --settings is missing; try --settings examples/local.ini")
	}
	return settings.Load(r.settingsPath)
}

func (r *runCommand) runInstance(ctx context.Context, s *settings.Settings) error {
	// With SIGXFSZ ignored, a write beyond a file size limit or quota returns an error
	// and does not end the process.
	signal.Ignore(syscall.SIGXFSZ)
	instance, err := machine.New(s)
	if err != nil {
		return err
	}
	instance.Source = machine.SettingsSource{Path: r.path(), Load: r.load}
	if s.Mode == settings.ModeOpaque {
		err = addOpaqueRole(ctx, instance)
	} else {
		err = addRoles(ctx, instance, s.Role)
	}
	if err != nil {
		return err
	}
	return instance.Run(ctx)
}

// addRoles adds the roles in the order in which they drain: an agent needs the balancer
// until its last response is sent, and both need control.
func addRoles(ctx context.Context, instance *machine.Instance, role settings.Role) error {
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
		c, err := control.New(ctx, instance)
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
