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

// proxy stands in front of an instance's link address: other instances reach it
// through the proxy only, which may lose, delay, silence or reset what they send.
// Answers go back the same way.
type proxy struct {
	target   netip.AddrPort
	datagram *net.UDPConn
	listener net.Listener
	// isSilent: nothing passes, in either direction, and nothing is closed.
	isBlackholed atomic.Bool
	// isDeaf: nothing reaches the instance, while its answers pass.
	isInboundBlocked atomic.Bool
	delay            atomic.Int64
	// lossOneIn is the share of datagrams that are lost, one of so many; 0 is none.
	lossOneIn     atomic.Int64
	datagramCount atomic.Int64

	mu sync.Mutex
	// back are the sockets towards the instance, by who sends.
	upstreams map[netip.AddrPort]*net.UDPConn
	conns     map[net.Conn]bool
}

const (
	proxyBuffer = 4096
	// maxUpstreams bounds the sockets of one proxy: the size of the system and more.
	maxUpstreams = 512
	// blockedPollInterval is how often a silent connection looks whether it may go on.
	blockedPollInterval = 20 * time.Millisecond
)

func newProxy(ctx context.Context, listen, target netip.AddrPort) (*proxy, error) {
	p := &proxy{target: target, upstreams: make(map[netip.AddrPort]*net.UDPConn), conns: make(map[net.Conn]bool)}
	var err error
	if p.datagram, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen)); err != nil {
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
	p.datagram.Close()
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

// isLost reports whether a datagram is to be lost.
func (p *proxy) isLost() bool {
	oneIn := p.lossOneIn.Load()
	return p.isBlackholed.Load() || oneIn > 0 && p.datagramCount.Add(1)%oneIn == 0
}

// sendDelayed sends at once, or after the delay.
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
		n, from, err := p.datagram.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || p.isLost() || p.isInboundBlocked.Load() {
			continue
		}
		if upstream := p.upstreamFor(from); upstream != nil {
			// A target that is down refuses, which is its fault's effect.
			p.sendDelayed(buffer[:n], func(data []byte) { _, _ = upstream.Write(data) })
		}
	}
}

// upstreamFor returns the socket for the datagrams of a sender, and starts to pass
// answers back.
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
				p.sendDelayed(buffer[:n], func(data []byte) { _, _ = p.datagram.WriteToUDPAddrPort(data, from) })
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

// copy passes bytes on until either end is closed, and holds them while the
// proxy is silent or the direction is cut.
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

// reset ends all connections with a reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Lingering for no time makes the close a reset; a closed one has none.
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}
