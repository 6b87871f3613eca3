package agent

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/route"
	"sassafrasturn.example/internal/token"
	"sassafrasturn.example/internal/wire"
)

// receive reads and handles envelopes until ctx ends.
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
		a.handleForward(from, message)
	case wire.Envelope_KIND_PROBE:
		a.answerProbe(from, message)
	default:
		a.drop(dropUnexpected)
	}
}

// handleForward delivers a caller's datagram to the QUIC transport, forwards a
// new flow to the next candidate, or drops a datagram that is not for this agent.
func (a *Agent) handleForward(from netip.AddrPort, message *wire.Envelope) {
	balancer := from
	if firstBalancer, ok := envelope.UnpackAddress(message.Balancer); ok {
		balancer = firstBalancer
	}
	a.mu.Lock()
	s := a.serving
	a.mu.Unlock()
	if s == nil || s.number != message.Service {
		a.dropAndCorrect(dropOtherService, balancer)
		return
	}
	if a.zones.Load().isZoneOut {
		a.dropAndCorrect(dropZoneOut, balancer)
		return
	}
	caller, ok := envelope.UnpackAddress(message.Caller)
	dialed, isDialed := envelope.UnpackAddress(message.Dialed)
	packet, isPacket := route.ParsePacket(message.Payload)
	if !ok || !isDialed || !isPacket {
		a.drop(dropMalformed)
		return
	}
	flow, isEstablished := a.codec.Decode(packet.Destination)
	if isEstablished {
		if reason := a.checkRoute(s, flow); reason != dropNone {
			a.dropAndCorrect(reason, balancer)
			return
		}
	} else if !a.acceptNewFlow(s, packet, balancer, message) {
		return
	}
	a.paths.recordForwarded(time.Now(), balancer)
	if !s.packets.deliver(datagram{payload: message.Payload, caller: callerAddr{caller: caller, dialed: dialed}}) {
		a.drop(dropQueueFull)
		return
	}
	a.metrics.delivered.Inc()
}

// checkRoute rejects datagrams for other services, agents and zones, as the last
// check before the transport. A datagram for an earlier incarnation of the same
// service passes, because the transport has no such connection and answers with
// a stateless reset.
func (a *Agent) checkRoute(s *serving, flow token.Route) dropReason {
	switch {
	case flow.Service != s.number:
		return dropOtherService
	case flow.Agent != a.instance.Settings.Agent.Envelope:
		return dropOtherAgent
	case flow.Zone != s.zone:
		return dropOtherZone
	default:
		return dropNone
	}
}

// acceptNewFlow reports whether this agent accepts the new flow that the
// datagram belongs to.
func (a *Agent) acceptNewFlow(s *serving, packet route.Packet, balancer netip.AddrPort, message *wire.Envelope) bool {
	if !packet.IsInitial {
		a.drop(dropMalformed)
		return false
	}
	message.Candidates = a.zones.Load().withoutZonesOut(message.Candidates)
	if !s.doc.Load().Allows(a.instance.Settings.Agent.Envelope.Addr()) {
		// Established flows continue, but the document allows this endpoint no new ones.
		a.forwardOrDrop(balancer, message, dropNotAllowed)
		return false
	}
	decision := s.decider.decide(time.Now(), packet.Destination, offerOf(message))
	switch decision.Choice {
	case flowAccept:
		return true
	case flowForward:
		a.addFirstCandidate(message, decision.Load)
		a.forwardOrDrop(balancer, message, dropRefused)
	default:
		a.drop(dropRefused)
	}
	return false
}

// forwardOrDrop forwards a new flow to the next candidate, or drops the datagram
// if no candidate is left.
func (a *Agent) forwardOrDrop(balancer netip.AddrPort, message *wire.Envelope, reason dropReason) {
	if len(message.Candidates) == 0 {
		a.drop(reason)
		return
	}
	a.forwardToNext(balancer, message)
}

// forwardToNext sends a new flow to the next candidate.
func (a *Agent) forwardToNext(balancer netip.AddrPort, message *wire.Envelope) {
	next, ok := envelope.UnpackAddress(message.Candidates[0])
	if !ok {
		a.drop(dropMalformed)
		return
	}
	message.Candidates = message.Candidates[1:]
	message.Hop++
	message.Balancer = envelope.PackAddress(balancer)
	a.metrics.forwarded.Inc()
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
