package control

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/roster"
	"sassafrasturn.example/internal/routing"
	"sassafrasturn.example/internal/wire"
)

const (
	gossipInterval = 500 * time.Millisecond
	// changeBatchDelay delays the gossip of a change, so that it includes changes of other
	// agents that arrive at the same time.
	changeBatchDelay = 10 * time.Millisecond
	// answerRecordBytes limits the agent records in a poll answer. It leaves room for a
	// part of the routing table in an answer that fits one datagram on networks with an
	// MTU of 1,500 bytes.
	answerRecordBytes = 700
	// maxGossipRecords is the maximum number of agent records in one gossip datagram.
	maxGossipRecords = 14
	// maxGossipSeen is the maximum number of unchanged agents that one gossip datagram
	// names as recently seen.
	maxGossipSeen = 120
	// resyncInterval is the minimum time between requests to one control instance for the
	// records that this instance lacks.
	resyncInterval = 100 * time.Millisecond
)

// discovery answers the polls of balancers and agents, and gossips with the other
// control instances about the agents that have polled this one.
type discovery struct {
	control *Control
	node    *opaque.Node

	changed chan struct{}

	mu     sync.Mutex
	roster *roster.Roster
	// contacts tracks from which other control instances this one receives gossip.
	contacts *roster.Contacts
	// wasComplete is whether the contacts were complete at the last check, and completeSince
	// since when.
	wasComplete   bool
	completeSince time.Duration
	// leader is the leader's address as reported by other control instances, leaderTerm
	// its term, and leaderAt the time of the report. An instance uses them while it is
	// not a member or its disk has failed.
	leader     netip.AddrPort
	leaderTerm uint64
	leaderAt   time.Duration
	// agentsIndex is the log index of the registered agents that the roster has.
	agentsIndex uint64
	// isRegistering is set while a change of the registered agents is proposed.
	isRegistering bool
	// compressedTable is the routing table of version compressedVersion.
	compressedTable   []byte
	compressedVersion uint64
	// waiting are nodes without a usable answer. waitingAdded holds a token after one was
	// added.
	waiting      waitingNodes
	waitingAdded chan struct{}
	// pollers are the nodes that have polled lately, to be told of changes of zones. zonesChanged
	// holds a token after one.
	pollers      pollers
	zonesChanged chan struct{}
	// handovers are the flows of agents that stop.
	handovers *flow.Handovers
	// refusedHandovers counts the parts that were refused.
	refusedHandovers prometheus.Counter
	// nextResyncAt is the earliest time of the next resync request to each control instance.
	nextResyncAt map[netip.AddrPort]time.Duration
}

func newDiscovery(c *Control) (*discovery, error) {
	d := &discovery{
		control: c, changed: make(chan struct{}, 1),
		contacts: roster.NewContacts(rand.Uint64()), wasComplete: true,
		waiting: make(waitingNodes), waitingAdded: make(chan struct{}, 1),
		pollers: make(pollers), zonesChanged: make(chan struct{}, 1),
		nextResyncAt: make(map[netip.AddrPort]time.Duration), handovers: flow.NewHandovers(),
	}
	node, err := opaque.NewListener(c.instance, opaque.Handlers{Message: d.handleMessage, ProbeAnswered: d.handleProbeAnswer})
	if err != nil {
		return nil, err
	}
	d.node = node
	c.replica.outputs.zonesChanged = d.signalZones
	d.registerHandoverMetrics(c.instance.Metrics)
	d.roster = roster.New(rand.Uint64()|1, node.Now())
	return d, nil
}

func (d *discovery) run(ctx context.Context) {
	go d.node.Run(ctx)
	go d.resyncAtStart(ctx)
	go d.watchAgents(ctx)
	go d.notifyWaiting(ctx)
	go d.notifyZones(ctx)
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.changed:
			pause.For(ctx, changeBatchDelay)
		}
		d.gossip()
		d.registerAgents(ctx)
	}
}

// applyRegistry brings the registered agents of the log into the roster. The caller
// holds the lock.
func (d *discovery) applyRegistry(now time.Duration) {
	committed := d.control.replica.committed.Load()
	if committed.AgentsIndex != d.agentsIndex {
		d.agentsIndex = committed.AgentsIndex
		d.roster.SetRegistry(now, committed.Agents)
	}
}

