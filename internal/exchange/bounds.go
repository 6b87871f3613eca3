package exchange

import (
	"sync/atomic"

	"sassafrasturn.example/internal/wire"
)

const (
	maxKind        = wire.Record_KIND_VERDICT
	maxKeyBytes    = 256
	maxMemberBytes = 1 << 10
	// maxServiceBytes leaves room for the largest service document.
	maxServiceBytes = 68 << 10
	maxVerdictBytes = 64 << 10

	// maxRecordsPerMessage and maxVersionsPerPull bound one message.
	maxRecordsPerMessage = 8192
	maxVersionsPerPull   = 65536
)

// kindBound bounds the records of one kind.
type kindBound struct {
	records    int64
	valueBytes int
}

var kindBounds = [maxKind + 1]kindBound{
	wire.Record_KIND_SERVICE:  {records: 4096, valueBytes: maxServiceBytes},
	wire.Record_KIND_ZONE:     {records: 255, valueBytes: maxMemberBytes},
	wire.Record_KIND_LEASE:    {records: 4, valueBytes: maxMemberBytes},
	wire.Record_KIND_ENDPOINT: {records: 16384, valueBytes: maxMemberBytes},
	wire.Record_KIND_BALANCER: {records: 4096, valueBytes: maxMemberBytes},
	wire.Record_KIND_VERDICT:  {records: 4096, valueBytes: maxVerdictBytes},
}

// rejection says why a record was not taken.
type rejection int

const (
	rejectKind rejection = iota
	rejectKey
	rejectValue
	rejectTooMany
	rejectionCount
)

var rejectionNames = [rejectionCount]string{"kind", "key", "value", "too-many"}

// checkRecord holds a record against the bounds. The link that a rejected
// record came over stays: a newer release may know of more kinds.
func checkRecord(record *wire.Record) (rejection, bool) {
	if record == nil || record.Kind <= wire.Record_KIND_UNSPECIFIED || record.Kind > maxKind {
		return rejectKind, false
	}
	if record.Key == "" || len(record.Key) > maxKeyBytes || len(record.Scope) > maxKeyBytes {
		return rejectKey, false
	}
	if len(record.Value) > kindBounds[record.Kind].valueBytes {
		return rejectValue, false
	}
	return 0, true
}

// trafficCounters counts what the sessions of a store carried.
type trafficCounters struct {
	sentMessages     atomic.Uint64
	sentBytes        atomic.Uint64
	receivedMessages atomic.Uint64
	receivedBytes    atomic.Uint64
	sentRecords      atomic.Uint64
}

// Traffic is what the sessions of a store have carried, frames included.
type Traffic struct {
	SentMessages, SentBytes         uint64
	ReceivedMessages, ReceivedBytes uint64
	SentRecords                     uint64
}

// Traffic returns the counts so far.
func (s *Store) Traffic() Traffic {
	return Traffic{
		SentMessages:     s.traffic.sentMessages.Load(),
		SentBytes:        s.traffic.sentBytes.Load(),
		ReceivedMessages: s.traffic.receivedMessages.Load(),
		ReceivedBytes:    s.traffic.receivedBytes.Load(),
		SentRecords:      s.traffic.sentRecords.Load(),
	}
}

// Rejected returns how many records were left out, by reason.
func (s *Store) Rejected() map[string]uint64 {
	counts := make(map[string]uint64, rejectionCount)
	for reason, name := range rejectionNames {
		counts[name] = s.rejected[reason].Load()
	}
	return counts
}
