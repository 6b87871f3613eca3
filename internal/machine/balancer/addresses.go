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
	// addressOverlap is how long a service's former address goes on serving
	// established flows. It bounds the life of a flow across a change of address.
	addressOverlap = 24 * time.Hour
	// retireInterval separates looks for former addresses whose time is up.
	retireInterval = time.Minute
)

// applyService puts a view in force at the service's address and opens the
// socket when there is none.
func (b *Balancer) applyService(ctx context.Context, service *heldService, view *route.View) {
	if service.isWithdrawn {
		return
	}
	current := b.listenAddress(service.doc.Address)
	b.listenAt(ctx, service, service.doc.Address, view)
	if local := b.listenAddress(service.former); service.former.IsValid() && local != current && b.listenerAt(local) == nil {
		b.listenAt(ctx, service, service.former, formerView(view))
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

// retireAddresses lets the addresses that a service no longer has serve only
// established flows for a while: callers send to the address that they dialed,
// and answers must come from there. Another service may take them over.
func (b *Balancer) retireAddresses(service *heldService, view *route.View) {
	for _, l := range *b.listeners.Load() {
		isCurrent := !service.isWithdrawn && l.local == b.listenAddress(service.doc.Address)
		if l.number == service.number && !isCurrent {
			l.retire(time.Now())
			l.view.Store(formerView(view))
		}
	}
}

func (l *listener) retire(now time.Time) {
	if l.retireAt.IsZero() {
		l.retireAt = now.Add(addressOverlap)
		l.balancer.instance.Log.Info().
			Str("service", l.service).
			Stringer("address", l.local).
			Time("until", l.retireAt).
			Msg("former address serves established flows only")
	}
}

func (b *Balancer) listenerAt(local netip.AddrPort) *listener {
	return (*b.listeners.Load())[local]
}

// listenAt makes the address serve the view.
func (b *Balancer) listenAt(ctx context.Context, service *heldService, dialed netip.AddrPort, view *route.View) {
	local := b.listenAddress(dialed)
	held := b.listenerAt(local)
	if held != nil && held.number == service.number {
		held.retireAt = time.Time{}
		held.view.Store(view)
		return
	}
	if held != nil && !held.view.Load().IsFormerAddress {
		b.instance.Log.Error().Str("service", service.doc.Service).Str("other", held.service).Stringer("address", local).
			Msg("address not bound: the other service is delivered there; with delivery = document-port give every service a port of its own")
		return
	}
	if held != nil {
		b.removeListener(held)
	}
	conn, err := b.instance.ListenUDP(local)
	if err != nil {
		b.instance.Log.Error().Str("service", service.doc.Service).Err(err).Msg("service address not bound")
		return
	}
	l := &listener{balancer: b, service: service.doc.Service, number: service.number, local: local, packedDialed: envelope.PackAddress(dialed), conn: conn}
	l.view.Store(view)
	b.changeListeners(func(listeners map[netip.AddrPort]*listener) { listeners[local] = l })
	b.instance.Log.Info().Str("service", l.service).Stringer("address", local).Msg("taking datagrams")
	go l.run(ctx)
}

// changeListeners replaces the table of listeners by a changed copy, so that
// the datagram path reads it without a lock.
func (b *Balancer) changeListeners(change func(map[netip.AddrPort]*listener)) {
	next := maps.Clone(*b.listeners.Load())
	change(next)
	b.listeners.Store(&next)
}

func (b *Balancer) removeListener(l *listener) {
	b.changeListeners(func(listeners map[netip.AddrPort]*listener) { delete(listeners, l.local) })
	l.conn.Close()
}

// retireFormer closes the former addresses whose time is up.
func (b *Balancer) retireFormer(now time.Time) {
	for _, l := range *b.listeners.Load() {
		if !l.retireAt.IsZero() && now.After(l.retireAt) {
			b.removeListener(l)
			b.instance.Log.Info().Str("service", l.service).Stringer("address", l.local).Msg("former address closed")
		}
	}
}
