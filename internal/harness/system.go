package harness

import (
	"os/exec"
	"syscall"
)

// System is the system that a measurement runs against: the product (Cluster) or the naive
// baseline (NaiveCluster).
type System interface {
	// URL returns the URL at which callers reach a path of a service.
	URL(service, path string) string
	// ReplaceBalancer kills and restarts a balancer.
	ReplaceBalancer(i int) error
	// RestartEndpoint takes an endpoint out of service, restarts it and returns it to
	// service, as the operators' platform does for planned maintenance.
	RestartEndpoint(service string, i int) error
	// EvacuateZone takes an availability zone out of service, and RestoreZone returns it to
	// service.
	EvacuateZone(zone string) error
	RestoreZone(zone string) error
	// Close kills every process.
	Close()
}

// ReplaceBalancer kills and restarts a balancer.
func (c *Cluster) ReplaceBalancer(i int) error {
	return restartProcess(c.Process(BalancerName(i)))
}

func restartProcess(p *Process) error {
	if err := p.Kill(); err != nil {
		return err
	}
	return p.Start()
}

// RestartEndpoint stops the agent of an endpoint gracefully, restarts the endpoint and then
// starts the agent again.
func (c *Cluster) RestartEndpoint(service string, i int) error {
	agent := c.Process(AgentName(service, i))
	if err := agent.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-agent.Done()
	if err := restartProcess(c.Process(EndpointName(service, i))); err != nil {
		return err
	}
	return agent.Start()
}

// EvacuateZone takes an availability zone out of service.
func (c *Cluster) EvacuateZone(zone string) error {
	return c.setZone("out", zone)
}

// RestoreZone returns an availability zone to service.
func (c *Cluster) RestoreZone(zone string) error {
	return c.setZone("in", zone)
}

func (c *Cluster) setZone(state, zone string) error {
	output, err := c.Ctl("zone", state, zone)
	if err != nil {
		return Error.New("zone %s %s: %s", state, zone, output)
	}
	return nil
}

// BalancerStatus returns the output of sassafrasturnctl status for a balancer.
func (c *Cluster) BalancerStatus(i int) (string, error) {
	address := c.address(firstBalancerHost+i, linkPort)
	output, err := exec.Command(c.binaries.Ctl, "-control", address, "status").CombinedOutput()
	return string(output), Error.Wrap(err)
}
