// Package soak runs the programs of the opaque mode as separate processes on
// loopback, disturbs them from outside by a seeded schedule, and checks the
// promises from what callers, endpoints and the operator see.
//
// It injects kills, pauses, graceful stops, lost data folders, full disks and torn
// records, endpoints that drain and restart and whose clocks are wrong, lost and late
// packets between callers and balancers, and operators' connections that are reset,
// silent or late. Between instances stand
// proxies, which lose, delay, silence and reset what an instance is sent, or let
// nothing through in one direction.
package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"sassafrasturn.example/internal/harness"
)

// Error is the class of this package's errors.
var Error = errs.Class("soak")

// Config says what to run.
type Config struct {
	Daemon string
	// Folder gets settings, data folders and logs.
	Folder string
	Seed   uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Agents is how many agents with endpoints there are, and Balancers how many
	// balancers; 0 stands for the usual few.
	Agents, Balancers int
	// PlannedOnly: nothing is disturbed but by planned change, which must break no flow.
	PlannedOnly bool
}

func (c *Config) fill() {
	if c.Agents == 0 {
		c.Agents = usualSites
	}
	if c.Balancers == 0 {
		c.Balancers = usualBalancers
	}
}

// Report is what a run gave.
type Report struct {
	Served, Unserved int
	Orders, Faults   int
	// Violations are the broken promises, with their times.
	Violations []string
}

const (
	controls       = 5
	usualBalancers = 3
	usualSites     = 6
	callers        = 12
	// startTime bounds the time until the first flow is served.
	startTime = 15 * time.Second
	// settleTime is how long the control group may take to grow to all its voters.
	settleTime = 4 * time.Second
	// recoveryTime bounds the time after the last fault until all is served again.
	recoveryTime = 12 * time.Second
	// finalFlows is how many flows are opened at the end, and minServed the share
	// of them that must be served.
	finalFlows = 100
	minServed  = 0.95
)

// world is a running system with what surrounds it.
type world struct {
	config  Config
	subnet  string
	random  *rand.Rand
	started time.Time

	controls, balancers []*instance
	sites               []*site
	operator            *operator
	rules               rules

	mu         sync.Mutex
	clocks     *rand.Rand
	violations []string
	served     atomic.Int64
	unserved   atomic.Int64
	faults     int
	// disturbedAt is when anything was last disturbed.
	disturbedAt atomic.Int64
}

// drawClock draws how wrong a clock is.
func (w *world) drawClock(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clocks.IntN(n)
}

func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf("%7.3f s  ", time.Since(w.started).Seconds())+fmt.Sprintf(format, args...))
}

// instance is one process of the system with its settings.
type instance struct {
	*harness.Process
	name, host string
	proxy      *proxy
	// isStopped: the soak has ended or paused it.
	isStopped atomic.Bool
	// disturbedAt is when a fault of this process ended.
	disturbedAt atomic.Int64
	// lostUntil is until when the disk of a control instance counts as lost.
	lostUntil time.Time
}

const (
	linkPort     = 7400
	proxyPort    = 7402
	metricsPort  = 7401
	operatorPort = 8166
	readyPort    = 8167
	packetPort   = 8172
	outboundPort = 8162
	endpointPort = 8165

	firstControl  = 5
	firstCaller   = 10
	firstBalancer = 30
	firstSite     = 90
)

func (w *world) host(number int) string { return fmt.Sprintf("%s.%d", w.subnet, number) }

func zoneOf(i int) string { return string(rune('a' + i%3)) }

func (w *world) start(ctx context.Context, role, name string, number, zone int, extra string) (*instance, error) {
	i := &instance{name: name, host: w.host(number)}
	host := netip.MustParseAddr(i.host)
	var err error
	if i.proxy, err = newProxy(ctx, netip.AddrPortFrom(host, proxyPort), netip.AddrPortFrom(host, linkPort)); err != nil {
		return nil, err
	}
	path := filepath.Join(w.config.Folder, name+".ini")
	if err := os.WriteFile(path, []byte(w.settings(role, i, zone)+extra), 0o600); err != nil {
		return nil, Error.Wrap(err)
	}
	i.Process = harness.NewProcess(w.config.Folder, name, w.config.Daemon, "run", "--settings", path)
	return i, i.Start()
}

func (w *world) settings(role string, i *instance, zone int) string {
	peers := ""
	for n := range 3 {
		peers += fmt.Sprintf("%s:%d, ", w.host(firstControl+n), proxyPort)
	}
	return fmt.Sprintf(`[instance]
mode = opaque
role = %s
name = %s
zone = %s
data = %s.data
[cluster]
insecure = true
peers = %s
[link]
listen = %s:%d
advertise = %s:%d
[metrics]
listen = %s:%d
[log]
decisions_per_second = 200
[opaque]
heartbeat = 500ms
`, role, i.name, zoneOf(zone), i.name, peers, i.host, linkPort, i.host, proxyPort, i.host, metricsPort)
}

