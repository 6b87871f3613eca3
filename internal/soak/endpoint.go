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

// services are the services of the routes. Endpoints are assigned to them in turn.
var services = []string{"orders", "drawings"}

func serviceOf(n int) string { return services[n%len(services)] }

// routeAddress returns the address that callers dial to reach a service.
func routeAddress(service string) netip.AddrPort {
	if service == services[0] {
		return netip.MustParseAddrPort("198.18.0.1:443")
	}
	return netip.MustParseAddrPort("198.18.0.2:443")
}

// requestData returns the payload of a caller's request on a flow. An endpoint that
// receives other data has received a corrupted or misrouted packet.
func requestData(key flow.Key, seq uint32) []byte {
	return fmt.Appendf(nil, "request %d on %s", seq, key)
}

const (
	heartbeatInterval = 500 * time.Millisecond
	// drainGracePeriod is how long new flows may still arrive after a drain was acknowledged.
	drainGracePeriod = time.Second
)

// endpoint simulates an endpoint in this process. Its agent is a process of its own.
type endpoint struct {
	cluster *cluster
	agent   *instance
	index   int
	conn    *net.UDPConn

	mu sync.Mutex
	// id is the identity of the current incarnation.
	id string
	// starts is the number of incarnations so far.
	starts int
	// startedAt is the start of the current incarnation by the endpoint's clock, which may be
	// wrong, in Unix milliseconds.
	startedAt int64
	// sequence is the number of the last heartbeat.
	sequence int
	// flows contains the endpoint's initial sequence number of each flow.
	flows      map[flow.Key]uint32
	isDraining bool
	// drainedAt is when the agent acknowledged the drain, or zero before that.
	drainedAt time.Time
}

func newEndpoint(cl *cluster, agent *instance, index int) *endpoint {
	return &endpoint{cluster: cl, agent: agent, index: index}
}

func (e *endpoint) start(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(e.agent.host), Port: endpointPort})
	if err != nil {
		return Error.Wrap(err)
	}
	e.conn = conn
	e.restart()
	context.AfterFunc(ctx, func() { conn.Close() })
	go e.serve()
	go e.sendHeartbeats(ctx)
	go e.sendUnnamedHeartbeats(ctx)
	return nil
}

// clockOffsets are the possible clock errors of an endpoint. Each incarnation draws one at
// random.
var clockOffsets = []time.Duration{0, 0, 0, time.Hour, -time.Hour, 2 * time.Second, -2 * time.Second}

// isRunning reports whether the endpoint's current incarnation has the given identity.
func (e *endpoint) isRunning(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id == id
}

// restart starts a new incarnation of the endpoint, without any flows.
func (e *endpoint) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.startedAt = time.Now().Add(clockOffsets[e.cluster.randomClockIndex(len(clockOffsets))]).UnixMilli()
	e.id = fmt.Sprintf("%s-%d-%d", e.agent.name, e.index, e.starts)
	e.sequence, e.isDraining, e.drainedAt = 0, false, time.Time{}
	e.flows = make(map[flow.Key]uint32)
}

func (e *endpoint) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isDraining = true
}

func (e *endpoint) sendHeartbeats(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		e.sendHeartbeat(client)
		time.Sleep(heartbeatInterval)
	}
}

func (e *endpoint) sendHeartbeat(client *http.Client) {
	e.mu.Lock()
	e.sequence++
	id, isDraining, sequence, startedAt := e.id, e.isDraining, e.sequence, e.startedAt
	e.mu.Unlock()
	status := e.postHeartbeat(client, id, serviceOf(e.index), isDraining, sequence, startedAt)
	e.mu.Lock()
	defer e.mu.Unlock()
	if isDraining && status == http.StatusOK && e.drainedAt.IsZero() && e.id == id {
		e.drainedAt = time.Now()
	}
}

