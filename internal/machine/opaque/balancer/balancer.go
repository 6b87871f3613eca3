// Package balancer implements the balancer role of the opaque mode. It receives
// callers' packets and forwards each to the agent that owns its flow, or offers a new
// flow to an agent. It keeps no state that a flow depends on.
package balancer

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("balancer")

// drainTime is how long a balancer forwards packets after it has reported that it is
// not ready. Routers check twice a second and take a balancer out of rotation after two
// failed checks; the rest covers delays. A longer time is worse: in a rolling restart,
// more balancers are out of rotation at a time, until routers use all balancers of a
// zone, including those that are down.
const drainTime = 1250 * time.Millisecond

// Balancer is the balancer role of an instance.
type Balancer struct {
	instance *machine.Instance
	node     *opaque.Node
	codec    flow.Codec
	conn     machine.Socket
	owners   *ownerCache
	suspects *suspects
	loads    *agentLoads
	zones    *zoneShares
	speeds   *speeds
	deferred deferredPackets
	link     *link
	origin   flow.ZoneTag
	packets  *prometheus.CounterVec
	refusals *prometheus.CounterVec
	// draining is closed when Drain is called.
	draining chan struct{}
}

// Outcomes of a packet in metrics and log lines.
const (
	outcomeOffered    = "offered"
	outcomeForwarded  = "forwarded"
	outcomeNoRoute    = "no-route"
	outcomeNoEndpoint = "no-endpoint"
	outcomeDeferred   = "deferred"
	outcomeMalformed  = "malformed"
	outcomeLinkFull   = "link-full"
)

// New returns the balancer role of an instance and opens its sockets.
func New(instance *machine.Instance, codec flow.Codec) (*Balancer, error) {
	b := &Balancer{
		instance: instance, codec: codec, owners: newOwnerCache(), suspects: newSuspects(instance.Metrics),
		loads: newAgentLoads(instance.Metrics), deferred: deferredPackets{packets: flow.NewDeferred[struct{}]()},
		link:     newLink(instance),
		speeds:   newSpeeds(instance.Metrics),
		origin:   flow.TagOf(instance.Settings.Zone),
		draining: make(chan struct{}),
		packets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sassafrasturn_packets_total", Help: "Callers' packets by what became of them.",
		}, []string{"outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sassafrasturn_refusals_total", Help: "New flows that the balancer has reset, by reason.",
		}, []string{"reason"}),
	}
	instance.Metrics.MustRegister(b.packets, b.refusals)
	b.zones = newZoneShares(b)
	node, err := opaque.NewNode(instance, nil, opaque.Handlers{
		OwnerUpdate: b.handleOwnerUpdate, ProbeAnswered: b.handleProbeAnswer, Synced: b.releaseDeferred,
		Message: b.handleMessage, Published: b.handlePublished,
	})
	if err != nil {
		return nil, err
	}
	b.node = node
	b.conn, err = instance.ListenUDP(instance.Settings.Opaque.Packets)
	return b, err
}

// Run forwards packets until ctx ends.
func (b *Balancer) Run(ctx context.Context) error {
	go b.node.Run(ctx)
	go b.zones.run(ctx)
	w := &worker{balancer: b, counts: b.counters()}
	opaque.ReceivePackets(ctx, b.conn, b.instance.Log, func(buffer []byte) { w.handle(buffer, b.node.Now()) })
	return nil
}

func (b *Balancer) counters() map[string]prometheus.Counter {
	counts := make(map[string]prometheus.Counter)
	for _, outcome := range []string{outcomeOffered, outcomeForwarded, outcomeNoRoute, outcomeNoEndpoint, outcomeDeferred, outcomeMalformed, outcomeLinkFull} {
		counts[outcome] = b.packets.WithLabelValues(outcome)
	}
	return counts
}

func (b *Balancer) handleOwnerUpdate(update opaque.OwnerUpdate) {
	if update.Owner.Addr().IsValid() && update.Owner.Port() != 0 {
		b.owners.put(update.Flow, cachedOwner{update.Owner, b.zones.crossing(b.node.State(), update.Flow, update.Owner)})
	}
}

