package balancer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/membership"
	"sassafrasturn.example/internal/wire"
)

const (
	// minTargetsInterval is the minimum time between two selections of members to probe.
	minTargetsInterval = time.Second
	// expiryCheckInterval is the interval between checks for records of members that left
	// or went down long ago.
	expiryCheckInterval = time.Minute
)

// failureDetector probes the members assigned to this balancer, publishes its verdict and
// determines from the verdicts of all balancers which members are down.
type failureDetector struct {
	balancer *Balancer
	table    *membership.Table

	mu     sync.Mutex
	prober *membership.Prober

	sequence        uint64
	generation      uint64
	targetsChosenAt time.Time
	lastExpiryAt    time.Time
}

func newFailureDetector(b *Balancer) *failureDetector {
	s := b.instance.Settings
	d := &failureDetector{
		balancer: b,
		table:    membership.NewTable(s.Instance, s.Zone),
		// A random first sequence number distinguishes answers to probes of an earlier
		// process.
		prober: membership.NewProber(s.Zone, rand.Uint64()>>1),
	}
	b.instance.Metrics.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sassafrasturn_balancer_members", Help: "Endpoints and balancers known.",
		}, func() float64 { known, _ := d.table.Counts(); return float64(known) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sassafrasturn_balancer_members_down", Help: "Endpoints and balancers that do not answer probes.",
		}, func() float64 { _, down := d.table.Counts(); return float64(down) }),
	)
	return d
}

// run runs the failure detector until ctx ends.
func (d *failureDetector) run(ctx context.Context) {
	stop := d.balancer.instance.Store.Watch(d.apply)
	defer stop()
	d.apply(d.balancer.instance.Store.List())
	d.publish()
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.tick(time.Now())
		}
	}
}

// apply applies changed records to the membership table and schedules a rebuild of the
// views that contain a member that went down or came back.
func (d *failureDetector) apply(records []*wire.Record) {
	var affected []*wire.Record
	for _, member := range d.table.Apply(time.Now(), records) {
		isDown := d.table.IsDown(member.Kind, member.Name)
		d.balancer.instance.Decisions.Decision("member").Str("member", member.Name).Stringer("kind", member.Kind).Bool("down", isDown).Msg("member changed")
		if member.Kind == wire.Record_KIND_ENDPOINT {
			affected = append(affected, &wire.Record{Kind: wire.Record_KIND_ENDPOINT, Key: member.Name})
		}
	}
	if len(affected) > 0 {
		d.balancer.changes.add(affected)
	}
}

func (d *failureDetector) tick(now time.Time) {
	d.mu.Lock()
	d.chooseTargets(now)
	hasRefuted := d.prober.Refresh(now, d.table.Version)
	probes, hasChanged := d.prober.Tick(now, d.balancer.instance.Store.LastReceived())
	d.mu.Unlock()
	for _, probe := range probes {
		d.send(probe)
	}
	if hasChanged || hasRefuted {
		d.publish()
	}
	if now.Sub(d.lastExpiryAt) >= expiryCheckInterval {
		d.lastExpiryAt = now
		d.balancer.instance.Store.Expire(d.table.Expired(now))
	}
}

func (d *failureDetector) chooseTargets(now time.Time) {
	if d.generation == d.table.Generation() || now.Sub(d.targetsChosenAt) < minTargetsInterval {
		return
	}
	d.targetsChosenAt = now
	targets, generation := d.table.Targets()
	d.generation = generation
	d.prober.SetTargets(now, targets)
}

func (d *failureDetector) send(probe membership.Probe) {
	address, ok := envelope.UnpackAddress([]byte(probe.Address))
	if !ok {
		return
	}
	d.sendTo(address, &wire.Envelope{Kind: wire.Envelope_KIND_PROBE, Sequence: probe.Sequence})
}

func (d *failureDetector) sendTo(address netip.AddrPort, message *wire.Envelope) {
	sealed, err := d.balancer.sealer.Seal(nil, message)
	if err != nil {
		d.balancer.metrics.drop(dropSendFailed)
		return
	}
	if _, err := d.balancer.conn.WriteToUDPAddrPort(sealed, address); err != nil {
		d.balancer.metrics.drop(dropSendFailed)
	}
}

// answerProbe answers a probe of another balancer.
func (d *failureDetector) answerProbe(from netip.AddrPort, message *wire.Envelope) {
	d.sendTo(from, &wire.Envelope{
		Kind:        wire.Envelope_KIND_PROBE_ANSWER,
		Sequence:    message.Sequence,
		Incarnation: d.balancer.instance.PublishedIncarnation(),
	})
}

func (d *failureDetector) handleProbeAnswer(message *wire.Envelope) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prober.HandleAnswer(time.Now(), message.Sequence, message.Incarnation)
}

// publish publishes the verdict of this balancer.
func (d *failureDetector) publish() {
	d.mu.Lock()
	verdict := d.prober.Verdict()
	d.mu.Unlock()
	d.sequence++
	d.balancer.instance.Publish(wire.Record_KIND_VERDICT, d.sequence, verdict)
}
