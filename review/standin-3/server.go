package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// server is a server of the platform: it accepts flows, answers requests and announces
// itself. It writes what it does to its standard output, one line for each event.
type server struct {
	id, service, zone string
	addr, outbound    netip.AddrPort
	control           string
	heartbeat, work   time.Duration
	coldLeft          time.Duration
	slots             int
	born              int64
	startedAt         time.Time

	conn  *net.UDPConn
	slot  chan struct{}
	mu    sync.Mutex
	flows map[flowKey]*serverFlow
	seq   uint64
	state string
}

// flowKey identifies a flow by the client's end and the address that it dials.
type flowKey struct{ client, dialed netip.AddrPort }

func (k flowKey) String() string { return k.client.String() + ">" + k.dialed.String() }

type serverFlow struct {
	first   uint32 // sequence number of the SYN+ACK
	next    uint32 // next sequence number to send
	expects uint32 // next sequence number from the client
	isOpen  bool
	unacked []packet
	isEnded bool
}

func runServer(args []string) int {
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	id := flags.String("id", "", "identity")
	service := flags.String("service", "", "service")
	zone := flags.String("zone", "", "zone")
	addr := flags.String("addr", "", "address for packets and status checks")
	outbound := flags.String("outbound", "", "address of the node for the server's packets")
	control := flags.String("control", "", "address for heartbeats")
	heartbeat := flags.Duration("heartbeat", 770*time.Millisecond, "interval of heartbeats")
	work := flags.Duration("work", 5*time.Millisecond, "time for a request")
	cold := flags.Duration("cold", 0, "for how long the server is cold")
	bornOffset := flags.Duration("clock", 0, "how far the server's clock is off")
	_ = flags.Parse(args)
	s := &server{
		id: *id, service: *service, zone: *zone, addr: netip.MustParseAddrPort(*addr), outbound: netip.MustParseAddrPort(*outbound),
		control: *control, heartbeat: *heartbeat, work: *work, coldLeft: *cold, slots: 5, startedAt: time.Now(),
		born: time.Now().Add(*bornOffset).UnixMilli(), slot: make(chan struct{}, 5), flows: make(map[flowKey]*serverFlow), state: "ready",
	}
	if err := s.run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return 0
}

func (s *server) event(format string, args ...any) {
	fmt.Printf("%d %s\n", time.Now().UnixMicro(), fmt.Sprintf(format, args...))
}

func (s *server) run() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.addr))
	if err != nil {
		return err
	}
	s.conn = conn
	listener, err := net.Listen("tcp4", s.addr.String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		if s.currentState() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	go s.receive()
	s.event("start born=%d", s.born)
	drain := make(chan os.Signal, 1)
	signal.Notify(drain, syscall.SIGUSR1)
	client := &http.Client{Timeout: time.Second}
	for {
		s.sendHeartbeat(client)
		select {
		case <-drain:
			s.mu.Lock()
			s.state = "draining"
			s.mu.Unlock()
		case <-time.After(s.heartbeat):
		}
	}
}

func (s *server) currentState() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// sendHeartbeat sends one heartbeat on a connection of its own and waits for the answer for a
// second at most.
func (s *server) sendHeartbeat(client *http.Client) {
	s.mu.Lock()
	s.seq++
	seq, state := s.seq, s.state
	s.mu.Unlock()
	cold := max(0, s.coldLeft-time.Since(s.startedAt))
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "addr": s.addr.String(), "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": state, "cold-left-ms": cold.Milliseconds(), "seq": seq, "born": s.born,
	})
	s.event("beat seq=%d state=%s cold=%d", seq, state, cold.Milliseconds())
	request, _ := http.NewRequest(http.MethodPost, "http://"+s.control+"/Instances.Heartbeat/"+s.id, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	answer, err := client.Do(request)
	if err != nil {
		s.event("beat-failed seq=%d", seq)
		return
	}
	answer.Body.Close()
	s.event("beat-answered seq=%d state=%s status=%d", seq, state, answer.StatusCode)
}

func (s *server) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			continue
		}
		p, isGenuine, err := decode(buffer[:n])
		if err != nil || !isGenuine || p.has(flagSYN) && p.has(flagACK) {
			s.event("forged %x", buffer[:n])
			continue
		}
		s.mu.Lock()
		s.handle(&p, buffer[:n])
		s.mu.Unlock()
	}
}

func (s *server) send(p packet) {
	_, _ = s.conn.WriteToUDPAddrPort(p.encode(), s.outbound)
}