// startAll starts every process of the system.
func (w *world) startAll(ctx context.Context) error {
	for n := range controls {
		host := w.host(firstControl + n)
		i, err := w.start(ctx, "control", fmt.Sprintf("control-%d", n), firstControl+n, n, fmt.Sprintf("operator = %s:%d\nfound = true\n", host, operatorPort))
		if err != nil {
			return err
		}
		w.controls = append(w.controls, i)
	}
	for n := range w.config.Balancers {
		host := w.host(firstBalancer + n)
		i, err := w.start(ctx, "balancer", fmt.Sprintf("balancer-%d", n), firstBalancer+n, n,
			fmt.Sprintf("packets = %s:%d\nready = %s:%d\ncaller_port = %d\n", host, packetPort, host, readyPort, packetPort))
		if err != nil {
			return err
		}
		w.balancers = append(w.balancers, i)
	}
	for n := range w.config.Agents {
		host := w.host(firstSite + n)
		i, err := w.start(ctx, "agent", fmt.Sprintf("agent-%d", n), firstSite+n, n, fmt.Sprintf(
			"endpoint = %s:%d\nservice = %s\noutbound = %s:%d\nannounce = %s:%d\ncaller_port = %d\n",
			host, endpointPort, serviceOf(n), host, outboundPort, host, operatorPort, packetPort))
		if err != nil {
			return err
		}
		w.sites = append(w.sites, newSite(w, i, n))
	}
	return nil
}

// all returns every process of the system.
func (w *world) all() []*instance {
	all := append(append([]*instance(nil), w.controls...), w.balancers...)
	for _, s := range w.sites {
		all = append(all, s.agent)
	}
	return all
}

func (w *world) close() {
	for _, i := range w.all() {
		i.isStopped.Store(true)
		// What has ended already cannot be killed.
		_ = i.Kill()
	}
}

// Run plays one seed.
func Run(ctx context.Context, config Config) (Report, error) {
	config.fill()
	w := &world{
		config: config, subnet: harness.Subnet(), started: time.Now(),
		random: rand.New(rand.NewPCG(config.Seed, 23)), clocks: rand.New(rand.NewPCG(config.Seed, 24)),
	}
	w.rules.out = make(map[string]time.Time)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer w.close()
	if err := w.startAll(ctx); err != nil {
		return Report{}, err
	}
	w.operator = newOperator(w, replacer)
	for _, s := range w.sites {
		if err := s.start(ctx); err != nil {
			return Report{}, err
		}
	}
	pool, err := newCallers(ctx, w)
	if err != nil {
		return Report{}, err
	}
	if err := w.awaitService(ctx, pool); err != nil {
		return Report{}, err
	}
	time.Sleep(settleTime)
	w.play(ctx, pool)
	w.checkEnd(ctx, pool)
	return Report{
		Served: int(w.served.Load()), Unserved: int(w.unserved.Load()), Orders: w.operator.sent, Faults: w.faults,
		Violations: w.violations,
	}, nil
}

// awaitService sends the first routing table and waits until a flow is served.
func (w *world) awaitService(ctx context.Context, pool []*caller) error {
	deadline := time.Now().Add(startTime)
	for time.Now().Before(deadline) {
		if w.operator.accepted == 0 {
			w.operator.replace(ctx)
		}
		if pool[0].serve(ctx, routeOf("orders"), shortFlow) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return Error.New("no flow is served %s after the start; see the logs in %s", startTime, w.config.Folder)
}

// checkEnd checks, after all faults, that everything recovers and that nothing
// that was accepted is gone.
func (w *world) checkEnd(ctx context.Context, pool []*caller) {
	w.checkAllRunning()
	time.Sleep(recoveryTime)
	w.operator.checkRead(ctx)
	served := 0
	for n := range finalFlows {
		if pool[n%len(pool)].serve(ctx, routeOf(serviceOf(n)), shortFlow) {
			served++
		}
	}
	if float64(served) < minServed*finalFlows {
		w.violate("%d of %d flows served %s after the last fault", served, finalFlows, recoveryTime)
	}
	if w.operator.read < w.operator.accepted {
		w.violate("version %d was accepted, %d is read at the end", w.operator.accepted, w.operator.read)
	}
}

func replaceFounding(data []byte) []byte {
	return bytes.ReplaceAll(data, []byte("found = true"), []byte("found = false"))
}
