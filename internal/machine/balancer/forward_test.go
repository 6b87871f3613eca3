package balancer

import (
	"bytes"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/exchange"
	"sassafrasturn.example/internal/keyring"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/route"
	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/internal/token"
	"sassafrasturn.example/internal/zone"
)

func listenLoopback(b *testing.B) *net.UDPConn {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	return conn
}

// newBenchListener returns a listener that forwards to sink, and a datagram of an
// established flow of that agent.
func newBenchListener(b *testing.B, sink netip.AddrPort) (*listener, []byte) {
	keys, err := keyring.New(1, map[keyring.Epoch][]byte{1: bytes.Repeat([]byte{1}, keyring.SecretBytes)})
	if err != nil {
		b.Fatal(err)
	}
	instance := &machine.Instance{
		Settings: new(settings.Settings), Log: &log.Logger{Level: log.PanicLevel}, Keys: keys,
		Store: exchange.NewStore(), Metrics: prometheus.NewRegistry(), Lease: zone.NewLeaseHolder(),
		ListenUDP: func(netip.AddrPort) (machine.Socket, error) { return listenLoopback(b), nil },
	}
	instance.Lease.UpdateLease(time.Now(), zone.Lease{Duration: time.Hour})
	balancer, err := New(instance)
	if err != nil {
		b.Fatal(err)
	}
	l := &listener{balancer: balancer, number: 1, conn: listenLoopback(b), packedDialed: envelope.PackAddress(sink)}
	l.view.Store(&route.View{Service: 1, ZonesOut: new([256]bool)})
	codec, err := token.NewCodec(keys)
	if err != nil {
		b.Fatal(err)
	}
	id := codec.Encode(token.Route{Agent: sink, Service: 1})
	return l, append(append([]byte{0x40}, id[:]...), make([]byte, 1179)...)
}

// BenchmarkForward compares the cost of forwarding a datagram of 1,200 bytes with that of a
// plain UDP relay. Both receive the datagram from a socket and send it to the sink.
func BenchmarkForward(b *testing.B) {
	sender, sink := listenLoopback(b), listenLoopback(b)
	to := sink.LocalAddr().(*net.UDPAddr).AddrPort()
	l, datagram := newBenchListener(b, to)
	conn := l.conn.(*net.UDPConn)
	at := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	buffer := make([]byte, maxDatagramBytes+1)
	relay := func(b *testing.B, forward func(datagram []byte, caller netip.AddrPort)) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := sender.WriteToUDPAddrPort(datagram, at); err != nil {
				b.Fatal(err)
			}
			n, caller, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				b.Fatal(err)
			}
			forward(buffer[:n], caller)
		}
	}
	b.Run("receive", func(b *testing.B) {
		relay(b, func([]byte, netip.AddrPort) {})
	})
	b.Run("relay", func(b *testing.B) {
		relay(b, func(datagram []byte, _ netip.AddrPort) { _, _ = conn.WriteToUDPAddrPort(datagram, to) })
	})
	work := new(scratch)
	b.Run("balancer", func(b *testing.B) {
		relay(b, func(datagram []byte, caller netip.AddrPort) { l.handleDatagram(work, datagram, caller) })
	})
}
