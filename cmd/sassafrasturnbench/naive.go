package main

import (
	"context"
	"flag"
	"net/netip"

	"github.com/google/subcommands"

	"sassafrasturn.example/internal/standin/endpoint"
	"sassafrasturn.example/internal/standin/naive"
)

// naiveBalancerCommand runs a balancer of the naive baseline.
type naiveBalancerCommand struct {
	listen string
	list   string
}

// Name returns the name of the command.
func (*naiveBalancerCommand) Name() string { return "naive-balancer" }

// Synopsis returns a one-line description of the command.
func (*naiveBalancerCommand) Synopsis() string { return "run a balancer of the naive baseline" }

// Usage returns the help text of the command.
func (*naiveBalancerCommand) Usage() string {
	return "naive-balancer -listen IP:PORT -list FILE\n  Forwards datagrams by the hash of the caller's address modulo the number of\n  endpoints in FILE.\n"
}

// SetFlags declares the flags.
func (c *naiveBalancerCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "", "address at which datagrams are received")
	flags.StringVar(&c.list, "list", "", "file of endpoints, one ip:port per line")
}

// Execute forwards datagrams until the process receives SIGINT or SIGTERM.
func (c *naiveBalancerCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	listen, err := netip.ParseAddrPort(c.listen)
	if err != nil {
		return usage(err)
	}
	balancer, err := naive.Listen(listen, c.list)
	if err != nil {
		return failure(err)
	}
	balancer.Run(ctx)
	return subcommands.ExitSuccess
}

// naiveEndpointCommand runs an endpoint of the naive baseline.
type naiveEndpointCommand struct {
	listen string
	name   string
}

// Name returns the name of the command.
func (*naiveEndpointCommand) Name() string { return "naive-endpoint" }

// Synopsis returns a one-line description of the command.
func (*naiveEndpointCommand) Synopsis() string { return "run an endpoint of the naive baseline" }

// Usage returns the help text of the command.
func (*naiveEndpointCommand) Usage() string {
	return "naive-endpoint -listen IP:PORT -name NAME\n  Serves the stand-in endpoint over HTTP/3, without an agent.\n"
}

// SetFlags declares the flags.
func (c *naiveEndpointCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "", "address at which HTTP/3 is served")
	flags.StringVar(&c.name, "name", "", "name of the endpoint")
}

// Execute serves until the process receives SIGINT or SIGTERM.
func (c *naiveEndpointCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	listen, err := netip.ParseAddrPort(c.listen)
	if err != nil {
		return usage(err)
	}
	if err := naive.ServeHTTP3(ctx, listen, endpoint.New(c.name)); err != nil {
		return failure(err)
	}
	return subcommands.ExitSuccess
}
