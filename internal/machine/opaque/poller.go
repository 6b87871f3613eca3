package opaque

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/roster"
	"sassafrasturn.example/internal/routing"
	"sassafrasturn.example/internal/wire"
)

const (
	// pollInterval separates polls. A change reaches every node within pollInterval
	// plus one round trip.
	pollInterval = 500 * time.Millisecond
	// youngInterval separates polls of a control instance that has recently started
	// and learns of more agents with each round trip.
	youngInterval = 100 * time.Millisecond
	// answerTimeout is several round trips between the most distant zones.
	answerTimeout = 250 * time.Millisecond
	// searchTimeout is the timeout in the first seconds without a reachable control
	// instance: two such round trips. After a restart of everything, instances that are
	// still down must not keep a node from one that is up.
	searchTimeout = 80 * time.Millisecond
	// refreshGap separates polls that are triggered by changes.
	refreshGap = 20 * time.Millisecond
	// readyGap separates the polls that notices of ready control instances trigger.
	readyGap = 20 * time.Millisecond
	// retryStep is the pause after the first round in which no control instance gave a
	// usable answer. Each further such round adds it to the pause, up to pollInterval.
	retryStep = 50 * time.Millisecond
	// maxQueuedAnswers bounds the answers waiting to be processed. Only the newest one
	// can belong to the current poll.
	maxQueuedAnswers = 4
)

// answer is a received answer to a poll or a probe.
type answer struct {
	message *wire.PollAnswer
	from    netip.AddrPort
}

// poller polls one control instance at a time for changes. All methods but
// handleAnswer, handlePeerAnswer, notifyReady and refresh run on one goroutine.
type poller struct {
	node *Node
	self func() *wire.AgentRecord

	// answers are from control instances, peerAnswers from agents.
	answers, peerAnswers chan answer
	refreshSignal        chan struct{}
	// ready receives a control instance that has a usable answer by now.
	ready chan netip.AddrPort
	// readyAt is when such an instance was last polled out of turn.
	readyAt  time.Duration
	sequence uint64

	// control are the control instances to poll, the current one first. knownControl is a copy
	// for other goroutines.
	control      []netip.AddrPort
	knownControl atomic.Pointer[[]netip.AddrPort]
	// isControlKnown is the value of Node.IsControlKnown.
	isControlKnown atomic.Bool
	// isControlReachable is set if the last round got a usable answer.
	isControlReachable bool
	// polledAt is the time at which the newest poll was sent.
	polledAt time.Duration
	// interval is the time until the next poll.
	interval time.Duration

	replica *roster.Replica
	// fetchedFrom is the control instance that the replica was last fetched from.
	fetchedFrom netip.AddrPort
	// isRosterYoung is set while agents may be missing from the replica because the
	// control instance has recently started.
	isRosterYoung bool
	// committed is the newest known routing table and zones, from control or an agent.
	committed Committed
	fetch     fetch
	// reportedIncarnation is the agent's incarnation in the newest poll, and
	// minIncarnation the lowest that the next poll may report.
	reportedIncarnation uint64
	minIncarnation      atomic.Uint64
}

// fetch is a routing table that is being received in parts.
type fetch struct {
	version uint64
	size    int
	data    []byte
}

func newPoller(node *Node, self func() *wire.AgentRecord) *poller {
	p := &poller{
		node: node, self: self,
		answers:       make(chan answer, maxQueuedAnswers),
		peerAnswers:   make(chan answer, maxQueuedAnswers),
		refreshSignal: make(chan struct{}, 1),
		ready:         make(chan netip.AddrPort, 1),
		replica:       roster.NewReplica(),
	}
	p.setControl(shuffled(slices.Clone(node.instance.Peers())))
	return p
}

// setControl sets the control instances to poll.
func (p *poller) setControl(instances []netip.AddrPort) {
	p.control = instances
	known := slices.Clone(instances)
	p.knownControl.Store(&known)
}

// refresh triggers a poll. Requests during a poll are combined into one.
func (p *poller) refresh() {
	select {
	case p.refreshSignal <- struct{}{}:
	default:
	}
}

// handleAnswer queues a poll answer from the socket, and drops it if the queue is
// full. It returns false for a malformed answer.
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

// handlePeerAnswer queues an agent's probe answer if it announces a newer routing
// table or newer zones. It is dropped if the queue is full.
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
		case from := <-p.ready:
			if !p.preferReady(from) {
				pause.For(ctx, refreshGap)
			}
		case <-p.refreshSignal:
			pause.For(ctx, refreshGap)
		}
	}
}

// notifyReady queues a notice that a control instance has a usable answer by now.
func (p *poller) notifyReady(from netip.AddrPort) {
	select {
	case p.ready <- from:
	default:
	}
}

