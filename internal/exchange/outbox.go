package exchange

import (
	"sync"

	"sassafrasturn.example/internal/wire"
)

// outbox queues changed records until the session sends them. It keeps only the
// newest version of each record, so it never contains more records than a store.
type outbox struct {
	mu      sync.Mutex
	pending map[recordKey]*wire.Record
	// answers are the records that the peer has requested with a pull.
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

// enqueue adds changed records.
func (o *outbox) enqueue(records []*wire.Record) {
	o.mu.Lock()
	keepNewest(o.pending, records)
	o.mu.Unlock()
	if len(records) > 0 {
		o.signal()
	}
}

// enqueueAnswers adds records that the peer has requested with a pull.
func (o *outbox) enqueueAnswers(records []*wire.Record) {
	o.mu.Lock()
	keepNewest(o.answers, records)
	o.mu.Unlock()
	if len(records) > 0 {
		o.signal()
	}
}

// keepNewest adds the records to the queue unless it has a newer version.
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

// discardKnown removes pending records that are not newer than the given
// records, which the peer has just sent.
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

// drain returns and removes all queued records.
func (o *outbox) drain() (changes, answers []*wire.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	changes, answers = valuesOf(o.pending), valuesOf(o.answers)
	clear(o.pending)
	if len(answers) > 0 {
		// clear would keep the memory of a map that has held a full snapshot.
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

// maxBatchBytes keeps an Exchange message well below the frame size limit.
const maxBatchBytes = 256 << 10

// batches splits records into batches that each fit one message.
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
