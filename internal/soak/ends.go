package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/platform"
)

// services are those of the routes; sites are dealt out to them in turn.
var services = []string{"orders", "drawings"}

func serviceOf(n int) string { return services[n%len(services)] }

// routeOf returns the address that callers dial for a service.
func routeOf(service string) netip.AddrPort {
	if service == services[0] {
		return netip.MustParseAddrPort("198.18.0.1:443")
	}
	return netip.MustParseAddrPort("198.18.0.2:443")
}

// content is what a caller sends on a flow; an endpoint that gets anything else
// has got a packet that its sender did not write.
func content(key flow.Key, seq uint32) []byte {
	return fmt.Appendf(nil, "request %d on %s", seq, key)
}

const (
	heartbeat = 500 * time.Millisecond
	// drainTime is how long after the acknowledgement of a drain new flows may arrive.
	drainTime = time.Second
)

// site is an agent with its endpoint, which answers packets in this process.
type site struct {
	world *world
	agent *instance
	n     int
	conn  *net.UDPConn

	mu       sync.Mutex
	id       string
	starts   int
	born     int64
	sequence int
	flows    map[flow.Key]uint32
	// drainedAt is when the agent acknowledged that the endpoint drains.
	isDraining bool
	drainedAt  time.Time
}

func newSite(w *world, agent *instance, n int) *site {
	return &site{world: w, agent: agent, n: n}
}

func (s *site) start(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(s.agent.host), Port: endpointPort})
	if err != nil {
		return Error.Wrap(err)
	}
	s.conn = conn
	s.restart()
	context.AfterFunc(ctx, func() { conn.Close() })
	go s.serve()
	go s.announce(ctx)
	return nil
}

// clockErrors are how wrong the time of day may be when an endpoint starts.
var clockErrors = []time.Duration{0, 0, 0, time.Hour, -time.Hour, 2 * time.Second, -2 * time.Second}

// isRunning reports whether the endpoint still is the incarnation of an identity.
func (s *site) isRunning(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id == id
}

// restart gives the endpoint a new incarnation, which knows no flows.
func (s *site) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	s.born = time.Now().Add(clockErrors[s.world.drawClock(len(clockErrors))]).UnixMilli()
	s.id = fmt.Sprintf("%s-%d-%d", s.agent.name, s.n, s.starts)
	s.sequence, s.isDraining, s.drainedAt = 0, false, time.Time{}
	s.flows = make(map[flow.Key]uint32)
}

func (s *site) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDraining = true
}

func (s *site) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		s.announceOnce(client)
		time.Sleep(heartbeat)
	}
}

func (s *site) announceOnce(client *http.Client) {
	s.mu.Lock()
	s.sequence++
	id, isDraining := s.id, s.isDraining
	state := map[bool]string{false: "ready", true: "draining"}[isDraining]
	body, err := json.Marshal(map[string]any{
		"service": serviceOf(s.n), "addr": fmt.Sprintf("%s:%d", s.agent.host, endpointPort), "zone": zoneOf(s.n), "version": "1",
		"slots": 5, "state": state, "cold-left-ms": 0, "seq": s.sequence, "born": s.born,
	})
	s.mu.Unlock()
	if err != nil {
		s.world.violate("heartbeat: %v", err)
		return
	}
	response, err := client.Post(fmt.Sprintf("http://%s:%d/Instances.Heartbeat/%s", s.agent.host, operatorPort, id), "application/json", bytes.NewReader(body))
	if err != nil {
		return
	}
	response.Body.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if isDraining && response.StatusCode == http.StatusOK && s.drainedAt.IsZero() && s.id == id {
		s.drainedAt = time.Now()
	}
}

func (s *site) serve() {
	buffer := make([]byte, 4096)
	out := &net.UDPAddr{IP: net.ParseIP(s.agent.host), Port: outboundPort}
	for {
		n, _, err := s.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if h, ok := (platform.Codec{}).Parse(buffer[:n]); ok {
			if reply := s.take(&h, buffer[:n]); reply != nil {
				// The agent may be gone; the caller asks again.
				_, _ = s.conn.WriteToUDP(reply, out)
			}
		}
	}
}

