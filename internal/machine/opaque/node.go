// Package opaque is what the balancers and agents of the opaque mode share: the
// socket between instances, and what each instance knows of the routing table,
// the agents and the zones, which it polls from the control instances.
package opaque

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
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

// State is what an instance knows; it is immutable.
type State struct {
	Table     *routing.Table
	View      *flow.View
	ZoneIndex uint64
	// committed is what the instance tells others of the table and the zones.
	committed *Committed
	// IsUsable: a routing table and a whole list of agents are known.
	IsUsable bool
}

// IsOut reports whether a zone is out of service.
func (s *State) IsOut(zone string) bool { return slices.Contains(s.committed.ZonesOut, zone) }

// Handlers take what reaches the socket besides poll answers. They run on the
// socket's one goroutine and must not keep the slices.
type Handlers struct {
	// Offer gets a caller's packet in a buffer that has OfferSpace bytes before it.
	Offer func(offer *Offer, buffer []byte)
	// OwnerUpdate gets what an agent tells a balancer.
	OwnerUpdate func(OwnerUpdate)
	// Message gets a protobuf message that is no poll answer.
	Message func(kind Kind, data []byte, from netip.AddrPort)
	// ProbeAnswered is told which agent has answered a probe.
	ProbeAnswered func(agent netip.AddrPort)
	// Synced is called when KnownAt has moved on. It runs on the goroutine that polls.
	Synced func()
}

// Node is an instance's socket and knowledge.
type Node struct {
	instance *machine.Instance
	conn     machine.Socket
	// sealer is nil on an insecure cluster.
	sealer   *envelope.Sealer
	handlers Handlers
	started  time.Time
	state    atomic.Pointer[State]
	poller   *poller
	// syncedAt is the time as of which all agents are known, in nanoseconds.
	syncedAt       atomic.Int64
	reachabilityMu sync.Mutex
	reachability   flow.Reachability
	metrics        nodeMetrics
}

type nodeMetrics struct {
	polls      *prometheus.CounterVec
	answerTime prometheus.Histogram
	malformed  prometheus.Counter
}

// NewNode opens the socket of an instance at its link address. self returns
// what an agent says about itself; it is nil elsewhere.
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

// NewListener opens the socket of an instance that polls nobody.
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
	registry.MustRegister(m.polls, m.answerTime, m.malformed)
	return m
}

// Now is the time since the start of the process.
func (n *Node) Now() time.Duration { return time.Since(n.started) }

// State returns what the instance knows now.
func (n *Node) State() *State { return n.state.Load() }

// SyncedAt is the time as of which the state holds all agents that control knows.
func (n *Node) SyncedAt() time.Duration { return time.Duration(n.syncedAt.Load()) }

// Address is where other instances reach this one.
func (n *Node) Address() netip.AddrPort { return n.instance.Settings.Link.Address() }

// Run receives and polls until ctx ends.
func (n *Node) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { n.conn.Close() })
	defer stop()
	if n.poller != nil {
		go n.poller.run(ctx)
	}
	n.receive(ctx)
}

func (n *Node) receive(ctx context.Context) {
	// The packet of an offer without candidates begins later than offerBytes, so
	// that an agent can put a longer offer in front of it.
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

func (n *Node) dispatch(offer *Offer, buffer []byte, headroom int, from netip.AddrPort) {
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
	default:
		if isValid = n.handlers.Message != nil; isValid {
			n.handlers.Message(kind, data[1:], from)
		}
	}
	if !isValid {
		n.metrics.malformed.Inc()
	}
}

// agentsPerProbe is how many agents are asked at a time: so many that one at least
// is likely neither gone nor cut off itself.
const agentsPerProbe = 4

// probeAgents asks some agents whether they hear this instance, and for newer versions of
// what control has told it.
func (n *Node) probeAgents() {
	agents := n.State().View.Sample(flow.TagOf(n.instance.Settings.Zone), n.Address(), agentsPerProbe, rand.Shuffle)
	n.updateReachability(func(reach *flow.Reachability) { reach.StartRound(len(agents)) })
	for _, agent := range agents {
		n.sendProbe(n.poller.newCommittedPoll(), agent)
	}
}

// Probe asks an agent whether it hears this instance.
func (n *Node) Probe(agent netip.AddrPort) {
	n.sendProbe(n.State().committed.newPoll(), agent)
}

// sendProbe sends a probe whose number names the agent: the answer may come from
// another address, where ports are forwarded.
func (n *Node) sendProbe(probe *wire.Poll, agent netip.AddrPort) {
	probe.Sequence = uint64(routing.AddressNumber(agent.Addr()))<<16 | uint64(agent.Port())
	n.SendMessage(KindProbe, probe, agent)
}

