package control

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/roster"
	"sassafrasturn.example/internal/routing"
	"sassafrasturn.example/internal/wire"
)

const (
	gossipInterval = 500 * time.Millisecond
	// changeBatchDelay separates a change from the gossip that tells it.
	changeBatchDelay = 10 * time.Millisecond
	// answerRecordBytes leaves room for a part of the routing table in an answer that
	// fits one datagram on networks with an MTU of 1,500 bytes.
	answerRecordBytes = 700
	// maxGossipRecords bounds the records in one datagram of gossip.
	maxGossipRecords = 14
	// maxGossipSeen bounds the agents named in one datagram of gossip.
	maxGossipSeen = 120
	// resyncInterval separates requests for the records that this instance lacks.
	resyncInterval = 100 * time.Millisecond
)

// discovery answers the polls of balancers and agents, and tells the other
// control instances which agents it has heard.
type discovery struct {
	control *Control
	node    *opaque.Node

	changed chan struct{}

	mu     sync.Mutex
	roster *roster.Roster
	// contacts are which other control instances this one hears.
	contacts *roster.Contacts
	// wasComplete is whether they were complete when that was last asked.
	wasComplete bool
	// leader is what others say of the leader, for an instance that is no member.
	leader     netip.AddrPort
	leaderTerm uint64
	leaderAt   time.Duration
	// nextResyncAt is when each control instance may be asked for its records again.
	nextResyncAt map[netip.AddrPort]time.Duration
}

func newDiscovery(c *Control) (*discovery, error) {
	d := &discovery{
		control: c, changed: make(chan struct{}, 1),
		contacts: roster.NewContacts(), wasComplete: true,
		nextResyncAt: make(map[netip.AddrPort]time.Duration),
	}
	node, err := opaque.NewListener(c.instance, opaque.Handlers{Message: d.handleMessage})
	if err != nil {
		return nil, err
	}
	d.node = node
	d.roster = roster.New(rand.Uint64()|1, node.Now())
	return d, nil
}

func (d *discovery) run(ctx context.Context) {
	go d.node.Run(ctx)
	go d.resyncAtStart(ctx)
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.changed:
			// Changes of other agents that come at the same time go along.
			pause.For(ctx, changeBatchDelay)
		}
		d.gossip()
	}
}

// resyncAtStart asks the other control instances for their records and tells them
// of this one, more than once, since datagrams may be lost.
func (d *discovery) resyncAtStart(ctx context.Context) {
	for range startRequests {
		for _, address := range d.controlAddresses() {
			if address != d.node.Address() {
				d.node.SendMessage(opaque.KindResync, &wire.Gossip{From: d.node.Address().String()}, address)
			}
		}
		d.gossip()
		if !pause.For(ctx, roster.WarmUp/startRequests) {
			return
		}
	}
}

// startRequests is how often an instance asks at its start.
const startRequests = 3

// signalChange makes the next gossip come at once.
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
			d.node.SendMessage(opaque.KindPollAnswer, d.answerPoll(poll), from)
		}
	case opaque.KindGossip:
		if gossip, sender, ok := parseGossip(data); ok {
			d.handleGossip(gossip, sender)
		}
	case opaque.KindResync:
		if _, sender, ok := parseGossip(data); ok {
			d.recordContact(sender)
			d.sendOwnRecords(sender)
		}
	}
}

// parseGossip reads gossip and the link address of its sender, which is not
// where the datagram came from when ports are forwarded.
func parseGossip(data []byte) (gossip *wire.Gossip, sender netip.AddrPort, ok bool) {
	gossip = new(wire.Gossip)
	if proto.Unmarshal(data, gossip) != nil {
		return nil, netip.AddrPort{}, false
	}
	sender, err := netip.ParseAddrPort(gossip.From)
	return gossip, sender, err == nil
}

func (d *discovery) recordContact(sender netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contacts.RecordReceived(d.node.Now(), sender)
}

// sendOwnRecords tells another control instance whole what this one has heard, if only
// that it is there.
func (d *discovery) sendOwnRecords(to netip.AddrPort) {
	d.mu.Lock()
	records := d.roster.PolledSince(d.node.Now() - 2*gossipInterval)
	d.mu.Unlock()
	for isFirst := true; isFirst || len(records) > 0; isFirst = false {
		message := &wire.Gossip{From: d.node.Address().String()}
		message.Changed, records = split(records, maxGossipRecords)
		d.node.SendMessage(opaque.KindGossip, message, to)
	}
}