// preferReady makes a control instance the next one to poll, and reports whether it did.
// It ignores notices while control is reachable, from unknown instances and in too quick
// succession.
func (p *poller) preferReady(from netip.AddrPort) bool {
	now, at := p.node.Now(), slices.Index(p.control, from)
	if p.isControlReachable || at < 0 || now-p.readyAt < readyGap {
		return false
	}
	p.readyAt = now
	p.setControl(slices.Insert(slices.Delete(p.control, at, at+1), 0, from))
	return true
}

// round polls the control instances in turn until one gives a usable answer or all
// have been tried. It reports whether to poll again without a pause.
func (p *poller) round(ctx context.Context) (isMore bool) {
	defer p.node.RecoverPanic("poll answer")
	isProbed := false
	for range max(1, len(p.control)) {
		if ctx.Err() != nil || len(p.control) == 0 {
			return false
		}
		message := p.pollOnce(ctx)
		if message != nil && message.Fresh {
			p.setControlReachable(true)
			p.interval = pollInterval
			if message.Young || !message.Settled {
				p.interval = youngInterval
			}
			return p.apply(answer{message: message, from: p.control[0]})
		}
		if message != nil {
			p.updateControl(message.Control)
		} else {
			p.node.probeAgents()
			isProbed = true
		}
		p.setControl(append(slices.Clone(p.control[1:]), p.control[0]))
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
	// The settings may have been reloaded with other control instances.
	p.updateControl(nil)
	return false
}

// setControlReachable logs when contact with control is lost and regained.
func (p *poller) setControlReachable(isReachable bool) {
	if isReachable == p.isControlReachable {
		return
	}
	p.isControlReachable = isReachable
	if isReachable {
		p.node.instance.Log.Info().Stringer("control", p.control[0]).Msg("control instance reached")
		return
	}
	p.node.instance.Log.Warn().Uint64("routing_version", p.node.State().Table.Version).
		Msg("no control instance gives a usable answer; keeping the last known state")
}

// pollOnce polls the current control instance once. It returns nil if no answer
// arrives in time. If another instance becomes ready meanwhile, it polls that one.
func (p *poller) pollOnce(ctx context.Context) *wire.PollAnswer {
	sentAt := time.Now()
	p.polledAt = p.node.Now()
	p.sequence++
	p.node.SendMessage(KindPoll, p.newPoll(), p.control[0])
	timeout := answerTimeout
	if !p.isControlReachable && p.interval < pollInterval {
		timeout = searchTimeout
	}
	timer := time.NewTimer(timeout)
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
		case from := <-p.ready:
			if p.preferReady(from) {
				return p.pollOnce(ctx)
			}
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

// newPoll returns a poll for all changes, with the agent's own record.
func (p *poller) newPoll() *wire.Poll {
	poll := p.newCommittedPoll()
	poll.Sequence = p.sequence
	position := p.replica.Position(p.control[0] == p.fetchedFrom)
	position.AddTo(poll)
	if p.self != nil {
		poll.Self = p.self()
		poll.Self.Incarnation = max(poll.Self.Incarnation, p.minIncarnation.Load())
		p.reportedIncarnation = poll.Self.Incarnation
	}
	return poll
}

// newCommittedPoll returns a poll for the routing table and the zones only.
func (p *poller) newCommittedPoll() *wire.Poll {
	poll := p.committed.newPoll()
	if p.fetch.version > 0 {
		poll.FetchVersion, poll.FetchOffset = p.fetch.version, uint32(len(p.fetch.data))
	}
	return poll
}

// apply applies a usable answer of control and reports whether to poll for more
// without a pause.
func (p *poller) apply(a answer) (isMore bool) {
	now, message := p.node.Now(), a.message
	p.updateControl(message.Control)
	if next := message.Incarnation + 1; p.self != nil && message.Incarnation > p.reportedIncarnation && next > p.minIncarnation.Load() {
		p.minIncarnation.Store(next)
		isMore = true
	}
	p.isControlKnown.Store(true)
	if p.fetch.version > message.RoutingVersion {
		// Control has everything that is committed, so there is no such table.
		p.fetch = fetch{}
	}
	delta := roster.DeltaOf(message)
	p.fetchedFrom = a.from
	isChanged := p.replica.Apply(now, delta) || message.Young != p.isRosterYoung
	p.isRosterYoung = message.Young
	p.applyCommitted(a, isChanged)
	if !delta.More && delta.IsConverged {
		p.node.syncedAt.Store(int64(p.polledAt))
		if p.node.handlers.Synced != nil {
			p.node.handlers.Synced()
		}
	}
	return isMore || message.More || p.fetch.version > 0 && p.fetch.version == message.RoutingVersion
}

// applyPeer applies newer zones and parts of the routing table from an agent's probe
// answer. If a part was added, it requests the next one from the agent.
func (p *poller) applyPeer(a answer) {
	defer p.node.RecoverPanic("probe answer")
	before := len(p.fetch.data)
	p.applyCommitted(a, false)
	if len(p.fetch.data) > before {
		p.node.sendProbe(p.newCommittedPoll(), a.from)
	}
}

// applyCommitted applies newer zones and parts of a newer routing table. isChanged is
// set if another change is to be published.
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
	p.committed.applyZones(a.message)
	p.node.instance.Log.Info().Uint64("zone_index", p.committed.ZoneIndex).Strs("out", p.committed.ZonesOut).
		Stringer("told_by", a.from).Msg("zones changed")
}

// applyTablePart adds a part to the newest routing table, and returns the table when
// it is complete and nil otherwise.
func (p *poller) applyTablePart(a answer) *routing.Table {
	message := a.message
	if message.RoutingVersion <= p.committed.RoutingVersion || message.RoutingVersion < p.fetch.version || message.TableBytes > routing.MaxTableBytes {
		return nil
	}
	if p.fetch.version != message.RoutingVersion || p.fetch.size != int(message.TableBytes) {
		p.fetch = fetch{version: message.RoutingVersion, size: int(message.TableBytes)}
	}
	if message.PartVersion != p.fetch.version || int(message.PartOffset) != len(p.fetch.data) {
		return nil
	}
	p.fetch.data = append(p.fetch.data, message.Part...)
	if len(p.fetch.data) < p.fetch.size {
		return nil
	}
	data := p.fetch.data
	p.fetch = fetch{}
	table, err := routing.Decode(data)
	if err == nil && table.Version != message.RoutingVersion {
		err = Error.New("routing table: found version %d, allowed: %d, as announced", table.Version, message.RoutingVersion)
	}
	if err != nil {
		p.node.instance.Log.Error().Err(err).Uint64("version", message.RoutingVersion).Stringer("told_by", a.from).Msg("cannot use routing table; keeping the current one")
		return nil
	}
	p.committed.RoutingVersion, p.committed.Table = message.RoutingVersion, data
	parsed := routing.New(table)
	p.node.instance.Log.Info().Uint64("version", parsed.Version).Uint64("from", p.node.State().Table.Version).
		Int("routes", parsed.Routes()).Stringer("told_by", a.from).Msg("routing table applied")
	return parsed
}

// publish replaces the node's state. A nil table keeps the current one.
func (p *poller) publish(table *routing.Table) {
	before := p.node.State()
	if table == nil {
		table = before.Table
	}
	committed := p.committed
	state := &State{
		Table: table, View: p.view(), ZoneIndex: committed.ZoneIndex, committed: &committed,
		IsUsable:      p.replica.IsComplete() && table.Version > 0,
		IsRosterYoung: p.isRosterYoung,
	}
	p.node.state.Store(state)
	if state.View.LiveCount() != before.View.LiveCount() || state.IsUsable != before.IsUsable {
		p.node.instance.Log.Info().Int("agents", state.View.LiveCount()).Int("before", before.View.LiveCount()).
			Bool("usable", state.IsUsable).Msg("set of agents changed")
	}
	if p.node.handlers.Published != nil {
		p.node.handlers.Published()
	}
}

// view returns the agents of the replica that have a service.
func (p *poller) view() *flow.View {
	records := p.replica.Records()
	members := make([]flow.Member, 0, len(records))
	for _, record := range records {
		if record.Service == "" {
			continue
		}
		address := netip.AddrPortFrom(routing.NumberAddress(record.Address), uint16(record.Port))
		member := flow.NewMember(address, record.Zone, record.Service)
		member.IsReady, member.ServiceTime = record.Ready, flow.ServiceTimeOf(record.ServiceTimeMs)
		member.IsExpired, member.IsUnseen = record.Gone || record.Unseen, record.Unseen
		members = append(members, member)
	}
	return flow.NewView(members)
}

// updateControl sets the control instances to poll to the reported and the configured
// ones. The current instance stays first. New instances follow it, in the reported order:
// an instance without a usable answer names those first that it is in contact with, while
// the others here may have failed to answer. The configured ones are always included, in
// case all members of the control group have been replaced.
func (p *poller) updateControl(addresses []string) {
	var targets []netip.AddrPort
	for _, text := range addresses {
		if address, err := netip.ParseAddrPort(text); err == nil && !slices.Contains(targets, address) {
			targets = append(targets, address)
		}
	}
	for _, address := range shuffled(slices.Clone(p.node.instance.Peers())) {
		if !slices.Contains(targets, address) {
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
	p.setControl(slices.Insert(kept, min(1, len(kept)), added...))
}
