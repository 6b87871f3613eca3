package harness

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Ports and the last bytes of IP addresses. All instances use the same ports on IP
// addresses of their own.
const (
	linkPort     = 7400
	envelopePort = 7500
	announcePort = 7600
	metricsPort  = 9400
	endpointPort = 8000

	fabricHost        = 1
	firstControlHost  = 10
	firstBalancerHost = 30
	firstAgentHost    = 60
)

// ServicePlan describes one service of a cluster.
type ServicePlan struct {
	Name string
	// Port is the port of the service address.
	Port int
	// Endpoints is the number of endpoints of the service.
	Endpoints int
	// Extra is appended to the service document.
	Extra string
}

// Plan describes a cluster.
type Plan struct {
	Controls  int
	Balancers int
	// Zones are assigned in turn to the instances of each role.
	Zones    []string
	Services []ServicePlan
	// BalancersArePeers lists the balancers among the peers of every instance.
	BalancersArePeers bool
	// ExtraSettings is appended to the settings of every instance.
	ExtraSettings string
}

// Cluster is a running cluster.
type Cluster struct {
	plan     Plan
	folder   string
	binaries Binaries
	subnet   string

	mu        sync.Mutex
	processes map[string]*Process
}

// Start starts every process of the plan and submits the service documents. It returns
// when every balancer is healthy and has all endpoints in its view.
func Start(binaries Binaries, folder string, plan Plan) (*Cluster, error) {
	c := &Cluster{plan: plan, folder: folder, binaries: binaries, subnet: Subnet(), processes: make(map[string]*Process)}
	if err := c.writeKeys(); err != nil {
		return nil, err
	}
	if err := c.startAll(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

var clusters atomic.Int32

// Subnet returns the first three bytes of a loopback /24 network for a new cluster,
// derived from the process ID and the number of the cluster within the process.
func Subnet() string {
	const clustersPerProcess = 64
	id := os.Getpid()*clustersPerProcess + int(clusters.Add(1))
	return fmt.Sprintf("127.%d.%d", 1+(id>>8)%250, id%256)
}

func (c *Cluster) writeKeys() error {
	var secret [32]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return Error.Wrap(err)
	}
	text := "[keys]\ncurrent = 1\n1 = " + hex.EncodeToString(secret[:]) + "\n"
	return Error.Wrap(os.WriteFile(filepath.Join(c.folder, "cluster.keys"), []byte(text), 0o600))
}

func (c *Cluster) startAll() error {
	for i := range c.plan.Controls {
		if err := c.startInstance(ControlName(i), c.controlSettings(i)); err != nil {
			return err
		}
	}
	for i := range c.plan.Balancers {
		if err := c.startInstance(BalancerName(i), c.balancerSettings(i)); err != nil {
			return err
		}
	}
	if err := c.startServices(); err != nil {
		return err
	}
	return c.submitDocuments()
}

func (c *Cluster) startServices() error {
	host := firstAgentHost
	for _, service := range c.plan.Services {
		for i := range service.Endpoints {
			if err := c.startEndpoint(service, i, host); err != nil {
				return err
			}
			host++
		}
		if err := c.start(c.fabricProcess(service)); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startEndpoint(service ServicePlan, i, host int) error {
	name := AgentName(service.Name, i)
	if err := c.startInstance(name, c.agentSettings(name, i, host)); err != nil {
		return err
	}
	return c.start(NewProcess(c.folder, EndpointName(service.Name, i), c.binaries.Bench, "endpoint",
		"-listen", c.address(host, endpointPort),
		"-announce", c.address(host, announcePort),
		"-service", service.Name,
		"-name", EndpointName(service.Name, i)))
}

// Names of the processes of a cluster. Indexes start at 0.
func ControlName(i int) string                  { return fmt.Sprintf("control-%d", i) }
func BalancerName(i int) string                 { return fmt.Sprintf("balancer-%d", i) }
func AgentName(service string, i int) string    { return fmt.Sprintf("%s-agent-%d", service, i) }
func EndpointName(service string, i int) string { return fmt.Sprintf("%s-endpoint-%d", service, i) }
func fabricName(service string) string          { return service + "-fabric" }

func (c *Cluster) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", c.subnet, host, port)
}

func (c *Cluster) zone(i int) string {
	return c.plan.Zones[i%len(c.plan.Zones)]
}

func (c *Cluster) fabricProcess(service ServicePlan) *Process {
	var targets []string
	for i := range c.plan.Balancers {
		host := firstBalancerHost + i
		targets = append(targets, fmt.Sprintf("%s=http://%s/healthz", c.address(host, service.Port), c.address(host, metricsPort)))
	}
	return NewProcess(c.folder, fabricName(service.Name), c.binaries.Bench, "fabric",
		"-listen", c.address(fabricHost, service.Port), "-targets", strings.Join(targets, ","))
}

func (c *Cluster) startInstance(name, text string) error {
	path := filepath.Join(c.folder, name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return Error.Wrap(err)
	}
	return c.start(NewProcess(c.folder, name, c.binaries.Daemon, "run", "--settings", path))
}

func (c *Cluster) start(p *Process) error {
	c.mu.Lock()
	c.processes[p.name] = p
	c.mu.Unlock()
	return p.Start()
}

// Process returns the process with the given name, or nil if there is none.
func (c *Cluster) Process(name string) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// Close kills every process that still runs.
func (c *Cluster) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		// Kill fails only for processes that have ended.
		_ = p.Kill()
	}
}

