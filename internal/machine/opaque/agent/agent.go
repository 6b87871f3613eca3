// Package agent implements the agent role of the opaque mode. All packets to an
// endpoint pass through its agent, which decides which new flows the endpoint accepts,
// tracks the endpoint's flows, and sends the endpoint's packets directly to callers.
package agent

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/routing"
	"sassafrasturn.example/internal/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("agent")

const (
	sweepInterval = 250 * time.Millisecond
	// drainTime is how long a stopping agent forwards new flows to other agents. It
	// covers two polls in each direction, after which the balancers have received the
	// change.
	drainTime = 1500 * time.Millisecond
	// withdrawTime is enough for the last poll to reach a control instance, or a
	// second one if the first does not answer.
	withdrawTime = 400 * time.Millisecond
)

// Agent is the agent role of an instance.
type Agent struct {
	instance *machine.Instance
	node     *opaque.Node
	codec    flow.Codec
	outbound machine.Socket
	metrics  metrics

	// checkChanged holds a token when the next check of the endpoint may be due earlier.
	checkChanged chan struct{}

	mu        sync.Mutex
	table     *flow.Table
	gate      flow.Gate
	lifecycle *flow.Lifecycle
	// witnesses show whether the endpoint has started again.
	witnesses flow.Witnesses
	// saturation says whether refusals of the endpoint are due to a rush.
	saturation flow.Saturation
	// bounceable holds the offers of delivered packets that the endpoint may bounce.
	bounceable *bounceableOffers
	// adoptUntil is the time until which the endpoint may have flows that are older
	// than the agent. Until then, packets of unknown flows are delivered to the
	// endpoint, and those that it bounces are forwarded to the next agent.
	adoptUntil time.Duration
	// knownFrom is the time from which the agent knows all requests that the endpoint receives.
	knownFrom time.Duration
	// isZoneOut is set while the agent's zone is out of service. zoneReturnIndex is the log index
	// at which it was last taken back, and zoneReturnedAt when the agent learned of that.
	isZoneOut       bool
	zoneReturnIndex uint64
	zoneReturnedAt  time.Duration
	// deferred holds packets that other agents may own and that wait for the routing
	// table by which an earlier hop has forwarded them.
	deferred *flow.Deferred[opaque.Offer]
	orphans  *flow.Orphans
	// suspects are the agents that do not answer probes.
	suspects *flow.Suspects
	forwards *flow.Forwards
	reports  loadReports
	// isOrphanCheckScheduled is set while a check of the orphans is scheduled.
	isOrphanCheckScheduled bool
	// record is the record that the agent reports of itself.
	record      wire.AgentRecord
	serviceTime serviceTime
	// self is the agent with the last service that it has reported.
	self flow.Member
	// isLeaving is set by Drain, and isHandedOver once it has handed over the flows.
	isLeaving, isHandedOver bool
	// awaitsFlows is set until the flows of the agent's previous start are known, or known to be
	// lost.
	awaitsFlows bool
	handovers   handovers
	// reset, expired and services are buffers that are reused for each packet.
	reset    []byte
	expired  []netip.AddrPort
	services [8]string
}

