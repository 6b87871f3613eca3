package pathtest

import (
	"context"
	"net/netip"
	"time"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine/opaque/agent"
)

const heartbeat = time.Second

// endpoint is a server of the packets: it answers each packet with data by one
// with data, and bounces packets of flows that it does not hold.
type endpoint struct {
	site     *site
	service  string
	id       string
	born     int64
	sequence uint64
	slots    int
	coldLeft time.Duration

	socket     *socket
	isDraining bool
	isFull     bool
	isMute     bool
	// isStarting: the endpoint resets every flow.
	isStarting bool
	flows      map[flow.Key]*endpointFlow
	// opened counts the SYNs taken, by flow; foreign counts other packets of
	// flows that it does not hold.
	opened  map[flow.Key]int
	foreign int
	done    chan struct{}
}

type endpointFlow struct {
	next uint32
	// answered is the number of the newest request that was answered, by last.
	answered uint32
	last     []byte
}

func newEndpoint(s *site, service string) *endpoint {
	e := &endpoint{
		site: s, service: service, id: service + "-" + s.address.String(), born: time.Now().UnixMilli(), slots: 5,
		socket: s.world.network.listen(netip.AddrPortFrom(s.address, servicePort)),
		flows:  make(map[flow.Key]*endpointFlow), opened: make(map[flow.Key]int), done: make(chan struct{}),
	}
	go e.serve()
	go e.keepAnnouncing()
	s.world.stops = append(s.world.stops, e.stop)
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
	if e.site.agent == nil || e.isMute {
		return
	}
	e.site.agent.Announce(agent.Announcement{
		ID: e.id, Service: e.service, Slots: e.slots, StartedAt: e.born, Sequence: e.sequence,
		IsDraining: e.isDraining, ColdLeft: e.coldLeft,
	})
}

func (e *endpoint) keepAnnouncing() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-ticker.C:
			e.site.world.mu.Lock()
			e.announce()
			e.site.world.mu.Unlock()
		}
	}
}

func (e *endpoint) serve() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := e.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if h, ok := (codec{}).Parse(buffer[:n]); ok {
			e.site.world.mu.Lock()
			e.take(&h, buffer[:n])
			e.site.world.mu.Unlock()
		}
	}
}

func (e *endpoint) take(h *flow.Header, packet []byte) {
	key := h.KeyFromCaller()
	held := e.flows[key]
	switch {
	case e.isStarting:
		e.reply(key, &flow.Header{IsRST: true, Seq: h.Ack}, nil)
	case h.IsSYN && held == nil && !e.isFull:
		e.opened[key]++
		// Each endpoint numbers its packets from its own address.
		held = &endpointFlow{next: uint32(e.site.number+1) << 28}
		e.flows[key] = held
		e.reply(key, &flow.Header{IsSYN: true, IsACK: true, Seq: held.next, Ack: h.Seq + 1}, nil)
		held.next++
	case h.IsSYN && held != nil:
		e.reply(key, &flow.Header{IsSYN: true, IsACK: true, Seq: held.next - 1, Ack: h.Seq + 1}, nil)
	case held == nil:
		if !h.IsSYN {
			e.foreign++
		}
		bounced := *h
		bounced.IsBounced = true
		e.send(encode(&bounced, packet[codecHeader:]))
	case h.Length > 0 && held.last != nil && h.Seq <= held.answered:
		e.send(held.last)
	case h.Length > 0:
		data := []byte("answer of " + e.id)
		held.last = encode(&flow.Header{
			Source: key.Dialed, Destination: key.Caller, IsACK: true, Seq: held.next, Ack: h.Seq + uint32(h.Length),
		}, data)
		held.answered = h.Seq
		held.next += uint32(len(data))
		e.send(held.last)
	}
}

func (e *endpoint) reply(key flow.Key, h *flow.Header, data []byte) {
	h.Source, h.Destination = key.Dialed, key.Caller
	e.send(encode(h, data))
}

func (e *endpoint) send(packet []byte) {
	e.site.world.network.send(packet, e.socket.address, netip.AddrPortFrom(e.site.address, outPort))
}

// callerFlow is one flow of a caller.
type callerFlow struct {
	world  *world
	key    flow.Key
	zone   int
	seq    uint32
	ack    uint32
	isOpen bool
	// isReset: the flow was reset; wasReset while it was open.
	isReset, wasResetOpen bool
	opened, reset         chan struct{}
	answers               chan string
}

const (
	callerPatience = 3 * time.Second
	firstCopy      = 200 * time.Millisecond
	secondCopy     = 600 * time.Millisecond
	synPatience    = 1400 * time.Millisecond
)

