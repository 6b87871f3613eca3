package opaque

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/roster"
	"sassafrasturn.example/internal/routing"
	"sassafrasturn.example/internal/wire"
)

const (
	// pollInterval separates polls; a change reaches every node within it and a
	// round trip.
	pollInterval = 500 * time.Millisecond
	// unsettledInterval separates polls of a control instance that has just started
	// and hears of more agents with each round trip.
	unsettledInterval = 100 * time.Millisecond
	// answerTimeout is several round trips between the farthest zones.
	answerTimeout = 250 * time.Millisecond
	// refreshGap separates polls that changes call for.
	refreshGap = 20 * time.Millisecond
	// retryStep follows a round in which no control instance was of use. The pause
	// grows by it with each such round, up to pollInterval.
	retryStep = 50 * time.Millisecond
	// answerQueue bounds the answers that wait; all but the newest are late ones.
	answerQueue = 4
)

type answer struct {
	message *wire.PollAnswer
	from    netip.AddrPort
}

// poller draws changes from one control instance at a time. All but take and
// refresh runs on one goroutine.
type poller struct {
	node *Node
	self func() *wire.AgentRecord

	// answers are those of control instances, peers those of agents.
	answers, peers chan answer
	wanted         chan struct{}
	sequence       uint64

	// control are the instances to poll, the current one first.
	control []netip.AddrPort
	// isServed: the current instance has given a usable answer.
	isServed bool
	// askedAt is when the newest poll was sent.
	askedAt time.Duration
	// interval is how long to wait for the next poll.
	interval time.Duration

	replica *roster.Replica
	// held is the newest that is known of the log, whoever told it.
	held  Committed
	fetch fetch
	// asked is the incarnation that the newest poll gave, and raise the one that the
	// agent must exceed.
	asked, raise uint64
}

// fetch is a routing table that is being drawn in parts.
type fetch struct {
	version uint64
	size    int
	data    []byte
}

func newPoller(node *Node, self func() *wire.AgentRecord) *poller {
	return &poller{
		node: node, self: self,
		answers: make(chan answer, answerQueue),
		peers:   make(chan answer, answerQueue),
		wanted:  make(chan struct{}, 1),
		control: shuffled(slices.Clone(node.instance.Peers())),
		replica: roster.NewReplica(),
	}
}

func (p *poller) refresh() {
	select {
	case p.wanted <- struct{}{}:
	default:
	}
}

// take gets a poll answer from the socket; it reports false for one that
// cannot be read.
func (p *poller) take(data []byte, from netip.AddrPort) bool {
	message := new(wire.PollAnswer)
	if proto.Unmarshal(data, message) != nil {
		return false
	}
	select {
	case p.answers <- answer{message: message, from: from}:
	default:
	}
	return true
}

// takePeer gets what an agent knows; what is not newer is of no use.
func (p *poller) takePeer(message *wire.PollAnswer, from netip.AddrPort) {
	if !p.node.State().held.isOlderThan(message) {
		return
	}
	select {
	case p.peers <- answer{message: message, from: from}:
	default:
	}
}

func (p *poller) run(ctx context.Context) {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		if p.round(ctx) {
			continue
		}
		timer.Reset(max(p.interval, retryStep))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case a := <-p.peers:
			p.applyPeer(a)
		case <-p.wanted:
			pause.For(ctx, refreshGap)
		}
	}
}

// round polls until a control instance has given a usable answer, or all have
// been tried. It reports whether more is to be drawn at once.
func (p *poller) round(ctx context.Context) (isMore bool) {
	isProbed := false
	for range max(1, len(p.control)) {
		if ctx.Err() != nil || len(p.control) == 0 {
			return false
		}
		message := p.ask(ctx)
		if message != nil && message.Fresh {
			p.noteServed(true)
			p.interval = pollInterval
			if !message.Settled {
				p.interval = unsettledInterval
			}
			return p.apply(answer{message: message, from: p.control[0]})
		}
		if message != nil {
			p.learnControl(message.Control)
		} else {
			p.node.probe()
			isProbed = true
		}
		p.control = append(slices.Clone(p.control[1:]), p.control[0])
	}
	if p.isServed || p.interval == 0 {
		p.interval = retryStep
	} else {
		p.interval = min(p.interval+retryStep, pollInterval)
	}
	p.noteServed(false)
	if !isProbed {
		p.node.probe()
	}
	// The settings may name others by now.
	p.learnControl(nil)
	return false
}