// handleProbeAnswer learns that an agent hears this instance, and what it knows.
func (n *Node) handleProbeAnswer(data []byte, from netip.AddrPort) bool {
	answer := new(wire.PollAnswer)
	if proto.Unmarshal(data, answer) != nil {
		return false
	}
	n.updateReachability((*flow.Reachability).RecordAgentAnswer)
	if n.handlers.ProbeAnswered != nil {
		n.handlers.ProbeAnswered(netip.AddrPortFrom(routing.NumberAddress(uint32(answer.Sequence>>16)), uint16(answer.Sequence)))
	}
	if n.poller != nil {
		n.poller.handlePeerAnswer(answer, from)
	}
	return true
}

// answerProbe tells another instance what this one knows and that one lacks.
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

// updateReachability notes what shows whether the instance is cut off, and logs when that changes.
func (n *Node) updateReachability(update func(reach *flow.Reachability)) {
	now := n.Now()
	n.reachabilityMu.Lock()
	wasCutOff := n.reachability.IsCutOff(now)
	update(&n.reachability)
	isCutOff := n.reachability.IsCutOff(now)
	n.reachabilityMu.Unlock()
	switch {
	case isCutOff && !wasCutOff:
		n.instance.Log.Warn().Msg("neither control instances nor half of the agents answer; the instance is cut off")
	case wasCutOff && !isCutOff:
		n.instance.Log.Info().Msg("control instances or agents answer again")
	}
}

// IsCutOff reports whether neither control nor half of the agents answer this instance.
func (n *Node) IsCutOff() bool {
	n.reachabilityMu.Lock()
	defer n.reachabilityMu.Unlock()
	return n.reachability.IsCutOff(n.Now())
}

// send sends a datagram to another instance.
func (n *Node) send(datagram []byte, to netip.AddrPort) {
	if n.sealer != nil {
		sealed, err := n.sealer.SealBytes(nil, datagram)
		if err != nil {
			n.instance.Log.Warn().Err(err).Msg("datagram not sealed")
			return
		}
		datagram = sealed
	}
	if _, err := n.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		n.instance.Log.Debug().Err(err).Stringer("to", to).Msg("datagram not sent")
	}
}

// SendOffer sends the packet that begins at OfferSpace of the buffer.
func (n *Node) SendOffer(offer *Offer, buffer []byte, to netip.AddrPort) {
	state := n.State()
	offer.RoutingVersion = max(offer.RoutingVersion, state.Table.Version)
	offer.ZoneIndex = max(offer.ZoneIndex, state.ZoneIndex)
	n.send(offer.wrap(buffer), to)
}

// SendOwnerUpdate tells a balancer who holds a flow.
func (n *Node) SendOwnerUpdate(key flow.Key, owner, balancer netip.AddrPort) {
	var buffer [ownerUpdateBytes]byte
	state := n.State()
	update := OwnerUpdate{Flow: key, Owner: owner, RoutingVersion: state.Table.Version, ZoneIndex: state.ZoneIndex}
	n.send(update.marshal(buffer[:]), balancer)
}

// SendMessage sends a protobuf message.
func (n *Node) SendMessage(kind Kind, message proto.Message, to netip.AddrPort) {
	datagram, err := proto.MarshalOptions{}.MarshalAppend([]byte{byte(kind)}, message)
	if err != nil {
		n.instance.Log.Warn().Err(err).Msg("message not sent")
		return
	}
	n.send(datagram, to)
}

// SendPacket sends a packet as it is, to the caller that it is for.
func (n *Node) SendPacket(packet []byte, caller netip.Addr) {
	to := netip.AddrPortFrom(caller, n.instance.Settings.Opaque.CallerPort)
	if _, err := n.conn.WriteToUDPAddrPort(packet, to); err != nil {
		n.instance.Log.Debug().Err(err).Stringer("to", to).Msg("packet not sent")
	}
}

// ObserveVersions is told which versions another instance knows; newer ones are fetched
// at once.
func (n *Node) ObserveVersions(routingVersion, zoneIndex uint64) {
	state := n.State()
	if routingVersion > state.Table.Version || zoneIndex > state.ZoneIndex {
		n.Refresh()
	}
}

// Refresh polls at once, not at the next interval.
func (n *Node) Refresh() {
	if n.poller != nil {
		n.poller.refresh()
	}
}

// Services returns the services whose agents may hold a flow, the one that a
// new flow would get first.
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

// ReceivePackets hands each packet of a socket to take until ctx ends; a packet
// begins at OfferSpace of the buffer, which take must not keep.
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
			logger.Warn().Err(err).Msg("packet not received")
			continue
		}
		handle(buffer[:OfferHeadroom+size])
	}
}

func shuffled(addresses []netip.AddrPort) []netip.AddrPort {
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	return addresses
}
