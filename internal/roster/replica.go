package roster

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

// Replica is a node's copy of the roster. It is kept when the control instance that
// it was fetched from fails.
type Replica struct {
	roster   uint64
	revision uint64
	// selection is that of the fetch in progress.
	selection Selection
	// round counts the rosters that were fetched from their first revision. Once the
	// last one has converged, records that it lacks, and which are therefore of an
	// earlier round, expire.
	round      uint64
	isFetching bool
	isComplete bool
	records    map[Key]*replicaEntry
}

type replicaEntry struct {
	record    *wire.AgentRecord
	round     uint64
	expiredAt time.Duration
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{records: make(map[Key]*replicaEntry)}
}

// Position returns where the next poll continues. isSameSource is true if it is of the
// control instance that the last delta came from.
func (r *Replica) Position(isSameSource bool) Position {
	position := Position{Roster: r.roster, Revision: r.revision, Selection: r.selection}
	if isSameSource || !r.isComplete {
		return position
	}
	position.Digests = new(Digests)
	for _, e := range r.records {
		position.Digests.add(e.record)
	}
	return position
}

// IsComplete reports whether a complete roster has been fetched at least once.
func (r *Replica) IsComplete() bool { return r.isComplete }

// Apply applies a delta and reports whether any agent changed.
func (r *Replica) Apply(now time.Duration, delta Delta) (isChanged bool) {
	if delta.Restart {
		r.startFetch(delta.Selection)
	}
	r.roster, r.revision, r.selection = delta.Roster, delta.Revision, Selection{}
	if delta.More {
		r.selection = delta.Selection
	}
	for _, record := range delta.Records {
		isChanged = r.applyRecord(now, record) || isChanged
	}
	if !delta.More && !r.isComplete {
		r.isComplete = true
		isChanged = true
	}
	if !delta.More && delta.IsConverged && r.isFetching {
		r.isFetching = false
		isChanged = r.expireAbsent(now) || isChanged
	}
	return r.removeExpired(now) || isChanged
}

// startFetch begins the fetch of a roster. The agents in buckets that are not selected
// are those of the roster.
func (r *Replica) startFetch(selection Selection) {
	r.round++
	r.isFetching = true
	for key, e := range r.records {
		if !selection.hasBucket(key) {
			e.round = r.round
		}
	}
}

func (r *Replica) applyRecord(now time.Duration, record *wire.AgentRecord) (isChanged bool) {
	key := KeyOf(record)
	e := r.records[key]
	if e == nil {
		e = &replicaEntry{}
		r.records[key] = e
	}
	e.round = r.round
	isKnownLive := e.record != nil && !e.record.Gone
	if isKnownLive && (record.Unseen || !record.Gone && isNewer(e.record, record)) {
		// The control instance has restarted, or has not received the newest record yet, and
		// knows less than this node.
		return false
	}
	isChanged = e.record == nil || !isSame(e.record, record)
	if record.Gone && (e.record == nil || !e.record.Gone) {
		e.expiredAt = now
	}
	e.record = record
	return isChanged
}

func isSame(a, b *wire.AgentRecord) bool {
	return a.Incarnation == b.Incarnation && a.Sequence == b.Sequence && a.Gone == b.Gone && a.Unseen == b.Unseen &&
		a.Ready == b.Ready && a.Service == b.Service && a.Zone == b.Zone && a.ServiceTimeMs == b.ServiceTimeMs
}

// expireAbsent marks the agents that are absent from the roster just fetched as expired.
func (r *Replica) expireAbsent(now time.Duration) (isChanged bool) {
	for _, e := range r.records {
		if e.round == r.round || e.record.Gone {
			continue
		}
		expired := proto.CloneOf(e.record)
		expired.Gone = true
		e.record, e.expiredAt = expired, now
		isChanged = true
	}
	return isChanged
}

// ExpiredRetention is how long a node keeps offering packets of open flows to expired
// agents, after all others: they may be alive on the other side of a partition.
const ExpiredRetention = 30 * time.Second

func (r *Replica) removeExpired(now time.Duration) (isChanged bool) {
	for key, e := range r.records {
		if e.record.Gone && now-e.expiredAt > ExpiredRetention {
			delete(r.records, key)
			isChanged = true
		}
	}
	return isChanged
}

// Records returns all agents, including the expired ones.
func (r *Replica) Records() []*wire.AgentRecord {
	records := make([]*wire.AgentRecord, 0, len(r.records))
	for _, e := range r.records {
		records = append(records, e.record)
	}
	return records
}
