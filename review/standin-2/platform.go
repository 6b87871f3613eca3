package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports are the same on all machines.
type ports struct{ datagram, ready, outbound, control, app, internal uint16 }

// freePorts returns ports that are free on a network of loopback addresses.
func freePorts(address netip.Addr) (p ports, err error) {
	base := uint16(20000 + rand.IntN(20000))
	for try := range uint16(200) {
		first := base + try*40
		isFree := true
		for port := first; port < first+40 && isFree; port++ {
			listener, err := net.Listen("tcp4", netip.AddrPortFrom(address, port).String())
			if isFree = err == nil; isFree {
				listener.Close()
			}
		}
		if isFree {
			return ports{datagram: first, ready: first + 1, outbound: first + 2, control: first + 3, app: first + 4, internal: first + 10}, nil
		}
	}
	return p, fmt.Errorf("no free ports on %s", address)
}

// machine is a machine with one process of the system.
type machine struct {
	d           *deployment
	name, class string
	zone        string
	ip          netip.Addr
	service     string

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	// isRunning is set while the platform wants the process to run.
	isRunning bool
	// isStopping is set from the SIGTERM to the next start.
	isStopping atomic.Bool
}

// deployment is a small deployment of the system on loopback addresses.
type deployment struct {
	folder, program string
	ports           ports
	subnet          byte
	record          *record
	zones           []string

	core, edge, side []*machine
	mu               sync.Mutex
	seeds            []*machine
	bootstrap        bool
	servers          []*server
}

func newDeployment(program string, record *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, program: program, record: record, subnet: byte(20 + rand.IntN(200)), zones: []string{"zone-a", "zone-b", "zone-c"}, bootstrap: true}
	d.ports, err = freePorts(d.address(0, 1))
	return d, err
}

func (d *deployment) address(network, host byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.subnet, network, host})
}

func (d *deployment) add(class string, zone, number int, service string) *machine {
	network := map[string]byte{"core": 1, "edge": 2, "side": 3}[class]
	m := &machine{d: d, class: class, zone: d.zones[zone], ip: d.address(network, byte(number+1)), service: service, name: fmt.Sprintf("%s-%s-%d", class, d.zones[zone], number)}
	switch class {
	case "core":
		d.core = append(d.core, m)
	case "edge":
		d.edge = append(d.edge, m)
	case "side":
		d.side = append(d.side, m)
	}
	return m
}

func (m *machine) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.ip, port) }

func (m *machine) path(name string) string { return filepath.Join(m.d.folder, m.name+name) }

// writeSettings writes the settings file of a machine as DEPLOY.md describes it.
func (m *machine) writeSettings() error {
	d := m.d
	d.mu.Lock()
	var seeds []string
	for _, seed := range d.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", seed.at(d.ports.control)))
	}
	bootstrap := d.bootstrap
	d.mu.Unlock()
	serves := map[string]string{"core": "control_plane", "edge": "edge", "side": "side"}[m.class]
	var b strings.Builder
	fmt.Fprintf(&b, "node-name = %q\nrole = %q\nmachine-class = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = \"region\"\n", m.name, m.class, m.class, serves, m.ip, m.zone)
	fmt.Fprintf(&b, "internal-ports = [%d,%d]\nseeds = [%s]\nbootstrap = %t\nin-tolerance = %t\n", d.ports.internal, d.ports.internal+15, strings.Join(seeds, ","), bootstrap, m.class == "core")
	fmt.Fprintf(&b, "discovery = \"local\"\nentry = \"announce\"\nheartbeat-ms = %d\nconfig_mode = \"highest\"\nflow-hash = \"mod\"\ndispatch-mode = \"agent\"\n", heartbeatInterval.Milliseconds())
	switch m.class {
	case "core":
		fmt.Fprintf(&b, "data-dir = %q\n[listen]\ncontrol = %q\n", m.path(".data"), m.at(d.ports.control))
	case "edge":
		fmt.Fprintf(&b, "[listen]\ndatagram-addr = %q\nready = %q\n", m.at(d.ports.datagram), m.at(d.ports.ready))
	case "side":
		fmt.Fprintf(&b, "app = %q\nservice = %q\n[listen]\ndatagram-addr = %q\noutbound = %q\nready = %q\ncontrol = %q\n",
			m.at(d.ports.app), m.service, m.at(d.ports.datagram), m.at(d.ports.outbound), m.at(d.ports.ready), m.at(d.ports.control))
	}
	b.WriteString("[limits]\ncpu-share = 0.96\ncores = 1\nmemory-mb = 280\nmax-fds = 4096\nlink-mbps = 1000.0\n[fault-tolerance]\nmachines = 2\nzones = 1\nregions = 0\n")
	b.WriteString("[bounds]\nseed-lag-s = 3\naddr-reuse-s = 2\ncontact-ms = 4000\nack-ms = 5000\ncatch-up-s = 4\ndrain-ms = 3000\ngrace-s = 6\nconfig-apply-ms = 3000\ncold-factor = 1.5\ncold-slack = 5\nevacuate-ms = 5000\nrecovery-s = 12\nreorder-ms = 2000\nmax-flow-s = 60\n")
	temporary := m.path(".toml.new")
	if err := os.WriteFile(temporary, []byte(b.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, m.path(".toml"))
}