// take answers a packet: every packet with data by one with data.
func (s *site) take(h *flow.Header, packet []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := h.KeyFromCaller()
	next, isHeld := s.flows[key]
	answer := &flow.Header{Source: key.Dialed, Destination: key.Caller, IsACK: true, Ack: h.Seq + uint32(h.Length)}
	data := packet[len(packet)-h.Length:]
	switch {
	case h.IsSYN:
		return s.takeSYN(key, answer, next, isHeld, h)
	case !isHeld:
		bounced := *h
		bounced.IsBounced = true
		return platform.AppendPacket(nil, &bounced, 0, data)
	case h.Length == 0:
		return nil
	case !bytes.Equal(data, content(key, h.Seq)):
		s.world.violate("%s got a packet that its caller did not write: %q", s.id, data)
	}
	answer.Seq = next + h.Seq
	return platform.AppendPacket(nil, answer, 0, []byte(s.id))
}

func (s *site) takeSYN(key flow.Key, answer *flow.Header, next uint32, isHeld bool, h *flow.Header) []byte {
	if !isHeld {
		s.checkNewFlow(key)
		next = rand.Uint32()
		s.flows[key] = next
	}
	answer.IsSYN, answer.Seq, answer.Ack = true, next, h.Seq+1
	return platform.AppendPacket(nil, answer, 0, nil)
}

// caller opens flows from one address.
type caller struct {
	world *world
	host  netip.Addr
	conn  *net.UDPConn
	port  uint16
	// isRough: packets on their way to balancers are lost and late.
	isRough bool
	random  *rand.Rand

	mu      sync.Mutex
	waiting map[flow.Key]chan reply
}

// reply is a packet for a caller.
type reply struct {
	flow.Header
	// endpoint is the identity that an answer names.
	endpoint string
}

func newCallers(ctx context.Context, w *world) ([]*caller, error) {
	var pool []*caller
	for n := range callers {
		host := w.host(firstCaller + n)
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host), Port: packetPort})
		if err != nil {
			return nil, Error.Wrap(err)
		}
		context.AfterFunc(ctx, func() { conn.Close() })
		c := &caller{
			world: w, host: netip.MustParseAddr(host), conn: conn, port: 1000, isRough: n%4 == 3,
			random: rand.New(rand.NewPCG(w.config.Seed, uint64(n))), waiting: make(map[flow.Key]chan reply),
		}
		go c.receive()
		pool = append(pool, c)
	}
	return pool, nil
}

func (c *caller) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := c.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		h, ok := (platform.Codec{}).Parse(buffer[:n])
		if !ok {
			c.world.violate("a caller got %d bytes that are no packet", n)
			continue
		}
		c.mu.Lock()
		waiting := c.waiting[h.KeyFromEndpoint()]
		c.mu.Unlock()
		select {
		case waiting <- reply{Header: h, endpoint: string(buffer[n-h.Length : n])}:
		default:
		}
	}
}

const (
	lossOne      = 20
	lateOne      = 10
	lateTime     = 50 * time.Millisecond
	flowPatience = 1500 * time.Millisecond
	// plannedPatience is longer than an agent takes to stop and start again.
	plannedPatience = 8 * time.Second
	// maxWait bounds the time between copies of a request.
	maxWait = 800 * time.Millisecond
)

// send sends a packet through one of the balancers that are up.
func (c *caller) send(key flow.Key, h flow.Header, data []byte) {
	h.Source, h.Destination = key.Caller, key.Dialed
	b := c.world.balancers[c.random.IntN(len(c.world.balancers))]
	if b.isStopped.Load() {
		b = c.world.balancers[c.random.IntN(len(c.world.balancers))]
	}
	to := &net.UDPAddr{IP: net.ParseIP(b.host), Port: packetPort}
	packet := platform.AppendPacket(nil, &h, 0, data)
	switch {
	case c.isRough && c.random.IntN(lossOne) == 0:
	case c.isRough && c.random.IntN(lateOne) == 0:
		// The flow may be over by then.
		time.AfterFunc(lateTime, func() { _, _ = c.conn.WriteToUDP(packet, to) })
	default:
		// A balancer that is gone refuses; the packet is sent again.
		_, _ = c.conn.WriteToUDP(packet, to)
	}
}

