package balancer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"sassafrasturn.example/internal/contract"
	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/route"
	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/internal/wire"
)

// coalesceInterval is how long record changes are collected before the views are rebuilt.
const coalesceInterval = 20 * time.Millisecond

// changeSet collects the names of changed records until they are applied.
type changeSet struct {
	mu        sync.Mutex
	services  map[string]bool
	instances map[string]bool
	hasZones  bool
	signal    chan struct{}
}

func newChangeSet() *changeSet {
	return &changeSet{services: make(map[string]bool), instances: make(map[string]bool), signal: make(chan struct{}, 1)}
}

func (c *changeSet) add(records []*wire.Record) {
	c.mu.Lock()
	for _, record := range records {
		switch record.Kind {
		case wire.Record_KIND_SERVICE:
			c.services[record.Key] = true
		case wire.Record_KIND_ENDPOINT, wire.Record_KIND_VERDICT:
			c.instances[record.Key] = true
		case wire.Record_KIND_ZONE:
			c.hasZones = true
		}
	}
	isEmpty := len(c.services) == 0 && len(c.instances) == 0 && !c.hasZones
	c.mu.Unlock()
	if isEmpty {
		return
	}
	select {
	case c.signal <- struct{}{}:
	default:
	}
}

// take returns the collected changes and clears the set.
func (c *changeSet) take() (services, instances map[string]bool, hasZones bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	services, instances, hasZones = c.services, c.instances, c.hasZones
	c.services, c.instances, c.hasZones = make(map[string]bool), make(map[string]bool), false
	return services, instances, hasZones
}

// rebuildViews rebuilds the views of services whose records have changed, and closes
// retired listeners, until ctx ends.
func (b *Balancer) rebuildViews(ctx context.Context) {
	retire := time.NewTicker(retireCheckInterval)
	defer retire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-retire.C:
			b.closeRetired(time.Now())
			continue
		case <-b.changes.signal:
		}
		if !pause.For(ctx, coalesceInterval) {
			return
		}
		b.applyChanges(ctx)
	}
}

// serviceEntry contains the latest document of a service.
type serviceEntry struct {
	number        uint32
	doc           *contract.Document
	formerAddress netip.AddrPort
	// isWithdrawn is true once the service has been withdrawn. Its address then serves
	// established flows only, for addressOverlap.
	isWithdrawn bool
}

// endpointEntry contains the latest record of an endpoint.
type endpointEntry struct {
	*wire.Endpoint
	incarnation uint64
}

// catalogView contains the services, endpoints and zones that the balancer has read from
// the records. Only the goroutine of rebuildViews may access it.
type catalogView struct {
	services  map[string]*serviceEntry
	endpoints map[string]*endpointEntry
	// byService lists the instances of each service.
	byService map[string]map[string]bool
	// byAddress lists the instances that have announced themselves at each agent address.
	// There are several after another process has reused the address.
	byAddress map[string]map[string]bool
	zones     *zoneTable
}

func newCatalogView() *catalogView {
	return &catalogView{
		services:  make(map[string]*serviceEntry),
		endpoints: make(map[string]*endpointEntry),
		byService: make(map[string]map[string]bool),
		byAddress: make(map[string]map[string]bool),
		zones:     &zoneTable{numbers: make(map[string]uint8)},
	}
}

type zoneTable struct {
	numbers map[string]uint8
	out     [256]bool
}

// applyChanges reads the changed records and rebuilds the views that depend on them.
func (b *Balancer) applyChanges(ctx context.Context) {
	services, instances, hasZones := b.changes.take()
	for name := range instances {
		for _, service := range b.readEndpoint(name) {
			services[service] = true
		}
	}
	for name := range services {
		b.readService(name)
	}
	var zoneIndex uint64
	if hasZones {
		b.catalog.zones, zoneIndex = b.readZones()
		for name := range b.catalog.services {
			services[name] = true
		}
	}
	b.applyServices(ctx, services)
	if hasZones {
		b.instance.Lease.SetAppliedIndex(zoneIndex)
	}
}

// applyServices rebuilds and applies the views of the named services. It retires all former
// addresses before it opens listeners, because a service may get the former address of
// another one.
func (b *Balancer) applyServices(ctx context.Context, names map[string]bool) {
	views := make(map[*serviceEntry]*route.View)
	for name := range names {
		if service := b.catalog.services[name]; service != nil {
			views[service] = b.buildView(service)
		}
	}
	for service, view := range views {
		b.retireAddresses(service, view)
	}
	for service, view := range views {
		b.applyService(ctx, service, view)
	}
}

func (b *Balancer) readService(name string) {
	record := b.instance.Store.Get(wire.Record_KIND_SERVICE, name)
	service := new(wire.Service)
	if record == nil || proto.Unmarshal(record.Value, service) != nil {
		return
	}
	doc, err := contract.Parse(name, service.Document)
	if err != nil {
		b.instance.Log.Error().Str("service", name).Err(err).Msg("cannot parse service document")
		return
	}
	// A former address that cannot be parsed is treated as absent.
	former, _ := netip.ParseAddrPort(service.FormerAddress)
	b.catalog.services[name] = &serviceEntry{number: service.Number, doc: doc, formerAddress: former, isWithdrawn: service.Withdrawn}
}