// noteServed logs when control is lost and regained.
func (p *poller) noteServed(isServed bool) {
	if isServed == p.isServed {
		return
	}
	p.isServed = isServed
	if isServed {
		p.node.instance.Log.Info().Stringer("control", p.control[0]).Msg("control reached")
		return
	}
	p.node.instance.Log.Warn().Uint64("routing_version", p.node.State().Table.Version).
		Msg("no control instance is of use; the last known state stays in force")
}

// ask polls the current control instance once.
func (p *poller) ask(ctx context.Context) *wire.PollAnswer {
	asked := time.Now()
	p.askedAt = p.node.Now()
	p.sequence++
	p.node.SendMessage(KindPoll, p.question(), p.control[0])
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			p.node.metrics.polls.WithLabelValues("unanswered").Inc()
			return nil
		case a := <-p.peers:
			p.applyPeer(a)
		case a := <-p.answers:
			if a.message.Sequence != p.sequence || a.from != p.control[0] {
				continue
			}
			p.node.metrics.answerTime.Observe(time.Since(asked).Seconds())
			outcome := "answered"
			if !a.message.Fresh {
				outcome = "stale"
			}
			p.node.metrics.polls.WithLabelValues(outcome).Inc()
			return a.message
		}
	}
}

func (p *poller) question() *wire.Poll {
	poll := p.heldQuestion()
	poll.Sequence = p.sequence
	poll.Roster, poll.Revision = p.replica.Position()
	if p.self != nil {
		poll.Self = p.self()
		poll.Self.Incarnation = max(poll.Self.Incarnation, p.raise)
		p.asked = poll.Self.Incarnation
	}
	return poll
}

// heldQuestion asks for the routing table and the zones alone.
func (p *poller) heldQuestion() *wire.Poll {
	poll := p.held.question()
	if p.fetch.version > 0 {
		poll.FetchVersion, poll.FetchOffset = p.fetch.version, uint32(len(p.fetch.data))
	}
	return poll
}

// apply takes in a usable answer of control and reports whether more is to be drawn.
func (p *poller) apply(a answer) (isMore bool) {
	now, message := p.node.Now(), a.message
	p.learnControl(message.Control)
	if p.self != nil && message.Incarnation > p.asked {
		p.raise = message.Incarnation + 1
		isMore = true
	}
	delta := roster.Delta{
		Roster: message.Roster, Revision: message.Revision, Records: message.Records,
		More: message.More, Restart: message.Restart, IsConverged: message.Settled,
	}
	p.takeHeld(a, p.replica.Apply(now, delta))
	if !delta.More && delta.IsConverged {
		p.node.knownAt.Store(int64(p.askedAt))
		if p.node.handlers.Synced != nil {
			p.node.handlers.Synced()
		}
	}
	return isMore || message.More || p.fetch.version > 0 && p.fetch.version == message.RoutingVersion
}

// applyPeer takes in what an agent tells while no control instance is of use, and
// asks it for the next part of a routing table that it has more of.
func (p *poller) applyPeer(a answer) {
	before := len(p.fetch.data)
	p.takeHeld(a, false)
	if len(p.fetch.data) > before {
		p.node.sendProbe(p.heldQuestion(), a.from)
	}
}

