package main

import (
	"context"
	"crypto/tls"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/caller"
	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/wire"
)

// endpointsCommand lists the endpoints.
type endpointsCommand struct {
	connection *connectionFlags
}

// Name returns the name of the command.
func (*endpointsCommand) Name() string { return "endpoints" }

// Synopsis describes the command in a line.
func (*endpointsCommand) Synopsis() string {
	return "list the endpoints that have announced themselves"
}

// Usage describes the command.
func (*endpointsCommand) Usage() string { return "endpoints\n  Lists the endpoints.\n" }

// SetFlags declares no flags.
func (*endpointsCommand) SetFlags(*flag.FlagSet) {}

// Execute lists the endpoints.
func (c *endpointsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	records, err := c.connection.list(ctx, wire.Record_KIND_ENDPOINT)
	if err != nil {
		return fail(err)
	}
	sort.Slice(records, func(a, b int) bool { return records[a].Key < records[b].Key })
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tSERVICE\tZONE\tSTATE\tAGENT")
	for _, record := range records {
		endpoint := new(wire.Endpoint)
		if err := proto.Unmarshal(record.Value, endpoint); err != nil {
			return fail(err)
		}
		address, _ := envelope.UnpackAddress(endpoint.Address)
		state := strings.ToLower(strings.TrimPrefix(endpoint.State.String(), "STATE_"))
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", endpoint.Instance, endpoint.Service, endpoint.Zone, state, address)
	}
	table.Flush()
	return subcommands.ExitSuccess
}

// statusCommand prints the status of an instance.
type statusCommand struct {
	connection *connectionFlags
}

// Name returns the name of the command.
func (*statusCommand) Name() string { return "status" }

// Synopsis describes the command in a line.
func (*statusCommand) Synopsis() string { return "show the status of an instance" }

// Usage describes the command.
func (*statusCommand) Usage() string {
	return "status\n  Shows the status of the first instance of -control that responds. It may have\n  any role.\n"
}

// SetFlags declares no flags.
func (*statusCommand) SetFlags(*flag.FlagSet) {}

// Execute requests and prints the status.
func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	response, err := c.connection.call(ctx, &wire.Request{Body: &wire.Request_Status{Status: &wire.StatusRequest{}}})
	if err != nil {
		return fail(err)
	}
	status := response.GetStatus()
	fmt.Printf("instance: %s\nrole: %s\nzone: %s\napplied index: %d\n", status.GetInstance(), status.GetRole(), status.GetZone(), status.GetAppliedIndex())
	for _, line := range status.GetDetails() {
		fmt.Println(line)
	}
	return subcommands.ExitSuccess
}

// fetchCommand sends one request as a caller would.
type fetchCommand struct {
	isInsecure bool
}

// Name returns the name of the command.
func (*fetchCommand) Name() string { return "fetch" }

// Synopsis describes the command in a line.
func (*fetchCommand) Synopsis() string { return "GET a URL over HTTP/3 as a caller would" }

// Usage describes the command.
func (*fetchCommand) Usage() string {
	return "fetch [-insecure] URL\n  Prints the body of the response.\n"
}

// SetFlags declares the flags.
func (c *fetchCommand) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&c.isInsecure, "insecure", false, "accept any certificate")
}

// Execute sends the request.
func (c *fetchCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		return usageError("fetch needs one URL")
	}
	transport := caller.New(&tls.Config{InsecureSkipVerify: c.isInsecure})
	defer transport.Close()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, flags.Arg(0), nil)
	if err != nil {
		return fail(err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return fail(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(os.Stdout, response.Body); err != nil {
		return fail(err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return fail(fmt.Errorf("the response has status %s", response.Status))
	}
	return subcommands.ExitSuccess
}