// registerAgents proposes the change of the registered agents that the roster requires.
// It does nothing on instances that do not lead, or while another change is proposed.
func (d *discovery) registerAgents(ctx context.Context) {
	if !d.control.isLeader() {
		return
	}
	now := d.node.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isRegistering || !d.hasAllContacts(now) || !d.roster.IsWarm(now) {
		return
	}
	d.applyRegistry(now)
	plan := d.roster.PlanRegistration(now)
	if plan == nil {
		return
	}
	d.isRegistering = true
	go func() {
		err := d.proposeRegistration(ctx, plan)
		d.mu.Lock()
		d.isRegistering = false
		d.mu.Unlock()
		if err == nil {
			// Agents may have changed meanwhile. What has failed is planned again at the next
			// gossip.
			d.signalChange()
		}
	}()
}

func (d *discovery) proposeRegistration(ctx context.Context, plan *wire.RegisterAgents) error {
	logger := d.control.instance.Log
	result, err := d.control.propose(ctx, &wire.Command{Body: &wire.Command_RegisterAgents{RegisterAgents: plan}})
	if err != nil {
		logger.Warn().Err(err).Int("added", len(plan.Added)).Int("removed", len(plan.Removed)).Msg("agents not registered; trying again")
		return err
	}
	logger.Info().Uint64("index", result.Index).Int("added", len(plan.Added)).Int("removed", len(plan.Removed)).Msg("agents registered")
	return nil
}

// resyncAtStart requests the records of the other control instances and announces this
// one to them. It repeats both, since datagrams may be lost.
func (d *discovery) resyncAtStart(ctx context.Context) {
	for range startRequests {
		for _, address := range d.controlAddresses() {
			if address != d.node.Address() {
				d.requestRecords(address)
			}
		}
		d.gossip()
		if !pause.For(ctx, roster.WarmUp/startRequests) {
			return
		}
	}
}

// startRequests is the number of resync requests to each control instance at the start.
const startRequests = 3

// signalChange triggers gossip without waiting for the next interval.
func (d *discovery) signalChange() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

func (d *discovery) handleMessage(kind opaque.Kind, data []byte, from netip.AddrPort) {
	switch kind {
	case opaque.KindPoll:
		poll := new(wire.Poll)
		if proto.Unmarshal(data, poll) == nil {
			answer := d.answerPoll(poll)
			d.node.SendMessage(opaque.KindPollAnswer, answer, from)
			d.addPoller(from)
			if !answer.Fresh {
				d.addWaiting(from)
			}
		}
	case opaque.KindHandover, opaque.KindTakeover:
		handover := new(wire.Handover)
		if proto.Unmarshal(data, handover) == nil {
			d.handleHandover(kind, handover, from)
		}
	case opaque.KindGossip:
		if gossip, sender, ok := parseGossip(data); ok {
			d.handleGossip(gossip, sender)
		}
	case opaque.KindResync:
		if request, sender, ok := parseGossip(data); ok {
			d.recordContact(sender, request.SentAt)
			d.sendOwnRecords(sender)
		}
	}
}

// handleHandover keeps flows of an agent that stops, or sends its next start those that are kept.
// Starts of the agent that the roster knows by polls and gossip count as seen.
func (d *discovery) handleHandover(kind opaque.Kind, handover *wire.Handover, from netip.AddrPort) {
	now := d.node.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	newest := d.roster.Incarnation(roster.Key(handover.Agent))
	if kind == opaque.KindHandover {
		answer := d.handovers.Record(now, handover)
		d.handovers.RecordStart(handover.Agent, newest)
		if answer.Refused {
			d.refusedHandovers.Inc()
			d.control.instance.Decisions.Decision("refuse-handover").Stringer("agent", from).Uint32("flows", handover.Total).
				Int("reserved", d.handovers.Len()).Uint64("newest", newest).Msg("")
		}
		d.node.SendMessage(opaque.KindHandoverAnswer, answer, from)
		return
	}
	d.handovers.RecordStart(handover.Agent, newest)
	heardSince := flow.NeverHeard
	if d.hasAllContacts(now) {
		heardSince = d.completeSince
	}
	d.node.SendMessage(opaque.KindTakeoverAnswer, d.handovers.Take(now, handover, heardSince), from)
}

// parseGossip decodes a gossip message and the link address of its sender. That
// address differs from the datagram's source if ports are forwarded.
func parseGossip(data []byte) (gossip *wire.Gossip, sender netip.AddrPort, ok bool) {
	gossip = new(wire.Gossip)
	if proto.Unmarshal(data, gossip) != nil {
		return nil, netip.AddrPort{}, false
	}
	sender, err := netip.ParseAddrPort(gossip.From)
	return gossip, sender, err == nil
}

func (d *discovery) recordContact(sender netip.AddrPort, sentAt uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contacts.RecordReceived(d.node.Now(), sender, sentAt)
}

