package machine

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"sassafrasturn.example/internal/exchange"
	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/internal/wire"
)

// TestIncarnationRisesAboveStoredRecords guards against an instance whose records are
// discarded as outdated because its wall clock was set back before it started. The naive
// instance calls Publish without refuteConflicts and keeps its first incarnation.
func TestIncarnationRisesAboveStoredRecords(t *testing.T) {
	g := NewWithT(t)
	const earlier, now = 2_000, 1_000
	newInstance := func() *Instance {
		i := &Instance{Settings: &settings.Settings{Instance: "b"}, Store: exchange.NewStore(), Log: &log.Logger{Level: log.PanicLevel}, Incarnation: now}
		t.Cleanup(i.Store.Watch(i.checkConflicts))
		return i
	}
	old := &wire.Record{Kind: wire.Record_KIND_BALANCER, Key: "b", Major: earlier, Minor: 7}
	storedIncarnation := func(i *Instance) uint64 { return i.Store.MajorVersion(wire.Record_KIND_BALANCER, "b") }

	naive := newInstance()
	naive.Store.Merge([]*wire.Record{old})
	naive.Publish(wire.Record_KIND_BALANCER, 1, &wire.Balancer{Instance: "b"})
	g.Expect(storedIncarnation(naive)).To(BeEquivalentTo(earlier), "the record of the naive instance is discarded as outdated")

	for name, oldComesFirst := range map[string]bool{"old record first": true, "old record later": false} {
		i := newInstance()
		ctx, cancel := context.WithCancel(context.Background())
		go i.refuteConflicts(ctx)
		if oldComesFirst {
			i.Store.Merge([]*wire.Record{old})
		}
		i.Publish(wire.Record_KIND_BALANCER, 1, &wire.Balancer{Instance: "b"})
		i.Store.Merge([]*wire.Record{old})
		g.Eventually(func() uint64 { return storedIncarnation(i) }).Should(BeEquivalentTo(earlier+1), name)
		g.Expect(i.PublishedIncarnation()).To(BeEquivalentTo(earlier + 1))
		// A tombstone of the instance's own record that it did not publish is a
		// conflict, too.
		i.Store.Expire(i.Store.List(wire.Record_KIND_BALANCER))
		g.Eventually(func() uint64 { return storedIncarnation(i) }).WithTimeout(5*minRaiseInterval).Should(BeEquivalentTo(earlier+2), name)
		cancel()
	}
}

// TestWithdrawnRecordsAreNotConflicts guards against a stopping instance that refutes
// its own tombstones and thereby restores its records.
func TestWithdrawnRecordsAreNotConflicts(t *testing.T) {
	g := NewWithT(t)
	i := &Instance{Settings: &settings.Settings{Instance: "b"}, Store: exchange.NewStore(), Log: &log.Logger{Level: log.PanicLevel}, Incarnation: 1}
	defer i.Store.Watch(i.checkConflicts)()
	i.Publish(wire.Record_KIND_BALANCER, 1, &wire.Balancer{Instance: "b"})
	i.withdraw()
	g.Expect(i.Store.Get(wire.Record_KIND_BALANCER, "b")).To(BeNil())
	g.Expect(i.publisher.conflicts).NotTo(Receive())
}
