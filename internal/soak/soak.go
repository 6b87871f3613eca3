// Package soak runs the programs of the opaque mode as separate processes on
// loopback, injects faults from outside on a seeded schedule, and checks the guarantees
// against what callers, endpoints and the operator observe.
//
// The faults are kills, freezes, graceful stops, lost data folders, full disks and torn
// records, draining and restarting endpoints, endpoints with wrong clocks, lost and
// delayed packets between callers and balancers, and operator connections that are reset,
// blocked or delayed. Proxies between the instances drop, delay, block and reset the
// traffic to an instance, or block one direction only.
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

// Config configures a run.
type Config struct {
	// Daemon is the path of the sassafrasturnd program.
	Daemon string
	// Folder receives settings, data folders and logs.
	Folder string
	Seed   uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Agents is the number of agents, each with one endpoint, and Balancers the number of
	// balancers. 0 means the small default number.
	Agents, Balancers int
	// PlannedOnly replaces faults by planned changes, which must not break any flow.
	PlannedOnly bool
}

func (c *Config) setDefaults() {
	if c.Agents == 0 {
		c.Agents = defaultAgents
	}
	if c.Balancers == 0 {
		c.Balancers = defaultBalancers
	}
}

// Report is the result of a run.
type Report struct {
	// Served and Unserved count flows, Orders the versions that the operator has sent, and
	// Faults the injected faults or planned changes.
	Served, Unserved int
	Orders, Faults   int
	// Violations describes the violated guarantees, each with the time since the start.
	Violations []string
}

const (
	controlCount     = 5
	defaultBalancers = 3
	defaultAgents    = 6
	callerCount      = 12
	// startTimeout limits the time until the first flow is served.
	startTimeout = 15 * time.Second
	// convergenceTime is how long the control group may take until all members are voters.
	convergenceTime = 4 * time.Second
	// recoveryTime limits the time from the last fault until all flows are served again.
	recoveryTime = 12 * time.Second
	// finalFlows is the number of flows opened at the end, and minServedShare the share
	// of them that must be served.
	finalFlows     = 100
	minServedShare = 0.95
)

// cluster is a running system with its callers' results, endpoints and operator.
type cluster struct {
	config  Config
	subnet  string
	random  *rand.Rand
	started time.Time

	controls, balancers []*instance
	endpoints           []*endpoint
	operator            *operator
	rules               rules

	mu          sync.Mutex
	clockRandom *rand.Rand
	violations  []string
	served      atomic.Int64
	unserved    atomic.Int64
	faults      int
	// lastFaultAt is when a fault last started or ended, in Unix nanoseconds.
	lastFaultAt atomic.Int64
}

// randomClockIndex draws the index of one of n clock offsets.
func (cl *cluster) randomClockIndex(n int) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.clockRandom.IntN(n)
}

func (cl *cluster) recordViolation(format string, args ...any) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.violations = append(cl.violations, fmt.Sprintf("%7.3f s  ", time.Since(cl.started).Seconds())+fmt.Sprintf(format, args...))
}

// instance is one process of the system with its settings.
type instance struct {
	*harness.Process
	name, host string
	proxy      *proxy
	// isClaimed is set while a fault of the instance is active and at the end of the run. The
	// process may be down or frozen meanwhile.
	isClaimed atomic.Bool
	// faultEndedAt is when the last fault of this instance ended, in Unix nanoseconds.
	faultEndedAt atomic.Int64
	// lostUntil is the time until which the disk of a control instance counts as lost.
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
	firstAgent    = 90
)

func (cl *cluster) host(number int) string { return fmt.Sprintf("%s.%d", cl.subnet, number) }

func zoneOf(i int) string { return string(rune('a' + i%3)) }

func (cl *cluster) start(ctx context.Context, role, name string, number, zone int, extra string) (*instance, error) {
	i := &instance{name: name, host: cl.host(number)}
	host := netip.MustParseAddr(i.host)
	var err error
	if i.proxy, err = newProxy(ctx, netip.AddrPortFrom(host, proxyPort), netip.AddrPortFrom(host, linkPort)); err != nil {
		return nil, err
	}
	path := filepath.Join(cl.config.Folder, name+".ini")
	if err := os.WriteFile(path, []byte(cl.settings(role, i, zone)+extra), 0o600); err != nil {
		return nil, Error.Wrap(err)
	}
	i.Process = harness.NewProcess(cl.config.Folder, name, cl.config.Daemon, "run", "--settings", path)
	return i, i.Start()
}

