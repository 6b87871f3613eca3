package balancer

import (
	"context"
	"net"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/contract"
	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/route"
	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/internal/wire"
)

func (b *Balancer) onRecords([]*wire.Record) {
	b.signalChange()
}

func (b *Balancer) signalChange() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// followRecords rebuilds the views whenever records have changed.
func (b *Balancer) followRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.changed:
			b.rebuild(ctx)
		}
	}
}

type zoneTable struct {
	numbers map[string]uint8
	out     [256]bool
}

func (b *Balancer) rebuild(ctx context.Context) {
	zones := b.readZones()
	endpoints := b.readEndpoints()
	for _, record := range b.instance.Store.List(wire.Record_KIND_SERVICE) {
		service := new(wire.Service)
		if proto.Unmarshal(record.Value, service) != nil {
			continue
		}
		doc, err := contract.Parse(record.Key, service.Document)
		if err != nil {
			b.instance.Log.Error().Str("service", record.Key).Err(err).Msg("document not understood")
			continue
		}
		b.applyService(ctx, service.Number, doc, buildView(service.Number, doc, zones, endpoints[doc.Service]))
	}
}

func (b *Balancer) readZones() *zoneTable {
	table := &zoneTable{numbers: make(map[string]uint8)}
	for _, record := range b.instance.Store.List(wire.Record_KIND_ZONE) {
		zone := new(wire.Zone)
		if proto.Unmarshal(record.Value, zone) != nil {
			continue
		}
		table.numbers[zone.Name] = uint8(zone.Number)
		table.out[uint8(zone.Number)] = zone.Out
	}
	return table
}

func (b *Balancer) readEndpoints() map[string][]*wire.Endpoint {
	endpoints := make(map[string][]*wire.Endpoint)
	for _, record := range b.instance.Store.List(wire.Record_KIND_ENDPOINT) {
		endpoint := new(wire.Endpoint)
		if proto.Unmarshal(record.Value, endpoint) != nil {
			continue
		}
		endpoints[endpoint.Service] = append(endpoints[endpoint.Service], endpoint)
	}
	return endpoints
}

// buildView lists the endpoints of a service that may take new flows.
func buildView(number uint32, doc *contract.Document, zones *zoneTable, endpoints []*wire.Endpoint) *route.View {
	view := &route.View{Service: number, ZonesOut: zones.out}
	for _, endpoint := range endpoints {
		agent, ok := envelope.UnpackAddress(endpoint.Address)
		if !ok || !doc.Allows(agent.Addr()) || !takesNewFlows(endpoint.State) {
			continue
		}
		zone := zones.numbers[endpoint.Zone]
		if zone == 0 || zones.out[zone] {
			continue
		}
		view.Endpoints = append(view.Endpoints, route.Endpoint{Instance: endpoint.Instance, Agent: agent, Zone: zone})
	}
	return view
}

func takesNewFlows(state wire.Endpoint_State) bool {
	return state == wire.Endpoint_STATE_COLD || state == wire.Endpoint_STATE_WARM
}

// applyService puts a view in force and opens the service's socket when it has none.
func (b *Balancer) applyService(ctx context.Context, number uint32, doc *contract.Document, view *route.View) {
	address := b.listenAddress(doc.Address)
	b.mu.RLock()
	l := b.listeners[number]
	b.mu.RUnlock()
	if l != nil && l.address == address {
		l.view.Store(view)
		return
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		b.instance.Log.Error().Str("service", doc.Service).Err(err).Msg("service address not bound")
		return
	}
	setBuffers(conn)
	next := newListener(b, doc.Service, address, conn, view)
	b.mu.Lock()
	b.listeners[number] = next
	b.mu.Unlock()
	if l != nil {
		l.conn.Close()
	}
	b.instance.Log.Info().Str("service", doc.Service).Stringer("address", address).Msg("taking datagrams")
	go next.run(ctx)
}

func (b *Balancer) listenAddress(document netip.AddrPort) netip.AddrPort {
	s := b.instance.Settings.Balancer
	if s.Delivery == settings.DeliveryDocumentPort {
		return netip.AddrPortFrom(s.Address, document.Port())
	}
	return document
}
