package machine

import (
	"context"
	"net"
	"net/netip"
)

// socketBufferBytes is the size requested for the buffers of every UDP socket. The kernel
// may grant less.
const socketBufferBytes = 4 << 20

// Socket is a UDP socket.
type Socket interface {
	ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(datagram []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// listenUDP opens a UDP socket. It ignores errors from setting the buffer sizes, because
// forwarding also works with smaller buffers.
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