func (cl *cluster) settings(role string, i *instance, zone int) string {
	peers := ""
	for n := range 3 {
		peers += fmt.Sprintf("%s:%d, ", cl.host(firstControl+n), proxyPort)
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
kbit_per_second = 10000
[metrics]
listen = %s:%d
[log]
decisions_per_second = 200
[opaque]
heartbeat = 500ms
`, role, i.name, zoneOf(zone), i.name, peers, i.host, linkPort, i.host, proxyPort, i.host, metricsPort)
}

// startAll starts every process of the system.
func (cl *cluster) startAll(ctx context.Context) error {
	for n := range controlCount {
		host := cl.host(firstControl + n)
		i, err := cl.start(ctx, "control", fmt.Sprintf("control-%d", n), firstControl+n, n, fmt.Sprintf("operator = %s:%d\nfound = true\n", host, operatorPort))
		if err != nil {
			return err
		}
		cl.controls = append(cl.controls, i)
	}
	for n := range cl.config.Balancers {
		host := cl.host(firstBalancer + n)
		i, err := cl.start(ctx, "balancer", fmt.Sprintf("balancer-%d", n), firstBalancer+n, n,
			fmt.Sprintf("packets = %s:%d\nready = %s:%d\ncaller_port = %d\n", host, packetPort, host, readyPort, packetPort))
		if err != nil {
			return err
		}
		cl.balancers = append(cl.balancers, i)
	}
	for n := range cl.config.Agents {
		host := cl.host(firstAgent + n)
		i, err := cl.start(ctx, "agent", fmt.Sprintf("agent-%d", n), firstAgent+n, n, fmt.Sprintf(
			"endpoint = %s:%d\nservice = %s\noutbound = %s:%d\nannounce = %s:%d\ncaller_port = %d\n",
			host, endpointPort, serviceOf(n), host, outboundPort, host, operatorPort, packetPort))
		if err != nil {
			return err
		}
		cl.endpoints = append(cl.endpoints, newEndpoint(cl, i, n))
	}
	return nil
}

// all returns every process of the system.
func (cl *cluster) all() []*instance {
	all := append(append([]*instance(nil), cl.controls...), cl.balancers...)
	for _, e := range cl.endpoints {
		all = append(all, e.agent)
	}
	return all
}

func (cl *cluster) close() {
	for _, i := range cl.all() {
		i.isClaimed.Store(true)
		// Kill has no effect on a process that has ended.
		_ = i.Kill()
	}
}

// Run starts the system, injects the faults of one seed and checks the guarantees. It
// returns an error if the system could not be started.
func Run(ctx context.Context, config Config) (Report, error) {
	config.setDefaults()
	cl := &cluster{
		config: config, subnet: harness.Subnet(), started: time.Now(),
		random: rand.New(rand.NewPCG(config.Seed, 23)), clockRandom: rand.New(rand.NewPCG(config.Seed, 24)),
	}
	cl.rules.evacuatedAt = make(map[string]time.Time)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer cl.close()
	if err := cl.startAll(ctx); err != nil {
		return Report{}, err
	}
	cl.operator = newOperator(cl, replacerStream)
	for _, e := range cl.endpoints {
		if err := e.start(ctx); err != nil {
			return Report{}, err
		}
	}
	pool, err := newCallers(ctx, cl)
	if err != nil {
		return Report{}, err
	}
	if err := cl.awaitService(ctx, pool); err != nil {
		return Report{}, err
	}
	time.Sleep(convergenceTime)
	cl.runWithFaults(ctx, pool)
	cl.checkRecovery(ctx, pool)
	return Report{
		Served: int(cl.served.Load()), Unserved: int(cl.unserved.Load()), Orders: cl.operator.sent, Faults: cl.faults,
		Violations: cl.violations,
	}, nil
}

// awaitService sends the first routing table, until it is accepted, and waits until a flow
// is served.
func (cl *cluster) awaitService(ctx context.Context, pool []*caller) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if cl.operator.accepted == 0 {
			cl.operator.replaceConfig(ctx)
		}
		if pool[0].runFlow(ctx, routeAddress("orders"), shortFlowRequests) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return Error.New("no flow was served within %s of the start; see the logs in %s", startTimeout, cl.config.Folder)
}

// checkRecovery checks that the system recovers after the last fault and that no accepted
// version was lost.
func (cl *cluster) checkRecovery(ctx context.Context, pool []*caller) {
	cl.checkAllRunning()
	time.Sleep(recoveryTime)
	cl.operator.checkRead(ctx)
	served := 0
	for n := range finalFlows {
		if pool[n%len(pool)].runFlow(ctx, routeAddress(serviceOf(n)), shortFlowRequests) {
			served++
		}
	}
	if float64(served) < minServedShare*finalFlows {
		cl.recordViolation("only %d of %d flows were served %s after the last fault", served, finalFlows, recoveryTime)
	}
	if cl.operator.read < cl.operator.accepted {
		cl.recordViolation("version %d was accepted, but version %d was read at the end", cl.operator.accepted, cl.operator.read)
	}
}

func withFoundingDisabled(data []byte) []byte {
	return bytes.ReplaceAll(data, []byte("found = true"), []byte("found = false"))
}
