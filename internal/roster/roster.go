// Package roster distributes the list of live agents in the opaque mode. Every
// agent polls one control instance, the control instances gossip about the agents
// that have polled them, and every node fetches the changes from one control
// instance.
//
// Roster is the state of a control instance, Replica that of a node. Both are pure
// state machines: time is passed in, as the time since the start of the process.
// They are not safe for concurrent use.
package roster

import (
	"net/netip"
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/routing"
	"sassafrasturn.example/internal/wire"
)

const (
	// silenceBeforeProbe is how long an agent may be silent before it is probed: two
	// rounds of gossip and some delay. Its silence alone is no evidence, since it may
	// poll a control instance whose gossip is lost.
	silenceBeforeProbe = 1100 * time.Millisecond
	// probeInterval separates the probes of an agent, and maxUnansweredProbes is how many
	// of them it may leave unanswered before it expires.
	probeInterval       = 200 * time.Millisecond
	maxUnansweredProbes = 3
	// Timeout is how long a silent agent takes to expire.
	Timeout = silenceBeforeProbe + maxUnansweredProbes*probeInterval
	// tombstoneRetention is how long the roster keeps the record of an expired agent.
	// Nodes whose revision is older fetch the roster from its first revision.
	tombstoneRetention = time.Minute
	// WarmUp is how long a new roster collects records before it is used: a control
	// instance requests the records of the others at its start, and agents that
	// start together with it poll twice within this time.
	WarmUp = 100 * time.Millisecond
	// ConvergenceTime is how long a new roster may lack live agents: they poll every
	// 500 ms, and one poll may be lost. Until then nodes keep the agents that they
	// have from other rosters.
	ConvergenceTime = time.Second
	// MaxNameBytes limits the names in a record, so that answers fit into a datagram.
	MaxNameBytes = 100
	// maxIncarnation is far beyond any time of a start in Unix milliseconds, and far below
	// the largest number: an agent must be able to choose a higher one.
	maxIncarnation = 1 << 53
	maxPort        = 65535
	// maxAgents limits the records of a roster: ten times the designed cluster size.
	maxAgents = 31_000
)

// Key is an agent's link address.
type Key uint64

// KeyOf returns the key of a record.
func KeyOf(record *wire.AgentRecord) Key { return newKey(record.Address, record.Port) }

// KeyOfAddress returns the key of an agent's link address.
func KeyOfAddress(address netip.AddrPort) Key {
	return Key(routing.AddrPortNumber(address))
}

func newKey(address, port uint32) Key { return Key(uint64(address)<<16 | uint64(uint16(port))) }

type entry struct {
	record   *wire.AgentRecord
	revision uint64
	// lastSeen is when this instance last received a poll of the agent or gossip
	// about it.
	lastSeen time.Duration
	// unansweredProbes counts the probes since lastSeen, and probedAt is when the newest
	// one was sent.
	unansweredProbes int
	probedAt         time.Duration
	// lastPoll is when the agent last polled this instance, and changedAt when its
	// record last changed.
	lastPoll  time.Duration
	changedAt time.Duration
	hasPolled bool
	// contradictedAt is when gossip last named an earlier incarnation of the agent, and
	// isContradicted whether it ever did.
	contradictedAt time.Duration
	isContradicted bool
	// isRegistered is whether the registry contained the record when it last changed.
	isRegistered bool
}

// change is the change of a record at a revision.
type change struct {
	revision uint64
	key      Key
}

// Roster is the list of agents of one control instance.
type Roster struct {
	id uint64
	// created is when the roster began to collect records, and started when it did so
	// anew after the latest gap.
	created, started time.Duration
	// registry is nil until the first registration is applied.
	registry Registry
	revision uint64
	// floor is the revision below which changes have been deleted.
	floor   uint64
	entries map[Key]*entry
	// changes are sorted by revision. Changes that a later one of the same agent has
	// replaced are skipped by readers.
	changes []change
	// digests are those as of digestsRevision.
	digests         Digests
	digestsRevision uint64
}

// New returns an empty roster. id must differ from that of every other roster.
func New(id uint64, now time.Duration) *Roster {
	return &Roster{id: id, created: now, started: now, entries: make(map[Key]*entry)}
}

// IsWarm reports whether the roster has collected records for WarmUp and may be used.
// Registered agents are not missing in it, so with a registry it need not warm up again
// after a gap.
func (r *Roster) IsWarm(now time.Duration) bool {
	if len(r.registry) > 0 {
		return now-r.created >= WarmUp
	}
	return now-r.started >= WarmUp
}

// IsYoung reports whether the roster still learns of more agents with each poll.
func (r *Roster) IsYoung(now time.Duration) bool {
	return now-r.started < ConvergenceTime
}

