// Package exchange spreads versioned records over links: every instance keeps
// the newest version of each record that it has seen, passes changes on to its
// peers and fetches what it lacks by comparing digests.
package exchange

import (
	"sync"
	"sync/atomic"
	"time"

	"sassafrasturn.example/internal/wire"
)

const (
	// bucketCount divides the records for digests.
	bucketCount = 256
	shardCount  = 16
)

type recordKey struct {
	kind wire.Record_Kind
	key  string
}

func keyOf(record *wire.Record) recordKey {
	return recordKey{kind: record.Kind, key: record.Key}
}

// shard holds every bucket whose number is its own modulo shardCount.
type shard struct {
	mu      sync.RWMutex
	records map[recordKey]*wire.Record
	// expiredAt tells since when a tombstone is held.
	expiredAt map[recordKey]time.Time
	sums      [bucketCount / shardCount]uint64
}

// Store keeps the newest version of each record, in shards with a lock each.
type Store struct {
	shards      [shardCount]shard
	countByKind [maxKind + 1]atomic.Int64
	rejected    [rejectionCount]atomic.Uint64
	traffic     trafficCounters

	// lastReceived is in nanoseconds after start, which steps of the wall clock do
	// not move; 0 before the first message.
	lastReceived atomic.Int64
	start        time.Time
	largePulls   pullLimiter

	mu       sync.Mutex
	watchers map[int]watcher
	nextID   int
}

// origin says where changes came from.
type origin struct {
	// session is nil for changes that this instance made.
	session *Session
	// isAnswer marks records that this instance had asked for.
	isAnswer bool
}

type watcher func(changed []*wire.Record, from origin)

// NewStore returns an empty store.
func NewStore() *Store {
	store := &Store{start: time.Now(), watchers: make(map[int]watcher)}
	for i := range store.shards {
		store.shards[i].records = make(map[recordKey]*wire.Record)
		store.shards[i].expiredAt = make(map[recordKey]time.Time)
	}
	return store
}

func (s *Store) shardOf(key recordKey) *shard {
	return &s.shards[bucketOf(hashKey(key))%shardCount]
}

// IsNewer reports whether record a replaces record b of the same key. A
// tombstone replaces the record of its own version.
func IsNewer(a, b *wire.Record) bool {
	if a.Major != b.Major {
		return a.Major > b.Major
	}
	if a.Minor != b.Minor {
		return a.Minor > b.Minor
	}
	return a.Expired && !b.Expired
}

// LastReceived returns when the newest message came from any peer; the zero time
// before the first one. Peers send at least one message each HeartbeatInterval.
func (s *Store) LastReceived() time.Time {
	nanoseconds := s.lastReceived.Load()
	if nanoseconds == 0 {
		return time.Time{}
	}
	return s.start.Add(time.Duration(nanoseconds))
}

func (s *Store) recordReceived(now time.Time) {
	s.lastReceived.Store(max(1, int64(now.Sub(s.start))))
}

// Merge takes in records and returns those that were newer than what it had.
// Watchers are told of them before Merge returns. Records outside the bounds
// are counted and left out.
func (s *Store) Merge(records []*wire.Record) []*wire.Record {
	return s.merge(time.Now(), records, origin{})
}

func (s *Store) merge(now time.Time, records []*wire.Record, from origin) []*wire.Record {
	var changed []*wire.Record
	for _, record := range records {
		reason, ok := checkRecord(record)
		if ok && from.session != nil && record.Kind == wire.Record_KIND_LEASE {
			reason, ok = rejectKind, false
		}
		if !ok {
			s.rejected[reason].Add(1)
			continue
		}
		if s.mergeOne(now, record) {
			changed = append(changed, record)
		}
	}
	if len(changed) > 0 {
		s.notify(changed, from)
	}
	return changed
}

