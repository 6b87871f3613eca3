// Package opaque implements what the balancers and agents of the opaque mode share:
// the socket between instances, and each instance's local copy of the routing table,
// the agents and the zones, which it polls from the control instances.
package opaque

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/routing"
	"sassafrasturn.example/internal/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("opaque mode")

// State is an instance's copy of the routing table, the agents and the zones. It is
// immutable.
type State struct {
	// Table is empty, with version 0, until the first routing table is received.
	Table *routing.Table
	// View holds the known agents.
	View *flow.View
	// ZoneIndex is the log index of the newest zone change.
	ZoneIndex uint64
	// committed holds the table and the zones in the form that is sent to other
	// instances.
	committed *Committed
	// IsUsable is set if a routing table and a complete list of agents are known.
	IsUsable bool
	// IsRosterYoung is set while the control instance has recently started, so that
	// agents that accept new flows may be missing.
	IsRosterYoung bool
}

// IsOut reports whether a zone is out of service.
func (s *State) IsOut(zone string) bool { return slices.Contains(s.committed.ZonesOut, zone) }

// ReturnIndex returns the log index at which a zone was last taken back into service, 0 if it never
// was.
func (s *State) ReturnIndex(zone string) uint64 { return s.committed.ZonesBack[zone] }

// Handlers process the datagrams that the socket receives, except poll answers. They
// run on the socket's single goroutine and must not retain the slices. A nil handler
// is not called.
type Handlers struct {
	// Offer handles a caller's packet, which starts at offset OfferHeadroom of the buffer.
	Offer func(offer *Offer, buffer []byte)
	// OwnerUpdate handles an agent's report of the owner of a flow.
	OwnerUpdate func(OwnerUpdate)
	// Message handles a protobuf message other than a poll answer, a probe or its answer.
	Message func(kind Kind, data []byte, from netip.AddrPort)
	// ProbeAnswered is called with the link address of an agent that has answered a probe.
	ProbeAnswered func(agent netip.AddrPort)
	// Published is called when State has changed. It runs on the polling goroutine.
	Published func()
	// Synced is called when SyncedAt has advanced. It runs on the polling goroutine.
	Synced func()
}

// Node is an instance's socket to other instances and its current State.
type Node struct {
	instance *machine.Instance
	conn     machine.Socket
	// sealer is nil on an insecure cluster.
	sealer   *envelope.Sealer
	handlers Handlers
	started  time.Time
	state    atomic.Pointer[State]
	poller   *poller
	// sentBytes is the value of SentBytes.
	sentBytes atomic.Uint64
	// syncedAt is the value of SyncedAt in nanoseconds.
	syncedAt       atomic.Int64
	reachabilityMu sync.Mutex
	reachability   flow.Reachability
	metrics        nodeMetrics
}

type nodeMetrics struct {
	polls      *prometheus.CounterVec
	answerTime prometheus.Histogram
	malformed  prometheus.Counter
	panics     prometheus.Counter
}

// NewNode opens the socket of an instance at its link address. self returns the
// record that an agent reports of itself; it is nil for other roles.
func NewNode(instance *machine.Instance, self func() *wire.AgentRecord, handlers Handlers) (*Node, error) {
	n, err := openNode(instance, handlers)
	if err != nil {
		return nil, err
	}
	n.poller = newPoller(n, self)
	return n, nil
}

func openNode(instance *machine.Instance, handlers Handlers) (*Node, error) {
	conn, err := instance.ListenUDP(instance.Settings.Link.Listen)
	if err != nil {
		return nil, err
	}
	n := &Node{instance: instance, conn: conn, handlers: handlers, started: time.Now()}
	if instance.Keys != nil {
		if n.sealer, err = envelope.NewSealer(instance.Keys); err != nil {
			return nil, err
		}
	}
	n.state.Store(&State{Table: routing.Empty(), View: flow.NewView(nil), committed: new(Committed)})
	n.metrics = newNodeMetrics(instance.Metrics)
	return n, nil
}

// NewListener opens the socket of an instance that does not poll.
func NewListener(instance *machine.Instance, handlers Handlers) (*Node, error) {
	return openNode(instance, handlers)
}

