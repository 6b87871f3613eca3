package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"sassafrasturn.example/internal/wire"
)

// controlCommand lists and changes the members of the control group.
type controlCommand struct {
	connection *connectionFlags
}

// Name returns the name of the command.
func (*controlCommand) Name() string { return "control" }

// Synopsis describes the command in a line.
func (*controlCommand) Synopsis() string {
	return "list, add, replace or remove control instances"
}

// Usage describes the command.
func (*controlCommand) Usage() string {
	return `control list
control add ID@IP:PORT
control replace OLD ID@IP:PORT
control remove ID
  Lists the members of the control group or changes it. A new instance must be
  running with an empty data folder and an ID that no member has ever had. It
  becomes a voter once it has caught up. replace then also removes the member
  OLD; use it if the disk of OLD is lost.
`
}

// SetFlags declares no flags.
func (*controlCommand) SetFlags(*flag.FlagSet) {}

// Execute lists or changes the group.
func (c *controlCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	request, err := parseControl(flags.Args())
	if err != nil {
		return usageError(err.Error())
	}
	response, err := c.connection.call(ctx, &wire.Request{Body: &wire.Request_Consensus{Consensus: request}})
	if err != nil {
		return fail(err)
	}
	printGroup(response.GetConsensus().GetGroup())
	return subcommands.ExitSuccess
}

var errControlUsage = errors.New("control needs list, add ID@IP:PORT, replace OLD ID@IP:PORT or remove ID")

func parseControl(args []string) (*wire.ConsensusRequest, error) {
	switch {
	case len(args) == 1 && args[0] == "list":
		return &wire.ConsensusRequest{Body: &wire.ConsensusRequest_List{List: &wire.ListControls{}}}, nil
	case len(args) == 2 && args[0] == "add":
		return parseAdd("0", args[1])
	case len(args) == 3 && args[0] == "replace":
		return parseAdd(args[1], args[2])
	case len(args) == 2 && args[0] == "remove":
		id, err := strconv.ParseUint(args[1], 10, 32)
		if err != nil {
			return nil, fmt.Errorf("ID: found %q, allowed: a whole number, as listed by \"control list\"", args[1])
		}
		return &wire.ConsensusRequest{Body: &wire.ConsensusRequest_Remove{Remove: &wire.RemoveControl{Id: id}}}, nil
	}
	return nil, errControlUsage
}

func parseAdd(old, member string) (*wire.ConsensusRequest, error) {
	replaces, err := strconv.ParseUint(old, 10, 32)
	if err != nil {
		return nil, fmt.Errorf("OLD: found %q, allowed: a whole number, as listed by \"control list\"", old)
	}
	number, address, _ := strings.Cut(member, "@")
	id, err := strconv.ParseUint(number, 10, 32)
	if err != nil || id == 0 || address == "" {
		return nil, fmt.Errorf("member: found %q, allowed: ID@IP:PORT, with a whole number from 1 as the ID", member)
	}
	add := &wire.AddControl{Id: id, Address: address, Replaces: replaces}
	return &wire.ConsensusRequest{Body: &wire.ConsensusRequest_Add{Add: add}}, nil
}

func printGroup(group *wire.ControlGroup) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ID\tLINK\tSTATE\tREPLACES")
	for _, member := range group.GetMembers() {
		state, replaces := "learner", ""
		if member.Voter {
			state = "voter"
		}
		if member.Replaces != 0 {
			replaces = fmt.Sprint(member.Replaces)
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", member.Id, member.Address, state, replaces)
	}
	table.Flush()
}
