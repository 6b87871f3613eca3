// Package agent implements the agent role, which runs on the same host as an
// endpoint. It terminates callers' QUIC connections, accepts new flows or
// forwards them to the next candidate, and proxies requests to the endpoint
// over plain HTTP on loopback.
package agent

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"
	"sassafrasturn.example/internal/contract"
	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/token"
	"sassafrasturn.example/internal/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("agent")

// Agent is the agent role of an instance.
type Agent struct {
	instance *machine.Instance
	sealer   *envelope.Sealer
	codec    *token.Codec
	conn     machine.Socket
	paths    *returnPaths
	liveness liveness
	zones    atomic.Pointer[zoneState]
	// zonesMu keeps an older zone state from replacing a newer one.
	zonesMu     sync.Mutex
	corrections corrections
	metrics     *metrics
	changed     chan struct{}

	// connectionIDs counts the connection IDs that the agent has issued.
	connectionIDs atomic.Uint32

	mu        sync.Mutex
	lifecycle lifecycle
	serving   *serving
	published *wire.Endpoint
	sequence  uint64
	stopWatch context.CancelFunc
	// reportedLoad is the load that the endpoint reported last. It is only
	// exported to status and metrics; no decision depends on it.
	reportedLoad float64
}

// New returns the agent role of an instance and opens its envelope socket.
func New(instance *machine.Instance) (*Agent, error) {
	envelopes, err := instance.OpenEnvelopeSocket(instance.Settings.Agent.Envelope)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		instance: instance,
		sealer:   envelopes.Sealer,
		codec:    envelopes.Codec,
		conn:     envelopes.Conn,
		paths:    newReturnPaths(),
		metrics:  newMetrics(instance.Metrics),
		changed:  make(chan struct{}, 1),
	}
	a.zones.Store(a.readZoneState())
	a.registerGauges(instance.Metrics)
	return a, nil
}

// Run serves the endpoint until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	stopWatch := a.instance.Store.Watch(func(records []*wire.Record) {
		a.updateZones(records)
		a.handleVerdicts(records)
		a.signalChange()
	})
	defer stopWatch()
	a.updateZones(a.instance.Store.List(wire.Record_KIND_ZONE))
	if err := a.serveAnnouncements(ctx); err != nil {
		return err
	}
	context.AfterFunc(ctx, a.close)
	go a.reconcileLoop(ctx)
	return a.receive(ctx)
}

func (a *Agent) close() {
	a.mu.Lock()
	s := a.serving
	if a.stopWatch != nil {
		a.stopWatch()
	}
	a.mu.Unlock()
	if s != nil {
		s.close()
	}
	a.conn.Close()
}

func (a *Agent) signalChange() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

func (a *Agent) reconcileLoop(ctx context.Context) {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.checkSilence(time.Now())
		case <-a.changed:
			if err := a.reconcile(); err != nil {
				a.instance.Log.Error().Err(err).Msg("cannot serve endpoint")
			}
		}
	}
}

// reconcile starts serving the endpoint, or updates the limits of the running
// service, once the announcement, the service document and the zone are known.
func (a *Agent) reconcile() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.publishLocked()
	announced := a.lifecycle.announced
	if announced == nil {
		return nil
	}
	service, doc := a.readService(announced.Service)
	zone := a.readZone()
	if doc == nil || zone == 0 {
		if a.serving != nil {
			a.serving.acceptsFlows.Store(false)
		}
		return nil
	}
	isAllowed := doc.Allows(a.instance.Settings.Agent.Envelope.Addr())
	if a.serving != nil {
		// This also applies when the document no longer allows an endpoint at this
		// address, because established flows continue.
		a.serving.update(doc)
		a.serving.acceptsFlows.Store(isAllowed && a.lifecycle.acceptsFlows())
		return nil
	}
	if !isAllowed {
		return Error.New("the document of %s does not allow endpoints at %s", doc.Service, a.instance.Settings.Agent.Envelope.Addr())
	}
	if !a.lifecycle.acceptsFlows() {
		return nil
	}
	s, err := newServing(a, service, zone, doc, announced)
	if err != nil {
		return err
	}
	a.serving = s
	a.instance.Log.Info().Str("service", doc.Service).Str("endpoint", announced.Address).Msg("serving endpoint")
	return nil
}

func (a *Agent) readService(name string) (number uint32, doc *contract.Document) {
	record := a.instance.Store.Get(wire.Record_KIND_SERVICE, name)
	if record == nil {
		return 0, nil
	}
	service := new(wire.Service)
	if proto.Unmarshal(record.Value, service) != nil || service.Withdrawn {
		return 0, nil
	}
	doc, err := contract.Parse(name, service.Document)
	if err != nil {
		a.instance.Log.Error().Str("service", name).Err(err).Msg("cannot parse service document")
		return 0, nil
	}
	return service.Number, doc
}

