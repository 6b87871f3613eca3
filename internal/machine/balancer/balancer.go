// Package balancer implements the balancer role. It receives callers' datagrams from the
// fabric, the network that spreads them over the balancers, forwards them to agents in
// envelopes and sends the agents' replies back to the callers. It keeps no state about
// flows.
package balancer

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/route"
	"sassafrasturn.example/internal/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("balancer")

const (
	// quietPeriod is the time without any datagram after which draining ends, because
	// the fabric then sends datagrams to other balancers.
	quietPeriod = time.Second
	// healthDetectionTime is how long the fabric may take to detect that the health
	// check fails. A quiet period within this time may be coincidence.
	healthDetectionTime = 5 * time.Second
)

// Balancer is the balancer role of an instance.
type Balancer struct {
	instance *machine.Instance
	sealer   *envelope.Sealer
	router   *route.Router
	conn     machine.Socket
	metrics  *metrics

	changes  *changeSet
	catalog  *catalogView
	detector *failureDetector
	// listeners contains the listeners by the address to which they are bound. The map
	// is never modified, but replaced; see updateListeners.
	listeners atomic.Pointer[map[netip.AddrPort]*listener]

	isDraining atomic.Bool
	// lastDatagram is the time of the last datagram from a caller, in Unix nanoseconds.
	lastDatagram atomic.Int64
}

// New returns the balancer role of an instance and opens its envelope socket.
func New(instance *machine.Instance) (*Balancer, error) {
	envelopes, err := instance.OpenEnvelopeSocket(instance.Settings.Balancer.Envelope)
	if err != nil {
		return nil, err
	}
	b := &Balancer{
		instance: instance,
		sealer:   envelopes.Sealer,
		router:   route.NewRouter(envelopes.Codec),
		conn:     envelopes.Conn,
		metrics:  newMetrics(instance.Metrics, instance.Lease),
		changes:  newChangeSet(),
		catalog:  newCatalogView(),
	}
	// A lease that refers to a zone change must not become valid before the views
	// contain the change.
	instance.RoleSetsAppliedIndex = true
	b.detector = newFailureDetector(b)
	b.listeners.Store(&map[netip.AddrPort]*listener{})
	return b, nil
}

// Run forwards datagrams until ctx ends.
func (b *Balancer) Run(ctx context.Context) error {
	stopWatch := b.instance.Store.Watch(b.changes.add)
	defer stopWatch()
	context.AfterFunc(ctx, b.close)
	b.publish()
	b.changes.add(b.instance.Store.List())
	go b.rebuildViews(ctx)
	go b.detector.run(ctx)
	go b.logLeaseChanges(ctx)
	return b.forwardReplies(ctx)
}

func (b *Balancer) close() {
	b.conn.Close()
	for _, l := range *b.listeners.Load() {
		l.conn.Close()
	}
}

func (b *Balancer) publish() {
	s := b.instance.Settings
	b.instance.Publish(wire.Record_KIND_BALANCER, 1, &wire.Balancer{
		Instance: s.Instance,
		Address:  envelope.PackAddress(s.Balancer.Envelope),
		Zone:     s.Zone,
		Link:     s.Link.Address().String(),
	})
}

