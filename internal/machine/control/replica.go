package control

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/catalog"
	"sassafrasturn.example/internal/consensus"
	"sassafrasturn.example/internal/journal"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/roster"
	"sassafrasturn.example/internal/routing"
	"sassafrasturn.example/internal/wire"
)

// Limits of a replica.
const (
	// maxPending is the maximum number of proposals without a result.
	maxPending = 1024
	// A snapshot replaces the log after this many entries or bytes.
	snapshotEntries  = 1000
	snapshotLogBytes = 16 << 20
)

// Errors of proposals.
var (
	errTooManyPending = Error.New("not run: %d proposals are already pending; try again", maxPending)
	errOutcomeUnknown = Error.New("outcome unknown: the leader has changed; send the command again with the same submission ID to get the first result, if there is one")
)

// pendingProposal is a proposal whose entry is not committed yet. done receives its result.
type pendingProposal struct {
	term uint64
	done func(*wire.CommandResult, error)
}

// outputs receives the messages and records that a replica produces.
type outputs struct {
	send    func(*wire.ConsensusMessage)
	publish func([]*wire.Record)
	// reconfigured receives what a leader has decided about its group. It may be nil.
	reconfigured func(*consensus.Reconfiguration)
	// zonesChanged is called when a change of zones has been applied. It may be nil.
	zonesChanged func()
}

// replica is one control instance's copy of the replicated state: consensus core,
// journal and catalog. It is not safe for concurrent use. After an error of the
// class journal.ErrFailed it must be reloaded; after any other error the instance
// must stop.
type replica struct {
	folder journal.Folder
	// configuredID is the member ID from the settings, or 0 if the instance chooses a
	// random one.
	configuredID uint64
	identity     *wire.DiskIdentity
	rand         *rand.Rand
	outputs      outputs

	core    *consensus.Core
	journal *journal.Journal
	catalog *catalog.Catalog

	pending map[uint64]pendingProposal
	// published is the log index up to which changes have been published.
	published uint64
	// sinceSnapshot is the number of entries that were applied after the last
	// snapshot. A new snapshot is taken when it reaches compactAfter.
	sinceSnapshot int
	compactAfter  int

	leaseSequence uint64
	leaseAt       time.Duration

	// isSelfNumbered is set in a group that forms itself, where the instance chooses
	// its own ID. Reads are confirmed by a majority there, and no leases are granted.
	isSelfNumbered bool

	// committed is the applied state of the opaque mode.
	committed atomic.Pointer[Committed]
	// tables are the versions of the routing table that have been in force.
	tables routing.History
	// joiners are the instances that have requested to join, by address.
	// targetVoters is the number of voters that the leader brings the group to, 0 if
	// operators change the membership.
	joiners       map[string]joiner
	targetVoters  int
	reconfigureAt time.Duration
	// zone is the availability zone of the instance.
	zone string
}

// Committed is the committed state of the opaque mode that this instance has applied.
type Committed struct {
	opaque.Committed
	// Source is the routing table as the operator sent it, nil before the first.
	Source []byte
	// Agents are the registered agents, and AgentsIndex the log index of their last
	// change.
	Agents      roster.Registry
	AgentsIndex uint64
}

// openReplica restores a replica from its data folder. The replica publishes its
// state only after it has applied everything that was committed before the restart,
// so that the published state never goes back. maxFlowLifetime is the maximum age of a flow.
func openReplica(folder journal.Folder, id uint64, random *rand.Rand, now, maxFlowLifetime time.Duration, out outputs) (*replica, error) {
	r := &replica{
		folder: folder, configuredID: id, rand: random, outputs: out,
		pending: make(map[uint64]pendingProposal), leaseAt: now, compactAfter: snapshotEntries,
		joiners: make(map[string]joiner), isSelfNumbered: id == 0, tables: routing.NewHistory(maxFlowLifetime),
	}
	r.committed.Store(new(Committed))
	_, err := r.load(now)
	if err == nil {
		err = r.process(now)
	}
	if err != nil && r.journal != nil {
		_ = r.journal.Close()
	}
	return r, err
}

// load opens the journal in the data folder and restores the replica from it. An
// empty folder gets a new identity.
func (r *replica) load(now time.Duration) (*journal.Contents, error) {
	fresh := &wire.DiskIdentity{Id: r.configuredID, Disk: r.rand.Uint64() | 1}
	if r.configuredID == 0 {
		fresh.Id = 1 + r.rand.Uint64N(maxFirstID)
	}
	j, contents, err := journal.Open(r.folder, fresh)
	if err != nil {
		return nil, err
	}
	r.journal, r.identity = j, contents.Identity
	if err := r.checkIdentity(r.configuredID, contents); err != nil {
		return nil, err
	}
	stored := consensus.Stored{State: contents.State, Snapshot: contents.Snapshot, Entries: contents.Entries}
	return contents, r.restore(stored, now)
}

