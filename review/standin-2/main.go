// Command cases plays the scripted cases of the second review: it starts the project's programs
// as separate processes on loopback addresses, with stand-ins for the platform, servers and
// clients, and judges one rule by what clients and servers see.
package main

import (
	"errors"
	"flag"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	name := flag.String("case", "", "the case to play: stale-takeover, brief-evacuation")
	program := flag.String("program", "target/sassafrasturnd", "the project's program")
	path := flag.String("record", "record.txt", "the file to write the record to")
	keep := flag.Bool("keep", false, "keep the temporary folder with settings and logs")
	flag.Parse()
	record, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	play, ok := map[string]func(d *deployment, isTroubled bool) (broken int64, err error){
		"stale-takeover": playStaleTakeover, "brief-evacuation": playBriefEvacuation,
	}[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", *name)
		os.Exit(exitNotRun)
	}
	d, err := newDeployment(*program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	isTroubled := os.Getenv("TROUBLE") != "0"
	broken, err := play(d, isTroubled)
	for _, s := range d.servers {
		record.printf("%s", s.summary())
	}
	if *keep {
		fmt.Println(d.folder)
		for _, m := range d.machines() {
			m.kill()
		}
	} else {
		d.end()
	}
	switch {
	case err != nil:
		record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	case broken > 0:
		record.printf("result: the rule was broken %d times", broken)
		os.Exit(exitBroken)
	}
	record.printf("result: the rule held")
	os.Exit(exitHeld)
}

// awaitReady waits until all balancers are ready.
func (d *deployment) awaitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, m := range d.edge {
		for !m.isReady() {
			if time.Now().After(end) {
				return errors.New("the balancers did not become ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// byHash returns the balancer that the platform's routers choose for a flow.
func (d *deployment) byHash(key flowKey) (netip.AddrPort, bool) {
	hash := fnv.New32a()
	fmt.Fprint(hash, key)
	return d.edge[int(hash.Sum32()%uint32(len(d.edge)))].at(d.ports.datagram), true
}
