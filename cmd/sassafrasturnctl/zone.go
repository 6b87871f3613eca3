package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sort"
	"text/tabwriter"

	"github.com/google/subcommands"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

// zoneCommand lists availability zones, takes them out of service and brings them back.
type zoneCommand struct {
	connection *connectionFlags
	id         string
	isWaiting  bool
}

// Name returns the name of the command.
func (*zoneCommand) Name() string { return "zone" }

// Synopsis describes the command in a line.
func (*zoneCommand) Synopsis() string {
	return "list availability zones, take one out of service or bring it back"
}

// Usage describes the command.
func (*zoneCommand) Usage() string {
	return `zone list
zone [-id SUBMISSION] [-wait] out ZONE
zone [-id SUBMISSION] [-wait] in ZONE
  Lists the availability zones, takes one out of service or brings it back.
  Flows to endpoints in a zone that is taken out are closed. With -wait, waits
  until the change is in force at all instances, and fails if some do not confirm
  in time.
`
}

// SetFlags declares the flags.
func (c *zoneCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.id, "id", "", "submission ID; a random one when empty")
	flags.BoolVar(&c.isWaiting, "wait", false, "wait until the change is in force at all instances")
}

// Execute changes or lists zones.
func (c *zoneCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch {
	case flags.Arg(0) == "list" && flags.NArg() == 1:
		return c.list(ctx)
	case flags.Arg(0) == "out" && flags.NArg() == 2:
		return c.set(ctx, flags.Arg(1), true)
	case flags.Arg(0) == "in" && flags.NArg() == 2:
		return c.set(ctx, flags.Arg(1), false)
	}
	return usageError("zone needs list, out ZONE or in ZONE")
}

func (c *zoneCommand) set(ctx context.Context, name string, isOut bool) subcommands.ExitStatus {
	result, err := c.connection.propose(ctx, &wire.Command{
		SubmissionId: c.id,
		Body:         &wire.Command_SetZone{SetZone: &wire.SetZone{Name: name, Out: isOut}},
	})
	if err != nil {
		return fail(err)
	}
	if result.GetOutcome() != wire.CommandResult_OUTCOME_ACCEPTED {
		return fail(errors.New(result.GetFindings()))
	}
	fmt.Printf("zone %s: %s, in force from index %d\n", name, zoneState(isOut), result.Index)
	if !c.isWaiting {
		return subcommands.ExitSuccess
	}
	if err := c.connection.waitInForce(ctx, change{wire.Record_KIND_ZONE, name, result.Index}); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func zoneState(isOut bool) string {
	if isOut {
		return "out"
	}
	return "in"
}

func (c *zoneCommand) list(ctx context.Context) subcommands.ExitStatus {
	records, err := c.connection.list(ctx, wire.Record_KIND_ZONE)
	if err != nil {
		return fail(err)
	}
	sort.Slice(records, func(a, b int) bool { return records[a].Key < records[b].Key })
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tSTATE\tINDEX")
	for _, record := range records {
		zone := new(wire.Zone)
		if err := proto.Unmarshal(record.Value, zone); err != nil {
			return fail(err)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\n", zone.Name, zoneState(zone.Out), record.Major)
	}
	table.Flush()
	return subcommands.ExitSuccess
}