func newNodeMetrics(registry *prometheus.Registry) nodeMetrics {
	m := nodeMetrics{
		polls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sassafrasturn_polls_total", Help: "Polls of control instances by outcome.",
		}, []string{"outcome"}),
		answerTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sassafrasturn_poll_answer_seconds", Help: "Time until a control instance answered a poll.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 10),
		}),
		malformed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sassafrasturn_datagrams_malformed_total", Help: "Datagrams between instances that could not be read.",
		}),
	}
	m.panics = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "sassafrasturn_handler_panics_total", Help: "Packets and messages whose handler failed; they were dropped.",
	})
	registry.MustRegister(m.polls, m.answerTime, m.malformed, m.panics)
	return m
}

// maxStackBytes bounds the stack in the log line of a panic.
const maxStackBytes = 2048

// RecoverPanic is to be deferred in handlers of packets and messages, so that none of
// them ends the process. It logs and counts the panic.
func (n *Node) RecoverPanic(handler string) {
	reason := recover()
	if reason == nil {
		return
	}
	n.metrics.panics.Inc()
	stack := debug.Stack()
	n.instance.Log.Error().Str("handler", handler).Str("panic", fmt.Sprint(reason)).
		Str("stack", string(stack[:min(len(stack), maxStackBytes)])).Msg("handler failed; what it handled is dropped")
}

// Now returns the time since the node was opened.
func (n *Node) Now() time.Duration { return time.Since(n.started) }

// State returns the current state.
func (n *Node) State() *State { return n.state.Load() }

// SyncedAt returns the time, on the clock of Now, as of which the state includes all
// agents known to control.
func (n *Node) SyncedAt() time.Duration { return time.Duration(n.syncedAt.Load()) }

// Address returns the link address at which other instances reach this one.
func (n *Node) Address() netip.AddrPort { return n.instance.Settings.Link.Address() }

// Run receives datagrams and polls control until ctx ends.
func (n *Node) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { n.conn.Close() })
	defer stop()
	if n.poller != nil {
		go n.poller.run(ctx)
	}
	n.receive(ctx)
}

