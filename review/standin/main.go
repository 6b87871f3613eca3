// Command standin runs a case of the review: it starts the project's programs as separate
// processes on loopback addresses, plays clients, servers, routers and the operator as the
// users' pages describe them, and checks one rule.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// caseLimit is the time that a case may take.
const caseLimit = 110 * time.Second

// runCase runs a case and returns an error if it could not run. hasTrouble is false if the
// disruption is to be left out.
type runCase func(ctx context.Context, record *recorder, root string, hasTrouble bool) error

var cases = map[string]runCase{
	"evacuation":    runEvacuation,
	"agent-kill":    runAgentKill,
	"weights":       runWeights,
	"odd-heartbeat": runOddHeartbeat,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		return exitCannotRun
	}
	record, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer record.close()
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	record.logf("case %s, with the disruption: %t", os.Args[1], hasTrouble)
	if err := cases[os.Args[1]](ctx, record, os.Args[2], hasTrouble); err != nil {
		record.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitCannotRun
	}
	if record.isBroken() {
		return exitBroken
	}
	if ctx.Err() != nil {
		record.logf("could not run: the case was stopped before its end")
		return exitCannotRun
	}
	record.logf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
