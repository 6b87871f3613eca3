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

	answers  chan answer
	wanted   chan struct{}
	sequence uint64

	// control are the instances to poll, the current one first.
	control []netip.AddrPort
	// isServed: the current instance has given a usable answer.
	isServed bool
	// askedAt is when the newest poll was sent.
	askedAt time.Duration
	// interval is how long to wait for the next poll.
	interval time.Duration

	replica   *roster.Replica
	zonesOut  map[string]bool
	zoneIndex uint64
	fetch     fetch
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
		case <-p.wanted:
			pause.For(ctx, refreshGap)
		}
	}
}

// round polls until a control instance has given a usable answer, or all have
// been tried. It reports whether more is to be drawn at once.
func (p *poller) round(ctx context.Context) (isMore bool) {
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
			return p.apply(message)
		}
		if message != nil {
			p.learnControl(message.Control)
		}
		p.control = append(slices.Clone(p.control[1:]), p.control[0])
	}
	if p.isServed || p.interval == 0 {
		p.interval = retryStep
	} else {
		p.interval = min(p.interval+retryStep, pollInterval)
	}
	p.noteServed(false)
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
			if p.self == nil {
				// Agents need not know whether they are cut off.
				p.node.probe()
			}
			return nil
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
	poll := &wire.Poll{Sequence: p.sequence, ZoneIndex: p.zoneIndex, RoutingVersion: p.node.State().Table.Version}
	poll.Roster, poll.Revision = p.replica.Position()
	if p.self != nil {
		poll.Self = p.self()
		poll.Self.Incarnation = max(poll.Self.Incarnation, p.raise)
		p.asked = poll.Self.Incarnation
	}
	if p.fetch.version > 0 {
		poll.FetchVersion, poll.FetchOffset = p.fetch.version, uint32(len(p.fetch.data))
	}
	return poll
}

// apply takes in a usable answer and reports whether more is to be drawn.
func (p *poller) apply(message *wire.PollAnswer) (isMore bool) {
	now := p.node.Now()
	p.learnControl(message.Control)
	if p.self != nil && message.Incarnation > p.asked {
		p.raise = message.Incarnation + 1
		isMore = true
	}
	delta := roster.Delta{
		Roster: message.Roster, Revision: message.Revision, Records: message.Records,
		More: message.More, Restart: message.Restart, IsSettled: message.Settled,
	}
	isChanged := p.replica.Apply(now, delta)
	if message.ZoneIndex > p.zoneIndex {
		p.takeZones(message)
		isChanged = true
	}
	table := p.takeTable(message)
	if isChanged || table != nil {
		p.publish(table)
	}
	if !delta.More && delta.IsSettled {
		p.node.knownAt.Store(int64(p.askedAt))
		if p.node.handlers.Known != nil {
			p.node.handlers.Known()
		}
	}
	return isMore || message.More || p.fetch.version > 0
}

func (p *poller) takeZones(message *wire.PollAnswer) {
	p.zoneIndex = message.ZoneIndex
	p.zonesOut = make(map[string]bool)
	for _, name := range message.ZonesOut {
		p.zonesOut[name] = true
	}
	p.node.instance.Log.Info().Uint64("zone_index", message.ZoneIndex).Strs("out", message.ZonesOut).Msg("zones changed")
}

// takeTable draws the newest routing table, and returns it when it is complete.
func (p *poller) takeTable(message *wire.PollAnswer) *routing.Table {
	held := p.node.State().Table
	if message.RoutingVersion <= held.Version {
		p.fetch = fetch{}
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
	err := proto.Unmarshal(p.fetch.data, table)
	p.fetch = fetch{}
	if err != nil {
		p.node.instance.Log.Error().Err(err).Uint64("version", message.RoutingVersion).Msg("routing table not readable")
		return nil
	}
	return routing.New(table)
}

// publish puts what is known in force.
func (p *poller) publish(table *routing.Table) {
	before := p.node.State()
	if table == nil {
		table = before.Table
	} else {
		p.node.instance.Log.Info().Uint64("version", table.Version).Uint64("from", before.Table.Version).
			Int("routes", table.Routes()).Msg("routing table in force")
	}
	state := &State{
		Table: table, View: p.view(), ZoneIndex: p.zoneIndex, zonesOut: p.zonesOut,
		IsUsable: p.replica.IsWhole() && table.Version > 0,
	}
	p.node.state.Store(state)
	if state.View.Count() != before.View.Count() || state.IsUsable != before.IsUsable {
		p.node.instance.Log.Info().Int("agents", state.View.Count()).Int("before", before.View.Count()).
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
		member.IsGone = record.Gone
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
