package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/google/subcommands"

	"sassafrasturn.example/internal/lint"
	"sassafrasturn.example/platform"
)

const (
	formatText = "text"
	formatJSON = "json"
	// exitUnreadable is the exit code if the file or the version in force cannot be read.
	exitUnreadable = subcommands.ExitUsageError
)

// parseInterleaved parses flags that follow or precede files, and returns the files.
func parseInterleaved(flags *flag.FlagSet) ([]string, error) {
	var files []string
	for flags.NArg() > 0 {
		files = append(files, flags.Arg(0))
		if err := flags.Parse(flags.Args()[1:]); err != nil {
			return nil, err
		}
	}
	return files, nil
}

// isDesiredState reports whether a file starts as a JSON object does. Service documents do not.
func isDesiredState(path string) bool {
	// A file that cannot be read is reported when it is checked.
	data, _ := os.ReadFile(path)
	return bytes.HasPrefix(bytes.TrimLeft(data, " \t\r\n"), []byte("{"))
}

// stateReport is the result of a check of a desired state, as it is printed in JSON.
type stateReport struct {
	File     string         `json:"file"`
	Findings []lint.Finding `json:"findings"`
}

// checkState checks a desired state and prints the findings.
func (c *checkCommand) checkState(ctx context.Context, path string, output io.Writer) subcommands.ExitStatus {
	if c.format != "" && c.format != formatText && c.format != formatJSON {
		return usageError(fmt.Sprintf("-format: found %q, allowed: %s or %s", c.format, formatText, formatJSON))
	}
	report, err := c.inspect(ctx, path)
	if err != nil {
		fail(err)
		return exitUnreadable
	}
	if c.format == formatJSON {
		err = report.writeJSON(output)
	} else {
		err = report.writeText(output)
	}
	switch {
	case err != nil:
		fail(err)
		return exitUnreadable
	case len(report.Findings) > 0:
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *checkCommand) inspect(ctx context.Context, path string) (*stateReport, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	inspection := platform.Inspect(data)
	// JSON has an empty list rather than null.
	report := &stateReport{File: path, Findings: []lint.Finding{}}
	report.Findings = append(report.Findings, inspection.Errors...)
	var others []lint.Finding
	if inspection.State != nil {
		others = lint.Warnings(inspection.State)
	}
	if c.against != "" {
		inForce, err := readInForce(ctx, c.against)
		if err != nil {
			return nil, fmt.Errorf("cannot read the version in force: %w", err)
		}
		if inspection.State != nil {
			others = append(others, lint.Differences(inForce, inspection.State)...)
		}
	}
	inspection.Locate(others)
	report.Findings = append(report.Findings, others...)
	return report, nil
}

// readInForce reads the desired state in force from the operator address of a control instance.
// If that does not lead, it redirects to the leader.
func readInForce(ctx context.Context, address string) (*lint.State, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/Config.Get", nil)
	if err != nil {
		return nil, err
	}
	client := &http.Client{
		// Control instances are reached directly, as by the other commands.
		Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > maxRedirects {
				return fmt.Errorf("more than %d redirects", maxRedirects)
			}
			return nil
		},
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, platform.MaxRoutingBytes+1))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s: %q", address, response.Status, body[:min(len(body), maxErrorBytes)])
	}
	inspection := platform.Inspect(body)
	if inspection.State == nil {
		return nil, errors.New(address + ": " + inspection.Errors[0].Message)
	}
	return inspection.State, nil
}

// maxErrorBytes limits how much of an error response is printed.
const maxErrorBytes = 200

func (r *stateReport) writeJSON(output io.Writer) error {
	encoder := json.NewEncoder(output)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// writeText writes a line for each finding, with its place in the file if it has one.
func (r *stateReport) writeText(output io.Writer) error {
	var text bytes.Buffer
	for _, f := range r.Findings {
		text.WriteString(r.File)
		if f.Line > 0 {
			fmt.Fprintf(&text, ":%d:%d", f.Line, f.Column)
		}
		fmt.Fprintf(&text, ": %s: ", f.Severity)
		if f.Path != "" {
			fmt.Fprintf(&text, "%s: ", f.Path)
		}
		fmt.Fprintln(&text, f.Message)
	}
	if len(r.Findings) == 0 {
		fmt.Fprintf(&text, "%s: no findings\n", r.File)
	}
	_, err := output.Write(text.Bytes())
	return err
}
