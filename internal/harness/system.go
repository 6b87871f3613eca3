package harness

import (
	"os/exec"
	"syscall"
)

// System is what a measurement drives: the product or the naive baseline.
type System interface {
	// URL returns the address at which callers reach a path of a service.
	URL(service, path string) string
	// ReplaceBalancer kills a balancer and starts it again.
	ReplaceBalancer(i int) error
	// RestartEndpoint takes an endpoint out as the operators' platform does
	// for planned work, and brings it back.
	RestartEndpoint(service string, i int) error
	// EvacuateZone and RestoreZone take an availability zone out of service and back.
	EvacuateZone(zone string) error
	RestoreZone(zone string) error
	// Close ends every process.
	Close()
}

// ReplaceBalancer kills a balancer and starts it again.
func (c *Cluster) ReplaceBalancer(i int) error {
	return restartProcess(c.Process(BalancerName(i)))
}

func restartProcess(p *Process) error {
	if err := p.Kill(); err != nil {
		return err
	}
	return p.Start()
}

// RestartEndpoint stops the agent beside an endpoint gracefully and starts both again.
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

// RestoreZone brings an availability zone back.
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

// BalancerStatus returns what a balancer says about itself.
func (c *Cluster) BalancerStatus(i int) (string, error) {
	address := c.address(firstBalancerHost+i, linkPort)
	output, err := exec.Command(c.binaries.Ctl, "-control", address, "status").CombinedOutput()
	return string(output), Error.Wrap(err)
}
