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
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/route"
	"sassafrasturn.example/internal/wire"
)

// maxDatagramBytes is the maximum size of a caller's datagram, that of a jumbo frame.
const maxDatagramBytes = 9000

// listener receives callers' datagrams at one address of a service.
type listener struct {
	balancer *Balancer
	service  string
	number   uint32
	// local is the address to which the socket is bound.
	local netip.AddrPort
	// packedDialed is the address that callers dial, encoded as in envelopes.
	packedDialed []byte
	conn         machine.Socket
	view         atomic.Pointer[route.View]
	// closeAt is when a former address is closed. It is zero for the current address.
	closeAt time.Time
}

func (l *listener) describe() string {
	view := l.view.Load()
	if view.IsFormerAddress {
		return fmt.Sprintf("service %s: serves established flows at its former address %s", l.service, l.local)
	}
	return fmt.Sprintf("service %s: takes datagrams at %s, %d endpoints take new flows", l.service, l.local, len(view.Endpoints))
}

// scratch contains the buffers that a listener reuses for each datagram.
type scratch struct {
	message    wire.Envelope
	caller     []byte
	addresses  [route.MaxCandidates][]byte
	candidates [][]byte
	sealed     []byte
}

func (l *listener) run(ctx context.Context) {
	// The extra byte shows that a datagram exceeds the limit.
	buffer := make([]byte, maxDatagramBytes+1)
	work := new(scratch)
	for {
		n, caller, err := l.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		l.handleDatagram(work, buffer[:n], caller)
	}
}

// handleDatagram forwards or drops a caller's datagram. It checks the lease against the
// current time for every datagram, so that a process that was frozen until after the end
// of its lease forwards nothing.
func (l *listener) handleDatagram(work *scratch, datagram []byte, caller netip.AddrPort) {
	b := l.balancer
	now := time.Now()
	b.lastDatagram.Store(now.UnixNano())
	if len(datagram) > maxDatagramBytes {
		l.drop(route.ReasonMalformed, caller)
		return
	}
	if !b.instance.Lease.State(now).MayForward() {
		l.drop(reasonNoLease, caller)
		return
	}
	view := l.view.Load()
	decision := b.router.Decide(view, datagram)
	if decision.Action == route.ActionDrop {
		l.drop(decision.Reason, caller)
		return
	}
	l.forward(work, &decision, datagram, caller)
}

// forward sends a datagram in an envelope to the agent that the decision names. If the
// datagram opens a new flow, the envelope also lists the remaining candidates.
func (l *listener) forward(work *scratch, decision *route.Decision, datagram []byte, caller netip.AddrPort) {
	b := l.balancer
	message := &work.message
	message.Kind = wire.Envelope_KIND_FORWARD
	message.Service = l.number
	work.caller = envelope.AppendAddress(work.caller[:0], caller)
	message.Caller = work.caller
	message.Dialed = l.packedDialed
	message.Payload = datagram
	message.Candidates = nil
	if decision.Action == route.ActionOffer {
		l.logOffer(decision, caller, datagram)
		message.Candidates = work.packCandidates(decision.Candidates.All()[1:])
		b.metrics.offered.Inc()
	} else {
		b.metrics.forwarded.Inc()
	}
	sealed, err := b.sealer.Seal(work.sealed[:0], message)
	if err != nil {
		b.metrics.drop(dropSendFailed)
		return
	}
	work.sealed = sealed
	if _, err := b.conn.WriteToUDPAddrPort(sealed, decision.Agent); err != nil {
		b.metrics.drop(dropSendFailed)
	}
}

func (w *scratch) packCandidates(agents []netip.AddrPort) [][]byte {
	w.candidates = w.candidates[:0]
	for i, agent := range agents {
		w.addresses[i] = envelope.AppendAddress(w.addresses[i][:0], agent)
		w.candidates = append(w.candidates, w.addresses[i])
	}
	return w.candidates
}

func (l *listener) drop(reason route.Reason, caller netip.AddrPort) {
	l.balancer.metrics.drop(dropReason(reason))
	l.balancer.instance.Decisions.Decision("drop").
		Str("service", l.service).
		Stringer("caller", caller).
		Str("reason", string(reason)).
		Msg("datagram dropped")
}

func (l *listener) logOffer(decision *route.Decision, caller netip.AddrPort, datagram []byte) {
	entry := l.balancer.instance.Decisions.Decision("offer")
	if entry == nil {
		return
	}
	packet, _ := route.ParsePacket(datagram)
	entry.Str("service", l.service).
		Stringer("caller", caller).
		Str("flow", hex.EncodeToString(packet.Destination)).
		Stringer("agent", decision.Agent).
		Int("candidates", len(decision.Candidates.All())).
		Msg("new flow offered")
}