func (n *Node) receive(ctx context.Context) {
	// Datagrams are read at an offset, so that even the packet of an offer without
	// candidates has OfferHeadroom bytes before it and an agent can put a longer
	// offer in front of it.
	const headroom = OfferHeadroom - offerBytes
	buffer := make([]byte, headroom+envelope.MaxBytes)
	var offer Offer
	for ctx.Err() == nil {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer[headroom:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || size == 0 {
			continue
		}
		n.dispatch(&offer, buffer[:headroom+size], headroom, from)
	}
}

// dispatch decodes a datagram that starts at offset headroom of the buffer and passes
// it to its handler.
func (n *Node) dispatch(offer *Offer, buffer []byte, headroom int, from netip.AddrPort) {
	defer n.RecoverPanic("datagram of an instance")
	data := buffer[headroom:]
	if n.sealer != nil {
		content, err := n.sealer.OpenBytes(data)
		if err != nil || len(content) == 0 {
			n.metrics.malformed.Inc()
			return
		}
		data = content
	}
	isValid := false
	switch kind := Kind(data[0]); kind {
	case KindOffer:
		var packet []byte
		if packet, isValid = parseOffer(data, offer); isValid && n.handlers.Offer != nil {
			n.handlers.Offer(offer, buffer[len(buffer)-len(packet)-OfferHeadroom:])
		}
	case KindOwnerUpdate:
		var update OwnerUpdate
		if update, isValid = parseOwnerUpdate(data); isValid {
			n.ObserveVersions(update.RoutingVersion, update.ZoneIndex)
			if n.handlers.OwnerUpdate != nil {
				n.handlers.OwnerUpdate(update)
			}
		}
	case KindProbe:
		isValid = n.answerProbe(data[1:], from)
	case KindProbeAnswer:
		isValid = n.handleProbeAnswer(data[1:], from)
	case KindPollAnswer:
		n.updateReachability(func(reach *flow.Reachability) { reach.RecordControlAnswer(n.Now()) })
		isValid = n.poller == nil || n.poller.handleAnswer(data[1:], from)
	case KindReady:
		if isValid = n.poller != nil; isValid {
			n.poller.notifyReady(from)
		}
	default:
		if isValid = n.handlers.Message != nil; isValid {
			n.handlers.Message(kind, data[1:], from)
		}
	}
	if !isValid {
		n.metrics.malformed.Inc()
	}
}

// agentsPerProbe is the number of agents probed per round, large enough that at least
// one of them is likely neither expired nor cut off itself.
const agentsPerProbe = 4

// probeAgents probes a sample of agents to check whether this instance reaches them,
// and requests newer versions of the routing table and the zones from them.
func (n *Node) probeAgents() {
	agents := n.State().View.Sample(flow.TagOf(n.instance.Settings.Zone), n.Address(), agentsPerProbe, rand.Shuffle)
	n.updateReachability(func(reach *flow.Reachability) { reach.StartRound(len(agents)) })
	for _, agent := range agents {
		n.sendProbe(n.poller.newCommittedPoll(), agent)
	}
}

// Probe sends a probe to an agent. Handlers.ProbeAnswered is called on its answer.
func (n *Node) Probe(agent netip.AddrPort) {
	n.ProbeFrom(n.State().committed, agent)
}

// ProbeFrom is Probe for an instance that keeps its committed state elsewhere. The agent
// answers with what is newer.
func (n *Node) ProbeFrom(committed *Committed, agent netip.AddrPort) {
	n.sendProbe(committed.newPoll(), agent)
}

// sendProbe sends a probe whose sequence number encodes the agent's address, because
// the answer may come from another address if ports are forwarded.
func (n *Node) sendProbe(probe *wire.Poll, agent netip.AddrPort) {
	probe.Sequence = routing.AddrPortNumber(agent)
	n.SendMessage(KindProbe, probe, agent)
}

// handleProbeAnswer records that an agent is reachable and applies newer versions of
// the routing table and the zones from its answer. It returns false for a malformed
// answer.
func (n *Node) handleProbeAnswer(data []byte, from netip.AddrPort) bool {
	answer := new(wire.PollAnswer)
	if proto.Unmarshal(data, answer) != nil {
		return false
	}
	n.updateReachability((*flow.Reachability).RecordAgentAnswer)
	if n.handlers.ProbeAnswered != nil {
		n.handlers.ProbeAnswered(routing.NumberAddrPort(answer.Sequence))
	}
	if n.poller != nil {
		n.poller.handlePeerAnswer(answer, from)
	}
	return true
}

// answerProbe sends the prober the zones and the part of the routing table that it
// lacks. It returns false for a malformed probe.
func (n *Node) answerProbe(data []byte, from netip.AddrPort) bool {
	probe := new(wire.Poll)
	if proto.Unmarshal(data, probe) != nil {
		return false
	}
	answer := &wire.PollAnswer{Sequence: probe.Sequence}
	n.State().committed.AddTo(answer, probe)
	n.SendMessage(KindProbeAnswer, answer, from)
	return true
}

// updateReachability applies an update to the reachability, and logs when the
// instance becomes cut off or reachable again.
func (n *Node) updateReachability(update func(reach *flow.Reachability)) {
	now := n.Now()
	n.reachabilityMu.Lock()
	wasCutOff := n.reachability.IsCutOff(now)
	update(&n.reachability)
	isCutOff := n.reachability.IsCutOff(now)
	n.reachabilityMu.Unlock()
	switch {
	case isCutOff && !wasCutOff:
		n.instance.Log.Warn().Msg("instance is cut off: neither a control instance nor half of the probed agents answer")
	case wasCutOff && !isCutOff:
		n.instance.Log.Info().Msg("control instances or agents answer again")
	}
}

// IsCutOff reports whether neither a control instance nor half of the probed agents
// answer this instance.
func (n *Node) IsCutOff() bool {
	n.reachabilityMu.Lock()
	defer n.reachabilityMu.Unlock()
	return n.reachability.IsCutOff(n.Now())
}

// packetHeaderBytes is the size of the IPv4 and UDP headers of a datagram.
const packetHeaderBytes = 20 + 8

// SentBytes returns the number of bytes sent to other instances and callers, with the headers of
// the datagrams.
func (n *Node) SentBytes() uint64 { return n.sentBytes.Load() }

// send sends a datagram to another instance, sealed if the cluster has keys.
func (n *Node) send(datagram []byte, to netip.AddrPort) {
	if n.sealer != nil {
		sealed, err := n.sealer.SealBytes(nil, datagram)
		if err != nil {
			n.instance.Log.Warn().Err(err).Msg("cannot seal datagram; not sent")
			return
		}
		datagram = sealed
	}
	n.sentBytes.Add(uint64(len(datagram) + packetHeaderBytes))
	if _, err := n.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		n.instance.Log.Debug().Err(err).Stringer("to", to).Msg("cannot send datagram")
	}
}

// SendOffer sends an agent the offer with the packet that starts at offset
// OfferHeadroom of the buffer.
func (n *Node) SendOffer(offer *Offer, buffer []byte, to netip.AddrPort) {
	state := n.State()
	offer.RoutingVersion = max(offer.RoutingVersion, state.Table.Version)
	offer.ZoneIndex = max(offer.ZoneIndex, state.ZoneIndex)
	n.send(offer.wrap(buffer), to)
}

