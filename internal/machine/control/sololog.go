package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/catalog"
	"sassafrasturn.example/internal/exchange"
	"sassafrasturn.example/internal/wire"
)

// soloLog is a log of one instance that is kept in memory only.
type soloLog struct {
	store *exchange.Store

	mu       sync.Mutex
	index    uint64
	sequence uint64
	catalog  *catalog.Catalog
}

const (
	leaseInterval = 500 * time.Millisecond
	leaseDuration = 3 * time.Second
	// soloTerm is the only term of a log of one instance.
	soloTerm = 1
)

func newSoloLog(store *exchange.Store) *soloLog {
	return &soloLog{store: store, catalog: catalog.New()}
}

// Propose applies the command at once.
func (l *soloLog) Propose(_ context.Context, command *wire.Command) (*wire.CommandResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	result := l.catalog.Apply(l.index, command)
	l.store.Merge(l.catalog.Records())
	l.publishLease()
	return result, nil
}

// followLease publishes the lease until ctx ends: a log of one instance is its own majority.
func (l *soloLog) followLease(ctx context.Context) {
	ticker := time.NewTicker(leaseInterval)
	defer ticker.Stop()
	for {
		l.mu.Lock()
		l.publishLease()
		l.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *soloLog) publishLease() {
	l.sequence++
	lease := &wire.Lease{Index: l.index, DurationMs: uint32(leaseDuration.Milliseconds())}
	for _, record := range l.store.List(wire.Record_KIND_ZONE) {
		lease.ZoneIndex = max(lease.ZoneIndex, record.Major)
	}
	// Marshal fails only for invalid UTF-8; a lease has no text.
	value, _ := proto.Marshal(lease)
	l.store.Merge([]*wire.Record{{Kind: wire.Record_KIND_LEASE, Key: "control", Major: soloTerm, Minor: l.sequence, Value: value}})
}
