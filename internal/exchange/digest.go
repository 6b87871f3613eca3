package exchange

import (
	"encoding/binary"
	"hash/fnv"
	"sync"
	"time"

	"sassafrasturn.example/internal/rendezvous"
	"sassafrasturn.example/internal/wire"
)

// hashKey returns the hash of a key, which is the same on every instance.
func hashKey(key recordKey) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte{byte(key.kind)})
	hash.Write([]byte(key.key))
	return rendezvous.Mix(hash.Sum64())
}

func bucketOf(hash uint64) int {
	return int(hash % bucketCount)
}

// versionSum returns what one version of a record contributes to the sum of its bucket.
func versionSum(hash, major, minor uint64) uint64 {
	var data [24]byte
	binary.BigEndian.PutUint64(data[0:], hash)
	binary.BigEndian.PutUint64(data[8:], major)
	binary.BigEndian.PutUint64(data[16:], minor)
	sum := fnv.New64a()
	sum.Write(data[:])
	return rendezvous.Mix(sum.Sum64())
}

// digest returns the sums of all buckets.
func (s *Store) digest() []uint64 {
	sums := make([]uint64, bucketCount)
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.RLock()
		for j, sum := range shard.sums {
			sums[j*shardCount+i] = sum
		}
		shard.mu.RUnlock()
	}
	return sums
}

// total returns the XOR of all bucket sums.
func (s *Store) total() uint64 {
	var total uint64
	for _, sum := range s.digest() {
		total ^= sum
	}
	return total
}

// inBuckets returns all records of the buckets, tombstones included.
func (s *Store) inBuckets(buckets []uint32) []*wire.Record {
	var wanted [bucketCount]bool
	var wantedShards [shardCount]bool
	for _, bucket := range buckets {
		wanted[bucket%bucketCount] = true
		wantedShards[bucket%shardCount] = true
	}
	var records []*wire.Record
	for i := range s.shards {
		if wantedShards[i] {
			records = s.shards[i].inBuckets(records, &wanted)
		}
	}
	return records
}

func (s *shard) inBuckets(records []*wire.Record, wanted *[bucketCount]bool) []*wire.Record {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for key, record := range s.records {
		if wanted[bucketOf(hashKey(key))] {
			records = append(records, record)
		}
	}
	return records
}

func versionsOf(records []*wire.Record) []*wire.Version {
	versions := make([]*wire.Version, 0, len(records))
	for _, record := range records {
		if isDigested(record) {
			versions = append(versions, &wire.Version{Key: hashKey(keyOf(record)), Major: record.Major, Minor: record.Minor})
		}
	}
	return versions
}

// newerThan returns the records that are missing or older on a peer that has
// the given versions. Tombstones are returned only for records that the peer has.
func newerThan(records []*wire.Record, versions []*wire.Version) []*wire.Record {
	known := make(map[uint64]*wire.Version, len(versions))
	for _, version := range versions {
		known[version.Key] = version
	}
	var newer []*wire.Record
	for _, record := range records {
		version, isKnown := known[hashKey(keyOf(record))]
		if !isKnown {
			if !record.Expired {
				newer = append(newer, record)
			}
			continue
		}
		if IsNewer(record, &wire.Record{Major: version.Major, Minor: version.Minor}) {
			newer = append(newer, record)
		}
	}
	return newer
}

// largePullInterval is the minimum time between large pulls. Without it, a
// recently started instance would fetch everything from each of its peers.
const largePullInterval = 2 * time.Second

// pullLimiter allows one large pull per largePullInterval, over all sessions of
// a store.
type pullLimiter struct {
	mu          sync.Mutex
	nextAllowed time.Time
}

func (l *pullLimiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.nextAllowed) {
		return false
	}
	l.nextAllowed = now.Add(largePullInterval)
	return true
}
