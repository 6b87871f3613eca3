// Package agent runs the agent role of the opaque mode: the only way to one
// endpoint. It decides which new flows the endpoint gets, knows which flows the
// endpoint holds, and sends the endpoint's packets straight to the callers.
package agent

import (
	"context"
	"fmt"
	"net"
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
	// drainTime is how long an agent that stops hands new flows on: until the
	// balancers know, two polls each way.
	drainTime = 1500 * time.Millisecond
	// withdrawTime lets the last poll reach a control instance, or a second one
	// when the first does not answer.
	withdrawTime = 400 * time.Millisecond
)

// Agent is the agent role of an instance.
type Agent struct {
	instance *machine.Instance
	node     *opaque.Node
	codec    flow.Codec
	outbound machine.Socket
	metrics  metrics

	mu       sync.Mutex
	table    *flow.Table
	gate     flow.Gate
	endpoint *flow.Endpoint
	// bounceable are the offers of packets that the endpoint may bounce.
	bounceable bounceableOffers
	// adoptUntil is how long the endpoint may hold flows that are older than the
	// agent: it gets packets of flows that the agent does not know, and what it
	// bounces goes on to the next agent.
	adoptUntil time.Duration
	orphans    *flow.Orphans
	// record is what the agent says about itself.
	record    wire.AgentRecord
	isLeaving bool
	reset     []byte
	services  [8]string
}

// New prepares the role.
func New(instance *machine.Instance, codec flow.Codec) (*Agent, error) {
	s := instance.Settings
	a := &Agent{
		instance: instance, codec: codec, table: flow.NewTable(),
		gate: flow.Gate{
			SilenceTimeout: min(maxMissedHeartbeats*s.Opaque.Heartbeat, s.Opaque.AddressReuse-reuseMargin),
			ColdFactor:     s.Opaque.ColdFactor, ColdSlack: s.Opaque.ColdSlack,
		},
		bounceable: make(bounceableOffers),
		orphans:    flow.NewOrphans(),
		adoptUntil: s.Opaque.FlowLifetime,
		metrics:    newMetrics(instance.Metrics),
	}
	a.gate.SilenceTimeout = max(a.gate.SilenceTimeout, s.Opaque.Heartbeat+heartbeatSlack)
	a.record = wire.AgentRecord{
		Address: routing.AddressNumber(s.Link.Address().Addr()), Port: uint32(s.Link.Address().Port()),
		// The endpoint may hold flows from before the agent's start.
		Zone: s.Zone, Service: s.Opaque.Service, Incarnation: instance.Incarnation,
	}
	node, err := opaque.NewNode(instance, a.describe, opaque.Handlers{Offer: a.handleOffer, Synced: a.resetOrphans})
	if err != nil {
		return nil, err
	}
	a.node = node
	a.outbound, err = instance.ListenUDP(s.Opaque.Outbound)
	return a, err
}

const (
	// maxMissedHeartbeats is how many heartbeats an endpoint may miss.
	maxMissedHeartbeats = 3
	// heartbeatSlack covers the spread of heartbeats and the endpoint's own delay.
	heartbeatSlack = 400 * time.Millisecond
	// reuseMargin covers the time from a heartbeat's sending to the end of its sender.
	reuseMargin = 100 * time.Millisecond
)

// describe returns what the agent says about itself now.
func (a *Agent) describe() *wire.AgentRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshRecord()
	return proto.CloneOf(&a.record)
}

// refreshRecord follows the endpoint's state.
func (a *Agent) refreshRecord() {
	service, isReady := a.record.Service, false
	if a.endpoint == nil && a.node.Now() > a.gate.SilenceTimeout {
		// No endpoint has survived the start of the agent.
		service = ""
	}
	if a.endpoint != nil {
		service = a.endpoint.Service
		isReady = !a.endpoint.IsDraining && !a.isLeaving && a.node.Now()-a.endpoint.LastSeen <= a.gate.SilenceTimeout
	}
	if service == a.record.Service && isReady == a.record.Ready {
		return
	}
	a.record.Service, a.record.Ready = service, isReady
	a.record.Sequence++
}

// Run serves the endpoint until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	go a.node.Run(ctx)
	go a.sweep(ctx)
	go a.checkEndpoint(ctx)
	opaque.ReceivePackets(ctx, a.outbound, a.instance.Log, a.handleOutbound)
	return nil
}

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

// Drain hands new flows on until the balancers know. An agent without an
// endpoint says that it holds no flows, so that no packet is sent its way.
func (a *Agent) Drain(ctx context.Context) {
	a.mu.Lock()
	a.isLeaving = true
	wait := drainTime
	if a.endpoint == nil {
		a.withdraw()
		wait = withdrawTime
	}
	a.mu.Unlock()
	a.node.Refresh()
	pause.For(ctx, min(wait, a.instance.Settings.Opaque.StopTime/2))
}

// withdraw takes the agent out of the views: its endpoint is gone, and its flows
// with it.
func (a *Agent) withdraw() {
	a.record.Service, a.record.Ready = "", false
	a.record.Sequence++
}

// ServeStream serves no requests.
func (a *Agent) ServeStream(context.Context, *wire.Request, net.Conn) bool { return false }

// Health fails while the agent has no endpoint.
func (a *Agent) Health() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.endpoint == nil {
		return Error.New("the endpoint has not announced itself yet")
	}
	return nil
}

// Details says how the endpoint stands.
func (a *Agent) Details() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	lines := []string{
		fmt.Sprintf("flows: %d", a.table.Len()),
		fmt.Sprintf("requests in flight: %d", a.table.InFlight()),
	}
	if a.endpoint != nil {
		lines = append(lines, fmt.Sprintf("endpoint: %s of %s, draining %t", a.endpoint.ID, a.endpoint.Service, a.endpoint.IsDraining))
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
	}
	registry.MustRegister(m.flows, m.inFlight, m.offers, m.hops, m.dropped, m.resets)
	return m
}
