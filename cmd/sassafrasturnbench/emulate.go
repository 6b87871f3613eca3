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

// emulateCommand plays loads on a model of endpoints.
type emulateCommand struct {
	seeds    int
	csvPath  string
	plotPath string
}

// Name returns the name of the command.
func (*emulateCommand) Name() string { return "emulate" }

// Synopsis describes the command in a line.
func (*emulateCommand) Synopsis() string {
	return "play loads on a model of endpoints and compare ways of placing flows"
}

// Usage describes the command.
func (*emulateCommand) Usage() string {
	return `emulate [-seeds N] [-csv FILE] [-plot FILE.svg]
  Plays calm, slow, silent and failing endpoints, bursts and the return after an
  outage on a model in virtual time, with the product's decisions and with simpler
  ones, and reports what callers get. It opens no socket; the same seeds give the
  same figures.
`
}

// SetFlags declares the flags.
func (c *emulateCommand) SetFlags(flags *flag.FlagSet) {
	flags.IntVar(&c.seeds, "seeds", 10, "how many seeds to play")
	flags.StringVar(&c.csvPath, "csv", "", "write the figures to this file")
	flags.StringVar(&c.plotPath, "plot", "", "write a bar chart to this SVG file")
}

// Execute plays all scenarios.
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

// writeFile writes a file unless its path is empty.
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
