// Command sassafrasturnbench is the load and experiment tool of sassafrasturn. It
// also runs stand-ins for the system's environment: the fabric and the endpoints.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&fabricCommand{}, "stand-ins")
	subcommands.Register(&endpointCommand{}, "stand-ins")
	subcommands.Register(&naiveBalancerCommand{}, "stand-ins")
	subcommands.Register(&naiveEndpointCommand{}, "stand-ins")
	subcommands.Register(&brokenFlowsCommand{}, "measures")
	subcommands.Register(&imbalanceCommand{}, "measures")
	subcommands.Register(&zoneMoveCommand{}, "measures")
	subcommands.Register(&slopesCommand{}, "measures")
	subcommands.Register(&emulateCommand{}, "measures")
	subcommands.Register(&soakCommand{}, "measures")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}