// shortFlow is how many requests most flows have, and longFlow the rest.
const (
	shortFlow = 3
	longFlow  = 60
	// longPause separates the requests of a long flow.
	longPause = 100 * time.Millisecond
)

// serve opens a flow, sends some requests and reports whether all were answered.
func (c *caller) serve(ctx context.Context, dialed netip.AddrPort, requests int) bool {
	c.port++
	key := flow.Key{Caller: netip.AddrPortFrom(c.host, c.port), Dialed: dialed}
	replies := make(chan reply, 64)
	c.mu.Lock()
	c.waiting[key] = replies
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, key)
		c.mu.Unlock()
	}()
	opened, ok := c.open(ctx, key, replies)
	for seq := uint32(1); ok && seq <= uint32(requests); seq++ {
		ok = c.request(ctx, key, seq, opened, replies)
		if requests > shortFlow {
			time.Sleep(longPause)
		}
	}
	switch {
	case ok:
		c.world.served.Add(1)
	case ctx.Err() == nil:
		c.world.unserved.Add(1)
	}
	return ok
}

// open returns the endpoint's first number, and the identity that its answers name
// from then on.
func (c *caller) open(ctx context.Context, key flow.Key, replies chan reply) (*opened, bool) {
	for attempt := range 3 {
		c.send(key, flow.Header{IsSYN: true, Attempt: attempt}, nil)
		r, ok := await(ctx, replies, time.Duration(attempt+1)*200*time.Millisecond, func(r reply) bool { return r.IsSYN || r.IsRST })
		if ok {
			return &opened{ack: r.Seq + 1}, !r.IsRST
		}
	}
	return nil, false
}

// opened is an open flow.
type opened struct {
	ack uint32
	// endpoint is the identity of the endpoint, "" before the first answer.
	endpoint string
}

func (c *caller) request(ctx context.Context, key flow.Key, seq uint32, o *opened, replies chan reply) bool {
	patience := flowPatience
	if c.world.config.PlannedOnly {
		patience = plannedPatience
	}
	sent := time.Now()
	for wait := 200 * time.Millisecond; time.Since(sent) < patience && ctx.Err() == nil; wait = min(2*wait, maxWait) {
		c.send(key, flow.Header{IsACK: true, Seq: seq, Ack: o.ack}, content(key, seq))
		want := seq + uint32(len(content(key, seq)))
		r, ok := await(ctx, replies, wait, func(r reply) bool { return r.IsRST || r.Length > 0 && r.Ack == want })
		if !ok {
			continue
		}
		if r.IsRST {
			c.checkReset(key, o)
			return false
		}
		if o.endpoint != "" && o.endpoint != r.endpoint {
			c.world.violate("flow %s is answered by %s, and by %s before", key, r.endpoint, o.endpoint)
		}
		o.endpoint = r.endpoint
		return true
	}
	if c.world.config.PlannedOnly && ctx.Err() == nil && c.world.isRunning(o.endpoint) {
		c.world.violate("open flow %s at %s got no answer for %s, though all change was planned", key, o.endpoint, patience)
	}
	return false
}

// checkReset checks that an open flow was reset for a reason: its endpoint has
// ended, or something was disturbed that may have hidden it.
func (c *caller) checkReset(key flow.Key, o *opened) {
	isCalm := c.world.config.PlannedOnly || time.Since(time.Unix(0, c.world.disturbedAt.Load())) > recoveryTime
	if isCalm && c.world.isRunning(o.endpoint) {
		c.world.violate("open flow %s at %s was reset, and its endpoint runs", key, o.endpoint)
	}
}

// isRunning reports whether an endpoint runs in the incarnation of an identity.
func (w *world) isRunning(id string) bool {
	for _, s := range w.sites {
		if s.isRunning(id) {
			return true
		}
	}
	return false
}

// await waits for a packet that the caller looks for.
func await(ctx context.Context, replies chan reply, patience time.Duration, isWanted func(reply) bool) (reply, bool) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return reply{}, false
		case <-timer.C:
			return reply{}, false
		case r := <-replies:
			if isWanted(r) {
				return r, true
			}
		}
	}
}
