package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"sassafrasturn.example/internal/wire"
)

// withdrawCommand withdraws a service.
type withdrawCommand struct {
	connection *connectionFlags
	id         string
	version    uint64
	isWaiting  bool
}

// Name returns the name of the command.
func (*withdrawCommand) Name() string { return "withdraw" }

// Synopsis describes the command in a line.
func (*withdrawCommand) Synopsis() string { return "withdraw a service" }

// Usage describes the command.
func (*withdrawCommand) Usage() string {
	return `withdraw -version N [-id SUBMISSION] [-wait] SERVICE
  Withdraws SERVICE, whose newest version must be N, and frees its address for
  other services. Submitting a document edited from the version of the
  withdrawal brings the service back.
`
}

// SetFlags declares the flags.
func (c *withdrawCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.id, "id", "", "submission ID; a random one when empty")
	flags.Uint64Var(&c.version, "version", 0, "newest version of the service, from list")
	flags.BoolVar(&c.isWaiting, "wait", false, "wait until the withdrawal is in force at all instances")
}

// Execute withdraws the service.
func (c *withdrawCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 || c.version == 0 {
		return usageError("withdraw needs -version N and one SERVICE, in this order")
	}
	result, err := c.connection.propose(ctx, &wire.Command{
		SubmissionId: c.id,
		Body:         &wire.Command_Withdraw{Withdraw: &wire.WithdrawService{Service: flags.Arg(0), Version: c.version}},
	})
	if err != nil {
		return fail(err)
	}
	return c.connection.reportAndWait(ctx, flags.Arg(0), result, c.isWaiting)
}
