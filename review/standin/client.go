package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// client opens flows from one address.
type client struct {
	site   *site
	ip     string
	router *router
	conn   *net.UDPConn

	mu    sync.Mutex
	port  int
	flows map[flowKey]chan packet
}

// newClient returns the client with a number in a zone.
func newClient(ctx context.Context, s *site, zone, number int, r *router) (*client, error) {
	c := &client{
		site: s, ip: fmt.Sprintf("%s.%d.%d", s.net, zone+101, number), router: r,
		port: 10000, flows: make(map[flowKey]chan packet),
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(c.ip), Port: s.port + portDatagram})
	if err != nil {
		return nil, err
	}
	c.conn = conn
	context.AfterFunc(ctx, func() { conn.Close() })
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, 4096)
	for {
		size, _, err := c.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		p, isGenuine, ok := parse(buffer[:size])
		isOwnReset := ok && p.flags == flagRST && p.sum == 0 && len(p.data) == 0
		if !ok || !isGenuine && !isOwnReset {
			c.site.record.breakf("MIXED: client %s got a packet that its sender did not write so", c.ip)
			continue
		}
		c.mu.Lock()
		packets := c.flows[flowKey{client: p.dst, dialed: p.src}]
		c.mu.Unlock()
		if packets == nil {
			continue
		}
		select {
		case packets <- p:
		default:
		}
	}
}

// clientFlow is a flow at its client.
type clientFlow struct {
	client  *client
	key     flowKey
	packets chan packet
	// next is the next sequence number to send, and expected the next one to receive.
	next, expected uint32
	openedAt       time.Time
	// server is the ID of the server that answers.
	server string
	// resetBy says who reset the flow: "system", "server", or nobody.
	resetBy string
}

func (f *clientFlow) send(p packet) {
	p.src, p.dst = f.key.client, f.key.dialed
	f.client.conn.WriteToUDP(p.marshal(), f.client.router.pick(&p))
}

func (f *clientFlow) close() {
	f.client.mu.Lock()
	delete(f.client.flows, f.key)
	f.client.mu.Unlock()
}

// prepare returns a new flow from a port that was not used before.
func (c *client) prepare(dialed netip.AddrPort) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &clientFlow{
		client: c, key: flowKey{client: addrPort(c.ip, c.port), dialed: dialed},
		packets: make(chan packet, 64), next: rand.Uint32(),
	}
	c.flows[f.key] = f.packets
	return f
}

// open opens the flow. It returns false if it was reset or not answered within 1.4 s.
func (f *clientFlow) open() bool {
	started := time.Now()
	for attempt, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.send(packet{flags: flagSYN, seq: f.next, ack: uint32(attempt)})
		timer := time.NewTimer(time.Until(started.Add(until)))
		for isWaiting := true; isWaiting; {
			select {
			case <-timer.C:
				isWaiting = false
			case p := <-f.packets:
				if p.has(flagRST) {
					timer.Stop()
					return false
				}
				if p.has(flagSYN) && p.has(flagACK) && p.ack == f.next+1 {
					timer.Stop()
					f.next++
					f.expected = p.seq + 1
					f.openedAt = time.Now()
					f.send(packet{flags: flagACK, seq: f.next, ack: f.expected})
					return true
				}
			}
		}
	}
	return false
}

// request sends a request and waits for its answer until the time limit.
func (f *clientFlow) request(body string, limit time.Duration) (answer string, ok bool) {
	deadline := time.Now().Add(limit)
	interval := 200 * time.Millisecond
	want := f.next + uint32(len(body))
	isAcked := false
	for time.Now().Before(deadline) {
		if !isAcked {
			f.send(packet{flags: flagACK, seq: f.next, ack: f.expected, data: []byte(body)})
		}
		timer := time.NewTimer(min(interval, time.Until(deadline)))
		for isWaiting := true; isWaiting; {
			select {
			case <-timer.C:
				isWaiting = false
			case p := <-f.packets:
				if p.has(flagRST) {
					timer.Stop()
					f.resetBy = "server"
					if p.sum == 0 {
						f.resetBy = "system"
					}
					return "", false
				}
				isAcked = isAcked || p.ack == want
				if len(p.data) == 0 || p.seq != f.expected {
					continue
				}
				timer.Stop()
				f.next = want
				f.expected += uint32(len(p.data))
				f.send(packet{flags: flagACK, seq: f.next, ack: f.expected})
				answer = string(p.data)
				f.server = answer[strings.LastIndex(answer, " ")+1:]
				return answer, true
			}
		}
		interval = min(2*interval, 1600*time.Millisecond)
	}
	return "", false
}

// finish closes the flow at both ends.
func (f *clientFlow) finish() {
	defer f.close()
	for range 3 {
		f.send(packet{flags: flagFIN | flagACK, seq: f.next, ack: f.expected})
		timer := time.NewTimer(200 * time.Millisecond)
		for isWaiting := true; isWaiting; {
			select {
			case <-timer.C:
				isWaiting = false
			case p := <-f.packets:
				if p.has(flagFIN) || p.has(flagRST) || p.ack == f.next+1 {
					timer.Stop()
					f.send(packet{flags: flagACK, seq: f.next + 1, ack: f.expected + 1})
					return
				}
			}
		}
	}
}
