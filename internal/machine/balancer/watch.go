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
	// targetsInterval is the shortest time between two choices of whom to watch.
	targetsInterval = time.Second
	// expiryInterval separates looks for members that left long ago.
	expiryInterval = time.Minute
)

// watch probes the members that this balancer watches, publishes its verdict
// and knows who is down.
type watch struct {
	balancer *Balancer
	table    *membership.Table

	mu     sync.Mutex
	prober *membership.Prober

	sequence   uint64
	generation uint64
	chosenAt   time.Time
	expiredAt  time.Time
}

func newWatch(b *Balancer) *watch {
	s := b.instance.Settings
	w := &watch{
		balancer: b,
		table:    membership.NewTable(s.Instance, s.Zone),
		// A random start keeps answers to an earlier process apart.
		prober: membership.NewProber(s.Zone, rand.Uint64()>>1),
	}
	b.instance.Metrics.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sassafrasturn_balancer_members", Help: "Endpoints and balancers known.",
		}, func() float64 { known, _ := w.table.Counts(); return float64(known) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sassafrasturn_balancer_members_down", Help: "Endpoints and balancers that do not answer probes.",
		}, func() float64 { _, down := w.table.Counts(); return float64(down) }),
	)
	return w
}

// run probes until ctx ends.
func (w *watch) run(ctx context.Context) {
	stop := w.balancer.instance.Store.Watch(w.apply)
	defer stop()
	w.apply(w.balancer.instance.Store.List())
	w.publish()
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.tick(time.Now())
		}
	}
}

// apply takes in records; the views of members that went down or came back
// are built anew.
func (w *watch) apply(records []*wire.Record) {
	var affected []*wire.Record
	for _, member := range w.table.Apply(time.Now(), records) {
		isDown := w.table.IsDown(member.Kind, member.Name)
		w.balancer.instance.Decisions.Decision("member").Str("member", member.Name).Stringer("kind", member.Kind).Bool("down", isDown).Msg("member changed")
		if member.Kind == wire.Record_KIND_ENDPOINT {
			affected = append(affected, &wire.Record{Kind: wire.Record_KIND_ENDPOINT, Key: member.Name})
		}
	}
	if len(affected) > 0 {
		w.balancer.changes.add(affected)
	}
}

func (w *watch) tick(now time.Time) {
	w.mu.Lock()
	w.chooseTargets(now)
	hasRefuted := w.prober.Refresh(now, w.table.Version)
	probes, hasChanged := w.prober.Tick(now, w.balancer.instance.Store.LastReceived())
	w.mu.Unlock()
	for _, probe := range probes {
		w.send(probe)
	}
	if hasChanged || hasRefuted {
		w.publish()
	}
	if now.Sub(w.expiredAt) >= expiryInterval {
		w.expiredAt = now
		w.balancer.instance.Store.Expire(w.table.Expired(now))
	}
}

func (w *watch) chooseTargets(now time.Time) {
	if w.generation == w.table.Generation() || now.Sub(w.chosenAt) < targetsInterval {
		return
	}
	w.chosenAt = now
	targets, generation := w.table.Targets()
	w.generation = generation
	w.prober.SetTargets(now, targets)
}

func (w *watch) send(probe membership.Probe) {
	address, ok := envelope.UnpackAddress([]byte(probe.Address))
	if !ok {
		return
	}
	w.sendTo(address, &wire.Envelope{Kind: wire.Envelope_KIND_PROBE, Sequence: probe.Sequence})
}

func (w *watch) sendTo(address netip.AddrPort, message *wire.Envelope) {
	sealed, err := w.balancer.sealer.Seal(nil, message)
	if err != nil {
		w.balancer.metrics.drop(dropSendFailed)
		return
	}
	if _, err := w.balancer.conn.WriteToUDPAddrPort(sealed, address); err != nil {
		w.balancer.metrics.drop(dropSendFailed)
	}
}

// answerProbe tells another balancer that this one is alive.
func (w *watch) answerProbe(from netip.AddrPort, message *wire.Envelope) {
	w.sendTo(from, &wire.Envelope{
		Kind:        wire.Envelope_KIND_PROBE_ANSWER,
		Sequence:    message.Sequence,
		Incarnation: w.balancer.instance.PublishedIncarnation(),
	})
}

func (w *watch) takeAnswer(message *wire.Envelope) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.prober.HandleAnswer(time.Now(), message.Sequence, message.Incarnation)
}

// publish spreads the verdict of this watcher.
func (w *watch) publish() {
	w.mu.Lock()
	verdict := w.prober.Verdict()
	w.mu.Unlock()
	w.sequence++
	w.balancer.instance.Publish(wire.Record_KIND_VERDICT, w.sequence, verdict)
}