// answerPoll gives a node what has changed since its last poll.
func (d *discovery) answerPoll(poll *wire.Poll) *wire.PollAnswer {
	now := d.node.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	answer := &wire.PollAnswer{
		Sequence: poll.Sequence,
		Fresh:    d.control.loop.isCurrent() && d.roster.IsWarm(now) && d.hasAllContacts(now) && !d.control.isDraining.Load(),
	}
	for _, address := range d.addresses(now) {
		answer.Control = append(answer.Control, address.String())
	}
	if poll.Self != nil {
		before := d.roster.Revision()
		answer.Incarnation = d.roster.RecordPoll(now, poll.Self)
		if d.roster.Revision() != before {
			d.signalChange()
		}
	}
	if !answer.Fresh {
		return answer
	}
	delta := d.roster.Since(now, poll.Roster, poll.Revision, answerRecordBytes)
	answer.Roster, answer.Revision, answer.Records = delta.Roster, delta.Revision, delta.Records
	answer.More, answer.Restart, answer.Settled = delta.More, delta.Restart, delta.IsConverged
	d.control.replica.committed.Load().AddTo(answer, poll)
	return answer
}

// hasAllContacts reports whether this instance hears the others as it must for a
// whole roster.
func (d *discovery) hasAllContacts(now time.Duration) bool {
	isComplete := d.contacts.IsComplete(now, d.node.Address(), d.members())
	if isComplete == d.wasComplete {
		return isComplete
	}
	d.wasComplete = isComplete
	if isComplete {
		d.control.instance.Log.Info().Int("agents", d.roster.LiveCount()).Msg("gossip of the other control instances is heard")
	} else {
		d.control.instance.Log.Warn().Int("agents", d.roster.LiveCount()).
			Msg("gossip of other control instances is missed; nodes are sent elsewhere")
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

// gossip tells the other control instances which agents this one has heard.
func (d *discovery) gossip() {
	now := d.node.Now()
	d.mu.Lock()
	lost := d.roster.Sweep(now)
	changed, heard := d.roster.Gossip(now, now-2*gossipInterval)
	addresses := d.addresses(now)
	var recent []string
	for _, address := range d.contacts.Recent(now) {
		recent = append(recent, address.String())
	}
	d.mu.Unlock()
	for _, record := range lost {
		d.control.instance.Log.Info().Stringer("agent", routing.NumberAddress(record.Address)).Str("service", record.Service).
			Str("zone", record.Zone).Msg("agent not heard for long, taken for gone")
	}
	own := d.node.Address()
	for isFirst := true; isFirst || len(changed) > 0 || len(heard) > 0; isFirst = false {
		message := &wire.Gossip{From: own.String()}
		message.Changed, changed = split(changed, maxGossipRecords)
		message.Heard, heard = split(heard, maxGossipSeen)
		if isFirst {
			d.addLeader(message)
			message.Control = recent
		}
		for _, address := range addresses {
			if address != own {
				d.node.SendMessage(opaque.KindGossip, message, address)
			}
		}
	}
}

func split[T any](items []T, most int) (first, rest []T) {
	most = min(most, len(items))
	return items[:most], items[most:]
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
	d.contacts.RecordReceived(now, from)
	for _, text := range gossip.Control {
		if address, err := netip.ParseAddrPort(text); err == nil {
			d.contacts.RecordReported(now, address)
		}
	}
	if leader, err := netip.ParseAddrPort(gossip.Leader); err == nil && gossip.Term >= d.leaderTerm {
		d.leader, d.leaderTerm, d.leaderAt = leader, gossip.Term, now
	}
	if d.roster.Merge(now, gossip.Changed, gossip.Heard) && now >= d.nextResyncAt[from] {
		d.nextResyncAt[from] = now + resyncInterval
		d.node.SendMessage(opaque.KindResync, &wire.Gossip{From: d.node.Address().String()}, from)
	}
}

// controlAddresses returns the link addresses of all known control instances.
func (d *discovery) controlAddresses() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addresses(d.node.Now())
}

// addresses returns the members of the group, those heard lately, and the
// configured peers while there is no group.
func (d *discovery) addresses(now time.Duration) []netip.AddrPort {
	var addresses []netip.AddrPort
	add := func(address netip.AddrPort) {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
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

// knownLeader returns what others have lately said of the leader.
func (d *discovery) knownLeader() (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	isLate := d.node.Now()-d.leaderAt > 2*gossipInterval
	return d.leader, d.leader.IsValid() && !isLate
}
