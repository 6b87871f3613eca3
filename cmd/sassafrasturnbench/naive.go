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

// Synopsis describes the command in a line.
func (*naiveBalancerCommand) Synopsis() string { return "run a balancer of the naive baseline" }

// Usage describes the command.
func (*naiveBalancerCommand) Usage() string {
	return "naive-balancer -listen IP:PORT -list FILE\n  Relays by hash of the caller modulo the list of endpoints in FILE.\n"
}

// SetFlags declares the flags.
func (c *naiveBalancerCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "", "where to take datagrams")
	flags.StringVar(&c.list, "list", "", "file of endpoints, ip:port a line")
}

// Execute relays until it is told to stop.
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

// Synopsis describes the command in a line.
func (*naiveEndpointCommand) Synopsis() string { return "run an endpoint of the naive baseline" }

// Usage describes the command.
func (*naiveEndpointCommand) Usage() string {
	return "naive-endpoint -listen IP:PORT -name NAME\n  Serves the stand-in endpoint over HTTP/3 itself.\n"
}

// SetFlags declares the flags.
func (c *naiveEndpointCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "", "where to take HTTP/3")
	flags.StringVar(&c.name, "name", "", "name of the endpoint")
}

// Execute serves until it is told to stop.
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
