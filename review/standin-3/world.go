package main

import (
	"bufio"
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
	"syscall"
	"time"
)

// record is the record of a run.
type record struct {
	mu         sync.Mutex
	file       *os.File
	started    time.Time
	violations []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, started: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.lineAt(time.Now(), format, args...)
}

func (r *record) lineAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", at.Sub(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) violate(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.line("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, text)
}

// Ports, the same on all machines, and the numbers of the machines in the subnet.
const (
	portInternal = 7720
	portMetrics  = 7735
	portOutbound = 8162
	portServer   = 8165
	portControl  = 8166
	portReady    = 8167
	portPackets  = 8172
	portLate     = 8186

	firstClient = 10
	firstEdge   = 30
	firstCore   = 50
	firstSide   = 90
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// world is a small deployment: five control instances, balancers, and agents with a server each.
type world struct {
	folder, daemon, subnet string
	record                 *record
	processes              []*process
	cores, edges           []*process
	sides                  []*side
	router                 *router
	heartbeatMs            int

	mu     sync.Mutex
	events []event
}

// event is a line that a server has written.
type event struct {
	at     time.Time
	server string
	text   string
}

// side is a machine with an agent, beside which a server runs.
type side struct {
	host  string
	zone  string
	agent *process
}

func (w *world) host(number int) string { return fmt.Sprintf("%s.%d", w.subnet, number) }

func address(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }

// newWorld returns a world in a subnet of the loopback network whose ports are free.
func newWorld(rec *record, daemon string) (*world, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		if !isFree(subnet) {
			continue
		}
		return &world{folder: folder, daemon: daemon, subnet: subnet, record: rec, heartbeatMs: 770}, nil
	}
	return nil, fmt.Errorf("no free loopback subnet found")
}

// isFree reports whether nobody uses the ports in a subnet.
func isFree(subnet string) bool {
	for number := 1; number < 100; number++ {
		for _, port := range []int{portInternal, portMetrics, portServer, portControl, portReady, portLate} {
			listener, err := net.Listen("tcp4", address(fmt.Sprintf("%s.%d", subnet, number), port))
			if err != nil {
				return false
			}
			listener.Close()
		}
		for _, port := range []int{portInternal, portOutbound, portServer, portPackets} {
			conn, err := net.ListenPacket("udp4", address(fmt.Sprintf("%s.%d", subnet, number), port))
			if err != nil {
				return false
			}
			conn.Close()
		}
	}
	return true
}

// process is a process that the test has started.
type process struct {
	name    string
	args    []string
	env     []string
	log     string
	onLine  func(line string)
	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = exec.Command(p.args[0], p.args[1:]...)
	p.command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, p.env...)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command.Stderr = log
	var lines io.ReadCloser
	if p.onLine == nil {
		p.command.Stdout = log
	} else if lines, err = p.command.StdoutPipe(); err != nil {
		return err
	}
	if err := p.command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.done = done
	command := p.command
	go func() {
		if lines != nil {
			scanner := bufio.NewScanner(lines)
			for scanner.Scan() {
				p.onLine(scanner.Text())
			}
		}
		_ = command.Wait()
		log.Close()
		close(done)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	select {
	case <-p.done:
	case <-time.After(5 * time.Second):
	}
}

func (w *world) close() {
	for _, p := range w.processes {
		if p.done != nil {
			p.kill()
		}
	}
	if w.router != nil {
		close(w.router.stop)
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs are in", w.folder)
	}
}