// start starts the process of a machine.
func (m *machine) start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	output, err := os.OpenFile(m.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(m.d.program, "run", "--platform")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "SASSAFRASTURN_CONFIG=" + m.path(".toml")}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.process, m.done = command, done
	m.isStopping.Store(false)
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

// graceTime is grace-s of the settings.
const graceTime = 6 * time.Second

// stop sends SIGTERM and, after graceTime, SIGKILL, and returns when the process has ended.
func (m *machine) stop() {
	m.isStopping.Store(true)
	m.signal(syscall.SIGTERM)
	select {
	case <-m.done:
	case <-time.After(graceTime):
		m.kill()
	}
}

func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.done
}

func (m *machine) signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(signal)
	}
}

// restartDelay is the short delay after which a process that has ended is started again.
const restartDelay = 500 * time.Millisecond

// roll restarts a process gracefully.
func (m *machine) roll() error {
	m.stop()
	time.Sleep(restartDelay)
	return m.start()
}

// setSeeds names other seeds in the settings of all machines.
func (d *deployment) setSeeds(seeds ...*machine) error {
	d.mu.Lock()
	d.seeds = seeds
	d.mu.Unlock()
	for _, m := range d.machines() {
		if err := m.writeSettings(); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) machines() []*machine {
	var all []*machine
	for _, part := range [][]*machine{d.core, d.edge, d.side} {
		all = append(all, part...)
	}
	return all
}

// serverDelay is how long servers start after the processes of the system.
const serverDelay = time.Second

// start starts all processes, and then the servers.
func (d *deployment) start() error {
	for _, m := range d.machines() {
		if err := m.start(); err != nil {
			return err
		}
	}
	time.Sleep(serverDelay)
	for _, m := range d.side {
		s, err := newServer("i-"+m.name, m.service, m.zone, m.at(d.ports.app), m.at(d.ports.outbound), m.at(d.ports.control), d.record)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, s)
	}
	d.mu.Lock()
	d.bootstrap = false
	d.mu.Unlock()
	return nil
}

// end kills all processes and removes the temporary folder.
func (d *deployment) end() {
	for _, m := range d.machines() {
		if m.process != nil {
			m.kill()
		}
	}
	_ = os.RemoveAll(d.folder)
}

// isReady asks a balancer whether it is ready.
func (m *machine) isReady() bool {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	response, err := client.Get("http://" + m.at(m.d.ports.ready).String() + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// desiredState returns a desired state with one route to each of some services.
func desiredState(version int, coldPerSecond float64, routes map[netip.AddrPort]string, services []string) []byte {
	type route struct {
		Name      string `json:"name"`
		Host      string `json:"host"`
		Prefix    string `json:"path-prefix"`
		Type      string `json:"route-type"`
		Timeout   int    `json:"timeout-ms"`
		Objective int    `json:"target-latency-ms"`
		Priority  int    `json:"priority"`
		Service   string `json:"service"`
		Attempts  int    `json:"max-attempts"`
	}
	type service struct {
		Name     string  `json:"name"`
		Health   string  `json:"health-path"`
		MaxConns int     `json:"max-conns"`
		Protocol string  `json:"protocol"`
		TLS      bool    `json:"tls"`
		Cold     float64 `json:"cold-start-s"`
		ColdRate float64 `json:"cold-per-s"`
	}
	state := map[string]any{
		"version": version,
		"limits":  map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	var list []route
	for address, name := range routes {
		list = append(list, route{"r-" + name, address.Addr().String(), fmt.Sprintf("/%d/", address.Port()), "non_idempotent", 5000, 1000, 1, name, 2})
	}
	var known []service
	for _, name := range services {
		known = append(known, service{name, "/health", 2000, "h1", false, coldTime.Seconds(), coldPerSecond})
	}
	state["routes"], state["services"] = list, known
	body, _ := json.Marshal(state)
	return body
}

// coldTime is cold-start-s of the desired states.
const coldTime = 2 * time.Second

// evacuate requests or withdraws the evacuation of a zone at one core machine after the other
// until it is acknowledged.
func (d *deployment) evacuate(zone string, isOut bool, timeout time.Duration) error {
	call := map[bool]string{true: "/Evacuations.Start/", false: "/Evacuations.End/"}[isOut] + zone
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		for _, m := range d.core {
			response, err := client.Post("http://"+m.at(d.ports.control).String()+call, "", nil)
			if err != nil {
				continue
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				d.record.printf("operator: %s acknowledged by way of %s", call, m.name)
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s was not acknowledged in %s", call, timeout)
}

// replace sends a desired state to one core machine after the other until it is acknowledged.
func (d *deployment) replace(body []byte, timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(timeout)
	for number := 0; time.Now().Before(end); number++ {
		m := d.core[number%len(d.core)]
		response, err := client.Post("http://"+m.at(d.ports.control).String()+"/Config.Replace", "application/json", bytes.NewReader(body))
		if err == nil {
			text, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				d.record.printf("operator: desired state acknowledged by %s", m.name)
				return nil
			}
			if response.StatusCode == http.StatusBadRequest {
				return fmt.Errorf("desired state refused: %s", text)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the desired state was not acknowledged in %s", timeout)
}