// newGossip returns a gossip message that reports from which control instances this
// one receives gossip. The caller holds the lock.
func (d *discovery) newGossip(now time.Duration) *wire.Gossip {
	message := &wire.Gossip{From: d.node.Address().String(), SentAt: d.contacts.SendTime(now)}
	for _, report := range d.contacts.Reports(now) {
		message.Control = append(message.Control, report.Address.String())
		message.ControlSentAt = append(message.ControlSentAt, report.SentAt)
	}
	return message
}

// requestRecords asks another control instance for the records of all agents that
// have polled it.
func (d *discovery) requestRecords(from netip.AddrPort) {
	request := &wire.Gossip{From: d.node.Address().String(), SentAt: d.contacts.SendTime(d.node.Now())}
	d.node.SendMessage(opaque.KindResync, request, from)
}

// sendOwnRecords sends another control instance the records of all agents that have
// polled this one. Without any it sends an empty message as a heartbeat.
func (d *discovery) sendOwnRecords(to netip.AddrPort) {
	now := d.node.Now()
	d.mu.Lock()
	records := d.roster.PolledSince(now - 2*gossipInterval)
	message := d.newGossip(now)
	d.mu.Unlock()
	for isFirst := true; isFirst || len(records) > 0; isFirst = false {
		if !isFirst {
			message = &wire.Gossip{From: message.From, SentAt: message.SentAt}
		}
		message.Changed, records = split(records, maxGossipRecords)
		d.node.SendMessage(opaque.KindGossip, message, to)
	}
}

// answerPoll returns the changes since the last poll of a node.
func (d *discovery) answerPoll(poll *wire.Poll) *wire.PollAnswer {
	now := d.node.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	answer := &wire.PollAnswer{Sequence: poll.Sequence, Fresh: d.isReady(now)}
	for _, address := range d.addresses(now) {
		answer.Control = append(answer.Control, address.String())
	}
	if poll.Self != nil {
		before := d.roster.Revision()
		d.handovers.RecordStart(uint64(poll.Self.Address)<<16|uint64(poll.Self.Port), poll.Self.Incarnation)
		answer.Incarnation = d.roster.RecordPoll(now, poll.Self)
		if d.roster.Revision() != before {
			d.signalChange()
		}
	}
	if !answer.Fresh {
		return answer
	}
	delta := d.roster.Since(now, roster.PositionOf(poll), answerRecordBytes)
	delta.AddTo(answer)
	d.compressedState().AddTo(answer, poll)
	return answer
}

// compressedState returns the committed state with the compressed routing table. The caller
// holds the lock.
func (d *discovery) compressedState() *opaque.Committed {
	state := d.control.replica.committed.Load().Committed
	if state.RoutingVersion != d.compressedVersion {
		d.compressedTable, d.compressedVersion = routing.Compress(state.Table), state.RoutingVersion
	}
	state.Table = d.compressedTable
	return &state
}

// hasAllContacts reports whether this instance receives the gossip of all other
// control instances that a complete roster depends on. It logs each change.
func (d *discovery) hasAllContacts(now time.Duration) bool {
	isComplete := d.contacts.IsComplete(now, d.node.Address(), d.members())
	if isComplete == d.wasComplete {
		return isComplete
	}
	d.wasComplete = isComplete
	if isComplete {
		d.completeSince = now
		d.roster.Resume(now)
		d.control.instance.Log.Info().Int("agents", d.roster.LiveCount()).Msg("receiving gossip of the other control instances")
	} else {
		d.control.instance.Log.Warn().Int("agents", d.roster.LiveCount()).
			Msg("gossip of other control instances is missing; nodes are directed to another instance")
	}
	return isComplete
}

