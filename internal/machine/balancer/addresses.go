package balancer

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/route"
)

const (
	// addressOverlap is how long a service's former address continues to serve
	// established flows. No flow outlives a change of address by more than this.
	addressOverlap = 24 * time.Hour
	// retireCheckInterval is the interval between checks for former addresses to close.
	retireCheckInterval = time.Minute
)

// applyService applies a view to the listener at the service's address and opens that
// listener if there is none. It also opens a listener at the service's former address if
// there is none, as on a balancer that was started after the change of address.
func (b *Balancer) applyService(ctx context.Context, service *serviceEntry, view *route.View) {
	if service.isWithdrawn {
		return
	}
	current := b.listenAddress(service.doc.Address)
	b.listenAt(ctx, service, service.doc.Address, view)
	if local := b.listenAddress(service.formerAddress); service.formerAddress.IsValid() && local != current && b.listenerAt(local) == nil {
		b.listenAt(ctx, service, service.formerAddress, formerView(view))
		if l := b.listenerAt(local); l != nil {
			l.retire(time.Now())
		}
	}
}

func formerView(view *route.View) *route.View {
	former := *view
	former.IsFormerAddress = true
	return &former
}

// retireAddresses limits the former addresses of a service to established flows, until
// addressOverlap has passed. These flows need the address because callers send to the
// address that they dialed and accept replies only from there. Another service may use
// the address in the meantime, which ends the overlap.
func (b *Balancer) retireAddresses(service *serviceEntry, view *route.View) {
	for _, l := range *b.listeners.Load() {
		isCurrent := !service.isWithdrawn && l.local == b.listenAddress(service.doc.Address)
		if l.number == service.number && !isCurrent {
			l.retire(time.Now())
			l.view.Store(formerView(view))
		}
	}
}

// retire schedules the closing of a listener at a former address.
func (l *listener) retire(now time.Time) {
	if l.closeAt.IsZero() {
		l.closeAt = now.Add(addressOverlap)
		l.balancer.instance.Log.Info().
			Str("service", l.service).
			Stringer("address", l.local).
			Time("until", l.closeAt).
			Msg("former address serves established flows only")
	}
}

func (b *Balancer) listenerAt(local netip.AddrPort) *listener {
	return (*b.listeners.Load())[local]
}

// listenAt applies a view to the listener of the service at the address dialed by
// callers, and opens that listener if there is none. It does not bind the current
// address of another service, but reuses a former one.
func (b *Balancer) listenAt(ctx context.Context, service *serviceEntry, dialed netip.AddrPort, view *route.View) {
	local := b.listenAddress(dialed)
	existing := b.listenerAt(local)
	if existing != nil && existing.number == service.number {
		existing.closeAt = time.Time{}
		existing.view.Store(view)
		return
	}
	if existing != nil && !existing.view.Load().IsFormerAddress {
		b.instance.Log.Error().Str("service", service.doc.Service).Str("other", existing.service).Stringer("address", local).
			Msg("service address not bound: it is in use by the other service; with delivery = document-port, give every service its own port")
		return
	}
	if existing != nil {
		b.removeListener(existing)
	}
	conn, err := b.instance.ListenUDP(local)
	if err != nil {
		b.instance.Log.Error().Str("service", service.doc.Service).Err(err).Msg("service address not bound")
		return
	}
	l := &listener{balancer: b, service: service.doc.Service, number: service.number, local: local, packedDialed: envelope.PackAddress(dialed), conn: conn}
	l.view.Store(view)
	b.updateListeners(func(listeners map[netip.AddrPort]*listener) { listeners[local] = l })
	b.instance.Log.Info().Str("service", l.service).Stringer("address", local).Msg("listening for datagrams")
	go l.run(ctx)
}

// updateListeners replaces the table of listeners with a changed copy, so that the
// datagram path can read it without a lock.
func (b *Balancer) updateListeners(change func(map[netip.AddrPort]*listener)) {
	next := maps.Clone(*b.listeners.Load())
	change(next)
	b.listeners.Store(&next)
}

func (b *Balancer) removeListener(l *listener) {
	b.updateListeners(func(listeners map[netip.AddrPort]*listener) { delete(listeners, l.local) })
	l.conn.Close()
}

// closeRetired closes the former addresses whose overlap has ended.
func (b *Balancer) closeRetired(now time.Time) {
	for _, l := range *b.listeners.Load() {
		if !l.closeAt.IsZero() && now.After(l.closeAt) {
			b.removeListener(l)
			b.instance.Log.Info().Str("service", l.service).Stringer("address", l.local).Msg("former address closed")
		}
	}
}