// IsConverged reports whether the roster contains all agents that may own flows, because
// they are registered. Without a registry, every live agent must have had the time to
// poll.
func (r *Roster) IsConverged(now time.Duration) bool {
	return len(r.registry) > 0 || !r.IsYoung(now)
}

// Resume is called after a time in which gossip was missing and the roster was neither
// used nor swept. The silence of agents during that time is no evidence, so they get
// their timeout anew, and the roster has to converge again.
func (r *Roster) Resume(now time.Duration) {
	r.started = now
	for _, e := range r.entries {
		if !e.record.Gone {
			e.see(now)
		}
	}
}

// isNewer reports whether a record replaces another of the same agent.
func isNewer(a, b *wire.AgentRecord) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// RecordPoll applies the record that an agent sends with its poll, and returns the
// incarnation under which the roster stores the agent. An agent whose own incarnation
// is lower must choose a higher one: its wall clock went back between two starts.
func (r *Roster) RecordPoll(now time.Duration, record *wire.AgentRecord) uint64 {
	e := r.mergeRecord(now, record)
	if e == nil {
		return record.Incarnation
	}
	if e.record.Incarnation == record.Incarnation {
		e.hasPolled, e.lastPoll = true, now
	}
	return e.record.Incarnation
}

// isValid reports whether an agent can have the record.
func isValid(record *wire.AgentRecord) bool {
	hasAddress := record.Address != 0 && record.Port >= 1 && record.Port <= maxPort
	return hasAddress && record.Incarnation <= maxIncarnation && len(record.Zone) <= MaxNameBytes && len(record.Service) <= MaxNameBytes
}

// mergeRecord merges a record and returns the entry of its agent, or nil when the record
// is not valid or the roster is full.
func (r *Roster) mergeRecord(now time.Duration, record *wire.AgentRecord) *entry {
	if !isValid(record) {
		return nil
	}
	key := KeyOf(record)
	e := r.entries[key]
	if e == nil {
		if len(r.entries) >= maxAgents {
			return nil
		}
		e = &entry{record: record}
		r.entries[key] = e
		r.recordChange(now, key, e)
	}
	hasReturned := e.record.Gone && !record.Gone && !isNewer(e.record, record)
	if isNewer(record, e.record) || hasReturned {
		e.record = record
		r.recordChange(now, key, e)
	}
	if e.record.Incarnation == record.Incarnation {
		e.see(now)
	}
	return e
}

// see records that the agent is alive.
func (e *entry) see(now time.Duration) {
	e.lastSeen, e.unansweredProbes = now, 0
}

func (r *Roster) recordChange(now time.Duration, key Key, e *entry) {
	e.isRegistered = r.registry.contains(key, e.record)
	r.revision++
	e.revision, e.changedAt = r.revision, now
	r.changes = append(r.changes, change{revision: r.revision, key: key})
	if len(r.changes) > 2*len(r.entries)+64 {
		r.changes = slices.DeleteFunc(r.changes, func(c change) bool { return !r.isCurrent(c) })
	}
}

func (r *Roster) isCurrent(c change) bool {
	e := r.entries[c.key]
	return e != nil && e.revision == c.revision
}

// DueProbes returns the agents to probe now: those that have been silent for longer than
// silenceBeforeProbe.
func (r *Roster) DueProbes(now time.Duration) []*wire.AgentRecord {
	var due []*wire.AgentRecord
	for _, e := range r.entries {
		isSilent := !e.record.Gone && now-e.lastSeen > silenceBeforeProbe
		if isSilent && e.unansweredProbes < maxUnansweredProbes && (e.unansweredProbes == 0 || now-e.probedAt >= probeInterval) {
			e.unansweredProbes++
			e.probedAt = now
			due = append(due, e.record)
		}
	}
	return due
}

// RecordProbeAnswer records that an agent has answered a probe. An expired agent is live
// again.
func (r *Roster) RecordProbeAnswer(now time.Duration, key Key) {
	e := r.entries[key]
	if e == nil {
		return
	}
	e.see(now)
	if e.record.Gone {
		r.setGone(now, key, e, false)
	}
}

// Sweep marks agents that have not answered their probes as expired, and deletes those
// whose record has been expired for longer than tombstoneRetention. It returns the
// newly expired ones.
func (r *Roster) Sweep(now time.Duration) []*wire.AgentRecord {
	var expired []*wire.AgentRecord
	for key, e := range r.entries {
		switch {
		case !e.record.Gone && e.unansweredProbes >= maxUnansweredProbes && now-e.probedAt >= probeInterval:
			r.setGone(now, key, e, true)
			expired = append(expired, e.record)
		case e.record.Gone && now-e.changedAt > tombstoneRetention:
			r.floor = max(r.floor, e.revision)
			delete(r.entries, key)
		}
	}
	return expired
}

func (r *Roster) setGone(now time.Duration, key Key, e *entry, isGone bool) {
	e.record = proto.CloneOf(e.record)
	e.record.Gone, e.record.Unseen = isGone, e.record.Unseen && !isGone
	r.recordChange(now, key, e)
}

