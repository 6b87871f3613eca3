package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// callers is the stand-in for the platform's routers and its clients.
type callers struct {
	address  netip.Addr
	port     uint16 // of packets, at the client and at balancers
	route    netip.AddrPort
	conn     *net.UDPConn
	record   *record
	servers  []*server
	balancer func(key flowKey) (netip.AddrPort, bool)

	mu       sync.Mutex
	flows    map[uint16]*clientFlow
	nextPort uint16
	// sentAt is when the first SYN of a flow was sent.
	sentAt map[flowKey]time.Time

	opened, answered, failed, broken atomic.Int64
}

type clientFlow struct {
	key     flowKey
	packets chan packet
}

func newCallers(address netip.Addr, port uint16, route netip.AddrPort, record *record) (*callers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, port)))
	if err != nil {
		return nil, err
	}
	c := &callers{address: address, port: port, route: route, conn: conn, record: record, flows: make(map[uint16]*clientFlow), nextPort: 20000, sentAt: make(map[flowKey]time.Time)}
	go c.receive()
	return c, nil
}

func (c *callers) receive() {
	buffer := make([]byte, 4096)
	for {
		size, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, isSound := parse(buffer[:size])
		isReset := p.has(flagRST) && p.sum == 0 && len(p.data) == 0
		if !isSound && !isReset {
			c.record.printf("MIXED: a packet that its sender did not write so")
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f != nil {
			select {
			case f.packets <- p:
			default:
			}
		}
	}
}

func (c *callers) send(p *packet) {
	if to, ok := c.balancer(flowKey{p.src, p.dst}); ok {
		_, _ = c.conn.WriteToUDPAddrPort(p.marshal(), to)
	}
}

func (c *callers) open() *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextPort++
	f := &clientFlow{key: flowKey{netip.AddrPortFrom(c.address, c.nextPort), c.route}, packets: make(chan packet, 64)}
	c.flows[c.nextPort] = f
	c.sentAt[f.key] = time.Now()
	return f
}

func (c *callers) close(f *clientFlow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, f.key.client.Port())
}

// maxFlowAge is max-flow-s of the settings, beyond which a broken flow does not count.
const maxFlowAge = 60 * time.Second

// judgeReset records a reset that the client got, and whether it breaks a flow that is open.
func (c *callers) judgeReset(f *clientFlow) {
	for _, s := range c.servers {
		since, isOpen := s.holds(f.key)
		if isOpen && time.Since(since) < maxFlowAge {
			c.broken.Add(1)
			c.record.printf("FLOW: client %s got a reset that its server %s did not send; the flow is open there for %.1f s", f.key.client, s.id, time.Since(since).Seconds())
			return
		}
	}
}

// retryDelay is how long a client waits after a flow that did not open.
const retryDelay = 200 * time.Millisecond

// runFlow opens a flow, sends requests on it with pauses for a time, and closes it.
func (c *callers) runFlow(life time.Duration) {
	f := c.open()
	defer c.close(f)
	sent, answered := 0, 0
	end := func(how string) {
		c.record.printf("flow %s at server %s: %d requests sent, %d answered, %s", f.key.client, c.ownerOf(f.key), sent, answered, how)
	}
	seq := rand.Uint32()
	p := &packet{src: f.key.client, dst: f.key.route, seq: seq, flags: flagSYN}
	answer, ok := c.exchange(f, p, []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}, func(a *packet) bool { return a.has(flagSYN) && a.has(flagACK) })
	if !ok {
		c.failed.Add(1)
		end("not opened")
		time.Sleep(retryDelay)
		return
	}
	c.opened.Add(1)
	seq++
	next := answer.seq + 1
	for until := time.Now().Add(life); time.Now().Before(until); {
		data := []byte(fmt.Sprintf("request of %s at %d", f.key.client, time.Now().UnixNano()))
		request := &packet{src: f.key.client, dst: f.key.route, seq: seq, ack: next, flags: flagACK, data: data}
		seq += uint32(len(data))
		sent++
		answer, ok := c.exchange(f, request, retransmissions, func(a *packet) bool { return len(a.data) > 0 && a.seq == next })
		if !ok {
			c.failed.Add(1)
			end("failed")
			return
		}
		answered++
		c.answered.Add(1)
		next += uint32(len(answer.data))
		c.send(&packet{src: f.key.client, dst: f.key.route, seq: seq, ack: next, flags: flagACK})
		time.Sleep(200*time.Millisecond + rand.N(600*time.Millisecond))
	}
	c.exchange(f, &packet{src: f.key.client, dst: f.key.route, seq: seq, ack: next, flags: flagACK | flagFIN}, retransmissions, func(a *packet) bool { return a.has(flagFIN) })
	end("closed")
}

// ownerOf returns the ID of the server at which a flow has been opened.
func (c *callers) ownerOf(key flowKey) string {
	for _, s := range c.servers {
		if s.hasOpened(key) {
			return s.id
		}
	}
	return "none"
}

var retransmissions = []time.Duration{
	200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 1600 * time.Millisecond, 1600 * time.Millisecond,
}

// exchange sends a packet until an answer arrives. It returns false after a reset or when no
// answer arrives in time.
func (c *callers) exchange(f *clientFlow, p *packet, waits []time.Duration, isAnswer func(*packet) bool) (*packet, bool) {
	for number, wait := range waits {
		if p.has(flagSYN) {
			p.ack = uint32(number)
		}
		c.send(p)
		timer := time.After(wait)
	awaiting:
		for {
			select {
			case answer := <-f.packets:
				if answer.has(flagRST) {
					if !p.has(flagSYN) {
						c.judgeReset(f)
					}
					return nil, false
				}
				if isAnswer(&answer) {
					return &answer, true
				}
			case <-timer:
				break awaiting
			}
		}
	}
	return nil, false
}
