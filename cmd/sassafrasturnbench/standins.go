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

// Synopsis returns a one-line description of the command.
func (*fabricCommand) Synopsis() string {
	return "run the stand-in for the fabric at one service address"
}

// Usage returns the help text of the command.
func (*fabricCommand) Usage() string {
	return `fabric -listen IP:PORT -targets IP:PORT[=HEALTH-URL],...
  Forwards each datagram that arrives at -listen to a healthy target chosen at random.
`
}

// SetFlags declares the flags.
func (c *fabricCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "", "the service address")
	flags.StringVar(&c.targets, "targets", "", "addresses of the balancers, each with an optional health URL")
}

// Execute forwards datagrams until the process receives SIGINT or SIGTERM.
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
		targets = append(targets, fabric.Target{Address: parsed, HealthURL: health})
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

// Synopsis returns a one-line description of the command.
func (*endpointCommand) Synopsis() string { return "run the stand-in for an endpoint" }

// Usage returns the help text of the command.
func (*endpointCommand) Usage() string {
	return `endpoint -listen IP:PORT -announce IP:PORT -service NAME -name NAME
  Serves downloads, event streams and orders, and announces itself to an agent.
`
}

// SetFlags declares the flags.
func (c *endpointCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "", "address at which plain HTTP is served")
	flags.StringVar(&c.announce, "announce", "", "address at which the agent receives announcements")
	flags.StringVar(&c.service, "service", "", "name of the service")
	flags.StringVar(&c.name, "name", "", "name of the endpoint")
	flags.IntVar(&c.slots, "slots", 0, "number of concurrent requests; 0 for the number in the service document")
}

// announceInterval is the time between announcements. It bounds how long a restarted
// agent lacks the endpoint.
const announceInterval = 500 * time.Millisecond

// Execute serves until the process receives SIGINT or SIGTERM.
func (c *endpointCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	listener, err := net.Listen("tcp", c.listen)
	if err != nil {
		return failure(err)
	}
	server := &http.Server{Handler: endpoint.New(c.name)}
	context.AfterFunc(ctx, func() { server.Close() })
	go c.announcePeriodically(ctx)
	if err := server.Serve(listener); ctx.Err() == nil {
		return failure(err)
	}
	return subcommands.ExitSuccess
}

func (c *endpointCommand) announcePeriodically(ctx context.Context) {
	announcement := &agent.Announcement{Service: c.service, Address: c.listen, Slots: c.slots, Process: sample.ProcessIdentity()}
	for ctx.Err() == nil {
		// The agent may not be running; a later announcement reaches it.
		_ = sample.Announce(ctx, c.announce, announcement)
		pause.For(ctx, announceInterval)
	}
}
