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
	// unconvergedInterval separates polls of a control instance that has just started
	// and hears of more agents with each round trip.
	unconvergedInterval = 100 * time.Millisecond
	// answerTimeout is several round trips between the farthest zones.
	answerTimeout = 250 * time.Millisecond
	// refreshGap separates polls that changes call for.
	refreshGap = 20 * time.Millisecond
	// retryStep follows a round in which no control instance was of use. The pause
	// grows by it with each such round, up to pollInterval.
	retryStep = 50 * time.Millisecond
	// maxQueuedAnswers bounds the answers that wait; all but the newest are late ones.
	maxQueuedAnswers = 4
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

	// answers are those of control instances, peerAnswers those of agents.
	answers, peerAnswers chan answer
	refreshSignal        chan struct{}
	sequence             uint64

	// control are the instances to poll, the current one first.
	control []netip.AddrPort
	// isControlReachable: the current instance has given a usable answer.
	isControlReachable bool
	// polledAt is when the newest poll was sent.
	polledAt time.Duration
	// interval is how long to wait for the next poll.
	interval time.Duration

	replica *roster.Replica
	// committed is the newest that is known of the log, whoever told it.
	committed Committed
	fetch     fetch
	// reportedIncarnation is the incarnation that the newest poll gave, and minIncarnation the one that the
	// agent must exceed.
	reportedIncarnation, minIncarnation uint64
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
		answers:       make(chan answer, maxQueuedAnswers),
		peerAnswers:   make(chan answer, maxQueuedAnswers),
		refreshSignal: make(chan struct{}, 1),
		control:       shuffled(slices.Clone(node.instance.Peers())),
		replica:       roster.NewReplica(),
	}
}

func (p *poller) refresh() {
	select {
	case p.refreshSignal <- struct{}{}:
	default:
	}
}

// handleAnswer gets a poll answer from the socket; it reports false for one that
// cannot be read.
func (p *poller) handleAnswer(data []byte, from netip.AddrPort) bool {
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

// handlePeerAnswer gets what an agent knows; what is not newer is of no use.
func (p *poller) handlePeerAnswer(message *wire.PollAnswer, from netip.AddrPort) {
	if !p.node.State().committed.isOlderThan(message) {
		return
	}
	select {
	case p.peerAnswers <- answer{message: message, from: from}:
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
		case a := <-p.peerAnswers:
			p.applyPeer(a)
		case <-p.refreshSignal:
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
		message := p.pollOnce(ctx)
		if message != nil && message.Fresh {
			p.setControlReachable(true)
			p.interval = pollInterval
			if !message.Settled {
				p.interval = unconvergedInterval
			}
			return p.apply(answer{message: message, from: p.control[0]})
		}
		if message != nil {
			p.updateControl(message.Control)
		} else {
			p.node.probeAgents()
			isProbed = true
		}
		p.control = append(slices.Clone(p.control[1:]), p.control[0])
	}
	if p.isControlReachable || p.interval == 0 {
		p.interval = retryStep
	} else {
		p.interval = min(p.interval+retryStep, pollInterval)
	}
	p.setControlReachable(false)
	if !isProbed {
		p.node.probeAgents()
	}
	// The settings may name others by now.
	p.updateControl(nil)
	return false
}

// setControlReachable logs when control is lost and regained.
func (p *poller) setControlReachable(isReachable bool) {
	if isReachable == p.isControlReachable {
		return
	}
	p.isControlReachable = isReachable
	if isReachable {
		p.node.instance.Log.Info().Stringer("control", p.control[0]).Msg("control reached")
		return
	}
	p.node.instance.Log.Warn().Uint64("routing_version", p.node.State().Table.Version).
		Msg("no control instance is of use; the last known state stays in force")
}

// pollOnce polls the current control instance once.
func (p *poller) pollOnce(ctx context.Context) *wire.PollAnswer {
	sentAt := time.Now()
	p.polledAt = p.node.Now()
	p.sequence++
	p.node.SendMessage(KindPoll, p.newPoll(), p.control[0])
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			p.node.metrics.polls.WithLabelValues("unanswered").Inc()
			return nil
		case a := <-p.peerAnswers:
			p.applyPeer(a)
		case a := <-p.answers:
			if a.message.Sequence != p.sequence || a.from != p.control[0] {
				continue
			}
			p.node.metrics.answerTime.Observe(time.Since(sentAt).Seconds())
			outcome := "answered"
			if !a.message.Fresh {
				outcome = "stale"
			}
			p.node.metrics.polls.WithLabelValues(outcome).Inc()
			return a.message
		}
	}
}

