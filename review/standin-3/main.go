// Command standin-3 has the stand-ins and the checks of the third review: a server, clients with
// their router, the operator, one verb for each case that is a script, and "reuse" for a finding
// that is described in the report.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// options are those of all cases.
type options struct {
	daemon, record string
	trouble        string
}

// hasTrouble reports whether the case runs with its disruption.
func (o *options) hasTrouble() bool { return o.trouble != "0" }

var cases = map[string]func(o *options, w *world) error{
	"reuse":   runReuse,
	"quiet":   runQuiet,
	"partial": runPartial,
	"drain":   runDrain,
	"other":   runOther,
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 server|CASE ...")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "server" {
		os.Exit(runServer(os.Args[2:]))
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	o := &options{}
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	flags.StringVar(&o.daemon, "daemon", "target/sassafrasturnd", "program of the deploy file")
	flags.StringVar(&o.record, "record", "record.txt", "file for the record")
	flags.StringVar(&o.trouble, "trouble", "1", "0: without the disruption")
	_ = flags.Parse(os.Args[2:])
	os.Exit(runCase(o, run))
}

// caseTimeout ends a case that hangs.
const caseTimeout = 110 * time.Second

func runCase(o *options, run func(*options, *world) error) int {
	rec, err := newRecord(o.record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w, err := newWorld(rec, o.daemon)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	rec.line("run with trouble=%s", o.trouble)
	done := make(chan error, 1)
	go func() { done <- run(o, w) }()
	select {
	case err = <-done:
	case <-time.After(caseTimeout):
		err = fmt.Errorf("not finished within %s", caseTimeout)
	}
	if err != nil {
		rec.line("NOT RUN: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.violations) > 0 {
		fmt.Printf("broken %d times, first: %s\n", len(rec.violations), rec.violations[0])
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