// handle handles a packet of a client. The caller holds the lock.
func (s *server) handle(p *packet, raw []byte) {
	key := flowKey{client: p.src, dialed: p.dst}
	f := s.flows[key]
	if p.has(flagSYN) {
		if f == nil {
			f = &serverFlow{first: rand.Uint32(), expects: p.seq + 1}
			f.next = f.first + 1
			s.flows[key] = f
			s.event("took %s", key)
			s.sendReliably(key, f, packet{src: p.dst, dst: p.src, seq: f.first, ack: f.expects, flags: flagSYN | flagACK})
			return
		}
		if !f.isOpen {
			s.send(packet{src: p.dst, dst: p.src, seq: f.first, ack: f.expects, flags: flagSYN | flagACK})
		}
		return
	}
	if f == nil || p.has(flagACK) && p.ack-f.first > f.next-f.first {
		s.event("returned %s", key)
		_, _ = s.conn.WriteToUDPAddrPort(asBounced(raw), s.outbound)
		return
	}
	if p.has(flagRST) {
		delete(s.flows, key)
		return
	}
	if !f.isOpen {
		f.isOpen = true
		s.event("open %s", key)
	}
	s.acknowledge(f, p.ack)
	if f.isEnded {
		switch {
		case p.has(flagFIN):
			s.send(packet{src: p.dst, dst: p.src, seq: f.next, ack: p.seq + uint32(len(p.data)) + 1, flags: flagACK})
		case len(p.data) > 0:
			s.send(packet{src: p.dst, dst: p.src, seq: p.ack, flags: flagRST})
		}
		return
	}
	if p.seq != f.expects {
		if len(p.data) > 0 || p.has(flagFIN) {
			s.send(packet{src: p.dst, dst: p.src, seq: f.next, ack: f.expects, flags: flagACK})
		}
		return
	}
	f.expects += uint32(len(p.data))
	if len(p.data) > 0 {
		s.send(packet{src: p.dst, dst: p.src, seq: f.next, ack: f.expects, flags: flagACK})
		go s.answer(key, f, p)
	}
	if p.has(flagFIN) {
		f.expects++
		f.isEnded = true
		s.sendReliably(key, f, packet{src: p.dst, dst: p.src, seq: f.next, ack: f.expects, flags: flagFIN | flagACK})
		f.next++
		time.AfterFunc(10*time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.flows[key] == f {
				delete(s.flows, key)
			}
		})
	}
}

func (s *server) acknowledge(f *serverFlow, ack uint32) {
	kept := f.unacked[:0]
	for _, p := range f.unacked {
		end := p.seq + uint32(len(p.data))
		if p.has(flagSYN) || p.has(flagFIN) {
			end++
		}
		if int32(ack-end) < 0 {
			kept = append(kept, p)
		}
	}
	f.unacked = kept
}

// sendReliably sends a packet and sends it again until it is acknowledged, 8 times at most.
// The caller holds the lock.
func (s *server) sendReliably(key flowKey, f *serverFlow, p packet) {
	f.unacked = append(f.unacked, p)
	s.send(p)
	s.scheduleResend(key, f, p, 200*time.Millisecond, 8)
}

func (s *server) scheduleResend(key flowKey, f *serverFlow, p packet, after time.Duration, left int) {
	if left == 0 {
		return
	}
	time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.flows[key] != f {
			return
		}
		for _, waiting := range f.unacked {
			if waiting.seq == p.seq && waiting.flags == p.flags {
				s.send(p)
				s.scheduleResend(key, f, p, min(2*after, 1600*time.Millisecond), left-1)
				return
			}
		}
	})
}

// answer works on the request of a packet in one of the slots and answers it.
func (s *server) answer(key flowKey, f *serverFlow, p *packet) {
	s.slot <- struct{}{}
	id := headerOf(string(p.data), requestIDHeader)
	line, _, _ := strings.Cut(string(p.data), "\r\n")
	s.event("run id=%s service=%s dialed=%s request=%q", id, s.service, key.dialed, line)
	time.Sleep(s.work)
	<-s.slot
	body := "server=" + s.id + " id=" + id
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n\r\n%s", len(body), sealHeader, id, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flows[key] != f || f.isEnded {
		return
	}
	s.sendReliably(key, f, packet{src: key.dialed, dst: key.client, seq: f.next, ack: f.expects, flags: flagACK, data: []byte(text)})
	f.next += uint32(len(text))
}

const (
	requestIDHeader = "X-Sassafrasturn-Request-Id"
	sealHeader      = "X-Sassafrasturn-Response-Seal"
)

// headerOf returns the value of a header in the text of a request or a response.
func headerOf(text, name string) string {
	for line := range strings.SplitSeq(text, "\r\n") {
		if value, ok := strings.CutPrefix(line, name+": "); ok {
			return value
		}
	}
	return ""
}
