package soak

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// proxy forwards the traffic between an instance's link address and the other instances,
// which reach the instance through the proxy only. It can drop, delay, block or reset the
// traffic. Replies return on the same path.
type proxy struct {
	target       netip.AddrPort
	datagramConn *net.UDPConn
	listener     net.Listener
	// isBlackholed blocks all traffic in both directions without closing connections.
	isBlackholed atomic.Bool
	// isInboundBlocked blocks all traffic to the instance, but not its replies.
	isInboundBlocked atomic.Bool
	delay            atomic.Int64
	// lossOneIn is n if one of n datagrams is dropped, or 0 if none is.
	lossOneIn     atomic.Int64
	datagramCount atomic.Int64

	mu sync.Mutex
	// upstreams are the sockets to the instance, by the address of the sender.
	upstreams map[netip.AddrPort]*net.UDPConn
	conns     map[net.Conn]bool
}

const (
	proxyBuffer = 4096
	// maxUpstreams limits the sockets of one proxy. It exceeds the number of instances.
	maxUpstreams = 512
	// blockedPollInterval is how often a blocked connection checks whether it may proceed.
	blockedPollInterval = 20 * time.Millisecond
)

func newProxy(ctx context.Context, listen, target netip.AddrPort) (*proxy, error) {
	p := &proxy{target: target, upstreams: make(map[netip.AddrPort]*net.UDPConn), conns: make(map[net.Conn]bool)}
	var err error
	if p.datagramConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen)); err != nil {
		return nil, Error.Wrap(err)
	}
	if p.listener, err = net.Listen("tcp4", listen.String()); err != nil {
		return nil, Error.Wrap(err)
	}
	context.AfterFunc(ctx, p.close)
	go p.forwardDatagrams()
	go p.accept()
	return p, nil
}

func (p *proxy) close() {
	p.datagramConn.Close()
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.upstreams {
		conn.Close()
	}
	for conn := range p.conns {
		conn.Close()
	}
}

// isLost reports whether the next datagram is to be dropped.
func (p *proxy) isLost() bool {
	oneIn := p.lossOneIn.Load()
	return p.isBlackholed.Load() || oneIn > 0 && p.datagramCount.Add(1)%oneIn == 0
}

// sendDelayed sends the data after the delay of the proxy, if there is one.
func (p *proxy) sendDelayed(data []byte, send func([]byte)) {
	delay := time.Duration(p.delay.Load())
	if delay == 0 {
		send(data)
		return
	}
	copied := append([]byte(nil), data...)
	time.AfterFunc(delay, func() { send(copied) })
}

func (p *proxy) forwardDatagrams() {
	buffer := make([]byte, proxyBuffer)
	for {
		n, from, err := p.datagramConn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || p.isLost() || p.isInboundBlocked.Load() {
			continue
		}
		if upstream := p.upstreamFor(from); upstream != nil {
			// Writing fails if the target is down, which is the effect of another fault.
			p.sendDelayed(buffer[:n], func(data []byte) { _, _ = upstream.Write(data) })
		}
	}
}

// upstreamFor returns the socket for the datagrams of a sender, and nil if there is none
// and none can be opened. For a new socket it starts to forward the replies.
func (p *proxy) upstreamFor(from netip.AddrPort) *net.UDPConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.upstreams[from]; conn != nil || len(p.upstreams) >= maxUpstreams {
		return conn
	}
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(p.target))
	if err != nil {
		return nil
	}
	p.upstreams[from] = conn
	go func() {
		buffer := make([]byte, proxyBuffer)
		for {
			n, err := conn.Read(buffer)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil && !p.isLost() {
				p.sendDelayed(buffer[:n], func(data []byte) { _, _ = p.datagramConn.WriteToUDPAddrPort(data, from) })
			}
		}
	}()
	return conn
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go p.forwardConn(conn)
		}
	}
}

func (p *proxy) forwardConn(conn net.Conn) {
	upstream, err := net.Dial("tcp4", p.target.String())
	if err != nil {
		conn.Close()
		return
	}
	p.mu.Lock()
	p.conns[conn], p.conns[upstream] = true, true
	p.mu.Unlock()
	var copying sync.WaitGroup
	copying.Go(func() { p.copy(upstream, conn, &p.isInboundBlocked) })
	copying.Go(func() { p.copy(conn, upstream, nil) })
	copying.Wait()
	p.mu.Lock()
	delete(p.conns, conn)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

// copy forwards bytes until either end is closed. It holds them back while the proxy is
// blackholed or isBlocked is set.
func (p *proxy) copy(to, from net.Conn, isBlocked *atomic.Bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		for p.isBlackholed.Load() || isBlocked != nil && isBlocked.Load() {
			time.Sleep(blockedPollInterval)
		}
		time.Sleep(time.Duration(p.delay.Load()))
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// With a linger time of 0, Close sends a reset. The call fails if the connection
			// is closed already.
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}
