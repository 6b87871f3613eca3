package control

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"sassafrasturn.example/internal/consensus"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/wire"
)

const (
	joinInterval = 200 * time.Millisecond
	// joinAskTimeout bounds the wait for one answer.
	joinAskTimeout = 500 * time.Millisecond
	// removedTimeout is how long a member hears no leader before it asks whether
	// the group still has it.
	removedTimeout = 2 * consensus.ElectionTimeout
	// idSpread keeps instances that join at the same time from the same ID.
	idSpread = 64
)

// join keeps the instance in the control group without an operator: it founds
// a group with its peers, joins the one that there is, and joins it again
// after the group has given its place to another.
func (c *Control) join(ctx context.Context) {
	for pause.For(ctx, joinInterval) {
		status := c.loop.status.Load()
		isMember := c.loop.isMember()
		if isMember && (status.Role == consensus.Leader || c.loop.now()-status.Contact < removedTimeout) {
			continue
		}
		found := c.askAround(ctx)
		switch {
		case isMember:
			c.leaveLostGroup(ctx, found)
		case c.joinGroup(ctx, found):
		default:
			c.foundWithPeers(ctx, found)
		}
	}
}

// askAround asks all known control instances who they are, this one included.
func (c *Control) askAround(ctx context.Context) map[netip.AddrPort]*wire.DiskIdentity {
	own := c.instance.Settings.Link.Listen
	var mu sync.Mutex
	found := map[netip.AddrPort]*wire.DiskIdentity{own: c.identity()}
	var group sync.WaitGroup
	for _, address := range c.discovery.controlAddresses() {
		if address == own {
			continue
		}
		group.Go(func() {
			asking, cancel := context.WithTimeout(ctx, joinAskTimeout)
			defer cancel()
			identity, err := c.askIdentity(asking, address.String())
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			found[address] = identity
		})
	}
	group.Wait()
	return found
}

// leaveLostGroup takes a new identity when a leader says that the group no
// longer has this instance. Without such word the instance keeps its vote.
func (c *Control) leaveLostGroup(ctx context.Context, found map[netip.AddrPort]*wire.DiskIdentity) {
	own := c.loop.identity.Load()
	group := c.loop.status.Load().Group.GetNumber()
	for _, identity := range found {
		if !identity.Leads || identity.Group.GetNumber() != group {
			continue
		}
		status := consensus.Status{Group: identity.Group}
		if !status.IsMember(own.Id, own.Disk) {
			c.instance.Log.Warn().Uint64("id", own.Id).Msg("the control group has replaced this instance; it joins again under a new identity")
			c.renumber(ctx, identity.Group)
			return
		}
	}
}

// joinGroup asks the leader of the group that there is to take this instance
// in. It reports whether there is a group.
func (c *Control) joinGroup(ctx context.Context, found map[netip.AddrPort]*wire.DiskIdentity) bool {
	own := c.instance.Settings.Link.Listen
	hasGroup := false
	for address, identity := range found {
		if address == own || identity.Group.GetNumber() == 0 {
			continue
		}
		hasGroup = true
		if !identity.Leads {
			continue
		}
		if c.loop.identity.Load().Id <= identity.Group.HighestId {
			c.renumber(ctx, identity.Group)
		}
		c.askToJoin(ctx, address)
	}
	return hasGroup
}

// renumber takes an ID that no member of the group has had.
func (c *Control) renumber(ctx context.Context, group *wire.ControlGroup) {
	id := group.HighestId + 1 + rand.Uint64N(idSpread)
	err := c.loop.do(ctx, func(time.Duration) error { return c.replica.renumber(id) })
	if err != nil {
		c.instance.Log.Warn().Err(err).Msg("no new identity taken")
	}
}

func (c *Control) askToJoin(ctx context.Context, leader netip.AddrPort) {
	own := c.loop.identity.Load()
	join := &wire.JoinControl{Id: own.Id, Disk: own.Disk, Address: c.instance.Settings.Link.Listen.String()}
	request := &wire.ConsensusRequest{From: own.Id, Body: &wire.ConsensusRequest_Join{Join: join}}
	ctx, cancel := context.WithTimeout(ctx, joinAskTimeout)
	defer cancel()
	_, err := c.instance.Dialer.Call(ctx, leader.String(), &wire.Request{Body: &wire.Request_Consensus{Consensus: request}})
	if err != nil {
		c.instance.Log.Info().Err(err).Stringer("leader", leader).Msg("leader not asked to be taken in")
	}
}

// noteJoiner notes, on the leader, that an instance waits to join.
func (c *Control) noteJoiner(ctx context.Context, join *wire.JoinControl) (*wire.Response, error) {
	err := c.loop.do(ctx, func(now time.Duration) error {
		c.replica.noteJoiner(now, join)
		return nil
	})
	return consensusResponse(&wire.ConsensusResponse{Group: c.loop.status.Load().Group}), err
}

// foundWithPeers forms a new group of the configured peers. Only the first of
// them does, and only once all have said that they may and know no group.
func (c *Control) foundWithPeers(ctx context.Context, found map[netip.AddrPort]*wire.DiskIdentity) {
	peers := c.instance.Peers()
	if len(peers) == 0 || slices.MinFunc(peers, netip.AddrPort.Compare) != c.instance.Settings.Link.Listen {
		return
	}
	var members []*wire.ControlMember
	seen := make(map[uint64]bool)
	for _, peer := range peers {
		identity := found[peer]
		if identity == nil || !identity.MayFound || seen[identity.Id] {
			return
		}
		seen[identity.Id] = true
		members = append(members, &wire.ControlMember{Id: identity.Id, Address: peer.String(), Disk: identity.Disk, Voter: true})
	}
	c.form(ctx, members)
}