func (s *Store) mergeOne(now time.Time, record *wire.Record) bool {
	key := keyOf(record)
	hash := hashKey(key)
	shard := s.shardOf(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	current, exists := shard.records[key]
	if exists && !IsNewer(record, current) {
		return false
	}
	// A tombstone of an unknown record has nothing to replace; keeping it would
	// let tombstones travel from instance to instance for ever.
	if !exists && record.Expired {
		return false
	}
	if !exists && !s.reserve(record.Kind) {
		return false
	}
	shard.toggleSum(hash, current)
	shard.toggleSum(hash, record)
	shard.records[key] = record
	delete(shard.expiredAt, key)
	if record.Expired {
		shard.expiredAt[key] = now
	}
	return true
}

// reserve counts a new record of the kind unless its bound is reached.
func (s *Store) reserve(kind wire.Record_Kind) bool {
	if s.countByKind[kind].Add(1) > kindBounds[kind].records {
		s.countByKind[kind].Add(-1)
		s.rejected[rejectTooMany].Add(1)
		return false
	}
	return true
}

// toggleSum puts a record into the sum of its bucket, or takes it out again.
func (s *shard) toggleSum(hash uint64, record *wire.Record) {
	if record == nil || !isDigested(record) {
		return
	}
	s.sums[bucketOf(hash)/shardCount] ^= versionSum(hash, record.Major, record.Minor)
}

// isDigested leaves out tombstones, which only replace what a peer still
// holds, and leases, which are not exchanged.
func isDigested(record *wire.Record) bool {
	return !record.Expired && record.Kind != wire.Record_KIND_LEASE
}

// Get returns the newest record of a key, or nil when there is none or it has
// expired.
func (s *Store) Get(kind wire.Record_Kind, key string) *wire.Record {
	record := s.getAny(recordKey{kind: kind, key: key})
	if record == nil || record.Expired {
		return nil
	}
	return record
}

// MajorVersion returns the major version of a key's record, expired or not; 0 when
// there is none.
func (s *Store) MajorVersion(kind wire.Record_Kind, key string) uint64 {
	return s.getAny(recordKey{kind: kind, key: key}).GetMajor()
}

func (s *Store) getAny(key recordKey) *wire.Record {
	shard := s.shardOf(key)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.records[key]
}

// List returns all records of the given kinds, or of every kind when none is
// given, in no particular order and without expired ones.
func (s *Store) List(kinds ...wire.Record_Kind) []*wire.Record {
	var records []*wire.Record
	for i := range s.shards {
		records = s.shards[i].list(records, kinds)
	}
	return records
}

func (s *shard) list(records []*wire.Record, kinds []wire.Record_Kind) []*wire.Record {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for key, record := range s.records {
		if !record.Expired && containsKind(kinds, key.kind) {
			records = append(records, record)
		}
	}
	return records
}

func containsKind(kinds []wire.Record_Kind, kind wire.Record_Kind) bool {
	for _, k := range kinds {
		if k == kind {
			return true
		}
	}
	return len(kinds) == 0
}

// Watch calls notify with every batch of changed records until the returned
// function is called. notify must not block and must not call Merge.
func (s *Store) Watch(notify func([]*wire.Record)) (stop func()) {
	return s.watch(func(changed []*wire.Record, _ origin) { notify(changed) })
}

func (s *Store) watch(notify watcher) (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextID
	s.nextID++
	s.watchers[id] = notify
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watchers, id)
	}
}

func (s *Store) notify(changed []*wire.Record, from origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, notify := range s.watchers {
		notify(changed, from)
	}
}

// Expire replaces records by tombstones of the same version, which spread like
// other changes.
func (s *Store) Expire(records []*wire.Record) {
	tombstones := make([]*wire.Record, len(records))
	for i, record := range records {
		tombstones[i] = &wire.Record{Kind: record.Kind, Key: record.Key, Major: record.Major, Minor: record.Minor, Scope: record.Scope, Expired: true}
	}
	s.Merge(tombstones)
}

// tombstoneRetention is longer than any cut between instances that have to
// come together again without old news.
const tombstoneRetention = 48 * time.Hour

// sweep forgets tombstones past their retention.
func (s *Store) sweep(now time.Time) {
	for i := range s.shards {
		s.sweepShard(now, &s.shards[i])
	}
}

func (s *Store) sweepShard(now time.Time, shard *shard) {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for key, since := range shard.expiredAt {
		if now.Sub(since) > tombstoneRetention {
			delete(shard.expiredAt, key)
			delete(shard.records, key)
			s.countByKind[key.kind].Add(-1)
		}
	}
}