// Gossip returns what to send to the other control instances: the agents that have
// polled this instance since a time, with their complete record where it changed
// within fullRecordPeriod, and by their key alone otherwise. It also returns the records of
// agents that others know by an earlier incarnation only: the wall clock of such an agent went
// back between two starts, and the instance that it polls must know to correct it.
func (r *Roster) Gossip(now, since time.Duration) (changed []*wire.AgentRecord, seen []uint64) {
	for key, e := range r.entries {
		switch {
		case e.isContradicted && e.contradictedAt >= since:
			changed = append(changed, e.record)
		case !e.hasPolled || e.lastPoll < since:
		case now-e.changedAt < fullRecordPeriod:
			changed = append(changed, e.record)
		default:
			seen = append(seen, uint64(key))
		}
	}
	return changed, seen
}

// fullRecordPeriod is how long the complete record is sent after a change: several
// rounds of gossip, of which some may be lost.
const fullRecordPeriod = 3 * time.Second

// Merge applies the gossip of another control instance. It reports whether that
// instance was polled by agents that are absent from this roster or were expired in
// it. The latter are live again, with their last known record, since a request for the
// current one may be lost.
func (r *Roster) Merge(now time.Duration, changed []*wire.AgentRecord, seen []uint64) (isMissing bool) {
	for _, record := range changed {
		if e := r.mergeRecord(now, record); e != nil && e.record.Incarnation > record.Incarnation {
			e.contradictedAt, e.isContradicted = now, true
		}
	}
	for _, key := range seen {
		e := r.entries[Key(key)]
		if e == nil || e.record.Unseen {
			isMissing = true
			continue
		}
		e.see(now)
		if e.record.Gone {
			r.setGone(now, Key(key), e, false)
			isMissing = true
		}
	}
	return isMissing
}

// PolledSince returns the agents that have polled this instance since a time.
func (r *Roster) PolledSince(since time.Duration) []*wire.AgentRecord {
	var records []*wire.AgentRecord
	for _, e := range r.entries {
		if e.hasPolled && e.lastPoll >= since {
			records = append(records, e.record)
		}
	}
	return records
}

// Delta is a part of the changes of a roster.
type Delta struct {
	Roster   uint64
	Revision uint64
	Records  []*wire.AgentRecord
	// More is true if there are changes after Revision.
	More bool
	// Restart is true if the records begin at the first revision.
	Restart bool
	// Selection is that of the fetch which the delta belongs to.
	Selection Selection
	// IsConverged is true if the roster has converged: agents that it lacks are not alive.
	IsConverged bool
	// IsYoung is true while the roster learns of more agents with each poll.
	IsYoung bool
}

// Since returns the changes after a position, as many as fit into maxBytes. For a
// position in another roster, or one that is too old, it starts from the first revision,
// with the buckets in which the node has other agents.
func (r *Roster) Since(now time.Duration, position Position, maxBytes int) Delta {
	delta := Delta{
		Roster: r.id, Revision: position.Revision, Selection: position.Selection,
		IsConverged: r.IsConverged(now), IsYoung: r.IsYoung(now),
	}
	if position.Roster != r.id || position.Revision < r.floor || position.Revision > r.revision {
		delta.Revision, delta.Restart, delta.Selection = 0, true, Selection{}
		if position.Digests != nil {
			delta.Selection = differing(position.Digests, r.currentDigests(), r.revision)
		}
	}
	start := sort.Search(len(r.changes), func(i int) bool { return r.changes[i].revision > delta.Revision })
	size := 0
	for _, c := range r.changes[start:] {
		if !delta.Selection.includes(c) || !r.isCurrent(c) {
			continue
		}
		record := r.published(r.entries[c.key])
		size += proto.Size(record) + recordOverhead
		if size > maxBytes && len(delta.Records) > 0 {
			delta.More = true
			return delta
		}
		delta.Records = append(delta.Records, record)
		delta.Revision = c.revision
	}
	delta.Revision = r.revision
	return delta
}

// currentDigests returns the digests of the records as nodes receive them.
func (r *Roster) currentDigests() *Digests {
	if r.digestsRevision != r.revision {
		r.digests, r.digestsRevision = Digests{}, r.revision
		for _, e := range r.entries {
			r.digests.add(r.published(e))
		}
	}
	return &r.digests
}

// recordOverhead is the number of bytes of a record's tag and length in its list.
const recordOverhead = 3

// Revision returns the number of changes of the roster so far.
func (r *Roster) Revision() uint64 { return r.revision }

// LiveCount returns the number of agents that have not expired.
func (r *Roster) LiveCount() int {
	live := 0
	for _, e := range r.entries {
		if !e.record.Gone {
			live++
		}
	}
	return live
}