// New returns the agent role of an instance and opens its sockets.
func New(instance *machine.Instance, codec flow.Codec) (*Agent, error) {
	s := instance.Settings
	a := &Agent{
		instance: instance, codec: codec, table: flow.NewTable(),
		gate: flow.Gate{
			SilenceTimeout: min(maxMissedHeartbeats*s.Opaque.HeartbeatInterval, s.Opaque.AddressReuseDelay-reuseMargin),
			ColdFactor:     s.Opaque.ColdFactor, ColdSlack: s.Opaque.ColdSlack,
		},
		bounceable: newBounceableOffers(),
		deferred:   flow.NewDeferred[opaque.Offer](),
		orphans:    flow.NewOrphans(),
		suspects:   flow.NewSuspects(),
		forwards:   flow.NewForwards(),
		adoptUntil: s.Opaque.MaxFlowLifetime, checkChanged: make(chan struct{}, 1),
		awaitsFlows: true, handovers: newHandovers(instance.Metrics),
		metrics: newMetrics(instance.Metrics), reports: newLoadReports(instance.Metrics),
		serviceTime: newServiceTime(instance.Metrics),
	}
	a.gate.SilenceTimeout = max(a.gate.SilenceTimeout, s.Opaque.HeartbeatInterval+heartbeatSlack)
	a.lifecycle = flow.NewLifecycle(a.gate.SilenceTimeout)
	a.lifecycle.SetServices(0, flow.Services{Configured: s.Opaque.Service})
	a.record = wire.AgentRecord{
		Address: routing.AddressNumber(s.Link.Address().Addr()), Port: uint32(s.Link.Address().Port()),
		// The service is reported from the start, because the endpoint may have flows
		// from before the agent's start.
		Zone: s.Zone, Service: s.Opaque.Service, Incarnation: instance.Incarnation,
	}
	a.self = flow.NewMember(s.Link.Address(), s.Zone, s.Opaque.Service)
	node, err := opaque.NewNode(instance, a.describe, opaque.Handlers{
		Offer: a.handleOffer, ProbeAnswered: a.handleProbeAnswer, Published: a.handlePublished, Synced: a.resetOrphans,
		Message: a.handleMessage,
	})
	if err != nil {
		return nil, err
	}
	a.node = node
	a.outbound, err = instance.ListenUDP(s.Opaque.Outbound)
	return a, err
}

const (
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat
	// after which an endpoint is considered failed.
	maxMissedHeartbeats = 3
	// heartbeatSlack covers the jitter of heartbeats and the endpoint's own delay.
	heartbeatSlack = 400 * time.Millisecond
	// reuseMargin covers the time between the last heartbeat of an endpoint and its end.
	reuseMargin = 100 * time.Millisecond
)

// describe returns the agent's current record.
func (a *Agent) describe() *wire.AgentRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshRecord()
	return proto.CloneOf(&a.record)
}

// refreshRecord updates the record from the endpoint's state. It increases the
// sequence number if the record changes.
func (a *Agent) refreshRecord() {
	service, isReady := a.record.Service, false
	now := a.node.Now()
	if endpoint := a.lifecycle.Admission(now); endpoint != nil {
		// Other agents reset the flows of a service that no agent reports any more.
		if service == "" || a.lifecycle.IsConfirmed() {
			service = endpoint.Service
		}
		isReady = service == endpoint.Service && !endpoint.IsDraining && !endpoint.IsLeaving && !a.isLeaving && now-endpoint.LastSeen <= a.gate.SilenceTimeout
	}
	if a.lifecycle.IsDown() {
		service = ""
	}
	serviceTime := a.refreshServiceTime(now)
	if service == a.record.Service && isReady == a.record.Ready && serviceTime == a.record.ServiceTimeMs {
		return
	}
	if service != "" {
		a.self.Service = service
	}
	a.record.Service, a.record.Ready, a.record.ServiceTimeMs = service, isReady, serviceTime
	a.record.Sequence++
}

// Run forwards packets to and from the endpoint until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	// The first poll must not report a service whose endpoint is not running: other
	// instances would send packets here until the next poll.
	if a.canCheck() {
		a.checkEndpoint(ctx)
		go a.watchEndpoint(ctx)
	}
	go a.node.Run(ctx)
	go a.takeOver(ctx)
	go a.sweep(ctx)
	opaque.ReceivePackets(ctx, a.outbound, a.instance.Log, a.handleOutbound)
	return nil
}

