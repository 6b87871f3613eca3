package control

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"sassafrasturn.example/internal/consensus"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/wire"
)

const (
	joinInterval = 200 * time.Millisecond
	// joinRequestTimeout bounds the wait for one answer.
	joinRequestTimeout = 500 * time.Millisecond
	// noLeaderTimeout is how long a member hears no leader before it asks whether
	// the group still has it.
	noLeaderTimeout = 2 * consensus.ElectionTimeout
	// idSpread keeps instances that join at the same time from the same ID.
	idSpread = 64
)

// joinState is what an instance knows of itself when it looks for its group.
type joinState struct {
	address  netip.AddrPort
	identity *wire.DiskIdentity
	isMember bool
	// peers are the configured control instances.
	peers []netip.AddrPort
}

// joinStep is what an instance without a working group does next.
type joinStep struct {
	// renumberAbove, unless 0, calls for a new identity with a higher ID.
	renumberAbove uint64
	// leader, when valid, is to be asked to take the instance in.
	leader netip.AddrPort
	// initialMembers are the members of a group to initialMembers.
	initialMembers []*wire.ControlMember
}

// planJoin decides the next step from what the known control instances say of
// themselves, by their addresses; the instance itself is among them.
//
// A member gives its place up only when a leader says that the group no longer
// has it. Only the first of the peers founds a group, and only once all of
// them have said that they may and know none.
func planJoin(own joinState, found map[netip.AddrPort]*wire.DiskIdentity) joinStep {
	leader, group := findLeader(own.address, found)
	if group == nil {
		if own.isMember {
			return joinStep{}
		}
		return joinStep{initialMembers: initialMembers(own, found)}
	}
	status := consensus.Status{Group: group}
	isKnown := status.IsMember(own.identity.Id, own.identity.Disk)
	isOfOther := own.isMember && group.Number != own.identity.Group.GetNumber()
	if isKnown || isOfOther {
		// The leader's messages are on their way; or there are two groups, which
		// only people can mend.
		return joinStep{}
	}
	step := joinStep{}
	if own.isMember || own.identity.Id <= group.HighestId {
		step.renumberAbove = group.HighestId
	}
	if !own.isMember {
		step.leader = leader
	}
	return step
}

// findLeader returns the instance that leads and its committed group.
func findLeader(own netip.AddrPort, found map[netip.AddrPort]*wire.DiskIdentity) (netip.AddrPort, *wire.ControlGroup) {
	for address, identity := range found {
		if address != own && identity.Leads && identity.Group.GetNumber() != 0 {
			return address, identity.Group
		}
	}
	return netip.AddrPort{}, nil
}

// initialMembers returns the members of the group that this instance is to found, or
// nil.
func initialMembers(own joinState, found map[netip.AddrPort]*wire.DiskIdentity) []*wire.ControlMember {
	if len(own.peers) == 0 || slices.MinFunc(own.peers, netip.AddrPort.Compare) != own.address {
		return nil
	}
	var members []*wire.ControlMember
	seen := make(map[uint64]bool)
	for _, peer := range own.peers {
		identity := found[peer]
		if identity == nil || !identity.MayFound || seen[identity.Id] {
			return nil
		}
		seen[identity.Id] = true
		members = append(members, &wire.ControlMember{Id: identity.Id, Address: peer.String(), Disk: identity.Disk, Voter: true})
	}
	return members
}

// join keeps the instance in the control group without an operator: it founds
// a group with its peers, joins the one that there is, and joins it again
// after the group has given its place to another.
func (c *Control) join(ctx context.Context) {
	for pause.For(ctx, joinInterval) {
		status := c.loop.status.Load()
		own := joinState{
			address: c.instance.Settings.Link.Address(), identity: c.identity(),
			isMember: c.loop.isMember(), peers: c.instance.Peers(),
		}
		isServed := status.Role == consensus.Leader || c.loop.now()-status.LastContact < noLeaderTimeout
		if own.isMember && isServed {
			continue
		}
		c.applyJoinStep(ctx, planJoin(own, c.knownIdentities(ctx)))
	}
}

func (c *Control) applyJoinStep(ctx context.Context, step joinStep) {
	if step.renumberAbove != 0 {
		c.instance.Log.Info().Uint64("id", c.loop.identity.Load().Id).Msg("the control group does not have this instance; it joins under a new identity")
		c.renumber(ctx, step.renumberAbove)
	}
	if step.leader.IsValid() {
		c.requestJoin(ctx, step.leader)
	}
	if step.initialMembers != nil {
		c.form(ctx, step.initialMembers)
	}
}

// knownIdentities asks all known control instances who they are, this one included.
func (c *Control) knownIdentities(ctx context.Context) map[netip.AddrPort]*wire.DiskIdentity {
	own := c.instance.Settings.Link.Address()
	others := slices.DeleteFunc(c.discovery.controlAddresses(), func(address netip.AddrPort) bool { return address == own })
	found := c.queryIdentities(ctx, others, joinRequestTimeout)
	found[own] = c.identity()
	return found
}

// renumber takes an ID that no member of the group has had.
func (c *Control) renumber(ctx context.Context, above uint64) {
	id := above + 1 + rand.Uint64N(idSpread)
	err := c.loop.do(ctx, func(time.Duration) error { return c.replica.renumber(id) })
	if err != nil {
		c.instance.Log.Warn().Err(err).Msg("no new identity taken")
	}
}

func (c *Control) requestJoin(ctx context.Context, leader netip.AddrPort) {
	own := c.loop.identity.Load()
	join := &wire.JoinControl{Id: own.Id, Disk: own.Disk, Address: c.instance.Settings.Link.Address().String()}
	request := &wire.ConsensusRequest{From: own.Id, Body: &wire.ConsensusRequest_Join{Join: join}}
	ctx, cancel := context.WithTimeout(ctx, joinRequestTimeout)
	defer cancel()
	_, err := c.instance.Dialer.Call(ctx, leader.String(), &wire.Request{Body: &wire.Request_Consensus{Consensus: request}})
	if err != nil {
		c.instance.Log.Info().Err(err).Stringer("leader", leader).Msg("leader not asked to be taken in")
	}
}

// handleJoin notes, on the leader, that an instance waits to join.
func (c *Control) handleJoin(ctx context.Context, join *wire.JoinControl) (*wire.Response, error) {
	err := c.loop.do(ctx, func(now time.Duration) error {
		c.replica.recordJoiner(now, join)
		return nil
	})
	return consensusResponse(&wire.ConsensusResponse{Group: c.loop.status.Load().Group}), err
}
