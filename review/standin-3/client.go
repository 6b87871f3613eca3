package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// router forwards clients' packets to the nodes that are ready, by a hash of the four addresses
// and ports modulo their number.
type router struct {
	nodes []routedNode
	mu    sync.Mutex
	ready []netip.AddrPort
	stop  chan struct{}
}

type routedNode struct {
	packets, ready netip.AddrPort
	misses         int
}

// run checks the nodes twice a second. One that misses two checks is out of rotation until it
// answers again. If fewer than half are in rotation, all are used.
func (r *router) run() {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range r.nodes {
		r.nodes[i].misses = 2
	}
	for {
		var ready, all []netip.AddrPort
		for i := range r.nodes {
			n := &r.nodes[i]
			answer, err := client.Get("http://" + n.ready.String() + "/ready")
			if err == nil {
				answer.Body.Close()
			}
			if err == nil && answer.StatusCode == http.StatusOK {
				n.misses = 0
			} else {
				n.misses++
			}
			all = append(all, n.packets)
			if n.misses < 2 {
				ready = append(ready, n.packets)
			}
		}
		if 2*len(ready) < len(all) {
			ready = all
		}
		r.mu.Lock()
		r.ready = ready
		r.mu.Unlock()
		select {
		case <-r.stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (r *router) pick(key flowKey) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ready) == 0 {
		return netip.AddrPort{}, false
	}
	hash := uint32(2166136261)
	for _, c := range []byte(key.String()) {
		hash = (hash ^ uint32(c)) * 16777619
	}
	return r.ready[hash%uint32(len(r.ready))], true
}

// client opens flows from one address.
type client struct {
	router *router
	record *record
	host   netip.Addr
	conn   *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[flowKey]*clientFlow
}

type clientFlow struct {
	client  *client
	key     flowKey
	packets chan packet
	first   uint32 // sequence number of the SYN
	next    uint32 // next sequence number to send
	expects uint32 // next sequence number from the server
	// server is the server that has answered.
	server string
}

func newClient(host netip.Addr, port uint16, r *router, rec *record) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, port)))
	if err != nil {
		return nil, err
	}
	c := &client{router: r, record: rec, host: host, conn: conn, port: 20000, flows: make(map[flowKey]*clientFlow)}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, isGenuine, err := decode(buffer[:n])
		isOwnReset := err == nil && p.has(flagRST) && p.sum == 0 && len(p.data) == 0
		if err != nil || !isGenuine && !isOwnReset {
			c.record.violate("MIXED", "client %s got a packet that nobody wrote so: %x", c.host, buffer[:n])
			continue
		}
		c.mu.Lock()
		f := c.flows[flowKey{client: p.dst, dialed: p.src}]
		c.mu.Unlock()
		if f != nil {
			select {
			case f.packets <- p:
			default:
			}
		}
	}
}

func (c *client) newFlow(dialed netip.AddrPort) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &clientFlow{client: c, key: flowKey{client: netip.AddrPortFrom(c.host, c.port), dialed: dialed}, packets: make(chan packet, 64), first: rand.Uint32()}
	f.next = f.first + 1
	c.flows[f.key] = f
	return f
}

func (f *clientFlow) forget() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.client.flows, f.key)
}

func (f *clientFlow) send(p packet) {
	p.src, p.dst = f.key.client, f.key.dialed
	if to, ok := f.client.router.pick(f.key); ok {
		_, _ = f.client.conn.WriteToUDPAddrPort(p.encode(), to)
	}
}

// errReset is returned when a reset of the system ends the flow.
var errReset = fmt.Errorf("reset by the system")

// open opens the flow. The SYN is sent again after 200 and 600 ms; the attempt ends after 1.4 s.
func (f *clientFlow) open() error {
	for attempt, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.send(packet{seq: f.first, ack: uint32(attempt), flags: flagSYN})
		deadline := time.After(wait)
		for isWaiting := true; isWaiting; {
			select {
			case <-deadline:
				isWaiting = false
			case p := <-f.packets:
				switch {
				case p.has(flagRST):
					return errReset
				case p.has(flagSYN) && p.has(flagACK) && p.ack == f.next:
					f.expects = p.seq + 1
					f.send(packet{seq: f.next, ack: f.expects, flags: flagACK})
					return nil
				}
			}
		}
	}
	return fmt.Errorf("no answer to the SYN")
}

// request sends a request on the open flow and waits for its answer. It sends the request again
// after 200 ms, and then after intervals that double up to 1.6 s.
func (f *clientFlow) request(id, line string, limit time.Duration) (string, error) {
	text := line + "\r\nHost: " + f.key.dialed.String() + "\r\n" + requestIDHeader + ": " + id + "\r\n\r\n"
	seq, until := f.next, time.After(limit)
	f.next += uint32(len(text))
	isAcknowledged := false
	for interval := 200 * time.Millisecond; ; interval = min(2*interval, 1600*time.Millisecond) {
		if !isAcknowledged {
			f.send(packet{seq: seq, ack: f.expects, flags: flagACK, data: []byte(text)})
		}
		again := time.After(interval)
		for isWaiting := true; isWaiting; {
			select {
			case <-until:
				return "", fmt.Errorf("no answer within %s", limit)
			case <-again:
				isWaiting = false
			case p := <-f.packets:
				if p.has(flagRST) {
					if p.sum == 0 && !isNear(p.seq, f.expects) {
						continue
					}
					if p.sum == 0 {
						return "", errReset
					}
					return "", fmt.Errorf("reset by the server")
				}
				isAcknowledged = isAcknowledged || p.has(flagACK) && p.ack == f.next
				if len(p.data) == 0 || p.seq != f.expects {
					if len(p.data) > 0 {
						f.send(packet{seq: f.next, ack: f.expects, flags: flagACK})
					}
					continue
				}
				f.expects += uint32(len(p.data))
				f.send(packet{seq: f.next, ack: f.expects, flags: flagACK})
				if headerOf(string(p.data), sealHeader) != id {
					f.client.record.violate("MIXED", "request %s got the answer %q", id, p.data)
				}
				_, body, _ := strings.Cut(string(p.data), "\r\n\r\n")
				server, _, _ := strings.Cut(strings.TrimPrefix(body, "server="), " ")
				f.server = server
				return server, nil
			}
		}
	}
}

// isNear reports whether the sequence number of a reset is within 76,800 of the client's last ack.
func isNear(seq, ack uint32) bool {
	distance := int32(seq - ack)
	return distance >= -76800 && distance <= 76800
}

// watch waits for a reset of the idle flow and reports whether one by the system has arrived.
func (f *clientFlow) watch(until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return false
		case p := <-f.packets:
			if p.has(flagRST) && p.sum == 0 && isNear(p.seq, f.expects) {
				return true
			}
			if len(p.data) > 0 || p.has(flagSYN) {
				f.send(packet{seq: f.next, ack: f.expects, flags: flagACK})
			}
		}
	}
}

// close closes the flow and waits shortly for the server's FIN.
func (f *clientFlow) close() {
	defer f.forget()
	for range 3 {
		f.send(packet{seq: f.next, ack: f.expects, flags: flagFIN | flagACK})
		deadline := time.After(200 * time.Millisecond)
		for isWaiting := true; isWaiting; {
			select {
			case <-deadline:
				isWaiting = false
			case p := <-f.packets:
				if p.has(flagFIN) || p.has(flagRST) {
					f.send(packet{seq: f.next + 1, ack: p.seq + 1, flags: flagACK})
					return
				}
			}
		}
	}
}
