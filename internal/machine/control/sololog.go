package control

import (
	"context"
	"sync"

	"sassafrasturn.example/internal/catalog"
	"sassafrasturn.example/internal/exchange"
	"sassafrasturn.example/internal/wire"
)

// soloLog is a log of one instance that is kept in memory only.
type soloLog struct {
	store *exchange.Store

	mu      sync.Mutex
	index   uint64
	catalog *catalog.Catalog
}

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
	return result, nil
}
