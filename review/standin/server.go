package main

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
)

// server is a server of a service beside a node. It follows PROTOCOL.md.
type server struct {
	site    *site
	node    *node
	service string
	work    time.Duration
	slots   chan struct{}

	mu         sync.Mutex
	id         string
	born       int64
	sequence   int
	conn       *net.UDPConn
	listener   net.Listener
	isUp       bool
	isDraining bool
	coldUntil  time.Time
	coldSince  time.Time
	flows      map[flowKey]*servedFlow
	ended      map[flowKey]bool
	cancel     context.CancelFunc
	// onOpen is called with the flow whose opening packet the server takes, under the lock.
	onOpen func(key flowKey, now time.Time)
}

// servedFlow is a flow that the server holds.
type servedFlow struct {
	iss, next, sent uint32
	isOpen          bool
	answer          []byte
	// callerFinished is set once the client has sent a FIN.
	callerFinished bool
	lastSeen       time.Time
}

const (
	slotCount = 5
	// maxAnswerTries is how often a server sends an answer again.
	maxAnswerTries = 8
)

func newServer(s *site, n *node, work time.Duration) *server {
	return &server{site: s, node: n, service: n.service, work: work, slots: make(chan struct{}, slotCount)}
}

// start begins a new lifetime. It is cold for the given time.
func (v *server) start(ctx context.Context, cold time.Duration) error {
	host := net.ParseIP(v.node.ip)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: host, Port: v.site.port + portApp})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", v.site.address(v.node.ip, portApp))
	if err != nil {
		conn.Close()
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	v.mu.Lock()
	now := time.Now()
	v.id, v.born, v.sequence = fmt.Sprintf("i-%08x", rand.Uint32()), now.UnixMilli(), 0
	v.conn, v.listener, v.isUp, v.isDraining, v.cancel = conn, listener, true, false, cancel
	v.coldSince, v.coldUntil = now, now.Add(cold)
	v.flows, v.ended = make(map[flowKey]*servedFlow), make(map[flowKey]bool)
	v.site.record.logf("server %s of %s starts at %s, cold for %s", v.id, v.service, v.node.name, cold)
	v.mu.Unlock()
	go v.receive(conn)
	health := &http.Server{Handler: http.HandlerFunc(v.health)}
	go health.Serve(listener)
	context.AfterFunc(ctx, func() { health.Close() })
	go v.sendHeartbeats(ctx)
	return nil
}

func (v *server) health(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r.URL.Path != "/health" || v.isDraining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// crash ends the lifetime without notice.
func (v *server) crash() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isUp = false
	v.site.record.logf("server %s at %s ends", v.id, v.node.name)
	v.cancel()
	v.conn.Close()
	v.listener.Close()
}

// turnCold makes the server cold from now on, as its next heartbeat says.
func (v *server) turnCold(cold time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	v.coldSince, v.coldUntil = now, now.Add(cold)
	v.site.record.logf("server %s at %s is cold for %s", v.id, v.node.name, cold)
}

// localClient returns an HTTP client that calls from the address of a machine.
func localClient(ip string) *http.Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}
}

func (v *server) sendHeartbeats(ctx context.Context) {
	client := localClient(v.node.ip)
	for {
		v.sendHeartbeat(ctx, client)
		jitter := time.Duration(rand.IntN(20)) * time.Millisecond
		if !pause(ctx, heartbeatInterval-10*time.Millisecond+jitter) {
			return
		}
	}
}

func (v *server) sendHeartbeat(ctx context.Context, client *http.Client) {
	v.mu.Lock()
	v.sequence++
	state := "ready"
	if v.isDraining {
		state = "draining"
	}
	coldLeft := max(0, time.Until(v.coldUntil).Milliseconds())
	body, _ := json.Marshal(map[string]any{
		"service": v.service, "addr": v.site.address(v.node.ip, portApp), "zone": v.node.zone, "version": "v1", "slots": slotCount,
		"state": state, "cold-left-ms": coldLeft, "seq": v.sequence, "born": v.born,
	})
	url := "http://" + v.site.address(v.node.ip, portControl) + "/Instances.Heartbeat/" + v.id
	v.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	outcome := "no answer"
	if err == nil {
		response.Body.Close()
		outcome = response.Status
	}
	if coldLeft > 0 || outcome != "200 OK" {
		v.site.record.logf("heartbeat of %s at %s, cold-left-ms %d: %s", v.id, v.node.name, coldLeft, outcome)
	}
}