// SendOwnerUpdate reports to a balancer which agent owns a flow.
func (n *Node) SendOwnerUpdate(key flow.Key, owner, balancer netip.AddrPort) {
	var buffer [ownerUpdateBytes]byte
	state := n.State()
	update := OwnerUpdate{Flow: key, Owner: owner, RoutingVersion: state.Table.Version, ZoneIndex: state.ZoneIndex}
	n.send(update.marshal(buffer[:]), balancer)
}

// SendVersions tells a node which routing table and zones this control instance has, so that the
// node polls at once if it has older ones.
func (n *Node) SendVersions(routingVersion, zoneIndex uint64, to netip.AddrPort) {
	var buffer [ownerUpdateBytes]byte
	update := OwnerUpdate{RoutingVersion: routingVersion, ZoneIndex: zoneIndex}
	n.send(update.marshal(buffer[:]), to)
}

// SendReady tells a node that this control instance has a usable answer to its poll.
func (n *Node) SendReady(to netip.AddrPort) {
	n.send([]byte{byte(KindReady)}, to)
}

// SendMessage sends a protobuf message to another instance.
func (n *Node) SendMessage(kind Kind, message proto.Message, to netip.AddrPort) {
	datagram, err := proto.MarshalOptions{}.MarshalAppend([]byte{byte(kind)}, message)
	if err != nil {
		n.instance.Log.Warn().Err(err).Msg("cannot encode message; not sent")
		return
	}
	n.send(datagram, to)
}

// SendPacket sends an unmodified and unsealed packet to a caller.
func (n *Node) SendPacket(packet []byte, caller netip.Addr) {
	to := netip.AddrPortFrom(caller, n.instance.Settings.Opaque.CallerPort)
	n.sentBytes.Add(uint64(len(packet) + packetHeaderBytes))
	if _, err := n.conn.WriteToUDPAddrPort(packet, to); err != nil {
		n.instance.Log.Debug().Err(err).Stringer("to", to).Msg("cannot send packet to caller")
	}
}

// ObserveVersions polls immediately if another instance has a newer routing table or
// newer zones than this one.
func (n *Node) ObserveVersions(routingVersion, zoneIndex uint64) {
	state := n.State()
	if routingVersion > state.Table.Version || zoneIndex > state.ZoneIndex {
		n.Refresh()
	}
}

// Control returns the link addresses of the known control instances, the one that is polled
// first.
func (n *Node) Control() []netip.AddrPort { return *n.poller.knownControl.Load() }

// IsControlKnown reports whether a usable answer to a poll has named all control instances. By then
// Incarnation has risen if it has to.
func (n *Node) IsControlKnown() bool { return n.poller.isControlKnown.Load() }

// Incarnation returns the incarnation that an agent reports in its polls. It is higher than that
// of the instance if the wall clock went back between two starts.
func (n *Node) Incarnation() uint64 {
	return max(n.instance.Incarnation, n.poller.minIncarnation.Load())
}

// Refresh triggers a poll now instead of at the end of the interval.
func (n *Node) Refresh() {
	if n.poller != nil {
		n.poller.refresh()
	}
}

// Services returns the services whose agents may own a flow, in buffer. The first is
// the one that a new flow would be assigned to, if the route has services.
func (s *State) Services(key flow.Key, hash uint64, buffer []string) []string {
	route := s.Table.LookupEstablished(key.Dialed)
	if route == nil {
		return nil
	}
	services := buffer[:0]
	if len(route.Services) > 0 {
		services = append(services, route.Pick(hash))
	}
	for _, name := range route.OwnerServices {
		if len(services) == 0 || name != services[0] {
			services = append(services, name)
		}
	}
	return services
}

// ReceivePackets calls handle for each packet that a socket receives until ctx ends.
// The packet starts at offset OfferHeadroom of the buffer, which handle must not retain.
func ReceivePackets(ctx context.Context, conn machine.Socket, logger *log.Logger, handle func(buffer []byte)) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	buffer := make([]byte, OfferHeadroom+MaxPacketBytes)
	for {
		size, _, err := conn.ReadFromUDPAddrPort(buffer[OfferHeadroom:])
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			logger.Warn().Err(err).Msg("cannot receive packet")
			continue
		}
		handle(buffer[:OfferHeadroom+size])
	}
}

func shuffled(addresses []netip.AddrPort) []netip.AddrPort {
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	return addresses
}
