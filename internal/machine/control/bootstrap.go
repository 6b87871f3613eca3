package control

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/internal/wire"
)

const (
	bootstrapInterval = 300 * time.Millisecond
	identityTimeout   = 2 * time.Second
	// lostDiskLogInterval is the minimum time between log lines about a group that
	// does not have this disk as a member.
	lostDiskLogInterval = 10 * time.Second
)

// bootstrap waits until the instance belongs to a group. The member with the lowest
// ID in the settings forms a new group, but only after all members have reported
// that they belong to none: an instance that has lost its disk must not form a
// second group.
func (c *Control) bootstrap(ctx context.Context) {
	var loggedAt time.Time
	for ctx.Err() == nil && c.loop.status.Load().Group.GetNumber() == 0 {
		identities, all := c.queryMembers(ctx)
		if group := knownGroup(identities); group != nil {
			if time.Since(loggedAt) > lostDiskLogInterval {
				loggedAt = time.Now()
				c.logNotMember(group)
			}
		} else if all && c.formsGroup() {
			c.formGroup(ctx, identities)
		}
		pause.For(ctx, bootstrapInterval)
	}
}

// members returns the members listed in the settings, or only this instance if none
// are listed.
func (c *Control) members() []settings.Member {
	s := c.instance.Settings
	if len(s.Control.Members) == 0 {
		return []settings.Member{{ID: uint64(s.Control.ID), Link: s.Link.Address()}}
	}
	return s.Control.Members
}

func (c *Control) formsGroup() bool {
	own := uint64(c.instance.Settings.Control.ID)
	isListed := false
	for _, member := range c.members() {
		if member.ID < own {
			return false
		}
		isListed = isListed || member.ID == own
	}
	return isListed
}

// queryMembers returns the identities of the members listed in the settings and whether
// all of them have answered.
func (c *Control) queryMembers(ctx context.Context) (identities []*wire.DiskIdentity, all bool) {
	own := c.loop.identity.Load()
	var others []netip.AddrPort
	for _, member := range c.members() {
		if member.ID != own.Id {
			others = append(others, member.Link)
		}
	}
	identityByAddress := c.queryIdentities(ctx, others, identityTimeout)
	all = true
	for _, member := range c.members() {
		identity := identityByAddress[member.Link]
		if member.ID == own.Id {
			identity = own
		}
		if identity == nil || identity.Id != member.ID {
			all = false
			continue
		}
		identities = append(identities, identity)
	}
	return identities, all
}

// queryIdentities requests the identities of the control instances at the addresses,
// concurrently. Instances that do not answer within timeout are left out.
func (c *Control) queryIdentities(ctx context.Context, addresses []netip.AddrPort, timeout time.Duration) map[netip.AddrPort]*wire.DiskIdentity {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var mu sync.Mutex
	identities := make(map[netip.AddrPort]*wire.DiskIdentity)
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() {
			identity, err := c.queryIdentity(ctx, address.String())
			if err != nil {
				c.instance.Log.Debug().Err(err).Stringer("address", address).Msg("control instance did not report its identity")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			identities[address] = identity
		})
	}
	group.Wait()
	return identities
}

func (c *Control) queryIdentity(ctx context.Context, address string) (*wire.DiskIdentity, error) {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	request := &wire.ConsensusRequest{
		From: c.loop.identity.Load().Id,
		Body: &wire.ConsensusRequest_Identity{Identity: &wire.IdentityRequest{}},
	}
	response, err := c.instance.Dialer.Call(ctx, address, &wire.Request{Body: &wire.Request_Consensus{Consensus: request}})
	if err != nil {
		return nil, err
	}
	identity := response.GetConsensus().GetIdentity()
	if identity == nil {
		return nil, Error.New("%s did not report its identity: %s; is it a control instance?", address, response.Error)
	}
	return identity, nil
}

func knownGroup(identities []*wire.DiskIdentity) *wire.ControlGroup {
	for _, identity := range identities {
		if identity.Group.GetNumber() != 0 {
			return identity.Group
		}
	}
	return nil
}

func (c *Control) logNotMember(group *wire.ControlGroup) {
	for _, member := range group.Members {
		if member.Id == c.loop.identity.Load().Id && member.Disk == c.loop.identity.Load().Disk {
			return
		}
	}
	c.instance.Log.Warn().Uint64("id", c.loop.identity.Load().Id).
		Msg("this disk is not a member of the control group; if the data folder was lost, give the instance a new id and run sassafrasturnctl control add")
}

func (c *Control) formGroup(ctx context.Context, identities []*wire.DiskIdentity) {
	var members []*wire.ControlMember
	for i, member := range c.members() {
		members = append(members, &wire.ControlMember{
			Id: member.ID, Address: member.Link.String(), Disk: identities[i].Disk, Voter: true,
		})
	}
	c.form(ctx, members)
}

// form creates a group unless the instance belongs to one by now.
func (c *Control) form(ctx context.Context, members []*wire.ControlMember) {
	err := c.loop.do(ctx, func(now time.Duration) error {
		if status := c.replica.core.Status(now); status.Group.GetNumber() != 0 || status.Term != 0 {
			return nil
		}
		return c.replica.form(now, members)
	})
	if err == nil {
		c.instance.Log.Info().Int("members", len(members)).Msg("control group formed")
	}
}