// reload restores the replica after a failure of the journal from what can be read
// back, as a restart would. All of it is stored again, since after the failure it is
// unknown which of it is durable.
func (r *replica) reload(now time.Duration) error {
	// The file is not used any more, and its failure is already known.
	_ = r.journal.Close()
	contents, err := r.load(now)
	if err != nil {
		return err
	}
	if contents.Snapshot != nil {
		return r.journal.Replace(contents.Snapshot, contents.State, contents.Entries)
	}
	if err := r.journal.StoreIdentity(r.identity); err != nil || contents.State == nil {
		return err
	}
	return r.journal.Save(contents.State, contents.Entries)
}

// stepDown transfers leadership and fails the pending proposals. All other queued
// messages are dropped, since they may acknowledge data that has not been stored.
func (r *replica) stepDown(now time.Duration) {
	r.core.TransferLeadership(now)
	for _, m := range r.core.Ready().Messages {
		if m.Kind == wire.ConsensusMessage_KIND_CAMPAIGN {
			r.outputs.send(m)
		}
	}
	r.failPending()
}

// checkIdentity refuses a data folder that belongs to a member with another ID. A
// folder that was never used by a member of a group takes over the new ID.
func (r *replica) checkIdentity(id uint64, contents *journal.Contents) error {
	if id == 0 || r.identity.Id == id {
		return nil
	}
	if contents.State != nil || contents.Snapshot != nil {
		return Error.New("[control] id: found %d, allowed: %d, the id that the data folder belongs to; or use an empty data folder", id, r.identity.Id)
	}
	r.identity = &wire.DiskIdentity{Id: id, Disk: r.rand.Uint64() | 1}
	return r.journal.StoreIdentity(r.identity)
}

func (r *replica) restore(stored consensus.Stored, now time.Duration) error {
	c, err := catalog.Restore(stored.Snapshot.GetState())
	if err != nil {
		return err
	}
	r.catalog = c
	config := consensus.Config{ID: r.identity.Id, Disk: r.identity.Disk, Rand: r.rand, GrantsNoLease: r.isSelfNumbered, Zone: r.zone}
	r.core = consensus.New(config, stored, now)
	return nil
}

// form creates a new group with the given members and stores its first snapshot.
func (r *replica) form(now time.Duration, members []*wire.ControlMember) error {
	group := &wire.ControlGroup{Number: r.rand.Uint64() | 1, Members: members}
	for _, member := range members {
		group.HighestId = max(group.HighestId, member.Id)
	}
	stored := consensus.Stored{
		State:    &wire.VoteState{Term: consensus.FirstTerm, Commit: 1},
		Snapshot: consensus.FirstSnapshot(group),
	}
	if err := r.journal.Replace(stored.Snapshot, stored.State, nil); err != nil {
		return err
	}
	if err := r.restore(stored, now); err != nil {
		return err
	}
	return r.process(now)
}

func (r *replica) tick(now time.Duration) error {
	r.core.Tick(now)
	r.reconfigure(now)
	return r.process(now)
}

// propose appends a command that has passed catalog.Prepare to the log. done
// receives its result, either before propose returns or later.
func (r *replica) propose(now time.Duration, command *wire.Command, done func(*wire.CommandResult, error)) {
	if first := r.catalog.StoredResult(command.SubmissionId); first != nil {
		done(first, nil)
		return
	}
	if len(r.pending) >= maxPending {
		done(nil, errTooManyPending)
		return
	}
	if replace := command.GetReplaceRouting(); replace != nil {
		replace.SettledVersion = proto.Uint64(r.tables.Settled(now))
	}
	data, err := proto.Marshal(command)
	if err != nil {
		done(nil, Error.Wrap(err))
		return
	}
	index, term, err := r.core.Propose(now, data)
	r.addPending(index, term, err, done)
}

func (r *replica) addMember(now time.Duration, member *wire.ControlMember, done func(*wire.CommandResult, error)) {
	index, term, err := r.core.ProposeAdd(now, member)
	r.addPending(index, term, err, done)
}

func (r *replica) removeMember(now time.Duration, id uint64, done func(*wire.CommandResult, error)) {
	index, term, err := r.core.ProposeRemove(now, id)
	r.addPending(index, term, err, done)
}

func (r *replica) addPending(index, term uint64, err error, done func(*wire.CommandResult, error)) {
	if err != nil {
		done(nil, err)
		return
	}
	r.pending[index] = pendingProposal{term: term, done: done}
}