// settings returns the settings file of a process, like that of a small deployment.
func (w *world) settings(name, class, serves, host, zone, more, listen string) string {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, `"`+address(w.host(firstCore+i), portControl)+`"`)
	}
	return fmt.Sprintf(`node-name = "%s"
role = "%s"
machine-class = "%s"
serves = ["%s"]
ip = "%s"
zone = "%s"
region = "region"
internal-ports = [%d,%d]
seeds = [%s]
bootstrap = true
in-tolerance = %t
discovery = "local"
entry = "announce"
heartbeat-ms = %d
config_mode = "highest"
flow-hash = "mod"
dispatch-mode = "agent"
%s
[listen]
%s
[limits]
link-mbps = 1000.0
[fault-tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
contact-ms = 4000
ack-ms = 5000
catch-up-s = 4
drain-ms = 3000
grace-s = 6
config-apply-ms = 3000
cold-factor = 1.5
cold-slack = 5
evacuate-ms = 5000
recovery-s = 12
reorder-ms = 2000
max-flow-s = 60
`, name, class, class, serves, host, zone, portInternal, portMetrics, strings.Join(seeds, ","), class == "core", w.heartbeatMs, more, listen)
}

// addNode adds a process of the system and starts it.
func (w *world) addNode(name, class, serves, host, zone, more, listen string) (*process, error) {
	path := filepath.Join(w.folder, name+".toml")
	if err := os.WriteFile(path, []byte(w.settings(name, class, serves, host, zone, more, listen)), 0o600); err != nil {
		return nil, err
	}
	p := &process{
		name: name, args: []string{w.daemon, "run", "--platform"},
		env: []string{"SASSAFRASTURN_CONFIG=" + path}, log: filepath.Join(w.folder, name+".log"),
	}
	w.processes = append(w.processes, p)
	return p, p.start()
}

// start starts all processes of the system and the router. services has the service of each side
// machine.
func (w *world) start(edges int, services []string) error {
	for i := range 5 {
		host := w.host(firstCore + i)
		p, err := w.addNode(fmt.Sprintf("core-%d", i), "core", "control_plane", host, zones[i%3],
			fmt.Sprintf("data-dir = \"%s\"", filepath.Join(w.folder, fmt.Sprintf("data-%d", i))),
			fmt.Sprintf("control = \"%s\"", address(host, portControl)))
		if err != nil {
			return err
		}
		w.cores = append(w.cores, p)
	}
	w.router = &router{stop: make(chan struct{})}
	for i := range edges {
		host := w.host(firstEdge + i)
		p, err := w.addNode(fmt.Sprintf("edge-%d", i), "edge", "edge", host, zones[0], "",
			fmt.Sprintf("datagram-addr = \"%s\"\nready = \"%s\"", address(host, portPackets), address(host, portReady)))
		if err != nil {
			return err
		}
		w.edges = append(w.edges, p)
		w.router.nodes = append(w.router.nodes, routedNode{
			packets: netip.MustParseAddrPort(address(host, portPackets)), ready: netip.MustParseAddrPort(address(host, portReady)),
		})
	}
	for i, service := range services {
		host, zone := w.host(firstSide+i), zones[0]
		p, err := w.addNode(fmt.Sprintf("side-%d", i), "side", "side", host, zone,
			fmt.Sprintf("app = \"%s\"\nservice = \"%s\"", address(host, portServer), service),
			fmt.Sprintf("datagram-addr = \"%s\"\noutbound = \"%s\"\nready = \"%s\"\ncontrol = \"%s\"",
				address(host, portPackets), address(host, portOutbound), address(host, portReady), address(host, portControl)))
		if err != nil {
			return err
		}
		w.sides = append(w.sides, &side{host: host, zone: zone, agent: p})
	}
	go w.router.run()
	return nil
}

// startServer starts a server on a side machine. control is where it sends its heartbeats.
func (w *world) startServer(s *side, id, service, control string, more ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	args := append([]string{
		self, "server", "--id", id, "--service", service, "--zone", s.zone, "--addr", address(s.host, portServer),
		"--outbound", address(s.host, portOutbound), "--control", control, "--heartbeat", fmt.Sprintf("%dms", w.heartbeatMs),
	}, more...)
	p := &process{name: id, args: args, log: filepath.Join(w.folder, id+".log")}
	p.onLine = func(line string) {
		micros, text, _ := strings.Cut(line, " ")
		var unix int64
		fmt.Sscan(micros, &unix)
		at := time.UnixMicro(unix)
		w.record.lineAt(at, "server %s: %s", id, text)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.events = append(w.events, event{at: at, server: id, text: text})
	}
	w.processes = append(w.processes, p)
	return p, p.start()
}

