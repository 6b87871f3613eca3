// Package agent runs the agent role: the process beside an endpoint. It ends
// callers' QUIC connections, admits or hands on new flows, and passes requests
// to the endpoint over plain HTTP on loopback.
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
	presence presence
	guard    atomic.Pointer[guard]
	// guardMu keeps an older guard from replacing a newer one.
	guardMu sync.Mutex
	// corrected is when a balancer's view was last corrected, in Unix nanoseconds.
	corrected atomic.Int64
	metrics   *metrics
	changed   chan struct{}

	// connectionIDs counts the connection IDs that the agent has issued.
	connectionIDs atomic.Uint32

	mu        sync.Mutex
	life      life
	serving   *serving
	published *wire.Endpoint
	sequence  uint64
	stopWatch context.CancelFunc
	// reportedLoad is what the endpoint says; nothing is decided by it.
	reportedLoad float64
}

// New prepares the agent role of an instance.
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
	a.guard.Store(a.readGuard())
	a.registerGauges(instance.Metrics)
	return a, nil
}

// Run serves the endpoint until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	stopWatch := a.instance.Store.Watch(func(records []*wire.Record) {
		a.followZones(records)
		a.followVerdicts(records)
		a.signalChange()
	})
	defer stopWatch()
	a.followZones(a.instance.Store.List(wire.Record_KIND_ZONE))
	if err := a.serveAnnouncements(ctx); err != nil {
		return err
	}
	context.AfterFunc(ctx, a.close)
	go a.followRecords(ctx)
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

func (a *Agent) followRecords(ctx context.Context) {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.noteSilence(time.Now())
		case <-a.changed:
			if err := a.reconcile(); err != nil {
				a.instance.Log.Error().Err(err).Msg("endpoint not served")
			}
		}
	}
}

// reconcile starts or updates serving when the announcement, the document and
// the zone are known.
func (a *Agent) reconcile() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.publishLocked()
	announced := a.life.announced
	if announced == nil {
		return nil
	}
	service, doc := a.readService(announced.Service)
	zone := a.readZone()
	if doc == nil || zone == 0 {
		if a.serving != nil {
			a.serving.takesFlows.Store(false)
		}
		return nil
	}
	isAllowed := doc.Allows(a.instance.Settings.Agent.Envelope.Addr())
	if a.serving != nil {
		// Also when the document allows no endpoint here any more: established flows go on.
		a.serving.update(doc)
		a.serving.takesFlows.Store(isAllowed && a.life.takesFlows())
		return nil
	}
	if !isAllowed {
		return Error.New("the document of %s does not allow endpoints at %s", doc.Service, a.instance.Settings.Agent.Envelope.Addr())
	}
	if !a.life.takesFlows() {
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
		a.instance.Log.Error().Str("service", name).Err(err).Msg("document not understood")
		return 0, nil
	}
	return service.Number, doc
}

// readZone returns the number of the instance's zone, or 0 while control has not given it one.
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

// stateLocked is the endpoint's state as it is published.
func (a *Agent) stateLocked() wire.Endpoint_State {
	switch {
	case a.life.phase == phaseGone:
		return wire.Endpoint_STATE_GONE
	case a.life.phase == phaseDraining:
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

// publishLocked publishes the endpoint when something about it has changed.
func (a *Agent) publishLocked() {
	announced := a.life.announced
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
		Str("reason", a.life.reason).
		Msg("endpoint state published")
	a.instance.Publish(wire.Record_KIND_ENDPOINT, a.sequence, endpoint)
}

// Drain takes no new flows, lets everything in flight end and publishes that
// the endpoint is gone. The agent takes no announcements afterwards.
func (a *Agent) Drain(ctx context.Context) {
	a.mu.Lock()
	a.life.isStopping = true
	a.mu.Unlock()
	a.drainEndpoint(ctx, "the agent stops")
	a.letRecordsLeave(ctx)
}

// drainEndpoint drains the endpoint and reports whether nothing was cut.
func (a *Agent) drainEndpoint(ctx context.Context, reason string) bool {
	a.mu.Lock()
	s := a.serving
	a.life.drain(reason)
	if s != nil {
		s.takesFlows.Store(false)
	}
	a.publishLocked()
	a.mu.Unlock()
	isEmpty := s == nil || s.drain(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.life.endDrain()
	a.publishLocked()
	if a.serving == s && s != nil {
		a.serving = nil
		go s.close()
	}
	return isEmpty
}

// leaveDelay gives the last record time to reach the peers.
const leaveDelay = 200 * time.Millisecond

func (a *Agent) letRecordsLeave(ctx context.Context) {
	pause.For(ctx, leaveDelay)
}

// ServeStream answers questions about idempotency keys.
func (a *Agent) ServeStream(ctx context.Context, request *wire.Request, stream net.Conn) bool {
	return a.serveOwner(ctx, request, stream)
}

// Health fails while the endpoint takes no new work.
func (a *Agent) Health() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.life.isStopping || a.life.phase == phaseDraining {
		return Error.New("draining")
	}
	return nil
}

// Details says what the agent serves.
func (a *Agent) Details() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	announced := a.life.announced
	if announced == nil {
		return []string{"endpoint: none has announced itself"}
	}
	lines := []string{fmt.Sprintf("endpoint: %s of %s, %s", announced.Address, announced.Service, stateNames[a.stateLocked()])}
	if a.serving == nil {
		return lines
	}
	load := a.serving.limiter.Load()
	return append(lines, fmt.Sprintf("load: %d flows, %d of %d slots taken, %d requests wait; the endpoint reports a load of %.2f",
		a.serving.work.flows.Load(), load.Taken, load.Slots, load.Waiting, a.reportedLoad))
}