// readZone returns the number of the instance's zone, or 0 until control has assigned one.
func (a *Agent) readZone() uint8 {
	record := a.instance.Store.Get(wire.Record_KIND_ZONE, a.instance.Settings.Zone)
	if record == nil {
		return 0
	}
	zone := new(wire.Zone)
	if proto.Unmarshal(record.Value, zone) != nil {
		return 0
	}
	return uint8(zone.Number)
}

// stateLocked returns the endpoint state to publish.
func (a *Agent) stateLocked() wire.Endpoint_State {
	switch {
	case a.lifecycle.phase == phaseStopped:
		return wire.Endpoint_STATE_GONE
	case a.lifecycle.phase == phaseDraining:
		return wire.Endpoint_STATE_DRAINING
	case a.serving == nil:
		return stateAnnounced
	case a.serving.limiter.Load().IsWarm:
		return wire.Endpoint_STATE_WARM
	default:
		return wire.Endpoint_STATE_COLD
	}
}

// stateAnnounced is published until the document and the zone are known.
const stateAnnounced = wire.Endpoint_STATE_UNSPECIFIED

var stateNames = map[wire.Endpoint_State]string{
	stateAnnounced:               "announced",
	wire.Endpoint_STATE_COLD:     "cold",
	wire.Endpoint_STATE_WARM:     "warm",
	wire.Endpoint_STATE_DRAINING: "draining",
	wire.Endpoint_STATE_GONE:     "gone",
}

// publishLocked publishes the endpoint record if it has changed since it was last published.
func (a *Agent) publishLocked() {
	announced := a.lifecycle.announced
	if announced == nil {
		return
	}
	s := a.instance.Settings
	endpoint := &wire.Endpoint{
		Instance: s.Instance,
		Address:  envelope.PackAddress(s.Agent.Envelope),
		Service:  announced.Service,
		Zone:     s.Zone,
		State:    a.stateLocked(),
		Slots:    uint32(announced.Slots),
		Link:     s.Link.Address().String(),
	}
	if proto.Equal(endpoint, a.published) {
		return
	}
	a.published = endpoint
	a.sequence++
	a.instance.Decisions.Decision("endpoint-state").
		Str("service", announced.Service).
		Str("endpoint", announced.Address).
		Str("state", stateNames[endpoint.State]).
		Str("reason", a.lifecycle.reason).
		Msg("endpoint state published")
	a.instance.Publish(wire.Record_KIND_ENDPOINT, a.sequence, endpoint)
}

// Drain stops accepting new flows, waits for requests in flight until ctx ends,
// and publishes the endpoint as STATE_GONE. The agent rejects all announcements
// from then on.
func (a *Agent) Drain(ctx context.Context) {
	a.mu.Lock()
	a.lifecycle.isStopping = true
	a.mu.Unlock()
	a.drainEndpoint(ctx, "the agent stops")
	a.waitForLastRecord(ctx)
}

// drainEndpoint drains the endpoint. It reports whether every request in flight completed.
func (a *Agent) drainEndpoint(ctx context.Context, reason string) bool {
	a.mu.Lock()
	s := a.serving
	a.lifecycle.drain(reason)
	if s != nil {
		s.acceptsFlows.Store(false)
	}
	a.publishLocked()
	a.mu.Unlock()
	isEmpty := s == nil || s.drain(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lifecycle.finishDrain()
	a.publishLocked()
	if a.serving == s && s != nil {
		a.serving = nil
		go s.close()
	}
	return isEmpty
}

// lastRecordDelay is how long the agent stays up so that its last record reaches the peers.
const lastRecordDelay = 200 * time.Millisecond

func (a *Agent) waitForLastRecord(ctx context.Context) {
	pause.For(ctx, lastRecordDelay)
}

// ServeStream answers requests for the state of idempotency keys. It returns
// false for requests of other kinds.
func (a *Agent) ServeStream(ctx context.Context, request *wire.Request, stream net.Conn) bool {
	return a.serveOwner(ctx, request, stream)
}

// Health returns an error while the agent or its endpoint is draining.
func (a *Agent) Health() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lifecycle.isStopping || a.lifecycle.phase == phaseDraining {
		return Error.New("draining")
	}
	return nil
}

// Details returns the lines about the endpoint and its load that status prints.
func (a *Agent) Details() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	announced := a.lifecycle.announced
	if announced == nil {
		return []string{"endpoint: none announced"}
	}
	lines := []string{fmt.Sprintf("endpoint: %s of %s, %s", announced.Address, announced.Service, stateNames[a.stateLocked()])}
	if a.serving == nil {
		return lines
	}
	load := a.serving.limiter.Load()
	return append(lines, fmt.Sprintf("load: %d flows, %d of %d slots taken, %d requests waiting, endpoint-reported load %.2f",
		a.serving.work.flows.Load(), load.Taken, load.Slots, load.Waiting, a.reportedLoad))
}
