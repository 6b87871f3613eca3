package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"sassafrasturn.example/internal/machine/agent"
	"sassafrasturn.example/internal/machine/sample"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/standin/endpoint"
	"sassafrasturn.example/internal/standin/fabric"
)

// fabricCommand runs the stand-in for the fabric.
type fabricCommand struct {
	listen  string
	targets string
}

// Name returns the name of the command.
func (*fabricCommand) Name() string { return "fabric" }

// Synopsis describes the command in a line.
func (*fabricCommand) Synopsis() string {
	return "run the stand-in for the fabric at one service address"
}

// Usage describes the command.
func (*fabricCommand) Usage() string {
	return `fabric -listen IP:PORT -targets IP:PORT[=HEALTH-URL],...
  Hands every datagram that arrives at -listen to a healthy target chosen at random.
`
}

// SetFlags declares the flags.
func (c *fabricCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "", "the service address")
	flags.StringVar(&c.targets, "targets", "", "balancers' addresses, each with an optional health URL")
}

// Execute sprays until it is told to stop.
func (c *fabricCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	listen, err := netip.ParseAddrPort(c.listen)
	if err != nil {
		return usage(err)
	}
	targets, err := parseTargets(c.targets)
	if err != nil {
		return usage(err)
	}
	f, err := fabric.Listen(listen, targets)
	if err != nil {
		return failure(err)
	}
	f.Run(ctx)
	return subcommands.ExitSuccess
}

func parseTargets(text string) ([]fabric.Target, error) {
	var targets []fabric.Target
	for _, item := range strings.Split(text, ",") {
		address, health, _ := strings.Cut(item, "=")
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		targets = append(targets, fabric.Target{Address: parsed, Health: health})
	}
	return targets, nil
}

func usage(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "sassafrasturnbench:", err)
	return subcommands.ExitUsageError
}

func failure(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "sassafrasturnbench:", err)
	return subcommands.ExitFailure
}

// endpointCommand runs the stand-in for an endpoint.
type endpointCommand struct {
	listen   string
	announce string
	service  string
	name     string
	slots    int
}

// Name returns the name of the command.
func (*endpointCommand) Name() string { return "endpoint" }

// Synopsis describes the command in a line.
func (*endpointCommand) Synopsis() string { return "run the stand-in for an endpoint" }

// Usage describes the command.
func (*endpointCommand) Usage() string {
	return `endpoint -listen IP:PORT -announce IP:PORT -service NAME -name NAME
  Serves downloads, event streams and orders, and announces itself to the agent.
`
}

// SetFlags declares the flags.
func (c *endpointCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "", "where to take plain HTTP")
	flags.StringVar(&c.announce, "announce", "", "announce address of the agent")
	flags.StringVar(&c.service, "service", "", "name of the service")
	flags.StringVar(&c.name, "name", "", "name of the endpoint")
	flags.IntVar(&c.slots, "slots", 0, "requests at a time; 0 for the document's")
}

// announceInterval separates announcements; a restarted agent hears the next one.
const announceInterval = 500 * time.Millisecond

// Execute serves until it is told to stop.
func (c *endpointCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	listener, err := net.Listen("tcp", c.listen)
	if err != nil {
		return failure(err)
	}
	server := &http.Server{Handler: endpoint.New(c.name)}
	context.AfterFunc(ctx, func() { server.Close() })
	go c.announceAlways(ctx)
	if err := server.Serve(listener); ctx.Err() == nil {
		return failure(err)
	}
	return subcommands.ExitSuccess
}

func (c *endpointCommand) announceAlways(ctx context.Context) {
	announcement := &agent.Announcement{Service: c.service, Address: c.listen, Slots: c.slots, Process: sample.ProcessIdentity()}
	for ctx.Err() == nil {
		// The agent may not be up; the next announcement reaches it.
		_ = sample.Announce(ctx, c.announce, announcement)
		pause.For(ctx, announceInterval)
	}
}
