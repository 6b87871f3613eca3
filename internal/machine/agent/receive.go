package agent

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/route"
	"sassafrasturn.example/internal/wire"
)

// receive reads envelopes until ctx ends.
func (a *Agent) receive(ctx context.Context) error {
	buffer := make([]byte, envelope.MaxBytes)
	for {
		n, from, err := a.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		message := new(wire.Envelope)
		if err := a.sealer.Open(buffer[:n], message); err != nil {
			a.drop(dropForged)
			continue
		}
		a.handle(from, message)
	}
}

func (a *Agent) drop(reason dropReason) {
	a.metrics.dropped.WithLabelValues(string(reason)).Inc()
}

func (a *Agent) handle(from netip.AddrPort, message *wire.Envelope) {
	switch message.Kind {
	case wire.Envelope_KIND_FORWARD:
		a.takeForward(from, message)
	default:
		a.drop(dropUnexpected)
	}
}

// takeForward gives a caller's datagram to the transport, hands a new flow on,
// or drops what is not this agent's own.
func (a *Agent) takeForward(from netip.AddrPort, message *wire.Envelope) {
	balancer := from
	if handedOn, ok := envelope.UnpackAddress(message.Balancer); ok {
		balancer = handedOn
	}
	a.paths.hear(time.Now(), balancer)
	a.mu.Lock()
	s := a.serving
	a.mu.Unlock()
	if s == nil || s.number != message.Service {
		a.drop(dropOtherService)
		return
	}
	caller, ok := envelope.UnpackAddress(message.Caller)
	packet, isPacket := route.ParsePacket(message.Payload)
	if !ok || !isPacket {
		a.drop(dropMalformed)
		return
	}
	if !a.isForThisAgent(s, packet) {
		return
	}
	if !a.takeNewFlow(s, packet, balancer, message) {
		return
	}
	if !s.packets.deliver(datagram{payload: message.Payload, caller: net.UDPAddrFromAddrPort(caller)}) {
		a.drop(dropQueueFull)
		return
	}
	a.metrics.taken.Inc()
}

// isForThisAgent is the last guard against datagrams of other services or
// agents. A datagram of an earlier incarnation of the same service passes: the
// transport does not know its connection and answers with a stateless reset.
func (a *Agent) isForThisAgent(s *serving, packet route.Packet) bool {
	flow, ok := a.codec.Decode(packet.Destination)
	if !ok {
		return true
	}
	if flow.Service != s.number {
		a.drop(dropOtherService)
		return false
	}
	if flow.Agent != a.instance.Settings.Agent.Envelope {
		a.drop(dropOtherAgent)
		return false
	}
	return true
}

// takeNewFlow reports whether the datagram belongs here: it is of an
// established flow, or of a new flow that this agent accepts.
func (a *Agent) takeNewFlow(s *serving, packet route.Packet, balancer netip.AddrPort, message *wire.Envelope) bool {
	if _, ok := a.codec.Decode(packet.Destination); ok {
		return true
	}
	if !packet.IsInitial {
		a.drop(dropMalformed)
		return false
	}
	switch s.hunt.decide(time.Now(), packet.Destination, len(message.Candidates) == 0) {
	case huntAccept:
		return true
	case huntHandOn:
		a.handOn(balancer, message)
		return false
	default:
		a.drop(dropRefused)
		return false
	}
}

// handOn sends a new flow to the next candidate.
func (a *Agent) handOn(balancer netip.AddrPort, message *wire.Envelope) {
	next, ok := envelope.UnpackAddress(message.Candidates[0])
	if !ok {
		a.drop(dropMalformed)
		return
	}
	message.Candidates = message.Candidates[1:]
	message.Hop++
	message.Balancer = envelope.PackAddress(balancer)
	a.metrics.handedOn.Inc()
	a.send(message, next)
}

func (a *Agent) send(message *wire.Envelope, to netip.AddrPort) {
	sealed, err := a.sealer.Seal(nil, message)
	if err != nil {
		a.drop(dropSendFailed)
		return
	}
	if _, err := a.conn.WriteToUDPAddrPort(sealed, to); err != nil {
		a.drop(dropSendFailed)
	}
}