// callerSocket returns the socket of a caller's address.
func (w *world) callerSocket(address netip.Addr) *socket {
	if s := w.callers[address]; s != nil {
		return s
	}
	s := w.network.listen(netip.AddrPortFrom(address, packetPort))
	w.callers[address] = s
	go func() {
		buffer := make([]byte, 4096)
		for {
			n, _, err := s.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			if h, ok := (codec{}).Parse(buffer[:n]); ok {
				w.mu.Lock()
				w.takeReply(&h, string(buffer[codecHeader:n]))
				w.mu.Unlock()
			}
		}
	}()
	return s
}

func (w *world) takeReply(h *flow.Header, data string) {
	f := w.flows[h.KeyFromEndpoint()]
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

// balancerFor is the router: a hash of the flow over the list of those ready.
func (w *world) balancerFor(key flow.Key, zone int) *runningBalancer {
	var ready []*runningBalancer
	for i, b := range w.balancers {
		if b.isReady && (zone < 0 || (i+1)%3 == zone) {
			ready = append(ready, b)
		}
	}
	return ready[key.Hash()%uint64(len(ready))]
}

// anyZone lets a flow's packets come in at all balancers.
const anyZone = -1

// dial opens a flow; it reports whether the flow opened.
func (w *world) dial(dialed netip.AddrPort, zone int) *callerFlow {
	w.nextPort++
	address := netip.AddrFrom4([4]byte{100, 64, 0, byte(w.nextPort % 5)})
	f := &callerFlow{
		world: w, key: flow.Key{Caller: netip.AddrPortFrom(address, w.nextPort), Dialed: dialed}, zone: zone,
		seq: 77, opened: make(chan struct{}), reset: make(chan struct{}), answers: make(chan string, 64),
	}
	w.callerSocket(address)
	w.flows[f.key] = f
	f.sendSYN(0)
	for attempt, at := range []time.Duration{firstCopy, secondCopy - firstCopy, synPatience - secondCopy} {
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

// isServed opens a flow, sends a request and reports whether it was answered.
func (w *world) isServed(dialed netip.AddrPort) bool {
	f := w.dial(dialed, anyZone)
	return f.isOpen && f.request() != ""
}

func (f *callerFlow) await(patience time.Duration) bool {
	f.world.mu.Unlock()
	defer f.world.mu.Lock()
	select {
	case <-f.opened:
		return true
	case <-f.reset:
		return false
	case <-time.After(patience):
		return false
	}
}

func (f *callerFlow) sendSYN(attempt int) {
	f.send(&flow.Header{IsSYN: true, Seq: f.seq, Attempt: attempt}, "")
}

func (f *callerFlow) send(h *flow.Header, data string) {
	h.Source, h.Destination = f.key.Caller, f.key.Dialed
	b := f.world.balancerFor(f.key, f.zone)
	f.world.network.send(encode(h, []byte(data)), netip.AddrPortFrom(f.key.Caller.Addr(), packetPort), b.address)
}

// request sends a request on the flow, again where no answer comes, and returns
// the answer, or "".
func (f *callerFlow) request() string {
	const data = "request"
	deadline := time.Now().Add(callerPatience)
	for wait := 200 * time.Millisecond; time.Now().Before(deadline) && !f.isReset; wait *= 2 {
		f.send(&flow.Header{IsACK: true, Seq: f.seq, Ack: f.ack}, data)
		if answer := f.awaitAnswer(wait); answer != "" {
			f.seq += uint32(len(data))
			return answer
		}
	}
	return ""
}

func (f *callerFlow) awaitAnswer(patience time.Duration) string {
	f.world.mu.Unlock()
	defer f.world.mu.Lock()
	select {
	case answer := <-f.answers:
		return answer
	case <-f.reset:
		return ""
	case <-time.After(patience):
		return ""
	}
}

// runNaiveBalancer forwards each packet by the hash over the list of endpoints.
func (w *world) runNaiveBalancer(ctx context.Context, s *socket) {
	context.AfterFunc(ctx, func() { s.Close() })
	buffer := make([]byte, 4096)
	for {
		n, _, err := s.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		h, _ := (codec{}).Parse(buffer[:n])
		w.mu.Lock()
		site := w.sites[h.KeyFromCaller().Hash()%uint64(len(w.sites))]
		w.mu.Unlock()
		w.network.send(buffer[:n], s.address, netip.AddrPortFrom(site.address, servicePort))
	}
}

// runNaiveAgent passes all packets of the endpoint on to the callers.
func (w *world) runNaiveAgent(ctx context.Context, s *site) {
	out := w.network.listen(netip.AddrPortFrom(s.address, outPort))
	context.AfterFunc(ctx, func() { out.Close() })
	buffer := make([]byte, 4096)
	for {
		n, _, err := out.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if h, ok := (codec{}).Parse(buffer[:n]); ok && !h.IsBounced {
			w.network.send(buffer[:n], out.address, netip.AddrPortFrom(h.Destination.Addr(), packetPort))
		}
	}
}