// URL returns the URL at which callers reach a path of a service, or "" if the plan has no
// such service.
func (c *Cluster) URL(service, path string) string {
	for _, s := range c.plan.Services {
		if s.Name == service {
			return "https://" + c.address(fabricHost, s.Port) + path
		}
	}
	return ""
}

// EndpointURL returns the URL of a path at the endpoint itself, or "" if the plan has no
// such service. Requests to this URL bypass the load balancer.
func (c *Cluster) EndpointURL(service string, index int, path string) string {
	host := firstAgentHost
	for _, s := range c.plan.Services {
		if s.Name == service {
			return "http://" + c.address(host+index, endpointPort) + path
		}
		host += s.Endpoints
	}
	return ""
}

// Ctl runs sassafrasturnctl against all control instances.
func (c *Cluster) Ctl(args ...string) (string, error) {
	var controls []string
	for i := range c.plan.Controls {
		controls = append(controls, c.address(firstControlHost+i, linkPort))
	}
	command := exec.Command(c.binaries.Ctl, append([]string{"-control", strings.Join(controls, ",")}, args...)...)
	output, err := command.CombinedOutput()
	return string(output), Error.Wrap(err)
}

// startTimeout limits the wait until a cluster serves its services.
const (
	startTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

func (c *Cluster) submitDocuments() error {
	for _, service := range c.plan.Services {
		path := filepath.Join(c.folder, service.Name+".document.ini")
		if err := os.WriteFile(path, []byte(c.Document(service, 0)), 0o600); err != nil {
			return Error.Wrap(err)
		}
		err := Eventually(startTimeout, func() error {
			output, err := c.Ctl("submit", "-id", "start-"+service.Name, path)
			if err != nil {
				return Error.New("submit: %s", output)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return Eventually(startTimeout, c.CheckServing)
}

// CheckServing returns an error unless every balancer is healthy and has every endpoint in
// its view.
func (c *Cluster) CheckServing() error {
	client := &http.Client{Timeout: time.Second}
	for i := range c.plan.Balancers {
		host := firstBalancerHost + i
		response, err := client.Get("http://" + c.address(host, metricsPort) + "/healthz")
		if err != nil {
			return Error.Wrap(err)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return Error.New("health check of %s returned %s", BalancerName(i), response.Status)
		}
		if err := c.checkEndpoints(host); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) checkEndpoints(host int) error {
	output, err := exec.Command(c.binaries.Ctl, "-control", c.address(host, linkPort), "status").CombinedOutput()
	if err != nil {
		return Error.New("status: %s", output)
	}
	for _, service := range c.plan.Services {
		want := fmt.Sprintf("service %s: takes datagrams at %s.%d:%d, %d endpoints", service.Name, c.subnet, host, service.Port, service.Endpoints)
		if !strings.Contains(string(output), want) {
			return Error.New("status has no line %q:\n%s", want, output)
		}
	}
	return nil
}

// Eventually calls check until it succeeds or the timeout has passed. It returns the last
// error.
func Eventually(timeout time.Duration, check func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}
