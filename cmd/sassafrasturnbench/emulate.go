package main

import (
	"context"
	"encoding/csv"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/google/subcommands"

	"sassafrasturn.example/internal/emulate"
)

// emulateCommand simulates loads on a model of endpoints.
type emulateCommand struct {
	seeds    int
	csvPath  string
	plotPath string
}

// Name returns the name of the command.
func (*emulateCommand) Name() string { return "emulate" }

// Synopsis returns a one-line description of the command.
func (*emulateCommand) Synopsis() string {
	return "simulate loads on a model of endpoints and compare strategies of placing flows"
}

// Usage returns the help text of the command.
func (*emulateCommand) Usage() string {
	return `emulate [-seeds N] [-csv FILE] [-plot FILE.svg]
  Simulates calm load, slow, silent and failing endpoints, bursts and the load after
  an outage on a model in virtual time, with the decisions of sassafrasturn and with
  simpler strategies, and reports the results that callers get. It opens no sockets.
  The same seeds give the same figures.
`
}

// SetFlags declares the flags.
func (c *emulateCommand) SetFlags(flags *flag.FlagSet) {
	flags.IntVar(&c.seeds, "seeds", 10, "number of seeds for each scenario")
	flags.StringVar(&c.csvPath, "csv", "", "write the figures to this file")
	flags.StringVar(&c.plotPath, "plot", "", "write a bar chart to this SVG file")
}

// Execute runs all scenarios and writes the results.
func (c *emulateCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.seeds < 1 {
		fmt.Fprintln(os.Stderr, "sassafrasturnbench emulate: -seeds: found", c.seeds, "allowed: 1 or more")
		return subcommands.ExitUsageError
	}
	rows := emulate.Compare(c.seeds)
	if err := c.write(rows); err != nil {
		fmt.Fprintln(os.Stderr, "sassafrasturnbench emulate:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *emulateCommand) write(rows []emulate.Row) error {
	for _, row := range rows {
		fmt.Printf("%-16s %-16s in aim %5.1f%%  late %5.1f%%  failed %5.1f%%  p50 %4d ms  p99 %4d ms\n",
			row.Scenario, row.Placer, 100*row.WithinObjective, 100*row.Late, 100*row.Failed, row.P50.Milliseconds(), row.P99.Milliseconds())
	}
	if err := writeFile(c.csvPath, func(w io.Writer) error { return writeRows(w, rows) }); err != nil {
		return err
	}
	return writeFile(c.plotPath, func(w io.Writer) error { return emulate.Plot(w, rows) })
}

// writeFile creates a file and writes it; an empty path means no file.
func writeFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

func writeRows(w io.Writer, rows []emulate.Row) error {
	out := csv.NewWriter(w)
	records := [][]string{{"scenario", "placer", "share_in_aim", "share_late", "share_failed", "p50_ms", "p99_ms"}}
	for _, row := range rows {
		records = append(records, []string{
			row.Scenario, row.Placer, fraction(row.WithinObjective), fraction(row.Late), fraction(row.Failed),
			strconv.FormatInt(row.P50.Milliseconds(), 10), strconv.FormatInt(row.P99.Milliseconds(), 10),
		})
	}
	return out.WriteAll(records)
}

func fraction(value float64) string { return strconv.FormatFloat(value, 'f', 4, 64) }
