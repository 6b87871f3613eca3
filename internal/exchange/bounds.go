package exchange

import (
	"sync/atomic"

	"sassafrasturn.example/internal/wire"
)

// Bounds on records and messages from peers.
const (
	maxKind        = wire.Record_KIND_VERDICT
	maxKeyBytes    = 256
	maxMemberBytes = 1 << 10
	// maxServiceBytes fits the largest service document and its metadata.
	maxServiceBytes = 68 << 10
	maxVerdictBytes = 64 << 10

	// maxRecordsPerMessage and maxVersionsPerPull bound a single message.
	maxRecordsPerMessage = 8192
	maxVersionsPerPull   = 65536
)

// kindBound limits the number and the size of the records of one kind.
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

// rejection is the reason why a record was rejected.
type rejection int

const (
	rejectKind rejection = iota
	rejectKey
	rejectValue
	rejectTooMany
	rejectionCount
)

var rejectionNames = [rejectionCount]string{"kind", "key", "value", "too-many"}

// checkRecord checks a record against the bounds. The link that delivered a
// rejected record stays open, because a peer with a newer release may send
// kinds that this release does not support.
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

// trafficCounters counts the messages of all sessions of a store.
type trafficCounters struct {
	sentMessages     atomic.Uint64
	sentBytes        atomic.Uint64
	receivedMessages atomic.Uint64
	receivedBytes    atomic.Uint64
	sentRecords      atomic.Uint64
}

// Traffic is the number of messages, bytes and records that the sessions of a
// store have sent and received. Bytes include the frame headers.
type Traffic struct {
	SentMessages, SentBytes         uint64
	ReceivedMessages, ReceivedBytes uint64
	SentRecords                     uint64
}

// Traffic returns the counts since the store was created.
func (s *Store) Traffic() Traffic {
	return Traffic{
		SentMessages:     s.traffic.sentMessages.Load(),
		SentBytes:        s.traffic.sentBytes.Load(),
		ReceivedMessages: s.traffic.receivedMessages.Load(),
		ReceivedBytes:    s.traffic.receivedBytes.Load(),
		SentRecords:      s.traffic.sentRecords.Load(),
	}
}

// Rejected returns the number of rejected records by reason.
func (s *Store) Rejected() map[string]uint64 {
	counts := make(map[string]uint64, rejectionCount)
	for reason, name := range rejectionNames {
		counts[name] = s.rejected[reason].Load()
	}
	return counts
}