func (v *server) receive(conn *net.UDPConn) {
	buffer := make([]byte, 4096)
	for {
		size, _, err := conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buffer[:size]...)
		p, isGenuine, ok := parse(raw)
		if !ok || !isGenuine || p.has(flagBounced) {
			v.site.record.breakf("UNASKED: server %s got a packet that its sender did not write so", v.id)
			continue
		}
		v.handle(&p, raw, conn)
	}
}

// send sends a packet of the server to the node on its machine. The caller holds the lock.
func (v *server) send(conn *net.UDPConn, raw []byte) {
	conn.WriteToUDP(raw, &net.UDPAddr{IP: net.ParseIP(v.node.ip), Port: v.site.port + portOutbound})
}

func (v *server) handle(p *packet, raw []byte, conn *net.UDPConn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	key := flowKey{client: p.src, dialed: p.dst}
	f := v.flows[key]
	reply := func(flags byte, seq, ack uint32, data []byte) {
		answer := &packet{src: key.dialed, dst: key.client, seq: seq, ack: ack, flags: flags, data: data}
		v.send(conn, answer.marshal())
	}
	switch {
	case p.has(flagSYN) && f == nil:
		if len(v.flows) >= 2000 {
			v.send(conn, bounced(raw))
			return
		}
		delete(v.ended, key)
		f = &servedFlow{iss: rand.Uint32(), next: p.seq + 1}
		f.sent = f.iss + 1
		v.flows[key] = f
		if v.onOpen != nil {
			v.onOpen(key, time.Now())
		}
		reply(flagSYN|flagACK, f.iss, f.next, nil)
	case p.has(flagSYN):
		reply(flagSYN|flagACK, f.iss, f.next, nil)
	case f == nil && v.ended[key] && p.has(flagFIN):
		reply(flagACK, p.ack, p.seq+uint32(len(p.data))+1, nil)
	case f == nil && v.ended[key] && len(p.data) > 0:
		reply(flagRST, p.ack, 0, nil)
	case f == nil && v.ended[key]:
	case f == nil || p.ack-f.iss > f.sent-f.iss:
		v.send(conn, bounced(raw))
	case p.has(flagRST):
		v.end(key)
	default:
		f.isOpen = true
		v.handleOpen(key, f, p, conn, reply)
	}
}

// end forgets a flow. The caller holds the lock.
func (v *server) end(key flowKey) {
	delete(v.flows, key)
	if len(v.ended) > 10000 {
		clear(v.ended)
	}
	v.ended[key] = true
}

// handleOpen handles a packet of an open flow: an acknowledgement, a request or a FIN.
func (v *server) handleOpen(key flowKey, f *servedFlow, p *packet, conn *net.UDPConn, reply func(byte, uint32, uint32, []byte)) {
	f.lastSeen = time.Now()
	if p.ack == f.sent {
		f.answer = nil
	}
	if len(p.data) > 0 && p.seq == f.next {
		f.next += uint32(len(p.data))
		reply(flagACK, f.sent, f.next, nil)
		request := append([]byte(nil), p.data...)
		go v.run(key, f, request, conn)
	} else if len(p.data) > 0 {
		reply(flagACK, f.sent, f.next, nil)
	}
	if p.has(flagFIN) && p.seq+uint32(len(p.data)) == f.next {
		f.next++
		reply(flagFIN|flagACK, f.sent, f.next, nil)
		v.end(key)
	}
}

// run works on a request and sends the answer until it is acknowledged.
func (v *server) run(key flowKey, f *servedFlow, request []byte, conn *net.UDPConn) {
	v.slots <- struct{}{}
	time.Sleep(v.work)
	<-v.slots
	answer := fmt.Appendf(nil, "200 %s %s by %s", v.service, request, v.id)
	v.mu.Lock()
	seq := f.sent
	f.sent += uint32(len(answer))
	f.answer = answer
	v.mu.Unlock()
	interval := 200 * time.Millisecond
	for range maxAnswerTries {
		v.mu.Lock()
		if f.answer == nil || v.flows[key] != f || v.conn != conn {
			v.mu.Unlock()
			return
		}
		p := &packet{src: key.dialed, dst: key.client, seq: seq, ack: f.next, flags: flagACK, data: answer}
		v.send(conn, p.marshal())
		v.mu.Unlock()
		time.Sleep(interval)
		interval = min(2*interval, 1600*time.Millisecond)
	}
}

// holds reports whether the server's current lifetime holds an open flow.
func (v *server) holds(key flowKey) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := v.flows[key]
	return v.isUp && f != nil && f.isOpen
}

func addrPort(ip string, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(port))
}