// sendUnnamedHeartbeats announces a service that no desired state names, as another program may.
// Where nobody listens it tries again soon, so that a restarted agent hears it first.
func (e *endpoint) sendUnnamedHeartbeats(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	startedAt := time.Now().UnixMilli()
	for sequence := 1; ctx.Err() == nil; sequence++ {
		pause := heartbeatInterval
		if e.postHeartbeat(client, "another-program", "unnamed", false, sequence, startedAt) == 0 {
			pause = 20 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// postHeartbeat posts a heartbeat to the agent and returns the HTTP status, 0 if there is no answer.
func (e *endpoint) postHeartbeat(client *http.Client, id, service string, isDraining bool, sequence int, startedAt int64) int {
	state := map[bool]string{false: "ready", true: "draining"}[isDraining]
	body, err := json.Marshal(map[string]any{
		"service": service, "addr": fmt.Sprintf("%s:%d", e.agent.host, endpointPort), "zone": zoneOf(e.index), "version": "1",
		"slots": 5, "state": state, "cold-left-ms": 0, "seq": sequence, "born": startedAt,
	})
	if err != nil {
		e.cluster.recordViolation("encoding a heartbeat: %v", err)
		return 0
	}
	response, err := client.Post(fmt.Sprintf("http://%s:%d/Instances.Heartbeat/%s", e.agent.host, operatorPort, id), "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func (e *endpoint) serve() {
	buffer := make([]byte, 4096)
	out := &net.UDPAddr{IP: net.ParseIP(e.agent.host), Port: outboundPort}
	for {
		n, _, err := e.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if h, ok := (platform.Codec{}).Parse(buffer[:n]); ok {
			if reply := e.respond(&h, buffer[:n]); reply != nil {
				// The agent may be down. The caller sends its request again.
				_, _ = e.conn.WriteToUDP(reply, out)
			}
		}
	}
}

// respond returns the reply to a packet, or nil if the packet needs none. A packet with
// data is answered with the endpoint's identity as data.
func (e *endpoint) respond(h *flow.Header, packet []byte) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := h.KeyFromCaller()
	initialSeq, isKnown := e.flows[key]
	answer := &flow.Header{Source: key.Dialed, Destination: key.Caller, IsACK: true, Ack: h.Seq + uint32(h.Length)}
	data := packet[len(packet)-h.Length:]
	switch {
	case h.IsSYN:
		return e.respondToSYN(key, answer, initialSeq, isKnown, h)
	case !isKnown:
		bounced := *h
		bounced.IsBounced = true
		return platform.AppendPacket(nil, &bounced, 0, data)
	case h.Length == 0:
		return nil
	case !bytes.Equal(data, requestData(key, h.Seq)):
		e.cluster.recordViolation("%s received a packet whose data its caller did not send: %q", e.id, data)
	}
	answer.Seq = initialSeq + h.Seq
	return platform.AppendPacket(nil, answer, 0, []byte(e.id))
}

func (e *endpoint) respondToSYN(key flow.Key, answer *flow.Header, initialSeq uint32, isKnown bool, h *flow.Header) []byte {
	if !isKnown {
		e.checkNewFlow(key)
		initialSeq = rand.Uint32()
		e.flows[key] = initialSeq
	}
	answer.IsSYN, answer.Seq, answer.Ack = true, initialSeq, h.Seq+1
	return platform.AppendPacket(nil, answer, 0, nil)
}

// caller opens flows from one address.
type caller struct {
	cluster *cluster
	host    netip.Addr
	conn    *net.UDPConn
	port    uint16
	// isLossy means that packets to balancers may be lost or delayed.
	isLossy bool
	random  *rand.Rand

	mu      sync.Mutex
	waiting map[flow.Key]chan reply
}

// reply is a packet that a caller has received.
type reply struct {
	flow.Header
	// endpoint is the identity of the endpoint, as contained in the packet's data.
	endpoint string
}

func newCallers(ctx context.Context, cl *cluster) ([]*caller, error) {
	var pool []*caller
	for n := range callerCount {
		host := cl.host(firstCaller + n)
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host), Port: packetPort})
		if err != nil {
			return nil, Error.Wrap(err)
		}
		context.AfterFunc(ctx, func() { conn.Close() })
		c := &caller{
			cluster: cl, host: netip.MustParseAddr(host), conn: conn, port: 1000, isLossy: n%4 == 3,
			random: rand.New(rand.NewPCG(cl.config.Seed, uint64(n))), waiting: make(map[flow.Key]chan reply),
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
			c.cluster.recordViolation("a caller received %d bytes that are not a valid packet", n)
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
	callerLossOneIn   = 20
	callerDelayOneIn  = 10
	callerPacketDelay = 50 * time.Millisecond
	requestTimeout    = 1500 * time.Millisecond
	// plannedRequestTimeout is longer than an agent takes to restart.
	plannedRequestTimeout = 8 * time.Second
	// maxRetryInterval limits the exponential backoff between retransmissions of a request.
	maxRetryInterval = 800 * time.Millisecond
)

// send sends a packet through a random balancer. If a fault of that balancer is active, it
// draws once more.
func (c *caller) send(key flow.Key, h flow.Header, data []byte) {
	h.Source, h.Destination = key.Caller, key.Dialed
	b := c.cluster.balancers[c.random.IntN(len(c.cluster.balancers))]
	if b.isClaimed.Load() {
		b = c.cluster.balancers[c.random.IntN(len(c.cluster.balancers))]
	}
	to := &net.UDPAddr{IP: net.ParseIP(b.host), Port: packetPort}
	packet := platform.AppendPacket(nil, &h, 0, data)
	switch {
	case c.isLossy && c.random.IntN(callerLossOneIn) == 0:
	case c.isLossy && c.random.IntN(callerDelayOneIn) == 0:
		// The flow may have ended by then, so errors are ignored.
		time.AfterFunc(callerPacketDelay, func() { _, _ = c.conn.WriteToUDP(packet, to) })
	default:
		// A stopped balancer causes an error here. The packet is retransmitted later.
		_, _ = c.conn.WriteToUDP(packet, to)
	}
}

// shortFlowRequests is the number of requests of most flows, and longFlowRequests that of
// the long flows.
const (
	shortFlowRequests = 3
	longFlowRequests  = 60
	// longFlowInterval is the pause between the requests of a long flow.
	longFlowInterval = 100 * time.Millisecond
)

// runFlow opens a flow, sends the requests and reports whether all were answered.
func (c *caller) runFlow(ctx context.Context, dialed netip.AddrPort, requests int) bool {
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
		if requests > shortFlowRequests {
			time.Sleep(longFlowInterval)
		}
	}
	switch {
	case ok:
		c.cluster.served.Add(1)
	case ctx.Err() == nil:
		c.cluster.unserved.Add(1)
	}
	return ok
}

// open performs the handshake of a flow. It returns false if the flow was reset or not
// answered.
func (c *caller) open(ctx context.Context, key flow.Key, replies chan reply) (*openFlow, bool) {
	for attempt := range 3 {
		c.send(key, flow.Header{IsSYN: true, Attempt: attempt}, nil)
		r, ok := await(ctx, replies, time.Duration(attempt+1)*200*time.Millisecond, func(r reply) bool { return r.IsSYN || r.IsRST })
		if ok {
			return &openFlow{ack: r.Seq + 1}, !r.IsRST
		}
	}
	return nil, false
}

// openFlow is the state of an open flow at its caller.
type openFlow struct {
	// ack acknowledges the initial sequence number of the endpoint.
	ack uint32
	// endpoint is the identity of the endpoint, or "" before the first answer.
	endpoint string
}

func (c *caller) request(ctx context.Context, key flow.Key, seq uint32, o *openFlow, replies chan reply) bool {
	timeout := requestTimeout
	if c.cluster.config.PlannedOnly {
		timeout = plannedRequestTimeout
	}
	sent := time.Now()
	for interval := 200 * time.Millisecond; time.Since(sent) < timeout && ctx.Err() == nil; interval = min(2*interval, maxRetryInterval) {
		c.send(key, flow.Header{IsACK: true, Seq: seq, Ack: o.ack}, requestData(key, seq))
		want := seq + uint32(len(requestData(key, seq)))
		r, ok := await(ctx, replies, interval, func(r reply) bool { return r.IsRST || r.Length > 0 && r.Ack == want })
		if !ok {
			continue
		}
		if r.IsRST {
			c.checkReset(key, o)
			return false
		}
		if o.endpoint != "" && o.endpoint != r.endpoint {
			c.cluster.recordViolation("flow %s is answered by %s, but was answered by %s before", key, r.endpoint, o.endpoint)
		}
		o.endpoint = r.endpoint
		return true
	}
	if c.cluster.config.PlannedOnly && ctx.Err() == nil && c.cluster.isRunning(o.endpoint) {
		c.cluster.recordViolation("open flow %s at %s received no answer for %s although all changes were planned", key, o.endpoint, timeout)
	}
	return false
}

// checkReset checks that the reset of an open flow was allowed: its endpoint has ended,
// or a recent fault may have made the endpoint unreachable.
func (c *caller) checkReset(key flow.Key, o *openFlow) {
	isStable := c.cluster.config.PlannedOnly || time.Since(time.Unix(0, c.cluster.lastFaultAt.Load())) > recoveryTime
	if isStable && c.cluster.isRunning(o.endpoint) {
		c.cluster.recordViolation("open flow %s at %s was reset although its endpoint is running", key, o.endpoint)
	}
}

// isRunning reports whether the incarnation with the given identity is running.
func (cl *cluster) isRunning(id string) bool {
	for _, e := range cl.endpoints {
		if e.isRunning(id) {
			return true
		}
	}
	return false
}

// await waits for a reply for which isWanted returns true, and drops all others. It
// returns false after the timeout.
func await(ctx context.Context, replies chan reply, timeout time.Duration, isWanted func(reply) bool) (reply, bool) {
	timer := time.NewTimer(timeout)
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