// readEndpoint reads the endpoint record of an instance and returns the services whose
// views it affects.
func (b *Balancer) readEndpoint(instance string) []string {
	record := b.instance.Store.Get(wire.Record_KIND_ENDPOINT, instance)
	c := b.catalog
	if record == nil {
		return c.remove(instance)
	}
	endpoint := new(wire.Endpoint)
	if proto.Unmarshal(record.Value, endpoint) != nil {
		return nil
	}
	affected := c.remove(instance)
	c.add(instance, &endpointEntry{Endpoint: endpoint, incarnation: record.Major})
	return append(affected, c.servicesAt(string(endpoint.Address))...)
}

func (c *catalogView) add(instance string, endpoint *endpointEntry) {
	c.endpoints[instance] = endpoint
	addTo(c.byService, endpoint.Service, instance)
	addTo(c.byAddress, string(endpoint.Address), instance)
}

func addTo(sets map[string]map[string]bool, key, instance string) {
	if sets[key] == nil {
		sets[key] = make(map[string]bool)
	}
	sets[key][instance] = true
}

// remove removes the endpoint of an instance and returns the services whose views this
// affects.
func (c *catalogView) remove(instance string) []string {
	endpoint := c.endpoints[instance]
	if endpoint == nil {
		return nil
	}
	address := string(endpoint.Address)
	affected := c.servicesAt(address)
	delete(c.endpoints, instance)
	removeFrom(c.byService, endpoint.Service, instance)
	removeFrom(c.byAddress, address, instance)
	return affected
}

func removeFrom(sets map[string]map[string]bool, key, instance string) {
	delete(sets[key], instance)
	if len(sets[key]) == 0 {
		delete(sets, key)
	}
}

// servicesAt returns the services that have or had an endpoint at the agent address.
func (c *catalogView) servicesAt(address string) []string {
	var services []string
	for instance := range c.byAddress[address] {
		services = append(services, c.endpoints[instance].Service)
	}
	return services
}

// ownsAddress reports whether no instance with a later incarnation has announced itself at
// the agent address of the instance. A process that reuses an IP address and port
// replaces the endpoint that was there before.
func (c *catalogView) ownsAddress(instance string) bool {
	endpoint := c.endpoints[instance]
	for other := range c.byAddress[string(endpoint.Address)] {
		if c.endpoints[other].incarnation > endpoint.incarnation {
			return false
		}
	}
	return true
}

// readZones returns the zones and the log index of the latest change to any of them.
func (b *Balancer) readZones() (*zoneTable, uint64) {
	var newest uint64
	table := &zoneTable{numbers: make(map[string]uint8)}
	for _, record := range b.instance.Store.List(wire.Record_KIND_ZONE) {
		zone := new(wire.Zone)
		if proto.Unmarshal(record.Value, zone) != nil {
			continue
		}
		table.numbers[zone.Name] = uint8(zone.Number)
		table.out[uint8(zone.Number)] = zone.Out
		newest = max(newest, record.Major)
	}
	return table, newest
}

// usableEndpoints returns the endpoints of a service that own their agent address and
// answer probes. If none of these accepts new flows, it also returns the endpoints that
// are down: a datagram sent to one of them may be lost, but without a candidate it is
// certainly lost.
func (b *Balancer) usableEndpoints(service string) []*wire.Endpoint {
	var up, down []*wire.Endpoint
	hasCandidate := false
	for instance := range b.catalog.byService[service] {
		if !b.catalog.ownsAddress(instance) {
			continue
		}
		endpoint := b.catalog.endpoints[instance]
		if b.detector.table.IsDown(wire.Record_KIND_ENDPOINT, instance) {
			down = append(down, endpoint.Endpoint)
			continue
		}
		up = append(up, endpoint.Endpoint)
		hasCandidate = hasCandidate || acceptsNewFlows(endpoint.State)
	}
	if !hasCandidate {
		return append(up, down...)
	}
	return up
}

// buildView returns the view of a service, with the endpoints that may receive new flows.
func (b *Balancer) buildView(service *serviceEntry) *route.View {
	zones := b.catalog.zones
	view := &route.View{Service: service.number, ZonesOut: &zones.out}
	for _, endpoint := range b.usableEndpoints(service.doc.Service) {
		agent, ok := envelope.UnpackAddress(endpoint.Address)
		if !ok || !agent.Addr().Is4() || !service.doc.Allows(agent.Addr()) || !acceptsNewFlows(endpoint.State) {
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

func acceptsNewFlows(state wire.Endpoint_State) bool {
	return state == wire.Endpoint_STATE_COLD || state == wire.Endpoint_STATE_WARM
}

// listenAddress returns the address to bind for a service address of a document.
func (b *Balancer) listenAddress(document netip.AddrPort) netip.AddrPort {
	s := b.instance.Settings.Balancer
	if s.Delivery == settings.DeliveryDocumentPort {
		return netip.AddrPortFrom(s.Address, document.Port())
	}
	return document
}