// sweep periodically removes expired entries and refreshes the gauges and the record.
func (a *Agent) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.mu.Lock()
		a.table.Sweep(a.node.Now(), a.node.State().Table.IdleTimeout)
		a.bounceable.sweep(a.node.Now())
		a.orphans.Sweep(a.node.Now())
		a.suspects.Sweep(a.node.Now())
		a.forwards.Sweep(a.node.Now())
		a.reports.limit.Sweep(a.node.Now())
		a.metrics.flows.Set(float64(a.table.Len()))
		a.metrics.inFlight.Set(float64(a.table.InFlight()))
		before := a.record.Sequence
		a.refreshRecord()
		isChanged := a.record.Sequence != before
		a.mu.Unlock()
		if isChanged {
			a.node.Refresh()
		}
	}
}

// Drain forwards new flows to other agents until the balancers have learned that the
// agent stops, and then hands over the endpoint's flows to the agent's next start. An agent
// whose endpoint has ended withdraws its record, and waits only until the others know.
func (a *Agent) Drain(ctx context.Context) {
	stopAt := a.node.Now() + a.instance.Settings.Opaque.StopGracePeriod
	a.mu.Lock()
	a.isLeaving = true
	a.refreshRecord()
	a.mu.Unlock()
	a.node.Refresh()
	if a.canCheck() {
		a.checkEndpoint(ctx)
	}
	wait := drainTime
	if a.isDown() {
		wait = withdrawTime
	}
	pause.For(ctx, min(wait, a.instance.Settings.Opaque.StopGracePeriod/2))
	if !a.isDown() {
		a.handOver(ctx, stopAt)
	}
}

func (a *Agent) isDown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lifecycle.IsDown()
}

// ServeStream returns false: the role serves no requests.
func (a *Agent) ServeStream(context.Context, *wire.Request, net.Conn) bool { return false }

// Health returns an error while the agent has no endpoint.
func (a *Agent) Health() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lifecycle.Endpoint() == nil {
		return Error.New("no endpoint has announced itself")
	}
	return nil
}

// Details returns the number of flows and the state of the endpoint for the status page.
func (a *Agent) Details() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	lines := []string{
		fmt.Sprintf("flows: %d", a.table.Len()),
		fmt.Sprintf("requests in flight: %d", a.table.InFlight()),
	}
	if e := a.lifecycle.Endpoint(); e != nil {
		lines = append(lines, fmt.Sprintf("endpoint: %s of %s, draining %t, leaving %t", e.ID, e.Service, e.IsDraining, e.IsLeaving))
	}
	return lines
}

var _ machine.Role = (*Agent)(nil)

type metrics struct {
	flows, inFlight prometheus.Gauge
	offers          *prometheus.CounterVec
	hops            prometheus.Histogram
	dropped         *prometheus.CounterVec
	resets          *prometheus.CounterVec
	returned        prometheus.Counter
	announcements   *prometheus.CounterVec
}

func newMetrics(registry *prometheus.Registry) metrics {
	m := metrics{
		flows:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "sassafrasturn_flows", Help: "Flows that the endpoint holds."}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{Name: "sassafrasturn_requests_in_flight", Help: "Requests that wait for an answer of the endpoint."}),
		offers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sassafrasturn_offers_total", Help: "New flows offered to the endpoint, by why they were not taken.",
		}, []string{"outcome"}),
		hops: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sassafrasturn_packet_hops", Help: "Agents that a packet passed before the one that holds its flow.",
			Buckets: []float64{0, 1, 2, 3, 5, 8, 13, 21},
		}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sassafrasturn_packets_dropped_total", Help: "Packets that no endpoint got, by reason.",
		}, []string{"reason"}),
		resets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sassafrasturn_resets_total", Help: "Flows reset by the agent, by reason.",
		}, []string{"reason"}),
		returned: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sassafrasturn_packets_returned_total", Help: "Packets sent to an agent that another one with an older view had left out.",
		}),
		announcements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sassafrasturn_announcements_total", Help: "Announcements of endpoints, by effect: updated, started, claimed by another one, of an unnamed service, ignored.",
		}, []string{"effect"}),
	}
	registry.MustRegister(m.flows, m.inFlight, m.offers, m.hops, m.dropped, m.resets, m.returned, m.announcements)
	return m
}
