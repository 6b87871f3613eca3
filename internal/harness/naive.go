package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// naiveRemovalDelay is how long the naive system waits between the removal of an endpoint
// from the list and its restart. It also waits this long after its start.
const naiveRemovalDelay = 2 * time.Second

// NaiveCluster is a cluster of naive balancers, without control instances and agents, as
// the baseline for measurements. It has the fabric, endpoints and zones of a Cluster.
type NaiveCluster struct {
	*Cluster

	mu sync.Mutex
	// isRemoved is true for the names of the endpoints that are removed from the lists.
	isRemoved map[string]bool
}

// StartNaive starts the naive baseline of a plan.
func StartNaive(binaries Binaries, folder string, plan Plan) (*NaiveCluster, error) {
	n := &NaiveCluster{
		Cluster:   &Cluster{plan: plan, folder: folder, binaries: binaries, subnet: Subnet(), processes: make(map[string]*Process)},
		isRemoved: make(map[string]bool),
	}
	if err := n.startAll(); err != nil {
		n.Close()
		return nil, err
	}
	time.Sleep(naiveRemovalDelay)
	return n, nil
}

func (n *NaiveCluster) startAll() error {
	for _, service := range n.plan.Services {
		if err := n.writeList(service); err != nil {
			return err
		}
		for i := range service.Endpoints {
			listen := n.endpointAddress(service.Name, i)
			name := EndpointName(service.Name, i)
			if err := n.start(NewProcess(n.folder, name, n.binaries.Bench, "naive-endpoint", "-listen", listen, "-name", name)); err != nil {
				return err
			}
		}
		if err := n.startBalancers(service); err != nil {
			return err
		}
	}
	return nil
}

func (n *NaiveCluster) startBalancers(service ServicePlan) error {
	var targets []string
	for i := range n.plan.Balancers {
		listen := n.address(firstBalancerHost+i, service.Port)
		targets = append(targets, listen)
		process := NewProcess(n.folder, naiveBalancerName(service.Name, i), n.binaries.Bench, "naive-balancer", "-listen", listen, "-list", n.listPath(service.Name))
		if err := n.start(process); err != nil {
			return err
		}
	}
	return n.start(NewProcess(n.folder, fabricName(service.Name), n.binaries.Bench, "fabric",
		"-listen", n.address(fabricHost, service.Port), "-targets", strings.Join(targets, ",")))
}

func naiveBalancerName(service string, i int) string {
	return fmt.Sprintf("%s-%s", BalancerName(i), service)
}

func (n *NaiveCluster) listPath(service string) string {
	return filepath.Join(n.folder, service+".list")
}

func (n *NaiveCluster) endpointAddress(service string, i int) string {
	return strings.TrimPrefix(n.EndpointURL(service, i, ""), "http://")
}

func (n *NaiveCluster) writeList(service ServicePlan) error {
	var lines []string
	for i := range service.Endpoints {
		if !n.isRemoved[EndpointName(service.Name, i)] {
			lines = append(lines, n.endpointAddress(service.Name, i))
		}
	}
	path := n.listPath(service.Name)
	if err := os.WriteFile(path+".new", []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.Rename(path+".new", path))
}

// ReplaceBalancer kills and restarts the balancer with the given index of every service.
func (n *NaiveCluster) ReplaceBalancer(i int) error {
	for _, service := range n.plan.Services {
		if err := restartProcess(n.Process(naiveBalancerName(service.Name, i))); err != nil {
			return err
		}
	}
	return nil
}

// RestartEndpoint removes an endpoint from the list, waits, restarts it and adds it again.
func (n *NaiveCluster) RestartEndpoint(service string, i int) error {
	name := EndpointName(service, i)
	if err := n.setRemoved([]string{name}, true); err != nil {
		return err
	}
	time.Sleep(naiveRemovalDelay)
	if err := restartProcess(n.Process(name)); err != nil {
		return err
	}
	return n.setRemoved([]string{name}, false)
}

func (n *NaiveCluster) setRemoved(names []string, isRemoved bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range names {
		n.isRemoved[name] = isRemoved
	}
	for _, service := range n.plan.Services {
		if err := n.writeList(service); err != nil {
			return err
		}
	}
	return nil
}

func (n *NaiveCluster) endpointsIn(zone string) []string {
	var names []string
	for _, service := range n.plan.Services {
		for i := range service.Endpoints {
			if n.zone(i) == zone {
				names = append(names, EndpointName(service.Name, i))
			}
		}
	}
	return names
}

// EvacuateZone removes the zone's endpoints from the lists.
func (n *NaiveCluster) EvacuateZone(zone string) error {
	return n.setRemoved(n.endpointsIn(zone), true)
}

// RestoreZone adds the zone's endpoints to the lists again.
func (n *NaiveCluster) RestoreZone(zone string) error {
	return n.setRemoved(n.endpointsIn(zone), false)
}
