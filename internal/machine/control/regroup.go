package control

import (
	"time"

	"sassafrasturn.example/internal/wire"
)

const (
	// maxFirstID bounds the random ID of an instance that numbers itself.
	maxFirstID = 1 << 31
	// regroupInterval separates looks at who waits to join.
	regroupInterval = 200 * time.Millisecond
	// joinerTimeout is how long an instance counts as waiting after it asked.
	joinerTimeout = 2 * time.Second
)

// joiner is an instance that waits to join the group.
type joiner struct {
	member      *wire.ControlMember
	requestedAt time.Duration
}

// recordJoiner notes that an instance asks to join.
func (r *replica) recordJoiner(now time.Duration, join *wire.JoinControl) {
	r.joiners[join.Address] = joiner{
		member:      &wire.ControlMember{Id: join.Id, Address: join.Address, Disk: join.Disk},
		requestedAt: now,
	}
}

// regroup lets the leader take in an instance that waits.
func (r *replica) regroup(now time.Duration) {
	if r.targetVoters == 0 || now < r.regroupAt {
		return
	}
	r.regroupAt = now + regroupInterval
	var waiting []*wire.ControlMember
	for address, j := range r.joiners {
		if now-j.requestedAt > joinerTimeout {
			delete(r.joiners, address)
			continue
		}
		waiting = append(waiting, j.member)
	}
	r.core.Reconfigure(now, waiting, r.targetVoters)
}

// renumber gives the instance a new identity, with which it can join a group
// that does not have its old one.
func (r *replica) renumber(id uint64) error {
	identity := &wire.DiskIdentity{Id: id, Disk: r.rand.Uint64() | 1}
	if err := r.journal.StoreIdentity(identity); err != nil {
		return err
	}
	r.identity = identity
	r.core.ChangeIdentity(identity.Id, identity.Disk)
	return nil
}
