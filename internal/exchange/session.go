package exchange

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"sassafrasturn.example/internal/link"
	"sassafrasturn.example/internal/wire"
)

// outbox collects changed records until the session sends them; of several
// versions of one record only the newest is kept.
type outbox struct {
	mu      sync.Mutex
	pending map[recordKey]*wire.Record
	wake    chan struct{}
}

func newOutbox() *outbox {
	return &outbox{pending: make(map[recordKey]*wire.Record), wake: make(chan struct{}, 1)}
}

func (o *outbox) put(records []*wire.Record) {
	o.mu.Lock()
	for _, record := range records {
		if record.Kind == wire.Record_KIND_LEASE {
			// Instances ask each other for leases: a record in a buffer does not say how old it is.
			continue
		}
		key := recordKey{kind: record.Kind, key: record.Key}
		held, ok := o.pending[key]
		if !ok || IsNewer(record, held) {
			o.pending[key] = record
		}
	}
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) take() []*wire.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	records := make([]*wire.Record, 0, len(o.pending))
	for key, record := range o.pending {
		records = append(records, record)
		delete(o.pending, key)
	}
	return records
}

// maxBatchBytes keeps one Exchange message well under the frame bound.
const maxBatchBytes = 256 << 10

// Run exchanges records on the stream until it fails or ctx ends. Both ends
// call Run; each first sends all that it has, then changes.
func Run(ctx context.Context, store *Store, stream net.Conn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()

	box := newOutbox()
	unwatch := store.Watch(box.put)
	defer unwatch()
	box.put(store.List())

	go func() {
		defer cancel()
		sendAll(ctx, box, stream)
	}()
	return receiveAll(store, stream)
}

func sendAll(ctx context.Context, box *outbox, stream net.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-box.wake:
		}
		for _, batch := range batches(box.take()) {
			if link.WriteMessage(stream, &wire.Exchange{Records: batch}) != nil {
				return
			}
		}
	}
}

func receiveAll(store *Store, stream net.Conn) error {
	for {
		message := new(wire.Exchange)
		if err := link.ReadMessage(stream, message); err != nil {
			return err
		}
		store.Merge(message.Records)
	}
}

func batches(records []*wire.Record) [][]*wire.Record {
	var result [][]*wire.Record
	var batch []*wire.Record
	size := 0
	for _, record := range records {
		batch = append(batch, record)
		size += len(record.Value) + len(record.Key)
		if size >= maxBatchBytes {
			result = append(result, batch)
			batch, size = nil, 0
		}
	}
	if len(batch) > 0 {
		result = append(result, batch)
	}
	return result
}

// redialInterval separates attempts to reach a peer.
const redialInterval = 500 * time.Millisecond

// Keep holds an exchange with the peer at address until ctx ends, dialing
// again whenever the link fails.
func Keep(ctx context.Context, store *Store, dialer *link.Dialer, instance, address string) {
	for ctx.Err() == nil {
		exchangeOnce(ctx, store, dialer, instance, address)
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
	}
}

func exchangeOnce(ctx context.Context, store *Store, dialer *link.Dialer, instance, address string) {
	session, err := dialer.Dial(ctx, address)
	if err != nil {
		return
	}
	defer session.Close()
	stream, err := open(session, instance)
	if err != nil {
		return
	}
	// The error says only how the link ended; Keep dials again whatever it was.
	_ = Run(ctx, store, stream)
}

func open(session *yamux.Session, instance string) (net.Conn, error) {
	stream, err := session.Open()
	if err != nil {
		return nil, err
	}
	request := &wire.Request{Body: &wire.Request_Exchange{Exchange: &wire.ExchangeRequest{Instance: instance}}}
	if err := link.WriteMessage(stream, request); err != nil {
		stream.Close()
		return nil, err
	}
	return stream, nil
}