// takeHeld takes over newer zones and parts of a newer routing table. isChanged says
// that something else is to be published.
func (p *poller) takeHeld(a answer, isChanged bool) {
	if a.message.ZoneIndex > p.held.ZoneIndex {
		p.takeZones(a)
		isChanged = true
	}
	table := p.takeTable(a)
	if isChanged || table != nil {
		p.publish(table)
	}
}

func (p *poller) takeZones(a answer) {
	p.held.ZoneIndex, p.held.ZonesOut = a.message.ZoneIndex, a.message.ZonesOut
	p.node.instance.Log.Info().Uint64("zone_index", p.held.ZoneIndex).Strs("out", p.held.ZonesOut).
		Stringer("told_by", a.from).Msg("zones changed")
}

// takeTable draws the newest routing table, and returns it when it is complete.
func (p *poller) takeTable(a answer) *routing.Table {
	message := a.message
	if message.RoutingVersion <= p.held.RoutingVersion || message.RoutingVersion < p.fetch.version {
		return nil
	}
	if p.fetch.version != message.RoutingVersion {
		p.fetch = fetch{version: message.RoutingVersion, size: int(message.TableBytes)}
	}
	if message.PartVersion != p.fetch.version || int(message.PartOffset) != len(p.fetch.data) {
		return nil
	}
	p.fetch.data = append(p.fetch.data, message.Part...)
	if len(p.fetch.data) < p.fetch.size {
		return nil
	}
	table := new(wire.RoutingTable)
	data := p.fetch.data
	p.fetch = fetch{}
	if err := proto.Unmarshal(data, table); err != nil {
		p.node.instance.Log.Error().Err(err).Uint64("version", message.RoutingVersion).Msg("routing table not readable")
		return nil
	}
	p.held.RoutingVersion, p.held.Table = message.RoutingVersion, data
	made := routing.New(table)
	p.node.instance.Log.Info().Uint64("version", made.Version).Uint64("from", p.node.State().Table.Version).
		Int("routes", made.Routes()).Stringer("told_by", a.from).Msg("routing table in force")
	return made
}

// publish puts what is known in force.
func (p *poller) publish(table *routing.Table) {
	before := p.node.State()
	if table == nil {
		table = before.Table
	}
	held := p.held
	state := &State{
		Table: table, View: p.view(), ZoneIndex: held.ZoneIndex, held: &held,
		IsUsable: p.replica.IsComplete() && table.Version > 0,
	}
	p.node.state.Store(state)
	if state.View.LiveCount() != before.View.LiveCount() || state.IsUsable != before.IsUsable {
		p.node.instance.Log.Info().Int("agents", state.View.LiveCount()).Int("before", before.View.LiveCount()).
			Bool("usable", state.IsUsable).Msg("agents changed")
	}
}

func (p *poller) view() *flow.View {
	records := p.replica.Records()
	members := make([]flow.Member, 0, len(records))
	for _, record := range records {
		if record.Service == "" {
			continue
		}
		address := netip.AddrPortFrom(routing.NumberAddress(record.Address), uint16(record.Port))
		member := flow.NewMember(address, record.Zone, record.Service)
		member.IsReady = record.Ready
		member.IsExpired = record.Gone
		members = append(members, member)
	}
	return flow.NewView(members)
}

// learnControl takes over the addresses of the control group. The instance
// that serves stays first, and the configured ones are kept at the end, for
// the case that the whole group has been replaced.
func (p *poller) learnControl(addresses []string) {
	wanted := slices.Clone(p.node.instance.Peers())
	for _, text := range addresses {
		if address, err := netip.ParseAddrPort(text); err == nil && !slices.Contains(wanted, address) {
			wanted = append(wanted, address)
		}
	}
	var known, found []netip.AddrPort
	for i, address := range p.control {
		if i == 0 || slices.Contains(wanted, address) {
			known = append(known, address)
		}
	}
	for _, address := range wanted {
		if !slices.Contains(p.control, address) {
			found = append(found, address)
		}
	}
	p.control = append(known, shuffled(found)...)
}
