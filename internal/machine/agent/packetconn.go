package agent

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/wire"
)

// queueLength is how many datagrams may wait for the QUIC transport. Further
// datagrams are dropped, as with a full socket buffer.
const queueLength = 4096

type datagram struct {
	payload []byte
	caller  callerAddr
}

// callerAddr is a caller's address together with the service address that it
// dialed. Replies are sent from the dialed address, even after the service has
// moved to another one.
type callerAddr struct {
	caller, dialed netip.AddrPort
}

// Network returns the name of the network.
func (callerAddr) Network() string { return "udp" }

// String returns the caller's address.
func (a callerAddr) String() string { return a.caller.String() }

// packetConn is the net.PacketConn of the QUIC transport. It delivers the
// datagrams of received envelopes and sends datagrams in envelopes.
type packetConn struct {
	agent   *Agent
	service uint32
	queue   chan datagram

	mu       sync.Mutex
	deadline chan struct{}
	closed   chan struct{}
	once     sync.Once
}

func newPacketConn(a *Agent, service uint32) *packetConn {
	return &packetConn{
		agent:    a,
		service:  service,
		queue:    make(chan datagram, queueLength),
		deadline: make(chan struct{}),
		closed:   make(chan struct{}),
	}
}

// deliver queues a datagram. It returns false if the queue is full.
func (c *packetConn) deliver(d datagram) bool {
	select {
	case c.queue <- d:
		return true
	default:
		return false
	}
}

// ReadFrom returns the next datagram and the address of its caller.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	select {
	case d := <-c.queue:
		return copy(p, d.payload), d.caller, nil
	case <-deadline:
		return 0, nil, os.ErrDeadlineExceeded
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a datagram to the caller through a balancer. It drops the
// datagram if no balancer is known.
func (c *packetConn) WriteTo(p []byte, address net.Addr) (int, error) {
	to, ok := address.(callerAddr)
	if !ok {
		return 0, Error.New("address %v did not come from this connection", address)
	}
	balancer, ok := c.agent.paths.pick(time.Now())
	if !ok {
		// Equivalent to a lost datagram: QUIC retransmits it.
		c.agent.metrics.dropped.WithLabelValues(string(dropNoBalancer)).Inc()
		return len(p), nil
	}
	message := &wire.Envelope{
		Kind:    wire.Envelope_KIND_REPLY,
		Service: c.service,
		Caller:  envelope.PackAddress(to.caller),
		Dialed:  envelope.PackAddress(to.dialed),
		Payload: p,
	}
	c.agent.send(message, balancer)
	return len(p), nil
}

// Close unblocks ReadFrom, which then returns net.ErrClosed.
func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns the envelope address of the agent.
func (c *packetConn) LocalAddr() net.Addr {
	return c.agent.conn.LocalAddr()
}

// SetReadDeadline unblocks a pending ReadFrom if the deadline is in the past.
// Other deadlines have no effect, because the QUIC transport sets none.
func (c *packetConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	isPast := !t.IsZero() && !t.After(time.Now())
	select {
	case <-c.deadline:
		if !isPast {
			c.deadline = make(chan struct{})
		}
	default:
		if isPast {
			close(c.deadline)
		}
	}
	return nil
}

// SetReadBuffer does nothing, because the agent sets the envelope socket's buffer sizes.
func (c *packetConn) SetReadBuffer(int) error {
	return nil
}

// SetWriteBuffer does nothing, because the agent sets the envelope socket's buffer sizes.
func (c *packetConn) SetWriteBuffer(int) error {
	return nil
}

// SetDeadline sets the read deadline. Writes never block.
func (c *packetConn) SetDeadline(t time.Time) error {
	return c.SetReadDeadline(t)
}

// SetWriteDeadline does nothing, because writes never block.
func (c *packetConn) SetWriteDeadline(time.Time) error {
	return nil
}