// worker handles packets on one goroutine and reuses its buffers for each.
type worker struct {
	balancer *Balancer
	counts   map[string]prometheus.Counter
	services [8]string
	reset    []byte
}

// handle handles one packet, which starts at offset OfferHeadroom of the buffer. While
// the routes or the agents are not known, the packet is deferred.
func (w *worker) handle(buffer []byte, arrivedAt time.Duration) {
	b := w.balancer
	defer b.node.RecoverPanic("packet of a caller")
	h, ok := b.codec.Parse(buffer[opaque.OfferHeadroom:])
	switch {
	case !ok:
		w.counts[outcomeMalformed].Inc()
	case !b.canPlace(&h):
		b.deferred.add(b.node.Now(), arrivedAt, &h, buffer[opaque.OfferHeadroom:])
		w.counts[outcomeDeferred].Inc()
	case h.IsSYN && !h.IsACK:
		w.counts[w.offer(&h, buffer, arrivedAt)].Inc()
	default:
		w.counts[w.forward(&h, buffer)].Inc()
	}
}

// canPlace reports whether the routes and agents that a packet needs may be known. A
// balancer that has recently started lacks them, and after a restart of everything
// control first has to learn which agents accept new flows.
func (b *Balancer) canPlace(h *flow.Header) bool {
	state := b.node.State()
	if !state.IsUsable {
		return false
	}
	if !state.IsRosterYoung || !h.IsSYN {
		return true
	}
	route := state.Table.Lookup(h.Destination)
	return route == nil || len(route.Services) == 0 || state.View.HasReady(route.Pick(h.KeyFromCaller().Hash()))
}

// offer sends a SYN to the first of the agents that may accept the flow. Each
// retransmission starts at the next agent, so that a failed agent costs the caller one
// retransmission.
func (w *worker) offer(h *flow.Header, buffer []byte, arrivedAt time.Duration) string {
	b := w.balancer
	key := h.KeyFromCaller()
	state := b.node.State()
	route := state.Table.Lookup(key.Dialed)
	isLate := b.node.Now()-arrivedAt >= maxSYNDelay
	if route == nil {
		w.refuse(h, key, state, isLate, outcomeNoRoute)
		return outcomeNoRoute
	}
	if decision, wait := b.link.decide(b.node, route); decision != flow.LinkFree {
		b.instance.Decisions.Decision("link-full").Str("flow", key.String()).Int("attempt", h.Attempt).
			Int("less_urgent", route.LessUrgent).Dur("wait_ms", wait).Bool("saturated", decision == flow.LinkSaturated).Msg("")
		// While the link may soon have room, the SYN is dropped: a caller that is reset tries again at
		// once, and the next transmission comes later.
		if decision == flow.LinkSaturated {
			w.refuse(h, key, state, isLate, outcomeLinkFull)
		}
		return outcomeLinkFull
	}
	hash := key.Hash()
	service := route.Pick(hash)
	agents, placement := b.zones.choose(state, route, service, hash)
	if len(agents) == 0 {
		w.refuse(h, key, state, isLate, outcomeNoEndpoint)
		return outcomeNoEndpoint
	}
	isBySpeed := flow.IsReorderedBySpeed(hash, agents)
	suspected := b.deprioritizeSuspects(h.Attempt, agents)
	offer := opaque.Offer{
		Origin: b.origin, Service: opaque.TagOfService(service), Balancer: b.node.Address(),
		// Flows that leave the zone do not start with the first agent of their order.
		IsReordered: suspected > 0 || isBySpeed || placement != flow.PlacedHome && route.HasDeadline(),
		IsLate:      isLate,
	}
	for i := range agents {
		offer.AddCandidate(agents[(i+h.Attempt)%len(agents)].Address)
	}
	first, _ := offer.PopCandidate()
	if h.Attempt == 0 {
		b.zones.flows[placement].Inc()
	}
	if agents[h.Attempt%len(agents)].Zone != b.instance.Settings.Zone {
		b.zones.count(placement, len(buffer)-opaque.OfferHeadroom)
	}
	b.instance.Decisions.Decision("offer").Str("flow", key.String()).Int("attempt", h.Attempt).Str("service", service).
		Stringer("agent", first).Int("suspected", suspected).Bool("by_speed", isBySpeed).Str("placement", string(placement)).
		Uint64("routing_version", state.Table.Version).Uint64("zone_index", state.ZoneIndex).Msg("")
	b.node.SendOffer(&offer, buffer, first)
	return outcomeOffered
}

