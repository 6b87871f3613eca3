package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// server is a stand-in for a server on a side machine.
type server struct {
	id, service, zone string
	app, outbound     netip.AddrPort
	control           string
	born              int64
	conn              *net.UDPConn
	record            *record

	mu    sync.Mutex
	flows map[flowKey]*serverFlow
	beat  uint64
	// coldUntil is when the server is cold no longer.
	coldUntil time.Time
	taken     []takenFlow
	// ran is the number of requests that the server has run.
	ran int
}

// takenFlow is a new flow that a server has taken.
type takenFlow struct {
	key    flowKey
	at     time.Time
	isCold bool
}

// turnCold makes the server cold for a time, which its next heartbeat tells.
func (s *server) turnCold(lasts time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(lasts)
}

type serverFlow struct {
	first, next uint32 // the server's first and next sequence number
	expected    uint32 // the next sequence number of the client
	isOpen      bool
	openedAt    time.Time
	answer      []byte // the last packet with data
	ended       bool
}

func newServer(id, service, zone string, app, outbound, control netip.AddrPort, record *record) (*server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", app.String())
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, zone: zone, app: app, outbound: outbound, control: control.String(),
		born: time.Now().UnixMilli(), conn: conn, flows: make(map[flowKey]*serverFlow), record: record,
	}
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	go s.receive()
	go s.announce()
	return s, nil
}

// heartbeatInterval is heartbeat-ms of the settings.
const heartbeatInterval = 770 * time.Millisecond

func (s *server) announce() {
	client := &http.Client{Timeout: time.Second}
	for {
		s.mu.Lock()
		s.beat++
		body, _ := json.Marshal(map[string]any{
			"service": s.service, "addr": s.app.String(), "zone": s.zone, "version": "v1", "slots": 50,
			"state": "ready", "cold-left-ms": max(0, time.Until(s.coldUntil).Milliseconds()), "seq": s.beat, "born": s.born,
		})
		s.mu.Unlock()
		response, err := client.Post("http://"+s.control+"/Instances.Heartbeat/"+s.id, "application/json", bytes.NewReader(body))
		if err == nil {
			response.Body.Close()
		}
		time.Sleep(heartbeatInterval)
	}
}

func (s *server) receive() {
	buffer := make([]byte, 4096)
	for {
		size, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if p, isSound := parse(buffer[:size]); isSound {
			s.handle(&p, buffer[:size])
		} else {
			s.record.printf("UNASKED %s: a packet that its sender did not write so", s.id)
		}
	}
}

func (s *server) send(b []byte) { _, _ = s.conn.WriteToUDPAddrPort(b, s.outbound) }

func (s *server) handle(p *packet, raw []byte) {
	key := flowKey{p.src, p.dst}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[key]
	if p.has(flagSYN) && !p.has(flagACK) {
		if f == nil {
			first := rand.Uint32()
			f = &serverFlow{first: first, next: first + 1, expected: p.seq + 1}
			s.flows[key] = f
			s.taken = append(s.taken, takenFlow{key: key, at: time.Now(), isCold: time.Now().Before(s.coldUntil)})
		}
		s.send((&packet{src: p.dst, dst: p.src, seq: f.first, ack: p.seq + 1, flags: flagSYN | flagACK}).marshal())
		return
	}
	if f == nil || !f.isOpen && p.ack != f.first+1 {
		bounced := append([]byte(nil), raw...)
		bounced[30] |= flagBounced
		bounced[31] = 0
		s.send(bounced)
		return
	}
	if p.has(flagRST) {
		f.ended = true
		return
	}
	if !f.isOpen {
		f.isOpen, f.openedAt = true, time.Now()
	}
	ackTo := func(flags byte) {
		s.send((&packet{src: p.dst, dst: p.src, seq: f.next, ack: f.expected, flags: flagACK | flags}).marshal())
	}
	switch {
	case len(p.data) > 0 && p.seq == f.expected:
		s.ran++
		f.expected += uint32(len(p.data))
		answer := &packet{src: p.dst, dst: p.src, seq: f.next, ack: f.expected, flags: flagACK, data: []byte(fmt.Sprintf("%s answers %s", s.id, p.data))}
		f.next += uint32(len(answer.data))
		f.answer = answer.marshal()
		s.send(f.answer)
	case len(p.data) > 0:
		s.send(f.answer)
	case p.has(flagFIN) && p.seq == f.expected:
		f.expected++
		f.ended = true
		ackTo(flagFIN)
		f.next++
	case p.has(flagFIN):
		ackTo(0)
	}
}

// holds reports whether the server has a flow that is open, and since when.
func (s *server) holds(key flowKey) (since time.Time, isOpen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[key]
	if f == nil || !f.isOpen || f.ended {
		return time.Time{}, false
	}
	return f.openedAt, true
}

// hasOpened reports whether a flow has been opened at the server.
func (s *server) hasOpened(key flowKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[key]
	return f != nil && f.isOpen
}

// summary tells what the server has taken and run.
func (s *server) summary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("server %s took the SYNs of %d flows and ran %d requests", s.id, len(s.taken), s.ran)
}