// process stores, sends and applies the output of the consensus core, then publishes
// the applied state and compacts the log.
func (r *replica) process(now time.Duration) error {
	for {
		ready := r.core.Ready()
		if ready.IsEmpty() {
			break
		}
		if err := r.handleReady(ready); err != nil {
			return err
		}
		r.core.Advance(ready)
	}
	status := r.core.Status(now)
	if status.Role != consensus.Leader {
		r.failPending()
	}
	r.publish(now, status.Applied)
	return r.compact(status)
}

func (r *replica) handleReady(ready *consensus.Ready) error {
	if err := r.store(ready); err != nil {
		return err
	}
	for _, m := range ready.Messages {
		r.outputs.send(m)
	}
	for _, entry := range ready.Committed {
		if err := r.apply(entry); err != nil {
			return err
		}
	}
	return nil
}

func (r *replica) store(ready *consensus.Ready) error {
	if ready.Snapshot != nil {
		c, err := catalog.Restore(ready.Snapshot.State)
		if err != nil {
			return err
		}
		if err := r.journal.Replace(ready.Snapshot, ready.State, ready.Entries); err != nil {
			return err
		}
		r.catalog = c
		r.sinceSnapshot = 0
		return nil
	}
	if ready.State == nil && len(ready.Entries) == 0 {
		return nil
	}
	return r.journal.Save(ready.State, ready.Entries)
}

func (r *replica) apply(entry *wire.LogEntry) error {
	result, err := r.applyCommand(entry)
	if err != nil {
		return err
	}
	r.sinceSnapshot++
	proposal, ok := r.pending[entry.Index]
	if !ok {
		return nil
	}
	delete(r.pending, entry.Index)
	if proposal.term != entry.Term {
		proposal.done(nil, errOutcomeUnknown)
		return nil
	}
	proposal.done(result, nil)
	return nil
}

func (r *replica) applyCommand(entry *wire.LogEntry) (*wire.CommandResult, error) {
	if len(entry.Command) == 0 {
		return nil, nil
	}
	command := new(wire.Command)
	if err := proto.Unmarshal(entry.Command, command); err != nil {
		return nil, Error.Wrap(err)
	}
	return r.catalog.Apply(entry.Index, command)
}

// failPending answers the pending proposals of an instance that has lost leadership.
func (r *replica) failPending() {
	for index, proposal := range r.pending {
		delete(r.pending, index)
		proposal.done(nil, errOutcomeUnknown)
	}
}

// publish publishes the records that have changed since the last call.
func (r *replica) publish(now time.Duration, applied uint64) {
	if applied <= r.published {
		return
	}
	if records := r.catalog.Records(r.published); len(records) > 0 {
		r.outputs.publish(records)
	}
	before, table := r.committed.Load(), r.catalog.Routing()
	r.tables.Record(now, table.GetVersion())
	agents, agentsIndex := r.catalog.Agents()
	r.committed.Store(&Committed{
		Source: table.GetSource(), Agents: agents, AgentsIndex: agentsIndex,
		Committed: opaque.Committed{
			RoutingVersion: table.GetVersion(), Table: table.GetTable(),
			ZoneIndex: r.catalog.ZoneIndex(), ZonesOut: r.catalog.ZonesOut(), ZonesBack: r.catalog.ZonesBack(),
		},
	})
	r.published = applied
	if r.outputs.zonesChanged != nil && r.catalog.ZoneIndex() != before.ZoneIndex {
		r.outputs.zonesChanged()
	}
}

// compact replaces the log by a snapshot when it exceeds its limit of entries or bytes.
func (r *replica) compact(status consensus.Status) error {
	if r.sinceSnapshot == 0 || r.sinceSnapshot < r.compactAfter && r.journal.LogBytes() < snapshotLogBytes {
		return nil
	}
	state, err := r.catalog.Snapshot()
	if err != nil {
		return err
	}
	r.sinceSnapshot = 0
	stored := r.core.Compact(state)
	return r.journal.Replace(stored.Snapshot, stored.State, stored.Entries)
}

// Renewal interval and validity of the lease record.
const (
	leaseInterval = 500 * time.Millisecond
	leaseDuration = 3 * time.Second
)

// lease returns the next lease, or nil if none is due. One is due if the instance
// leads, has applied everything that is committed, and a majority has answered an
// append that was sent after the last lease and within leaseInterval.
func (r *replica) lease(now time.Duration) *wire.Lease {
	status := r.core.Status(now)
	if !status.IsCurrent || status.LastContact <= r.leaseAt || now-status.LastContact > leaseInterval {
		return nil
	}
	r.leaseAt = now
	r.leaseSequence++
	return &wire.Lease{
		Index:      status.Applied,
		ZoneIndex:  r.catalog.ZoneIndex(),
		DurationMs: uint32(leaseDuration.Milliseconds()),
	}
}