// maxSYNDelay is how long a SYN may be held back without its caller sending it again, which
// it does after 200 ms.
const maxSYNDelay = 150 * time.Millisecond

// refuse resets a flow that cannot be served. Only the first transmission of a SYN is
// answered with a reset, because a retransmission may have crossed the endpoint's answer,
// and only if it was not held back until the caller may have sent the next one.
func (w *worker) refuse(h *flow.Header, key flow.Key, state *opaque.State, isLate bool, reason string) {
	b := w.balancer
	if !state.IsUsable || h.Attempt > 0 || isLate {
		return
	}
	b.refusals.WithLabelValues(reason).Inc()
	b.instance.Decisions.Decision("refuse").Str("flow", key.String()).Str("reason", reason).
		Uint64("routing_version", state.Table.Version).Int("agents", state.View.LiveCount()).Msg("")
	w.reset = b.codec.AppendReset(w.reset[:0], key, h.Ack)
	b.node.SendPacket(w.reset, key.Caller.Addr())
}

// forward sends a packet of an established flow to the cached owner of the flow if that
// agent is live, and otherwise to the first agent that may own the flow.
func (w *worker) forward(h *flow.Header, buffer []byte) string {
	b := w.balancer
	key := h.KeyFromCaller()
	offer := opaque.Offer{Origin: b.origin, Balancer: b.node.Address(), HasVisited: true}
	state := b.node.State()
	if owner, ok := b.owners.get(key); ok && state.View.IsLive(owner.address) {
		offer.IsShortcut = true
		b.zones.count(owner.crossing, len(buffer)-opaque.OfferHeadroom)
		b.node.SendOffer(&offer, buffer, owner.address)
		return outcomeForwarded
	}
	hash := key.Hash()
	services := state.Services(key, hash, w.services[:])
	if len(services) == 0 {
		return outcomeNoRoute
	}
	order := flow.Order{View: state.View, Flow: hash, Origin: b.origin, Services: services}
	first, ok := order.First()
	if !ok {
		return outcomeNoEndpoint
	}
	if first.Zone != b.instance.Settings.Zone {
		b.zones.count(flow.PlacedNoEndpoint, len(buffer)-opaque.OfferHeadroom)
	}
	b.node.SendOffer(&offer, buffer, first.Address)
	return outcomeForwarded
}

// Drain makes Health fail and continues to forward until the routers have taken the
// balancer out of rotation.
func (b *Balancer) Drain(ctx context.Context) {
	close(b.draining)
	pause.For(ctx, min(drainTime, b.instance.Settings.Opaque.StopGracePeriod/2))
}

// ServeStream returns false: the role serves no requests.
func (b *Balancer) ServeStream(context.Context, *wire.Request, net.Conn) bool { return false }

// Health returns an error until a routing table and the agents are known, while the
// balancer is cut off from control and the agents, and once Drain is called.
func (b *Balancer) Health() error {
	select {
	case <-b.draining:
		return Error.New("the instance is stopping")
	default:
	}
	if !b.node.State().IsUsable {
		return Error.New("no routing table or no complete list of agents received yet")
	}
	if b.node.IsCutOff() {
		return Error.New("the instance is cut off: neither a control instance nor half of the probed agents answer")
	}
	return nil
}

// Details returns the routing version and the number of live agents for the status page.
func (b *Balancer) Details() []string {
	state := b.node.State()
	return []string{
		fmt.Sprintf("routing version: %d", state.Table.Version),
		fmt.Sprintf("agents: %d", state.View.LiveCount()),
	}
}

var _ machine.Role = (*Balancer)(nil)
