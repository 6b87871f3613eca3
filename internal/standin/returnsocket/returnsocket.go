// Package returnsocket gives each caller of a UDP relay a separate socket towards
// the far side, so that the socket at which a reply arrives identifies the caller.
package returnsocket

import (
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("return socket")

const (
	maxDatagramBytes  = 65507
	socketBufferBytes = 4 << 20
)

// Table maps the callers of one relay to their sockets. It is safe for concurrent
// use.
type Table struct {
	relay *net.UDPConn

	mu      sync.Mutex
	callers map[netip.AddrPort]*net.UDPConn
}

// NewTable returns an empty table for a relay. Callers send to the given socket.
func NewTable(relay *net.UDPConn) *Table {
	return &Table{relay: relay, callers: make(map[netip.AddrPort]*net.UDPConn)}
}

// Listen opens the socket of a relay.
func Listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// If the system rejects the sizes, the relay works with smaller buffers.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return conn, nil
}

// Send forwards a caller's datagram from the caller's socket. A datagram that
// cannot be sent is dropped, like any lost datagram.
func (t *Table) Send(caller netip.AddrPort, datagram []byte, to netip.AddrPort) {
	conn, err := t.socketFor(caller)
	if err != nil {
		return
	}
	_, _ = conn.WriteToUDPAddrPort(datagram, to)
}

// socketFor returns the socket of a caller and opens it if there is none.
func (t *Table) socketFor(caller netip.AddrPort) (*net.UDPConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if conn, ok := t.callers[caller]; ok {
		return conn, nil
	}
	local := t.relay.LocalAddr().(*net.UDPAddr).AddrPort()
	conn, err := Listen(netip.AddrPortFrom(local.Addr(), 0))
	if err != nil {
		return nil, err
	}
	t.callers[caller] = conn
	go t.returnReplies(conn, caller)
	return conn, nil
}

func (t *Table) returnReplies(conn *net.UDPConn, caller netip.AddrPort) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			_, _ = t.relay.WriteToUDPAddrPort(buffer[:n], caller)
		}
	}
}

// Receive calls handle with each datagram that arrives at the relay until the relay
// is closed. The datagram is valid only during the call.
func (t *Table) Receive(handle func(caller netip.AddrPort, datagram []byte)) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, caller, err := t.relay.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			handle(caller, buffer[:n])
		}
	}
}

// Close closes the relay's socket and the sockets of all callers.
func (t *Table) Close() {
	t.relay.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conn := range t.callers {
		conn.Close()
	}
}
