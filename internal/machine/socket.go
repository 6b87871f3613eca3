package machine

import (
	"context"
	"net"
	"net/netip"
)

// socketBufferBytes is asked for on every UDP socket; the kernel may give less.
const socketBufferBytes = 4 << 20

// Socket is a UDP socket.
type Socket interface {
	ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(datagram []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// listenUDP opens a UDP socket. Where the option is refused, forwarding works
// with smaller buffers.
func listenUDP(address netip.AddrPort) (Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return conn, nil
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address.String())
	return conn, Error.Wrap(err)
}