// members returns the link addresses of the group's members.
func (d *discovery) members() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, member := range d.control.loop.status.Load().Group.GetMembers() {
		if address, err := netip.ParseAddrPort(member.Address); err == nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// gossip removes expired agents from the roster and sends the other control
// instances the agents that have polled this one.
func (d *discovery) gossip() {
	now := d.node.Now()
	d.mu.Lock()
	d.pollers.sweep(now)
	d.applyRegistry(now)
	changed, seen := d.roster.Gossip(now, now-2*gossipInterval)
	addresses := d.addresses(now)
	message := d.newGossip(now)
	d.mu.Unlock()
	d.addLeader(message)
	own := d.node.Address()
	for isFirst := true; isFirst || len(changed) > 0 || len(seen) > 0; isFirst = false {
		if !isFirst {
			message = &wire.Gossip{From: message.From, SentAt: message.SentAt}
		}
		message.Changed, changed = split(changed, maxGossipRecords)
		message.Heard, seen = split(seen, maxGossipSeen)
		for _, address := range addresses {
			if address != own {
				d.node.SendMessage(opaque.KindGossip, message, address)
			}
		}
	}
}

// watchInterval separates the checks for silent agents.
const watchInterval = 100 * time.Millisecond

func (d *discovery) watchAgents(ctx context.Context) {
	for pause.For(ctx, watchInterval) {
		d.probeSilentAgents()
	}
}

// probeSilentAgents probes the agents that neither poll nor are named in gossip, and
// expires those that do not answer. While gossip is missing, nothing is known of agents
// that are silent here.
func (d *discovery) probeSilentAgents() {
	now := d.node.Now()
	d.mu.Lock()
	var expired, silent []*wire.AgentRecord
	d.handovers.Sweep(now)
	if d.hasAllContacts(now) {
		expired, silent = d.roster.Sweep(now), d.roster.DueProbes(now)
	}
	d.mu.Unlock()
	committed := &d.control.replica.committed.Load().Committed
	for _, record := range silent {
		d.node.ProbeFrom(committed, netip.AddrPortFrom(routing.NumberAddress(record.Address), uint16(record.Port)))
	}
	for _, record := range expired {
		d.control.instance.Log.Info().Stringer("agent", routing.NumberAddress(record.Address)).Str("service", record.Service).
			Str("zone", record.Zone).Msg("agent expired: silent, and no probe answered")
	}
}

func (d *discovery) handleProbeAnswer(agent netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.roster.RecordProbeAnswer(d.node.Now(), roster.KeyOfAddress(agent))
}

func split[T any](items []T, limit int) (first, rest []T) {
	limit = min(limit, len(items))
	return items[:limit], items[limit:]
}

func (d *discovery) addLeader(message *wire.Gossip) {
	status := d.control.loop.status.Load()
	for _, member := range status.Group.GetMembers() {
		if member.Id == status.Leader && d.control.loop.isCurrent() {
			message.Leader, message.Term = member.Address, status.Term
		}
	}
}

func (d *discovery) handleGossip(gossip *wire.Gossip, from netip.AddrPort) {
	now := d.node.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contacts.RecordReceived(now, from, gossip.SentAt)
	d.recordReports(now, gossip, from)
	isNewer := gossip.Term >= d.leaderTerm || d.isLeaderStale(now)
	if leader, err := netip.ParseAddrPort(gossip.Leader); err == nil && isNewer {
		d.leader, d.leaderTerm, d.leaderAt = leader, gossip.Term, now
	}
	before := d.roster.Revision()
	if d.roster.Merge(now, gossip.Changed, gossip.Heard) && now >= d.nextResyncAt[from] {
		d.nextResyncAt[from] = now + resyncInterval
		d.requestRecords(from)
	}
	for _, record := range gossip.Changed {
		key := roster.KeyOf(record)
		d.handovers.RecordStart(uint64(key), d.roster.Incarnation(key))
	}
	if d.roster.Revision() != before && d.control.isLeader() {
		// The agents may have to be registered.
		d.signalChange()
	}
}

// recordReports records from which control instances the sender of the gossip receives
// gossip. If this instance is among them, the sender has confirmed its gossip.
func (d *discovery) recordReports(now time.Duration, gossip *wire.Gossip, from netip.AddrPort) {
	for i, text := range gossip.Control {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			continue
		}
		d.contacts.RecordReported(now, address)
		if address == d.node.Address() && i < len(gossip.ControlSentAt) {
			d.contacts.RecordConfirmed(now, from, gossip.ControlSentAt[i])
		}
	}
}

// controlAddresses returns the link addresses of all known control instances.
func (d *discovery) controlAddresses() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addresses(d.node.Now())
}

// addresses returns the members of the group, the recent contacts and, if this
// instance is not a member, the configured peers.
func (d *discovery) addresses(now time.Duration) []netip.AddrPort {
	var addresses []netip.AddrPort
	add := func(address netip.AddrPort) {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	// Each node gets its own order, so that they spread over the instances.
	reachable := d.contacts.Reports(now)
	rand.Shuffle(len(reachable), func(a, b int) { reachable[a], reachable[b] = reachable[b], reachable[a] })
	for _, report := range reachable {
		add(report.Address)
	}
	for _, address := range d.members() {
		add(address)
	}
	for _, address := range d.contacts.Known(now) {
		add(address)
	}
	if !d.control.loop.isMember() {
		for _, peer := range d.control.instance.Peers() {
			add(peer)
		}
	}
	return addresses
}

// knownLeader returns the leader that other control instances have recently reported.
func (d *discovery) knownLeader() (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader, d.leader.IsValid() && !d.isLeaderStale(d.node.Now())
}

// isLeaderStale reports whether the reported leader is no longer used. The caller holds
// the lock.
func (d *discovery) isLeaderStale(now time.Duration) bool {
	return now-d.leaderAt > 2*gossipInterval
}
