package exchange

import (
	"sync"

	"sassafrasturn.example/internal/wire"
)

// outbox collects changed records until the session sends them; of several
// versions of one record only the newest is kept, so that it never holds more
// records than a store.
type outbox struct {
	mu      sync.Mutex
	pending map[recordKey]*wire.Record
	// answers holds what the peer has asked for.
	answers map[recordKey]*wire.Record
	wake    chan struct{}
}

func newOutbox() *outbox {
	return &outbox{
		pending: make(map[recordKey]*wire.Record),
		answers: make(map[recordKey]*wire.Record),
		wake:    make(chan struct{}, 1),
	}
}

// enqueue queues changes.
func (o *outbox) enqueue(records []*wire.Record) {
	o.mu.Lock()
	keepNewest(o.pending, records)
	o.mu.Unlock()
	if len(records) > 0 {
		o.signal()
	}
}

// enqueueAnswers queues what the peer has asked for.
func (o *outbox) enqueueAnswers(records []*wire.Record) {
	o.mu.Lock()
	keepNewest(o.answers, records)
	o.mu.Unlock()
	if len(records) > 0 {
		o.signal()
	}
}

func keepNewest(queue map[recordKey]*wire.Record, records []*wire.Record) {
	for _, record := range records {
		key := keyOf(record)
		queued, ok := queue[key]
		if !ok || IsNewer(record, queued) {
			queue[key] = record
		}
	}
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// discardKnown takes out what the peer has just shown to know already.
func (o *outbox) discardKnown(records []*wire.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, record := range records {
		key := keyOf(record)
		queued, ok := o.pending[key]
		if ok && !IsNewer(queued, record) {
			delete(o.pending, key)
		}
	}
}

func (o *outbox) drain() (changes, answers []*wire.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	changes, answers = valuesOf(o.pending), valuesOf(o.answers)
	clear(o.pending)
	if len(answers) > 0 {
		// A cleared map keeps its size; a new one lets go of a snapshot's.
		o.answers = make(map[recordKey]*wire.Record)
	}
	return changes, answers
}

func valuesOf(queue map[recordKey]*wire.Record) []*wire.Record {
	if len(queue) == 0 {
		return nil
	}
	records := make([]*wire.Record, 0, len(queue))
	for _, record := range queue {
		records = append(records, record)
	}
	return records
}

// maxBatchBytes keeps one Exchange message well under the frame bound.
const maxBatchBytes = 256 << 10

func batches(records []*wire.Record) [][]*wire.Record {
	var result [][]*wire.Record
	var batch []*wire.Record
	size := 0
	for _, record := range records {
		batch = append(batch, record)
		size += len(record.Value) + len(record.Key)
		if size >= maxBatchBytes || len(batch) == maxRecordsPerMessage {
			result = append(result, batch)
			batch, size = nil, 0
		}
	}
	if len(batch) > 0 {
		result = append(result, batch)
	}
	return result
}
