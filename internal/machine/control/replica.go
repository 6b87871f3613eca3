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
	"sassafrasturn.example/internal/wire"
)

// Bounds of a replica.
const (
	// maxPending bounds the proposals that wait for their result.
	maxPending = 1024
	// A snapshot replaces the log after as many entries or bytes.
	snapshotEntries  = 1000
	snapshotLogBytes = 16 << 20
)

// Errors of proposals.
var (
	errTooManyPending = Error.New("not run: %d proposals are waiting already; try again", maxPending)
	errOutcomeUnknown = Error.New("outcome unknown: the leader has changed; send it again with the same submission ID, which gets the first answer if there is one")
)

// pendingProposal waits for the entry that was proposed at an index and term.
type pendingProposal struct {
	term uint64
	done func(*wire.CommandResult, error)
}

// outputs is where a replica's work goes.
type outputs struct {
	send    func(*wire.ConsensusMessage)
	publish func([]*wire.Record)
}

// replica is one control instance's copy of the replicated state: agreement,
// journal and catalog. It is not safe for concurrent use. After an error of the
// class journal.ErrFailed it must be loaded again, after another one the instance
// must stop.
type replica struct {
	folder journal.Folder
	// configuredID is the member's ID of the settings, 0 when it draws one itself.
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
	// sinceSnapshot counts the entries that were applied after the snapshot;
	// at compactAfter a new snapshot is taken.
	sinceSnapshot int
	compactAfter  int

	leaseSequence uint64
	leaseAt       time.Duration

	// isSelfNumbered: the instance takes part in a group that founds itself, in
	// which reads ask a majority and no leases are granted.
	isSelfNumbered bool

	// committed is what the applied log says about the opaque mode.
	committed atomic.Pointer[Committed]
	// joiners are the instances that wait to join, by address; voters is how
	// many voters the group is to have, 0 where operators change the group.
	joiners      map[string]joiner
	targetVoters int
	regroupAt    time.Duration
}

// Committed is the applied state of the opaque mode.
type Committed struct {
	opaque.Committed
	// Source is the routing table as the operator sent it, nil before the first.
	Source []byte
}

// openReplica restores a replica from its data folder. It publishes the state
// only once all that was committed before the restart is applied again, so that
// nothing older is seen than before.
func openReplica(folder journal.Folder, id uint64, random *rand.Rand, now time.Duration, out outputs) (*replica, error) {
	r := &replica{
		folder: folder, configuredID: id, rand: random, outputs: out,
		pending: make(map[uint64]pendingProposal), leaseAt: now, compactAfter: snapshotEntries,
		joiners: make(map[string]joiner), isSelfNumbered: id == 0,
	}
	r.committed.Store(new(Committed))
	if _, err := r.load(now); err != nil {
		return nil, err
	}
	return r, r.process(now)
}

// load takes over what the data folder holds.
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

// reload begins anew after a failure of the journal, as a restart would, with what
// can be read back. What has been durable is not known: all is stored once more.
func (r *replica) reload(now time.Duration) error {
	// The file is done with, and its failure known.
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

// stepDown hands the lead over and answers the proposals that wait. All else that
// was to be sent promises what has not been stored.
func (r *replica) stepDown(now time.Duration) {
	r.core.TransferLeadership(now)
	for _, m := range r.core.Ready().Messages {
		if m.Kind == wire.ConsensusMessage_KIND_CAMPAIGN {
			r.outputs.send(m)
		}
	}
	r.failPending()
}

// checkIdentity refuses a folder that another member has used. One that was
// never a member's may change its ID.
func (r *replica) checkIdentity(id uint64, contents *journal.Contents) error {
	if id == 0 || r.identity.Id == id {
		return nil
	}
	if contents.State != nil || contents.Snapshot != nil {
		return Error.New("[control] id: found %d, allowed: %d, to which the data folder belongs; or name an empty data folder", id, r.identity.Id)
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
	config := consensus.Config{ID: r.identity.Id, Disk: r.identity.Disk, Rand: r.rand, GrantsNoLease: r.isSelfNumbered}
	r.core = consensus.New(config, stored, now)
	return nil
}

// form begins a new group with the given members.
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
	r.regroup(now)
	return r.process(now)
}

// propose puts a command that has been prepared into the log. done gets its
// result, before propose returns or later.
func (r *replica) propose(now time.Duration, command *wire.Command, done func(*wire.CommandResult, error)) {
	if first := r.catalog.StoredResult(command.SubmissionId); first != nil {
		done(first, nil)
		return
	}
	if len(r.pending) >= maxPending {
		done(nil, errTooManyPending)
		return
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

// process stores, sends and applies what is due.
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
	r.publish(status.Applied)
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
	w, ok := r.pending[entry.Index]
	if !ok {
		return nil
	}
	delete(r.pending, entry.Index)
	if w.term != entry.Term {
		w.done(nil, errOutcomeUnknown)
		return nil
	}
	w.done(result, nil)
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

// failPending answers the proposals of an instance that leads no longer.
func (r *replica) failPending() {
	for index, w := range r.pending {
		delete(r.pending, index)
		w.done(nil, errOutcomeUnknown)
	}
}

// publish hands out the records that were changed since the last call.
func (r *replica) publish(applied uint64) {
	if applied <= r.published {
		return
	}
	if records := r.catalog.Records(r.published); len(records) > 0 {
		r.outputs.publish(records)
	}
	table := r.catalog.Routing()
	r.committed.Store(&Committed{
		Source: table.GetSource(),
		Committed: opaque.Committed{
			RoutingVersion: table.GetVersion(), Table: table.GetTable(),
			ZoneIndex: r.catalog.ZoneIndex(), ZonesOut: r.catalog.ZonesOut(),
		},
	})
	r.published = applied
}

// compact replaces the log by a snapshot when it has grown long.
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

// Intervals of the lease.
const (
	leaseInterval = 500 * time.Millisecond
	leaseDuration = 3 * time.Second
)

// lease returns the next lease record when one is due: the instance leads, has
// applied all that is committed, and a majority has answered an append that
// was sent after the last lease and within the interval.
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
