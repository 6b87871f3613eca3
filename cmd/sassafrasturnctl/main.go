// Command sassafrasturnctl is the operators' tool. It submits service documents, takes
// availability zones out of service and brings them back, manages the control group,
// and shows the state of a cluster.
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
	connection := &connectionFlags{}
	connection.declare(flag.CommandLine)
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&submitCommand{connection: connection}, "documents")
	subcommands.Register(&withdrawCommand{connection: connection}, "documents")
	subcommands.Register(&listCommand{connection: connection}, "documents")
	subcommands.Register(&showCommand{connection: connection}, "documents")
	subcommands.Register(&checkCommand{}, "documents")
	subcommands.Register(&zoneCommand{connection: connection}, "zones")
	subcommands.Register(&controlCommand{connection: connection}, "control")
	subcommands.Register(&endpointsCommand{connection: connection}, "looking")
	subcommands.Register(&statusCommand{connection: connection}, "looking")
	subcommands.Register(&fetchCommand{}, "looking")
	subcommands.Register(&keysCommand{}, "keys")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}