// Drain makes the health check fail and returns once the fabric sends no more datagrams.
// The balancer continues to forward meanwhile.
func (b *Balancer) Drain(ctx context.Context) {
	b.isDraining.Store(true)
	startedAt := time.Now()
	ticker := time.NewTicker(quietPeriod / 10)
	defer ticker.Stop()
	for !isDrained(time.Now(), startedAt, time.Unix(0, b.lastDatagram.Load())) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// isDrained reports whether the fabric has had time to detect the failing health check and
// has stopped sending datagrams.
func isDrained(now, startedAt, lastDatagram time.Time) bool {
	return now.Sub(startedAt) >= healthDetectionTime && now.Sub(lastDatagram) >= quietPeriod
}

// ServeStream returns false, because a balancer serves no requests of its own on links.
func (b *Balancer) ServeStream(context.Context, *wire.Request, net.Conn) bool {
	return false
}

// Health returns an error while the balancer drains or its zone lease does not allow it to
// forward, so that the fabric sends datagrams to other balancers.
func (b *Balancer) Health() error {
	if b.isDraining.Load() {
		return Error.New("draining")
	}
	if state := b.instance.Lease.State(time.Now()); !state.MayForward() {
		return Error.New("zone lease: %s", state)
	}
	return nil
}

// Details returns the state of the zone lease and the addresses that the balancer serves.
func (b *Balancer) Details() []string {
	lines := []string{"zone lease: " + b.instance.Lease.State(time.Now()).String()}
	for _, l := range *b.listeners.Load() {
		lines = append(lines, l.describe())
	}
	return lines
}

// forwardReplies receives envelopes until ctx ends. Most of them are replies of agents,
// which it forwards to the callers.
func (b *Balancer) forwardReplies(ctx context.Context) error {
	buffer := make([]byte, envelope.MaxBytes)
	message := new(wire.Envelope)
	for {
		n, from, err := b.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			continue
		}
		if err := b.sealer.Open(buffer[:n], message); err != nil {
			b.metrics.drop(dropForged)
			continue
		}
		b.handleEnvelope(from, message)
	}
}

func (b *Balancer) handleEnvelope(from netip.AddrPort, message *wire.Envelope) {
	switch message.Kind {
	case wire.Envelope_KIND_REPLY:
		b.sendReply(message)
	case wire.Envelope_KIND_STALE:
		b.applyCorrection(message)
	case wire.Envelope_KIND_PROBE:
		b.detector.answerProbe(from, message)
	case wire.Envelope_KIND_PROBE_ANSWER:
		b.detector.handleProbeAnswer(message)
	default:
		b.metrics.drop(dropUnexpected)
	}
}

// sendReply sends the datagram of an agent's reply to the caller, from the address that
// the caller dialed.
func (b *Balancer) sendReply(message *wire.Envelope) {
	caller, ok := envelope.UnpackAddress(message.Caller)
	dialed, isDialed := envelope.UnpackAddress(message.Dialed)
	if !ok || !isDialed {
		b.metrics.drop(dropUnexpected)
		return
	}
	l := b.listenerAt(b.listenAddress(dialed))
	if l == nil || l.number != message.Service {
		b.metrics.drop(dropUnexpected)
		return
	}
	if _, err := l.conn.WriteToUDPAddrPort(message.Payload, caller); err != nil {
		b.metrics.drop(dropSendFailed)
		return
	}
	b.metrics.replies.Inc()
}

// applyCorrection merges the records that an agent has sent because this balancer's view
// is stale.
func (b *Balancer) applyCorrection(message *wire.Envelope) {
	correction := new(wire.Exchange)
	if proto.Unmarshal(message.Payload, correction) != nil {
		b.metrics.drop(dropUnexpected)
		return
	}
	b.metrics.corrections.Inc()
	records := slices.DeleteFunc(correction.Records, func(record *wire.Record) bool {
		return record.Kind != wire.Record_KIND_ENDPOINT && record.Kind != wire.Record_KIND_ZONE
	})
	for _, record := range b.instance.Store.Merge(records) {
		b.instance.Decisions.Decision("correct").Str("record", record.Key).Msg("applied newer record from an agent")
	}
}

// leaseCheckInterval is the interval at which the state of the zone lease is checked for
// the log.
const leaseCheckInterval = 100 * time.Millisecond

// logLeaseChanges logs and counts changes of the state of the zone lease until ctx ends.
func (b *Balancer) logLeaseChanges(ctx context.Context) {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	last := b.instance.Lease.State(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			state := b.instance.Lease.State(now)
			if state == last {
				continue
			}
			b.metrics.leaseChanges.WithLabelValues(state.String()).Inc()
			b.instance.Log.Warn().Str("was", last.String()).Str("is", state.String()).Bool("forwards", state.MayForward()).Msg("zone lease changed")
			last = state
		}
	}
}
