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
	// joinRequestTimeout is the timeout of one identity or join request.
	joinRequestTimeout = 500 * time.Millisecond
	// noLeaderTimeout is how long a member has no contact with a leader before it checks
	// whether it is still a member of the group.
	noLeaderTimeout = 2 * consensus.ElectionTimeout
	// idSpread is the range of a random offset that keeps instances that join at the
	// same time from choosing the same ID.
	idSpread = 64
)

// joinState is the state of an instance that looks for its group.
type joinState struct {
	address  netip.AddrPort
	identity *wire.DiskIdentity
	isMember bool
	// peers are the link addresses of the configured control instances.
	peers []netip.AddrPort
}

// joinStep is the next action of an instance that has no working group.
type joinStep struct {
	// renumberAbove, unless 0, means that the instance must take a new ID above it.
	renumberAbove uint64
	// leader, if valid, is the instance to send a join request to.
	leader netip.AddrPort
	// initialMembers, unless empty, are the members of a new group to form.
	initialMembers []*wire.ControlMember
}

// planJoin decides the next step from the identities that the known control
// instances report, by address. They include that of the instance itself.
//
// A member abandons its identity only if a leader reports that the group no longer
// has it. Only the peer with the lowest address forms a group, and only after all
// peers have reported that they may form one and belong to none.
func planJoin(own joinState, identities map[netip.AddrPort]*wire.DiskIdentity) joinStep {
	leader, group := findLeader(own.address, identities)
	if group == nil {
		if own.isMember {
			return joinStep{}
		}
		return joinStep{initialMembers: initialMembers(own, identities)}
	}
	status := consensus.Status{Group: group}
	isListed := status.IsMember(own.identity.Id, own.identity.Disk)
	isOtherGroup := own.isMember && group.Number != own.identity.Group.GetNumber()
	if isListed || isOtherGroup {
		// Either the leader's messages have not arrived yet, or there are two groups,
		// which only an operator can resolve.
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

// findLeader returns the address of another instance that reports that it is the
// leader, and its committed group, or nil if there is none.
func findLeader(own netip.AddrPort, identities map[netip.AddrPort]*wire.DiskIdentity) (netip.AddrPort, *wire.ControlGroup) {
	for address, identity := range identities {
		if address != own && identity.Leads && identity.Group.GetNumber() != 0 {
			return address, identity.Group
		}
	}
	return netip.AddrPort{}, nil
}

// initialMembers returns the members of the group that this instance is to form, or nil
// if it must not form one yet.
func initialMembers(own joinState, identities map[netip.AddrPort]*wire.DiskIdentity) []*wire.ControlMember {
	if len(own.peers) == 0 || slices.MinFunc(own.peers, netip.AddrPort.Compare) != own.address {
		return nil
	}
	var members []*wire.ControlMember
	seen := make(map[uint64]bool)
	for _, peer := range own.peers {
		identity := identities[peer]
		if identity == nil || !identity.MayFound || seen[identity.Id] {
			return nil
		}
		seen[identity.Id] = true
		members = append(members, &wire.ControlMember{Id: identity.Id, Address: peer.String(), Disk: identity.Disk, Voter: true, Zone: identity.Zone})
	}
	return members
}

// join keeps the instance in the control group without an operator: it forms a
// group with its peers or joins the existing one, and joins again after the group
// has replaced it by another instance.
func (c *Control) join(ctx context.Context) {
	for pause.For(ctx, joinInterval) {
		status := c.loop.status.Load()
		own := joinState{
			address: c.instance.Settings.Link.Address(), identity: c.identity(),
			isMember: c.loop.isMember(), peers: c.instance.Peers(),
		}
		hasLeader := status.Role == consensus.Leader || c.loop.now()-status.LastContact < noLeaderTimeout
		if own.isMember && hasLeader {
			continue
		}
		c.applyJoinStep(ctx, planJoin(own, c.knownIdentities(ctx)))
	}
}

func (c *Control) applyJoinStep(ctx context.Context, step joinStep) {
	if step.renumberAbove != 0 {
		c.instance.Log.Info().Uint64("id", c.loop.identity.Load().Id).Msg("this instance is not a member of the control group; joining with a new identity")
		c.changeIdentity(ctx, step.renumberAbove)
	}
	if step.leader.IsValid() {
		c.requestJoin(ctx, step.leader)
	}
	if step.initialMembers != nil {
		c.form(ctx, step.initialMembers)
	}
}

// knownIdentities requests the identities of all known control instances and returns
// those received, by address, with that of this instance.
func (c *Control) knownIdentities(ctx context.Context) map[netip.AddrPort]*wire.DiskIdentity {
	own := c.instance.Settings.Link.Address()
	others := slices.DeleteFunc(c.discovery.controlAddresses(), func(address netip.AddrPort) bool { return address == own })
	identities := c.queryIdentities(ctx, others, joinRequestTimeout)
	identities[own] = c.identity()
	return identities
}

// changeIdentity takes a new ID that no member of the group has had.
func (c *Control) changeIdentity(ctx context.Context, above uint64) {
	id := above + 1 + rand.Uint64N(idSpread)
	err := c.loop.do(ctx, func(time.Duration) error { return c.replica.changeIdentity(id) })
	if err != nil {
		c.instance.Log.Warn().Err(err).Msg("new identity not stored")
	}
}

func (c *Control) requestJoin(ctx context.Context, leader netip.AddrPort) {
	own := c.loop.identity.Load()
	join := &wire.JoinControl{Id: own.Id, Disk: own.Disk, Address: c.instance.Settings.Link.Address().String(), Zone: c.instance.Settings.Zone}
	request := &wire.ConsensusRequest{From: own.Id, Body: &wire.ConsensusRequest_Join{Join: join}}
	ctx, cancel := context.WithTimeout(ctx, joinRequestTimeout)
	defer cancel()
	_, err := c.instance.Dialer.Call(ctx, leader.String(), &wire.Request{Body: &wire.Request_Consensus{Consensus: request}})
	if err != nil {
		c.instance.Log.Info().Err(err).Stringer("leader", leader).Msg("join request to leader failed")
	}
}

// handleJoin records on the leader that an instance has requested to join.
func (c *Control) handleJoin(ctx context.Context, join *wire.JoinControl) (*wire.Response, error) {
	err := c.loop.do(ctx, func(now time.Duration) error {
		c.replica.recordJoiner(now, join)
		return nil
	})
	return consensusResponse(&wire.ConsensusResponse{Group: c.loop.status.Load().Group}), err
}
