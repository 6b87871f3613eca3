package pathtest

import (
	"context"
	"net/netip"
	"time"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine/opaque/agent"
)

const heartbeat = time.Second

// endpoint is a server that answers each packet with data by one packet with data, and
// bounces packets of flows that it does not have.
type endpoint struct {
	site      *site
	service   string
	id        string
	startedAt int64
	sequence  uint64
	slots     int
	coldLeft  time.Duration

	socket     *socket
	isDraining bool
	isFull     bool
	isSilent   bool
	// isPaused is set while the endpoint does not answer requests.
	isPaused bool
	// work is how long the endpoint takes for a request.
	work time.Duration
	// isStarting is set while the endpoint resets every flow.
	isStarting bool
	// isQueueFull is set while connections to the endpoint time out.
	isQueueFull bool
	// ignoresSYNs is set while the endpoint does not answer the SYNs of flows that it has.
	ignoresSYNs bool
	flows       map[flow.Key]*endpointFlow
	// ended are flows that have ended here. Their data is answered with a reset.
	ended map[flow.Key]bool
	// opened counts the accepted SYNs by flow. unknownPackets counts other packets of
	// flows that the endpoint does not have, and unknown does so by flow.
	opened         map[flow.Key]int
	unknownPackets int
	unknown        map[flow.Key]int
	done           chan struct{}
}

type endpointFlow struct {
	nextSeq uint32
	// answeredSeq is the sequence number of the newest answered request, and lastAnswer
	// the packet that answered it.
	answeredSeq uint32
	lastAnswer  []byte
}

func newEndpoint(s *site, service string) *endpoint {
	e := &endpoint{
		site: s, service: service, id: service + "-" + s.address.String(), startedAt: time.Now().UnixMilli(), slots: 5,
		socket: s.cluster.network.listen(netip.AddrPortFrom(s.address, servicePort)),
		flows:  make(map[flow.Key]*endpointFlow), opened: make(map[flow.Key]int), unknown: make(map[flow.Key]int), ended: make(map[flow.Key]bool), done: make(chan struct{}),
	}
	go e.serve()
	go e.sendHeartbeats()
	s.cluster.stops = append(s.cluster.stops, e.stop)
	return e
}

func (e *endpoint) isStopped() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

func (e *endpoint) stop() {
	select {
	case <-e.done:
	default:
		close(e.done)
		e.socket.Close()
	}
}

func (e *endpoint) announce() {
	e.sequence++
	if e.site.agent == nil || e.isSilent {
		return
	}
	e.site.agent.Announce(e.lastAnnouncement())
}

// lastAnnouncement returns the announcement with the current sequence number.
func (e *endpoint) lastAnnouncement() agent.Announcement {
	return agent.Announcement{
		ID: e.id, Service: e.service, Slots: e.slots, StartedAt: e.startedAt, Sequence: e.sequence,
		IsDraining: e.isDraining, ColdLeft: e.coldLeft,
	}
}

func (e *endpoint) sendHeartbeats() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-ticker.C:
			e.site.cluster.mu.Lock()
			e.announce()
			e.site.cluster.mu.Unlock()
		}
	}
}

func (e *endpoint) serve() {
	e.socket.receivePackets(&e.site.cluster.mu, func(h *flow.Header, packet []byte, _ netip.AddrPort) { e.handle(h, packet) })
}

