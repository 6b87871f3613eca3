package machine

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/wire"
)

// defenceInterval separates new incarnations that an instance takes.
const defenceInterval = time.Second

// publisher holds what the instance has published about itself, so that it can
// be published again under a higher incarnation.
type publisher struct {
	mu          sync.Mutex
	incarnation uint64
	held        map[wire.Record_Kind]*wire.Record
	contested   chan struct{}
	// isWithdrawn: the instance stops, and tombstones of its records are its own.
	isWithdrawn bool
}

// lock locks the publisher, whose zero value starts with the given incarnation.
func (p *publisher) lock(incarnation uint64) {
	p.mu.Lock()
	if p.held == nil {
		p.incarnation = incarnation
		p.held = make(map[wire.Record_Kind]*wire.Record)
		p.contested = make(chan struct{}, 1)
	}
}

// Publish puts a record about this instance into the exchange. sequence must
// grow with every change within the incarnation.
func (i *Instance) Publish(kind wire.Record_Kind, sequence uint64, value proto.Message) {
	data, err := proto.Marshal(value)
	if err != nil {
		i.Log.Error().Err(err).Msg("record not published")
		return
	}
	record := &wire.Record{Kind: kind, Key: i.Settings.Instance, Minor: sequence, Value: data}
	if endpoint, ok := value.(*wire.Endpoint); ok {
		record.Scope = endpoint.Service
	}
	i.publisher.lock(i.Incarnation)
	record.Major = i.publisher.incarnation
	i.publisher.held[kind] = record
	i.publisher.mu.Unlock()
	i.Store.Merge([]*wire.Record{record})
	i.checkContested([]*wire.Record{i.Store.Get(kind, record.Key)})
}

// PublishedIncarnation returns the incarnation of this instance's records. It
// starts as Incarnation and is raised above any that peers hold: after its
// wall clock went back, the instance would else be taken for old news.
func (i *Instance) PublishedIncarnation() uint64 {
	i.publisher.lock(i.Incarnation)
	defer i.publisher.mu.Unlock()
	return i.publisher.incarnation
}

// checkContested looks for records about this instance that it did not publish.
func (i *Instance) checkContested(changed []*wire.Record) {
	i.publisher.lock(i.Incarnation)
	defer i.publisher.mu.Unlock()
	for _, record := range changed {
		if record != nil && record.Key == i.Settings.Instance && i.publisher.isContested(record) {
			select {
			case i.publisher.contested <- struct{}{}:
			default:
			}
			return
		}
	}
}

func (p *publisher) isContested(record *wire.Record) bool {
	held, isOwn := p.held[record.Kind]
	switch {
	case p.isWithdrawn:
		return false
	case !isOwn:
		return isMemberKind(record.Kind) && record.Major >= p.incarnation
	case record.Major != held.Major:
		return record.Major > held.Major
	default:
		return record.Minor > held.Minor || record.Minor == held.Minor && record.Expired
	}
}

func isMemberKind(kind wire.Record_Kind) bool {
	return kind == wire.Record_KIND_ENDPOINT || kind == wire.Record_KIND_BALANCER || kind == wire.Record_KIND_VERDICT
}

// defend publishes everything again under a higher incarnation whenever peers
// hold news about this instance that it did not publish.
func (i *Instance) defend(ctx context.Context) {
	i.publisher.lock(i.Incarnation)
	contested := i.publisher.contested
	i.publisher.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-contested:
		}
		i.raiseIncarnation()
		if !pause.For(ctx, defenceInterval) {
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
	records := make([]*wire.Record, 0, len(i.publisher.held))
	for kind, held := range i.publisher.held {
		raised := &wire.Record{Kind: kind, Key: held.Key, Major: i.publisher.incarnation, Minor: held.Minor, Value: held.Value, Scope: held.Scope}
		i.publisher.held[kind] = raised
		records = append(records, raised)
	}
	incarnation := i.publisher.incarnation
	i.publisher.mu.Unlock()
	i.Store.Merge(records)
	i.Log.Warn().
		Uint64("incarnation", incarnation).
		Msg("peers held newer records of this instance, its incarnation is raised; check its clock and that no other instance has its name")
}

// withdraw replaces the balancer and verdict records of an instance that
// stops by tombstones, so that nobody dials or watches it.
func (i *Instance) withdraw() {
	i.publisher.lock(i.Incarnation)
	i.publisher.isWithdrawn = true
	var records []*wire.Record
	for _, kind := range []wire.Record_Kind{wire.Record_KIND_BALANCER, wire.Record_KIND_VERDICT} {
		if held, ok := i.publisher.held[kind]; ok {
			records = append(records, held)
			delete(i.publisher.held, kind)
		}
	}
	i.publisher.mu.Unlock()
	i.Store.Expire(records)
}
