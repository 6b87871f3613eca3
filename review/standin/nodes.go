package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const heartbeatInterval = 770 * time.Millisecond

// site is a small deployment on loopback addresses.
type site struct {
	record *recorder
	// root is the repository, and folder a temporary one for settings, data and logs.
	root, folder string
	// net is the first two parts of all addresses.
	net  string
	port int

	zones    []string
	cores    []*node
	edges    []*node
	sides    []*node
	settings sync.Mutex
}

// node is a machine with one process of the system.
type node struct {
	site               *site
	name, class        string
	zone, ip           string
	service            string
	isBootstrap        bool
	mu                 sync.Mutex
	command            *exec.Cmd
	exited             chan struct{}
	starts             int
	isDown, isExpected bool
}

// Offsets of the ports from the site's first one. They are the same on all machines.
const (
	portDatagram = iota
	portReady
	portControl
	portApp
	portOutbound
	portInternalFirst = 10
	portInternalLast  = 25
	portCount         = 26
)

// newSite chooses addresses and ports that are free.
func newSite(record *recorder, root string) (*site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{record: record, root: root, folder: folder, zones: []string{"nbi-a", "nbi-b", "nbi-c"}}
	for range 50 {
		s.net = fmt.Sprintf("127.%d", 1+rand.IntN(250))
		s.port = 12000 + 100*rand.IntN(150)
		if s.isFree() {
			return s, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses found")
}

// isFree reports whether the ports of two machines of the site can be bound.
func (s *site) isFree() bool {
	for _, ip := range []string{s.net + ".1.10", s.net + ".3.250"} {
		for offset := range portCount {
			address := fmt.Sprintf("%s:%d", ip, s.port+offset)
			listener, err := net.Listen("tcp4", address)
			if err != nil {
				return false
			}
			listener.Close()
			conn, err := net.ListenPacket("udp4", address)
			if err != nil {
				return false
			}
			conn.Close()
		}
	}
	return true
}

func (s *site) address(ip string, offset int) string { return fmt.Sprintf("%s:%d", ip, s.port+offset) }

// add adds a machine to a zone, numbered from 1.
func (s *site) add(class string, zone, number int, service string) *node {
	n := &node{
		site: s, class: class, zone: s.zones[zone], service: service, isBootstrap: true,
		name: fmt.Sprintf("%s-%s-%d", class, s.zones[zone], number),
	}
	first := map[string]int{"edge": 10, "side": 30, "core": 90}[class]
	n.ip = fmt.Sprintf("%s.%d.%d", s.net, zone+1, first+number)
	switch class {
	case "core":
		s.cores = append(s.cores, n)
	case "edge":
		s.edges = append(s.edges, n)
	case "side":
		s.sides = append(s.sides, n)
	}
	return n
}

func (s *site) all() []*node {
	return append(append(append([]*node(nil), s.cores...), s.edges...), s.sides...)
}

// settingsText returns the settings file of a process, as DEPLOY.md describes it.
func (n *node) settingsText() string {
	s := n.site
	var seeds []string
	for _, core := range []*node{s.cores[0], s.cores[2], s.cores[4]} {
		seeds = append(seeds, fmt.Sprintf("%q", s.address(core.ip, portControl)))
	}
	serves := map[string]string{"edge": "edge", "side": "side", "core": "control_plane"}[n.class]
	var b strings.Builder
	fmt.Fprintf(&b, "node-name = %q\nrole = \"my-%s\"\nmachine-class = %q\nserves = [%q]\n", n.name, n.class, n.class, serves)
	fmt.Fprintf(&b, "ip = %q\nzone = %q\nregion = \"ke-central\"\ninternal-ports = [%d,%d]\n", n.ip, n.zone, s.port+portInternalFirst, s.port+portInternalLast)
	fmt.Fprintf(&b, "seeds = [%s]\nbootstrap = %t\nin-tolerance = %t\n", strings.Join(seeds, ","), n.isBootstrap, n.class == "core")
	if n.class == "core" {
		fmt.Fprintf(&b, "data-dir = %q\n", n.dataDir())
	}
	b.WriteString("discovery = \"local\"\nentry = \"announce\"\nheartbeat-ms = 770\n")
	b.WriteString("invariants = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"places\"]\nconfig_mode = \"highest\"\nflow-hash = \"mod\"\ndispatch-mode = \"agent\"\n")
	if n.class == "side" {
		fmt.Fprintf(&b, "app = %q\nservice = %q\n", s.address(n.ip, portApp), n.service)
	}
	b.WriteString("[zones]\n")
	for _, zone := range s.zones {
		fmt.Fprintf(&b, "%s = \"ke-central\"\n", zone)
	}
	b.WriteString("[listen]\n")
	if n.class != "core" {
		fmt.Fprintf(&b, "datagram-addr = %q\n", s.address(n.ip, portDatagram))
	}
	if n.class != "core" {
		fmt.Fprintf(&b, "ready = %q\n", s.address(n.ip, portReady))
	}
	if n.class == "side" {
		fmt.Fprintf(&b, "outbound = %q\n", s.address(n.ip, portOutbound))
	}
	if n.class != "edge" {
		fmt.Fprintf(&b, "control = %q\n", s.address(n.ip, portControl))
	}
	b.WriteString("[limits]\ncpu-share = 0.96\ncores = 1\nmemory-mb = 280\nmax-fds = 4096\nlink-mbps = 1000.0\ndisk-mb = 128\n")
	b.WriteString("[fault-tolerance]\nmachines = 2\nzones = 1\nregions = 0\n")
	b.WriteString("[bounds]\nseed-lag-s = 3\naddr-reuse-s = 2\ncontact-ms = 4000\nack-ms = 5000\ncatch-up-s = 4\ndrain-ms = 3000\ngrace-s = 6\nloss-slack-ms = 200\n")
	b.WriteString("config-apply-ms = 3000\nrollback-slack-ms = 250\nmax-stretch-ms = 12000\ncold-factor = 1.5\ncold-slack = 5\nevacuate-ms = 5000\nrecovery-s = 12\nreorder-ms = 2000\nmax-flow-s = 60\n")
	return b.String()
}

func (n *node) dataDir() string { return filepath.Join(n.site.folder, n.name+".data") }

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	s := n.site
	path := filepath.Join(s.folder, n.name+".toml")
	if err := os.WriteFile(path, []byte(n.settingsText()), 0o600); err != nil {
		return err
	}
	if n.class == "core" {
		if err := os.MkdirAll(n.dataDir(), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(s.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(s.root, "target/sassafrasturnd"), "run", "--platform")
	command.Dir = s.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SASSAFRASTURN_CONFIG=" + path}
	command.Stdout, command.Stderr = log, log
	// The process ends with this one, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	exited := make(chan struct{})
	n.command, n.exited, n.isExpected = command, exited, false
	n.starts++
	go func() {
		command.Wait()
		n.mu.Lock()
		isOwn := !n.isExpected
		n.mu.Unlock()
		if isOwn {
			s.record.logf("%s ended by itself: %s", n.name, command.ProcessState)
		}
		close(exited)
	}()
	return nil
}

func (n *node) signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		n.isExpected = true
	}
	n.command.Process.Signal(signal)
	n.site.record.logf("%s gets %s", n.name, signal)
}

// restart sends a signal that ends the process, waits for its end, and starts it again after
// the downtime.
func (n *node) restart(signal syscall.Signal, downtime time.Duration) error {
	n.signal(signal)
	select {
	case <-n.exited:
	case <-time.After(6 * time.Second):
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
	time.Sleep(downtime)
	n.site.record.logf("%s starts again", n.name)
	return n.start()
}

// startAll starts all processes within 0.3 s. They run under threads that live as long as
// this process, since Pdeathsig refers to the thread.
func (s *site) startAll() error {
	for _, n := range s.all() {
		if err := n.start(); err != nil {
			return err
		}
	}
	s.record.logf("started %d core, %d edge and %d side processes", len(s.cores), len(s.edges), len(s.sides))
	return nil
}

// stop ends all processes and removes the temporary folder.
func (s *site) stop() {
	for _, n := range s.all() {
		n.mu.Lock()
		n.isExpected = true
		if n.command != nil {
			n.command.Process.Signal(syscall.SIGCONT)
			n.command.Process.Kill()
		}
		exited := n.exited
		n.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept", s.folder)
	}
}

// pause waits unless the context ends.
func pause(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