func (e *endpoint) handle(h *flow.Header, packet []byte) {
	key := h.KeyFromCaller()
	existing := e.flows[key]
	switch {
	case e.isStarting:
		e.reply(key, &flow.Header{IsRST: true, Seq: h.Ack}, nil)
	case h.IsSYN && existing == nil && !e.isFull:
		e.opened[key]++
		// Each endpoint starts its sequence numbers at a different value.
		existing = &endpointFlow{nextSeq: uint32(e.site.number+1) << 28}
		e.flows[key] = existing
		e.reply(key, &flow.Header{IsSYN: true, IsACK: true, Seq: existing.nextSeq, Ack: h.Seq + 1}, nil)
		existing.nextSeq++
	case h.IsSYN && existing != nil && e.ignoresSYNs:
	case h.IsSYN && existing != nil:
		e.reply(key, &flow.Header{IsSYN: true, IsACK: true, Seq: existing.nextSeq - 1, Ack: h.Seq + 1}, nil)
	case existing == nil && e.ended[key] && h.Length > 0:
		e.reply(key, &flow.Header{IsRST: true, Seq: h.Ack}, nil)
	case existing == nil:
		if !h.IsSYN {
			e.unknownPackets++
			e.unknown[key]++
		}
		bounced := *h
		bounced.IsBounced = true
		e.send(encode(&bounced, packet[codecHeaderBytes:]))
	case h.Length > 0 && e.isPaused:
	case h.Length > 0 && existing.lastAnswer != nil && h.Seq <= existing.answeredSeq:
		e.send(existing.lastAnswer)
	case h.Length > 0:
		data := []byte("answer of " + e.id)
		existing.lastAnswer = encode(&flow.Header{
			Source: key.Dialed, Destination: key.Caller, IsACK: true, Seq: existing.nextSeq, Ack: h.Seq + uint32(h.Length),
		}, data)
		existing.answeredSeq = h.Seq
		existing.nextSeq += uint32(len(data))
		answer := existing.lastAnswer
		if e.work == 0 {
			e.send(answer)
			return
		}
		time.AfterFunc(e.work, func() { e.send(answer) })
	}
}

func (e *endpoint) reply(key flow.Key, h *flow.Header, data []byte) {
	h.Source, h.Destination = key.Dialed, key.Caller
	e.send(encode(h, data))
}

func (e *endpoint) send(packet []byte) {
	e.site.cluster.network.send(packet, e.socket.address, netip.AddrPortFrom(e.site.address, outPort))
}

// callerFlow is one flow of a simulated caller.
type callerFlow struct {
	cluster *testCluster
	key     flow.Key
	zone    int
	seq     uint32
	ack     uint32
	isOpen  bool
	// isReset is set if the flow was reset, wasResetOpen if it was open then.
	isReset, wasResetOpen bool
	opened, reset         chan struct{}
	answers               chan string
}

const (
	requestTimeout   = 3 * time.Second
	firstRetransmit  = 200 * time.Millisecond
	secondRetransmit = 600 * time.Millisecond
	dialTimeout      = 1400 * time.Millisecond
)

// callerSocket returns the socket of a caller's address, and opens it on first use.
func (tc *testCluster) callerSocket(address netip.Addr) *socket {
	if s := tc.callers[address]; s != nil {
		return s
	}
	s := tc.network.listen(netip.AddrPortFrom(address, packetPort))
	tc.callers[address] = s
	go s.receivePackets(&tc.mu, func(h *flow.Header, packet []byte, _ netip.AddrPort) {
		tc.handleReply(h, string(packet[codecHeaderBytes:]))
	})
	return s
}

func (tc *testCluster) handleReply(h *flow.Header, data string) {
	f := tc.flows[h.KeyFromEndpoint()]
	if f == nil {
		return
	}
	switch {
	case h.IsRST:
		if !f.isReset {
			close(f.reset)
		}
		f.isReset = true
		f.wasResetOpen = f.wasResetOpen || f.isOpen
	case h.IsSYN && !f.isOpen:
		f.isOpen = true
		f.ack = h.Seq + 1
		f.send(&flow.Header{IsACK: true, Seq: f.seq, Ack: f.ack}, "")
		close(f.opened)
	case h.Length > 0 && h.Seq == f.ack:
		f.ack += uint32(h.Length)
		f.answers <- data
	}
}

// balancerFor returns the balancer that the router picks for a flow, by the flow's hash
// over the list of ready balancers.
func (tc *testCluster) balancerFor(key flow.Key, zone int) *runningBalancer {
	var ready []*runningBalancer
	for i, b := range tc.balancers {
		if b.isReady && (zone < 0 || (i+1)%3 == zone) {
			ready = append(ready, b)
		}
	}
	return ready[key.Hash()%uint64(len(ready))]
}

// anyZone routes a flow's packets to balancers of all zones.
const anyZone = -1

// dial tries to open a flow, with up to two retransmissions of the SYN.
func (tc *testCluster) dial(dialed netip.AddrPort, zone int) *callerFlow {
	f := tc.prepare(dialed, zone)
	f.sendSYN(0)
	for attempt, at := range []time.Duration{firstRetransmit, secondRetransmit - firstRetransmit, dialTimeout - secondRetransmit} {
		if f.await(at) || f.isReset {
			break
		}
		if attempt < 2 {
			f.sendSYN(attempt + 1)
		}
	}
	f.seq++
	return f
}

