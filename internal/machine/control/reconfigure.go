package control

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"sassafrasturn.example/internal/catalog"
	"sassafrasturn.example/internal/wire"
)

const (
	// maxFirstID is the maximum first ID of an instance that chooses its own ID at random.
	maxFirstID = 1 << 31
	// reconfigureInterval is the time between checks for instances that wait to join.
	reconfigureInterval = 200 * time.Millisecond
	// joinerTimeout is how long a join request is valid.
	joinerTimeout = 2 * time.Second
	// maxJoiners bounds the instances that wait to join.
	maxJoiners = 64
)

// joiner is an instance that has requested to join the group.
type joiner struct {
	member      *wire.ControlMember
	requestedAt time.Duration
}

// recordJoiner records a join request, which replaces an earlier one from the same address.
// It ignores a request that no instance sends, and those beyond maxJoiners.
func (r *replica) recordJoiner(now time.Duration, join *wire.JoinControl) {
	_, isKnown := r.joiners[join.Address]
	if !r.isValidJoin(now, join) || !isKnown && len(r.joiners) >= maxJoiners {
		return
	}
	r.joiners[join.Address] = joiner{
		member:      &wire.ControlMember{Id: join.Id, Address: join.Address, Disk: join.Disk, Zone: join.Zone},
		requestedAt: now,
	}
}

// isValidJoin reports whether an instance can send the join request. Instances choose IDs
// close to the highest ID of the group, so that a higher one is always left.
func (r *replica) isValidJoin(now time.Duration, join *wire.JoinControl) bool {
	address, err := netip.ParseAddrPort(join.Address)
	hasAddress := err == nil && address.Addr().Is4() && !address.Addr().IsUnspecified() && address.Port() != 0
	highest := max(maxFirstID, r.core.Status(now).Group.GetHighestId())
	return hasAddress && join.Disk != 0 && join.Id >= 1 && join.Id <= highest+idSpread && len(join.Zone) <= catalog.MaxZoneNameBytes
}

// reconfigure removes expired join requests and lets the leader propose a change of the
// group, for which it may use the instances that wait to join.
func (r *replica) reconfigure(now time.Duration) {
	if r.targetVoters == 0 || now < r.reconfigureAt {
		return
	}
	r.reconfigureAt = now + reconfigureInterval
	var waiting []*wire.ControlMember
	for address, j := range r.joiners {
		if now-j.requestedAt > joinerTimeout {
			delete(r.joiners, address)
			continue
		}
		waiting = append(waiting, j.member)
	}
	// IDs are not used again: after one with a higher ID has been added, the others would
	// have to change theirs first.
	slices.SortFunc(waiting, func(a, b *wire.ControlMember) int { return cmp.Compare(a.Id, b.Id) })
	decided := r.core.Reconfigure(now, waiting, r.targetVoters)
	if decided != nil && r.outputs.reconfigured != nil {
		r.outputs.reconfigured(decided)
	}
}

// setZone sets the availability zone of the instance.
func (r *replica) setZone(zone string) {
	r.zone = zone
	r.core.SetZone(zone)
}

// changeIdentity stores a new identity for the instance. With it the instance can join a
// group that no longer has the old one as a member.
func (r *replica) changeIdentity(id uint64) error {
	identity := &wire.DiskIdentity{Id: id, Disk: r.rand.Uint64() | 1}
	if err := r.journal.StoreIdentity(identity); err != nil {
		return err
	}
	r.identity = identity
	r.core.ChangeIdentity(identity.Id, identity.Disk)
	return nil
}
