package main

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"os"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"google.golang.org/protobuf/proto"
	"sassafrasturn.example/internal/contract"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/wire"
)

// submitCommand submits a service document.
type submitCommand struct {
	connection *connectionFlags
	id         string
	isWaiting  bool
}

// Name returns the name of the command.
func (*submitCommand) Name() string { return "submit" }

// Synopsis describes the command in a line.
func (*submitCommand) Synopsis() string { return "submit a service document" }

// Usage describes the command.
func (*submitCommand) Usage() string {
	return `submit [-id SUBMISSION] [-wait] FILE
  Submits the service document in FILE. Its version key must name the version
  that it was edited from. Submitting again with the same -id returns the first
  result. With -wait, waits until the document is in force at all instances, and
  fails if some do not confirm in time.
`
}

// SetFlags declares the flags.
func (c *submitCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.id, "id", "", "submission ID; a random one when empty")
	flags.BoolVar(&c.isWaiting, "wait", false, "wait until the document is in force at all instances")
}

// Execute submits the document.
func (c *submitCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		return usageError("submit needs one FILE")
	}
	data, err := os.ReadFile(flags.Arg(0))
	if err != nil {
		return fail(err)
	}
	doc, err := contract.Parse(flags.Arg(0), data)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	result, err := c.connection.propose(ctx, &wire.Command{
		SubmissionId: c.id,
		Body:         &wire.Command_Submit{Submit: &wire.SubmitDocument{Document: data, File: flags.Arg(0)}},
	})
	if err != nil {
		return fail(err)
	}
	return c.connection.reportAndWait(ctx, doc.Service, result, c.isWaiting)
}

// reportAndWait prints the result of a submission and, if isWaiting is set, waits until
// the change of the service is in force.
func (f *connectionFlags) reportAndWait(ctx context.Context, service string, result *wire.CommandResult, isWaiting bool) subcommands.ExitStatus {
	status := printSubmission(result)
	if status != subcommands.ExitSuccess || !isWaiting {
		return status
	}
	if err := f.waitInForce(ctx, change{wire.Record_KIND_SERVICE, service, result.Index}); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

const proposeRetryInterval = 200 * time.Millisecond

// propose sends a command and retries it until a control instance responds or the
// timeout expires. Retries are safe because a submission ID is applied only once.
func (f *connectionFlags) propose(ctx context.Context, command *wire.Command) (*wire.CommandResult, error) {
	if command.SubmissionId == "" {
		command.SubmissionId = rand.Text()
	}
	ctx, cancel := context.WithTimeout(ctx, f.totalTimeout)
	defer cancel()
	request := &wire.Request{Body: &wire.Request_Command{Command: command}}
	for {
		response, err := f.call(ctx, request)
		if err == nil {
			return response.GetCommand(), nil
		}
		if !pause.For(ctx, proposeRetryInterval) {
			return nil, fmt.Errorf("%w; to retry safely, pass -id %s", err, command.SubmissionId)
		}
	}
}

func printSubmission(result *wire.CommandResult) subcommands.ExitStatus {
	switch result.GetOutcome() {
	case wire.CommandResult_OUTCOME_ACCEPTED:
		fmt.Printf("accepted as version %d at index %d\n", result.Version, result.Index)
		return subcommands.ExitSuccess
	case wire.CommandResult_OUTCOME_CONFLICT:
		fmt.Fprintf(os.Stderr, "conflict: %s\nthe newest document:\n%s", result.Findings, result.Document)
		return subcommands.ExitFailure
	default:
		fmt.Fprintln(os.Stderr, result.GetFindings())
		return subcommands.ExitFailure
	}
}

// listCommand lists the service documents.
type listCommand struct {
	connection *connectionFlags
}

// Name returns the name of the command.
func (*listCommand) Name() string { return "list" }

// Synopsis describes the command in a line.
func (*listCommand) Synopsis() string { return "list the service documents" }

// Usage describes the command.
func (*listCommand) Usage() string { return "list\n  Lists the service documents in force.\n" }

// SetFlags declares no flags.
func (*listCommand) SetFlags(*flag.FlagSet) {}

// Execute lists the documents.
func (c *listCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	records, err := c.connection.list(ctx, wire.Record_KIND_SERVICE)
	if err != nil {
		return fail(err)
	}
	sort.Slice(records, func(a, b int) bool { return records[a].Key < records[b].Key })
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tVERSION\tADDRESS\tINDEX\tSTATE")
	for _, record := range records {
		service := new(wire.Service)
		if err := proto.Unmarshal(record.Value, service); err != nil {
			return fail(err)
		}
		address := "?"
		if doc, err := contract.Parse(record.Key, service.Document); err == nil {
			address = doc.Address.String()
		}
		state := "in force"
		if service.Withdrawn {
			address, state = "-", "withdrawn"
		}
		fmt.Fprintf(table, "%s\t%d\t%s\t%d\t%s\n", record.Key, service.Version, address, record.Major, state)
	}
	table.Flush()
	return subcommands.ExitSuccess
}

// showCommand prints one service document.
type showCommand struct {
	connection *connectionFlags
}

// Name returns the name of the command.
func (*showCommand) Name() string { return "show" }

// Synopsis describes the command in a line.
func (*showCommand) Synopsis() string { return "show a service document" }

// Usage describes the command.
func (*showCommand) Usage() string {
	return "show SERVICE\n  Prints the document of SERVICE as it was submitted; its version goes to standard error.\n"
}

// SetFlags declares no flags.
func (*showCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the document.
func (c *showCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		return usageError("show needs one SERVICE")
	}
	records, err := c.connection.list(ctx, wire.Record_KIND_SERVICE)
	if err != nil {
		return fail(err)
	}
	for _, record := range records {
		if record.Key != flags.Arg(0) {
			continue
		}
		service := new(wire.Service)
		if err := proto.Unmarshal(record.Value, service); err != nil {
			return fail(err)
		}
		fmt.Fprintf(os.Stderr, "version %d\n", service.Version)
		if service.Withdrawn {
			fmt.Fprintln(os.Stderr, "the service is withdrawn; this is its last document")
		}
		os.Stdout.Write(service.Document)
		return subcommands.ExitSuccess
	}
	return fail(fmt.Errorf("there is no service %q; the command list shows all services", flags.Arg(0)))
}
