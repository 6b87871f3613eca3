// Package agent runs the agent role: the process beside an endpoint. It ends
// callers' QUIC connections, admits or hands on new flows, and passes requests
// to the endpoint over plain HTTP on loopback.
package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/contract"
	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/token"
	"sassafrasturn.example/internal/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("agent")

// socketBufferBytes is asked for on the envelope socket; the kernel may give less.
const socketBufferBytes = 4 << 20

// Agent is the agent role of an instance.
type Agent struct {
	instance *machine.Instance
	sealer   *envelope.Sealer
	codec    *token.Codec
	conn     *net.UDPConn
	paths    *returnPaths
	metrics  *metrics
	changed  chan struct{}

	mu         sync.Mutex
	announced  *Announcement
	state      wire.Endpoint_State
	serving    *serving
	sequence   uint64
	isDraining bool
}

// New prepares the agent role of an instance.
func New(instance *machine.Instance) (*Agent, error) {
	sealer, err := envelope.NewSealer(instance.Keys)
	if err != nil {
		return nil, err
	}
	codec, err := token.NewCodec(instance.Keys)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(instance.Settings.Agent.Envelope))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// Where the options are refused, forwarding works with smaller buffers.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return &Agent{
		instance: instance,
		sealer:   sealer,
		codec:    codec,
		conn:     conn,
		paths:    newReturnPaths(),
		metrics:  newMetrics(instance.Metrics),
		changed:  make(chan struct{}, 1),
	}, nil
}

// Run serves the endpoint until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	stopWatch := a.instance.Store.Watch(func([]*wire.Record) { a.signalChange() })
	defer stopWatch()
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
	for {
		select {
		case <-ctx.Done():
			return
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
	if a.announced == nil {
		return nil
	}
	service, doc := a.readService(a.announced.Service)
	zone := a.readZone()
	a.publishLocked()
	if doc == nil || zone == 0 {
		return nil
	}
	if !doc.Allows(a.instance.Settings.Agent.Envelope.Addr()) {
		return Error.New("the document of %s does not allow endpoints at %s", doc.Service, a.instance.Settings.Agent.Envelope.Addr())
	}
	if a.serving != nil {
		a.serving.update(doc)
		return nil
	}
	s, err := newServing(a, service, zone, doc, a.announced)
	if err != nil {
		return err
	}
	a.serving = s
	a.instance.Log.Info().Str("service", doc.Service).Str("endpoint", a.announced.Address).Msg("serving endpoint")
	return nil
}

func (a *Agent) readService(name string) (number uint32, doc *contract.Document) {
	record := a.instance.Store.Get(wire.Record_KIND_SERVICE, name)
	if record == nil {
		return 0, nil
	}
	service := new(wire.Service)
	if proto.Unmarshal(record.Value, service) != nil {
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

// setState changes the endpoint's state and publishes it.
func (a *Agent) setState(state wire.Endpoint_State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state == state {
		return
	}
	a.state = state
	a.sequence++
	a.publishLocked()
}

func (a *Agent) publishLocked() {
	if a.announced == nil {
		return
	}
	s := a.instance.Settings
	a.instance.Publish(wire.Record_KIND_ENDPOINT, a.sequence, &wire.Endpoint{
		Instance: s.Instance,
		Address:  envelope.PackAddress(s.Agent.Envelope),
		Service:  a.announced.Service,
		Zone:     s.Zone,
		State:    a.state,
		Slots:    uint32(a.announced.Slots),
		Link:     s.Link.Listen.String(),
	})
}

// Drain takes no new flows, lets everything in flight end and publishes that
// the endpoint is gone.
func (a *Agent) Drain(ctx context.Context) {
	a.mu.Lock()
	a.isDraining = true
	s := a.serving
	a.mu.Unlock()
	a.setState(wire.Endpoint_STATE_DRAINING)
	if s != nil {
		s.drain(ctx)
	}
	a.setState(wire.Endpoint_STATE_GONE)
	a.letRecordsLeave(ctx)
}

// leaveDelay gives the last record time to reach the peers.
const leaveDelay = 200 * time.Millisecond

func (a *Agent) letRecordsLeave(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(leaveDelay):
	}
}

// ServeStream answers questions about idempotency keys.
func (a *Agent) ServeStream(ctx context.Context, request *wire.Request, stream net.Conn) bool {
	return a.serveOwner(ctx, request, stream)
}

// Health fails while the endpoint takes no new work.
func (a *Agent) Health() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isDraining {
		return Error.New("draining")
	}
	return nil
}

// Details says what the agent serves.
func (a *Agent) Details() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.announced == nil {
		return []string{"endpoint: none has announced itself"}
	}
	return []string{"endpoint: " + a.announced.Address + " of " + a.announced.Service + ", " + a.state.String()}
}
