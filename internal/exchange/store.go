// Package exchange replicates versioned records over links. Every instance
// stores the newest version of each record that it has received, forwards
// changes to its peers, and fetches missing records by comparing digests
// (anti-entropy).
package exchange

import (
	"sync"
	"sync/atomic"
	"time"

	"sassafrasturn.example/internal/wire"
)

const (
	// bucketCount is the number of buckets that a digest has a sum for.
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

// shard contains the buckets whose number modulo shardCount is the index of the shard.
type shard struct {
	mu      sync.RWMutex
	records map[recordKey]*wire.Record
	// expiredAt is when each tombstone was stored.
	expiredAt map[recordKey]time.Time
	// sums are the XOR of the version sums of each bucket.
	sums [bucketCount / shardCount]uint64
}

// Store contains the newest version of each record. It is divided into shards
// with a lock each.
type Store struct {
	shards      [shardCount]shard
	countByKind [maxKind + 1]atomic.Int64
	rejected    [rejectionCount]atomic.Uint64
	traffic     trafficCounters

	// lastReceived is when the last message was received, in nanoseconds after
	// start on the monotonic clock, which steps of the wall clock do not affect.
	// It is 0 before the first message.
	lastReceived atomic.Int64
	start        time.Time
	largePulls   pullLimiter

	mu       sync.Mutex
	watchers map[int]watcher
	nextID   int
}

// origin is the source of changed records.
type origin struct {
	// session is nil for changes that this instance made.
	session *Session
	// isAnswer is true for records that this instance has pulled.
	isAnswer bool
}

// watcher is called with every batch of changed records. It must not block and
// must not call Merge.
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

// LastReceived returns when the last message was received from any peer, or the
// zero time before the first one. Each peer sends at least one message per
// HeartbeatInterval.
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

// Merge stores the records that are newer than the stored versions and returns
// them. Watchers are notified of them before Merge returns. Records that exceed
// the bounds are rejected and counted.
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
	// A tombstone of an unknown record has nothing to replace. If instances stored
	// it, tombstones would circulate between them forever.
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

// reserve counts a new record of the kind, or reports false when the bound on
// the kind is reached.
func (s *Store) reserve(kind wire.Record_Kind) bool {
	if s.countByKind[kind].Add(1) > kindBounds[kind].records {
		s.countByKind[kind].Add(-1)
		s.rejected[rejectTooMany].Add(1)
		return false
	}
	return true
}

// toggleSum adds a record to the sum of its bucket, or removes it if the sum
// includes it.
func (s *shard) toggleSum(hash uint64, record *wire.Record) {
	if record == nil || !isDigested(record) {
		return
	}
	s.sums[bucketOf(hash)/shardCount] ^= versionSum(hash, record.Major, record.Minor)
}

// isDigested reports whether digests include the record. They exclude
// tombstones, which only replace records that a peer still has, and leases,
// which are not exchanged.
func isDigested(record *wire.Record) bool {
	return !record.Expired && record.Kind != wire.Record_KIND_LEASE
}

// Get returns the record of a key, or nil when there is none or it has expired.
func (s *Store) Get(kind wire.Record_Kind, key string) *wire.Record {
	record := s.getAny(recordKey{kind: kind, key: key})
	if record == nil || record.Expired {
		return nil
	}
	return record
}

// MajorVersion returns the major version of a key's record, expired or not, or
// 0 when there is none.
func (s *Store) MajorVersion(kind wire.Record_Kind, key string) uint64 {
	return s.getAny(recordKey{kind: kind, key: key}).GetMajor()
}

// getAny returns the record or the tombstone of a key, or nil when there is neither.
func (s *Store) getAny(key recordKey) *wire.Record {
	shard := s.shardOf(key)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.records[key]
}

// List returns the unexpired records of the given kinds, or of all kinds when
// none is given, in no particular order.
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

// Expire replaces records by tombstones of the same version, which are
// replicated like other changes.
func (s *Store) Expire(records []*wire.Record) {
	tombstones := make([]*wire.Record, len(records))
	for i, record := range records {
		tombstones[i] = &wire.Record{Kind: record.Kind, Key: record.Key, Major: record.Major, Minor: record.Minor, Scope: record.Scope, Expired: true}
	}
	s.Merge(tombstones)
}

// tombstoneRetention is longer than any network partition after which expired
// records must not reappear.
const tombstoneRetention = 48 * time.Hour

// sweep removes tombstones past their retention.
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
