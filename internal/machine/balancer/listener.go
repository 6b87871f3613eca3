package balancer

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/route"
	"sassafrasturn.example/internal/wire"
)

// listener takes the datagrams of one service.
type listener struct {
	balancer *Balancer
	service  string
	address  netip.AddrPort
	conn     *net.UDPConn
	view     atomic.Pointer[route.View]
}

func newListener(b *Balancer, service string, address netip.AddrPort, conn *net.UDPConn, view *route.View) *listener {
	l := &listener{balancer: b, service: service, address: address, conn: conn}
	l.view.Store(view)
	return l
}

func (l *listener) describe() string {
	return fmt.Sprintf("service %s: takes datagrams at %s, %d endpoints take new flows", l.service, l.address, len(l.view.Load().Endpoints))
}

func (l *listener) run(ctx context.Context) {
	buffer := make([]byte, envelope.MaxBytes)
	var sealed []byte
	for {
		n, caller, err := l.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		l.balancer.lastDatagram.Store(time.Now().UnixNano())
		sealed = l.forward(sealed[:0], buffer[:n], caller)
	}
}

// forward decides one datagram and sends it on; it returns its scratch buffer.
func (l *listener) forward(sealed, datagram []byte, caller netip.AddrPort) []byte {
	b := l.balancer
	view := l.view.Load()
	decision := b.router.Decide(view, datagram)
	if decision.Action == route.ActionDrop {
		l.drop(decision, caller)
		return sealed
	}
	message := &wire.Envelope{
		Kind:    wire.Envelope_KIND_FORWARD,
		Service: view.Service,
		Caller:  envelope.PackAddress(caller),
		Payload: datagram,
	}
	if decision.Action == route.ActionOffer {
		l.describeOffer(decision, caller, datagram)
		for _, next := range decision.Agents[1:] {
			message.Candidates = append(message.Candidates, envelope.PackAddress(next))
		}
		b.metrics.offered.Inc()
	} else {
		b.metrics.forwarded.Inc()
	}
	sealed, err := b.sealer.Seal(sealed, message)
	if err != nil {
		b.metrics.dropped.WithLabelValues(string(dropSendFailed)).Inc()
		return nil
	}
	if _, err := b.conn.WriteToUDPAddrPort(sealed, decision.Agents[0]); err != nil {
		b.metrics.dropped.WithLabelValues(string(dropSendFailed)).Inc()
	}
	return sealed
}

func (l *listener) drop(decision route.Decision, caller netip.AddrPort) {
	l.balancer.metrics.dropped.WithLabelValues(string(decision.Reason)).Inc()
	l.balancer.instance.Decisions.Decision("drop").
		Str("service", l.service).
		Stringer("caller", caller).
		Str("reason", string(decision.Reason)).
		Msg("datagram dropped")
}

func (l *listener) describeOffer(decision route.Decision, caller netip.AddrPort, datagram []byte) {
	entry := l.balancer.instance.Decisions.Decision("offer")
	if entry == nil {
		return
	}
	packet, _ := route.ParsePacket(datagram)
	entry.Str("service", l.service).
		Stringer("caller", caller).
		Str("flow", hex.EncodeToString(packet.Destination)).
		Stringer("agent", decision.Agents[0]).
		Int("candidates", len(decision.Agents)).
		Msg("new flow offered")
}