// prepare returns a flow of a new port that has sent nothing yet.
func (tc *testCluster) prepare(dialed netip.AddrPort, zone int) *callerFlow {
	tc.nextPort++
	address := netip.AddrFrom4([4]byte{100, 64, 0, byte(tc.nextPort % 5)})
	f := &callerFlow{
		cluster: tc, key: flow.Key{Caller: netip.AddrPortFrom(address, tc.nextPort), Dialed: dialed}, zone: zone,
		seq: 77, opened: make(chan struct{}), reset: make(chan struct{}), answers: make(chan string, 64),
	}
	tc.callerSocket(address)
	tc.flows[f.key] = f
	return f
}

// isServed opens a flow, sends a request and reports whether it was answered.
func (tc *testCluster) isServed(dialed netip.AddrPort) bool {
	f := tc.dial(dialed, anyZone)
	return f.isOpen && f.request() != ""
}

func (f *callerFlow) await(timeout time.Duration) bool {
	f.cluster.mu.Unlock()
	defer f.cluster.mu.Lock()
	select {
	case <-f.opened:
		return true
	case <-f.reset:
		return false
	case <-time.After(timeout):
		return false
	}
}

func (f *callerFlow) sendSYN(attempt int) {
	f.send(&flow.Header{IsSYN: true, Seq: f.seq, Attempt: attempt}, "")
}

// sendRequest sends one transmission of the next request.
func (f *callerFlow) sendRequest() {
	f.send(&flow.Header{IsACK: true, Seq: f.seq, Ack: f.ack}, "request")
}

func (f *callerFlow) send(h *flow.Header, data string) {
	h.Source, h.Destination = f.key.Caller, f.key.Dialed
	b := f.cluster.balancerFor(f.key, f.zone)
	f.cluster.network.send(encode(h, []byte(data)), netip.AddrPortFrom(f.key.Caller.Addr(), packetPort), b.address)
}

// request sends a request on the flow, with retransmissions until requestTimeout, and
// returns the answer or "" if there is none.
func (f *callerFlow) request() string {
	const data = "request"
	deadline := time.Now().Add(requestTimeout)
	for wait := 200 * time.Millisecond; time.Now().Before(deadline) && !f.isReset; wait *= 2 {
		f.send(&flow.Header{IsACK: true, Seq: f.seq, Ack: f.ack}, data)
		if answer := f.awaitAnswer(wait); answer != "" {
			f.seq += uint32(len(data))
			return answer
		}
	}
	return ""
}

func (f *callerFlow) awaitAnswer(timeout time.Duration) string {
	f.cluster.mu.Unlock()
	defer f.cluster.mu.Lock()
	select {
	case answer := <-f.answers:
		return answer
	case <-f.reset:
		return ""
	case <-time.After(timeout):
		return ""
	}
}

// runNaiveBalancer forwards each packet by the flow's hash over the list of endpoints.
func (tc *testCluster) runNaiveBalancer(ctx context.Context, s *socket) {
	context.AfterFunc(ctx, func() { s.Close() })
	buffer := make([]byte, 4096)
	for {
		n, _, err := s.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		h, _ := (codec{}).Parse(buffer[:n])
		tc.mu.Lock()
		site := tc.sites[h.KeyFromCaller().Hash()%uint64(len(tc.sites))]
		tc.mu.Unlock()
		tc.network.send(buffer[:n], s.address, netip.AddrPortFrom(site.address, servicePort))
	}
}

// runNaiveAgent forwards all packets of the endpoint to the callers.
func (tc *testCluster) runNaiveAgent(ctx context.Context, s *site) {
	out := tc.network.listen(netip.AddrPortFrom(s.address, outPort))
	context.AfterFunc(ctx, func() { out.Close() })
	buffer := make([]byte, 4096)
	for {
		n, _, err := out.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if h, ok := (codec{}).Parse(buffer[:n]); ok && !h.IsBounced {
			tc.network.send(buffer[:n], out.address, netip.AddrPortFrom(h.Destination.Addr(), packetPort))
		}
	}
}