func (p *poller) newPoll() *wire.Poll {
	poll := p.newCommittedPoll()
	poll.Sequence = p.sequence
	poll.Roster, poll.Revision = p.replica.Position()
	if p.self != nil {
		poll.Self = p.self()
		poll.Self.Incarnation = max(poll.Self.Incarnation, p.minIncarnation)
		p.reportedIncarnation = poll.Self.Incarnation
	}
	return poll
}

// newCommittedPoll asks for the routing table and the zones alone.
func (p *poller) newCommittedPoll() *wire.Poll {
	poll := p.committed.newPoll()
	if p.fetch.version > 0 {
		poll.FetchVersion, poll.FetchOffset = p.fetch.version, uint32(len(p.fetch.data))
	}
	return poll
}

// apply takes in a usable answer of control and reports whether more is to be drawn.
func (p *poller) apply(a answer) (isMore bool) {
	now, message := p.node.Now(), a.message
	p.updateControl(message.Control)
	if p.self != nil && message.Incarnation > p.reportedIncarnation {
		p.minIncarnation = message.Incarnation + 1
		isMore = true
	}
	delta := roster.Delta{
		Roster: message.Roster, Revision: message.Revision, Records: message.Records,
		More: message.More, Restart: message.Restart, IsConverged: message.Settled,
	}
	p.applyCommitted(a, p.replica.Apply(now, delta))
	if !delta.More && delta.IsConverged {
		p.node.syncedAt.Store(int64(p.polledAt))
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
	p.applyCommitted(a, false)
	if len(p.fetch.data) > before {
		p.node.sendProbe(p.newCommittedPoll(), a.from)
	}
}

// applyCommitted takes over newer zones and parts of a newer routing table. isChanged says
// that something else is to be published.
func (p *poller) applyCommitted(a answer, isChanged bool) {
	if a.message.ZoneIndex > p.committed.ZoneIndex {
		p.applyZones(a)
		isChanged = true
	}
	table := p.applyTablePart(a)
	if isChanged || table != nil {
		p.publish(table)
	}
}

func (p *poller) applyZones(a answer) {
	p.committed.ZoneIndex, p.committed.ZonesOut = a.message.ZoneIndex, a.message.ZonesOut
	p.node.instance.Log.Info().Uint64("zone_index", p.committed.ZoneIndex).Strs("out", p.committed.ZonesOut).
		Stringer("told_by", a.from).Msg("zones changed")
}

// applyTablePart draws the newest routing table, and returns it when it is complete.
func (p *poller) applyTablePart(a answer) *routing.Table {
	message := a.message
	if message.RoutingVersion <= p.committed.RoutingVersion || message.RoutingVersion < p.fetch.version {
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
	p.committed.RoutingVersion, p.committed.Table = message.RoutingVersion, data
	parsed := routing.New(table)
	p.node.instance.Log.Info().Uint64("version", parsed.Version).Uint64("from", p.node.State().Table.Version).
		Int("routes", parsed.Routes()).Stringer("told_by", a.from).Msg("routing table in force")
	return parsed
}

// publish puts what is known in force.
func (p *poller) publish(table *routing.Table) {
	before := p.node.State()
	if table == nil {
		table = before.Table
	}
	committed := p.committed
	state := &State{
		Table: table, View: p.view(), ZoneIndex: committed.ZoneIndex, committed: &committed,
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

// updateControl takes over the addresses of the control group. The instance
// that serves stays first, and the configured ones are kept at the end, for
// the case that the whole group has been replaced.
func (p *poller) updateControl(addresses []string) {
	targets := slices.Clone(p.node.instance.Peers())
	for _, text := range addresses {
		if address, err := netip.ParseAddrPort(text); err == nil && !slices.Contains(targets, address) {
			targets = append(targets, address)
		}
	}
	var kept, added []netip.AddrPort
	for i, address := range p.control {
		if i == 0 || slices.Contains(targets, address) {
			kept = append(kept, address)
		}
	}
	for _, address := range targets {
		if !slices.Contains(p.control, address) {
			added = append(added, address)
		}
	}
	p.control = append(kept, shuffled(added)...)
}
