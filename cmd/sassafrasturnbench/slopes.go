package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/subcommands"

	"sassafrasturn.example/internal/harness"
	"sassafrasturn.example/internal/measure"
)

const (
	slopeOpeners   = 16
	slopeIdleTime  = 3 * time.Second
	slopeTimeout   = 10 * time.Second
	metricCPU      = "process_cpu_seconds_total"
	metricResident = "process_resident_memory_bytes"
	bytesPerKiB    = 1024
)

// slopesCommand measures the memory and processor time that open flows cost an agent
// and a balancer.
type slopesCommand struct {
	sizes   string
	csvPath string
}

// Name returns the name of the command.
func (*slopesCommand) Name() string { return "slopes" }

// Synopsis returns a one-line description of the command.
func (*slopesCommand) Synopsis() string {
	return "measure memory and processor time of an agent and a balancer by number of open flows"
}

// Usage returns the help text of the command.
func (*slopesCommand) Usage() string {
	return `slopes [-sizes N,N,...] [-csv FILE]
  Opens flows to one agent through one balancer, sends one request on each, and
  keeps them open. Reports at each size the resident memory, the processor time per
  new flow, and the processor time per idle flow and second. Run it in the root
  folder of the project.
`
}

// SetFlags declares the flags.
func (c *slopesCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.sizes, "sizes", "250,500,1000,1900", "numbers of open flows, in increasing order")
	flags.StringVar(&c.csvPath, "csv", "", "also write the report to this CSV file")
}

// Execute runs the measurement.
func (c *slopesCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	sizes, err := parseSizes(c.sizes)
	if err != nil {
		return usage(err)
	}
	flags := &measureFlags{csvPath: c.csvPath}
	cluster, end, err := startCluster(singlePairPlan())
	if err != nil {
		return failure(err)
	}
	defer end()
	report, err := measureSlopes(ctx, cluster, sizes)
	if err != nil {
		return failure(err)
	}
	if err := flags.write(report); err != nil {
		return failure(err)
	}
	return subcommands.ExitSuccess
}

func parseSizes(text string) ([]int, error) {
	var sizes []int
	for _, item := range strings.Split(text, ",") {
		size, err := strconv.Atoi(item)
		if err != nil || size < 1 {
			return nil, fmt.Errorf("-sizes: found %q, allowed: increasing integers from 1", item)
		}
		sizes = append(sizes, size)
	}
	return sizes, nil
}

func singlePairPlan() harness.Plan {
	return harness.Plan{
		Controls:  1,
		Balancers: 1,
		Zones:     []string{"a"},
		Services:  []harness.ServicePlan{{Name: largeService, Port: 8443, Endpoints: 1}},
	}
}

// usageSample is the resource usage of an agent and a balancer at one time:
// processor time in seconds since the start, and resident memory in bytes.
type usageSample struct {
	at                          time.Time
	agentCPU, balancerCPU       float64
	agentMemory, balancerMemory float64
}

func sampleUsage(cluster *harness.Cluster) (usageSample, error) {
	s := usageSample{at: time.Now()}
	reads := []struct {
		into *float64
		read func() (float64, error)
	}{
		{&s.agentCPU, func() (float64, error) { return cluster.AgentMetric(largeService, 0, metricCPU) }},
		{&s.agentMemory, func() (float64, error) { return cluster.AgentMetric(largeService, 0, metricResident) }},
		{&s.balancerCPU, func() (float64, error) { return cluster.BalancerMetric(0, metricCPU) }},
		{&s.balancerMemory, func() (float64, error) { return cluster.BalancerMetric(0, metricResident) }},
	}
	for _, r := range reads {
		value, err := r.read()
		if err != nil {
			return s, err
		}
		*r.into = value
	}
	return s, nil
}

func measureSlopes(ctx context.Context, cluster *harness.Cluster, sizes []int) (*measure.Report, error) {
	report := &measure.Report{
		Title: "cost of open flows, one agent and one balancer",
		Header: []string{
			"flows", "agent MiB", "balancer MiB", "agent us/new flow", "balancer us/new flow",
			"agent us/quiet flow/s", "balancer us/quiet flow/s",
		},
	}
	flows := &openFlows{url: cluster.URL(largeService, "/name")}
	defer flows.close()
	for _, size := range sizes {
		before, err := sampleUsage(cluster)
		if err != nil {
			return nil, err
		}
		added := size - flows.count()
		if err := flows.grow(ctx, added); err != nil {
			return nil, err
		}
		opened, err := sampleUsage(cluster)
		if err != nil {
			return nil, err
		}
		time.Sleep(slopeIdleTime)
		afterIdle, err := sampleUsage(cluster)
		if err != nil {
			return nil, err
		}
		addSlopeRow(report, size, added, before, opened, afterIdle)
	}
	return report, nil
}

func addSlopeRow(report *measure.Report, size, added int, before, opened, afterIdle usageSample) {
	const microseconds = 1e6
	idleSeconds := afterIdle.at.Sub(opened.at).Seconds()
	perNew := func(a, b float64) string { return fmt.Sprintf("%.0f", (b-a)*microseconds/float64(added)) }
	perIdle := func(a, b float64) string {
		return fmt.Sprintf("%.1f", (b-a)*microseconds/float64(size)/idleSeconds)
	}
	mebibytes := func(bytes float64) string { return fmt.Sprintf("%.1f", bytes/bytesPerKiB/bytesPerKiB) }
	report.AddRow(size, mebibytes(afterIdle.agentMemory), mebibytes(afterIdle.balancerMemory),
		perNew(before.agentCPU, opened.agentCPU), perNew(before.balancerCPU, opened.balancerCPU),
		perIdle(opened.agentCPU, afterIdle.agentCPU), perIdle(opened.balancerCPU, afterIdle.balancerCPU))
}

// openFlows opens flows and keeps them open until close.
type openFlows struct {
	url string

	mu          sync.Mutex
	connections []io.Closer
}

func (f *openFlows) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.connections)
}

func (f *openFlows) grow(ctx context.Context, count int) error {
	var openers sync.WaitGroup
	jobs := make(chan struct{}, count)
	for range count {
		jobs <- struct{}{}
	}
	close(jobs)
	failures := make(chan error, count)
	for range slopeOpeners {
		openers.Go(func() {
			for range jobs {
				failures <- f.open(ctx)
			}
		})
	}
	openers.Wait()
	for range count {
		if err := <-failures; err != nil {
			return err
		}
	}
	return nil
}

func (f *openFlows) open(ctx context.Context) error {
	client, connections := measure.NewClient(slopeTimeout)
	f.mu.Lock()
	f.connections = append(f.connections, connections)
	f.mu.Unlock()
	_, err := measure.FetchName(ctx, client, f.url)
	return err
}

func (f *openFlows) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, connection := range f.connections {
		connection.Close()
	}
}
