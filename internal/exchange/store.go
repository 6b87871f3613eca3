// Package exchange spreads versioned records over links: every instance keeps
// the newest version of each record that it has seen and passes changes on.
package exchange

import (
	"hash/maphash"
	"sync"

	"sassafrasturn.example/internal/wire"
)

const shardCount = 16

type recordKey struct {
	kind wire.Record_Kind
	key  string
}

type shard struct {
	mu      sync.RWMutex
	records map[recordKey]*wire.Record
}

// Store keeps the newest version of each record, in shards with a lock each.
type Store struct {
	seed   maphash.Seed
	shards [shardCount]shard

	mu       sync.Mutex
	watchers map[int]func([]*wire.Record)
	nextID   int
}

// NewStore returns an empty store.
func NewStore() *Store {
	store := &Store{seed: maphash.MakeSeed(), watchers: make(map[int]func([]*wire.Record))}
	for i := range store.shards {
		store.shards[i].records = make(map[recordKey]*wire.Record)
	}
	return store
}

func (s *Store) shardOf(key recordKey) *shard {
	return &s.shards[maphash.Comparable(s.seed, key)%shardCount]
}

// IsNewer reports whether record a replaces record b of the same key.
func IsNewer(a, b *wire.Record) bool {
	if a.Major != b.Major {
		return a.Major > b.Major
	}
	return a.Minor > b.Minor
}

// Merge takes in records and returns those that were newer than what it had.
// Watchers are told of them before Merge returns.
func (s *Store) Merge(records []*wire.Record) []*wire.Record {
	var changed []*wire.Record
	for _, record := range records {
		if s.mergeOne(record) {
			changed = append(changed, record)
		}
	}
	if len(changed) > 0 {
		s.notify(changed)
	}
	return changed
}

func (s *Store) mergeOne(record *wire.Record) bool {
	key := recordKey{kind: record.Kind, key: record.Key}
	shard := s.shardOf(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	held, ok := shard.records[key]
	if ok && !IsNewer(record, held) {
		return false
	}
	shard.records[key] = record
	return true
}

// Get returns the newest record of a key, or nil.
func (s *Store) Get(kind wire.Record_Kind, key string) *wire.Record {
	k := recordKey{kind: kind, key: key}
	shard := s.shardOf(k)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.records[k]
}

// List returns all records of the given kinds, or of every kind when none is
// given, in no particular order.
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
		if containsKind(kinds, key.kind) {
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
// function is called. notify must not block.
func (s *Store) Watch(notify func([]*wire.Record)) (stop func()) {
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

func (s *Store) notify(changed []*wire.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, notify := range s.watchers {
		notify(changed)
	}
}
