package machine

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/wire"
)

// minRaiseInterval is the minimum time between two raises of the incarnation.
const minRaiseInterval = time.Second

// publisher keeps the records that the instance has published about itself, so that it
// can publish them again under a higher incarnation.
type publisher struct {
	mu          sync.Mutex
	incarnation uint64
	published   map[wire.Record_Kind]*wire.Record
	conflicts   chan struct{}
	// isWithdrawn is true once the instance has withdrawn its records in order to stop.
	// Tombstones of these records are then its own and no conflict.
	isWithdrawn bool
}

// lock locks the publisher and, on first use, initialises it with the given
// incarnation.
func (p *publisher) lock(incarnation uint64) {
	p.mu.Lock()
	if p.published == nil {
		p.incarnation = incarnation
		p.published = make(map[wire.Record_Kind]*wire.Record)
		p.conflicts = make(chan struct{}, 1)
	}
}

// Publish publishes a record about this instance to the other instances. sequence must
// increase with every change within an incarnation.
func (i *Instance) Publish(kind wire.Record_Kind, sequence uint64, value proto.Message) {
	data, err := proto.Marshal(value)
	if err != nil {
		i.Log.Error().Err(err).Msg("cannot encode record; not published")
		return
	}
	record := &wire.Record{Kind: kind, Key: i.Settings.Instance, Minor: sequence, Value: data}
	if endpoint, ok := value.(*wire.Endpoint); ok {
		record.Scope = endpoint.Service
	}
	i.publisher.lock(i.Incarnation)
	record.Major = i.publisher.incarnation
	i.publisher.published[kind] = record
	i.publisher.mu.Unlock()
	i.Store.Merge([]*wire.Record{record})
	i.checkConflicts([]*wire.Record{i.Store.Get(kind, record.Key)})
}

// PublishedIncarnation returns the incarnation of this instance's records. It starts at
// Incarnation and is raised above any incarnation of the instance that peers still
// store. Otherwise peers would discard its records as outdated after its wall clock was
// set back.
func (i *Instance) PublishedIncarnation() uint64 {
	i.publisher.lock(i.Incarnation)
	defer i.publisher.mu.Unlock()
	return i.publisher.incarnation
}

// checkConflicts signals refuteConflicts if any of the changed records is about this
// instance but was not published by it.
func (i *Instance) checkConflicts(changed []*wire.Record) {
	i.publisher.lock(i.Incarnation)
	defer i.publisher.mu.Unlock()
	for _, record := range changed {
		if record != nil && record.Key == i.Settings.Instance && i.publisher.conflictsWith(record) {
			select {
			case i.publisher.conflicts <- struct{}{}:
			default:
			}
			return
		}
	}
}

// conflictsWith reports whether a record about this instance cannot be one that it has
// published: the record is newer than the published one or a tombstone of it, or, if the
// instance has published none of this kind, a member record of its current incarnation
// or a later one.
func (p *publisher) conflictsWith(record *wire.Record) bool {
	own, isPublished := p.published[record.Kind]
	switch {
	case p.isWithdrawn:
		return false
	case !isPublished:
		return isMemberKind(record.Kind) && record.Major >= p.incarnation
	case record.Major != own.Major:
		return record.Major > own.Major
	default:
		return record.Minor > own.Minor || record.Minor == own.Minor && record.Expired
	}
}

func isMemberKind(kind wire.Record_Kind) bool {
	return kind == wire.Record_KIND_ENDPOINT || kind == wire.Record_KIND_BALANCER || kind == wire.Record_KIND_VERDICT
}

// refuteConflicts publishes all records again under a higher incarnation whenever
// checkConflicts has found a conflict, until ctx ends.
func (i *Instance) refuteConflicts(ctx context.Context) {
	i.publisher.lock(i.Incarnation)
	conflicts := i.publisher.conflicts
	i.publisher.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-conflicts:
		}
		i.raiseIncarnation()
		if !pause.For(ctx, minRaiseInterval) {
			return
		}
	}
}

func (i *Instance) raiseIncarnation() {
	highest := uint64(0)
	for _, kind := range []wire.Record_Kind{wire.Record_KIND_ENDPOINT, wire.Record_KIND_BALANCER, wire.Record_KIND_VERDICT} {
		highest = max(highest, i.Store.MajorVersion(kind, i.Settings.Instance))
	}
	i.publisher.lock(i.Incarnation)
	i.publisher.incarnation = max(i.publisher.incarnation, highest) + 1
	records := make([]*wire.Record, 0, len(i.publisher.published))
	for kind, own := range i.publisher.published {
		raised := &wire.Record{Kind: kind, Key: own.Key, Major: i.publisher.incarnation, Minor: own.Minor, Value: own.Value, Scope: own.Scope}
		i.publisher.published[kind] = raised
		records = append(records, raised)
	}
	incarnation := i.publisher.incarnation
	i.publisher.mu.Unlock()
	i.Store.Merge(records)
	i.Log.Warn().
		Uint64("incarnation", incarnation).
		Msg("peers store newer records of this instance; raised its incarnation; check its clock and that no other instance uses its name")
}

// withdraw replaces the balancer and verdict records of a stopping instance with
// tombstones, so that other instances no longer dial or probe it.
func (i *Instance) withdraw() {
	i.publisher.lock(i.Incarnation)
	i.publisher.isWithdrawn = true
	var records []*wire.Record
	for _, kind := range []wire.Record_Kind{wire.Record_KIND_BALANCER, wire.Record_KIND_VERDICT} {
		if own, ok := i.publisher.published[kind]; ok {
			records = append(records, own)
			delete(i.publisher.published, kind)
		}
	}
	i.publisher.mu.Unlock()
	i.Store.Expire(records)
}