// eventsOf returns the events of a server whose text begins with a prefix.
func (w *world) eventsOf(server, prefix string) []event {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []event
	for _, e := range w.events {
		if e.server == server && strings.HasPrefix(e.text, prefix) {
			found = append(found, e)
		}
	}
	return found
}

// route is a route of a desired state.
type route struct {
	name, host string
	port       int
	service    string
}

func (r *route) address() netip.AddrPort {
	return netip.MustParseAddrPort(address(r.host, r.port))
}

// desiredState returns the body of a desired state.
func desiredState(version int, coldPerSecond float64, services []string, routes []route) []byte {
	var routeList, serviceList []any
	for _, r := range routes {
		routeList = append(routeList, map[string]any{
			"name": r.name, "host": r.host, "path-prefix": fmt.Sprintf("/%d/", r.port), "route-type": "idempotent", "timeout-ms": 2000,
			"target-latency-ms": 200, "priority": 2, "service": r.service, "max-attempts": 2,
		})
	}
	for _, name := range services {
		serviceList = append(serviceList, map[string]any{
			"name": name, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false, "cold-start-s": 2.0, "cold-per-s": coldPerSecond,
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": routeList, "services": serviceList,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	return body
}

// call sends a call of the operator to the control instances in turn until one answers it. It
// returns the status and the body of the answer, or 0 if none answers in time.
func (w *world) call(method, path string, body []byte, limit time.Duration) (int, []byte) {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(limit)
	for n := 0; time.Now().Before(deadline); n++ {
		host := w.host(firstCore + n%5)
		request, _ := http.NewRequest(method, "http://"+address(host, portControl)+path, bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		answer, err := client.Do(request)
		if err == nil {
			data, readErr := io.ReadAll(answer.Body)
			answer.Body.Close()
			isAgain := answer.StatusCode >= 500 || answer.StatusCode == 408 || answer.StatusCode == 429
			if readErr == nil && !isAgain {
				w.record.line("operator: %s %s (%d bytes) answered %d", method, path, len(body), answer.StatusCode)
				return answer.StatusCode, data
			}
		}
		time.Sleep(min(time.Duration(n+1)*50*time.Millisecond, 500*time.Millisecond))
	}
	w.record.line("operator: %s %s (%d bytes) not answered", method, path, len(body))
	return 0, nil
}

// lateProxy passes connections on to an address. While it holds connections, it passes their bytes
// on after a delay each, in order.
type lateProxy struct {
	address string
	mu      sync.Mutex
	delay   time.Duration
}

func newLateProxy(listen, target string) (*lateProxy, error) {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &lateProxy{address: listen}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.pass(conn, target)
		}
	}()
	return p, nil
}

func (p *lateProxy) setDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// pass passes a connection on. What the client has sent arrives even if the client has given up.
func (p *lateProxy) pass(conn net.Conn, target string) {
	defer conn.Close()
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	buffer := make([]byte, 64<<10)
	if delay > 0 {
		// The bytes that are under way.
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		size := 0
		for {
			n, err := conn.Read(buffer[size:])
			size += n
			if err != nil {
				break
			}
		}
		time.Sleep(delay - 100*time.Millisecond)
		onward, err := net.Dial("tcp4", target)
		if err != nil {
			return
		}
		defer onward.Close()
		_, _ = onward.Write(buffer[:size])
		_ = onward.SetReadDeadline(time.Now().Add(time.Second))
		n, _ := onward.Read(buffer)
		_, _ = conn.Write(buffer[:n])
		return
	}
	onward, err := net.Dial("tcp4", target)
	if err != nil {
		return
	}
	defer onward.Close()
	go func() {
		_, _ = io.Copy(onward, conn)
		_ = onward.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(conn, onward)
}
