package balancer

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/wire"
)

// TestViewExcludesDownEndpoints covers an endpoint that goes down, whose record expires and
// which then comes back.
func TestViewExcludesDownEndpoints(t *testing.T) {
	g := NewWithT(t)
	b := newIdleBalancer(t)
	store := b.instance.Store
	store.Watch(b.detector.apply)
	view := func(records ...*wire.Record) []string {
		store.Merge(records)
		b.applyChanges(context.Background())
		return currentViews(b)["service-0"]
	}
	verdict := func(watcher string, sequence uint64, members ...string) *wire.Record {
		v := &wire.Verdict{Zone: "zone-0"}
		for _, member := range members {
			v.Suspicions = append(v.Suspicions, &wire.Suspicion{Kind: wire.Record_KIND_ENDPOINT, Member: member, Major: 1})
		}
		return record(wire.Record_KIND_VERDICT, watcher, sequence, v)
	}
	watcher := func(name string) *wire.Record {
		return record(wire.Record_KIND_BALANCER, name, 1, &wire.Balancer{Zone: "zone-1"})
	}
	g.Expect(view(zoneRecord(0, 1, false), zoneRecord(1, 1, false), serviceRecord(0, 1, "10.0.0.0/8"), watcher("w1"), watcher("w2"),
		endpointRecord(0, 0, 0, 1, wire.Endpoint_STATE_WARM), endpointRecord(1, 1, 0, 1, wire.Endpoint_STATE_WARM))).To(HaveLen(2))
	g.Expect(view(verdict("w1", 1, "agent-0"))).To(HaveLen(2), "one watcher is not enough")
	g.Expect(view(verdict("w2", 1, "agent-0"))).To(Equal([]string{"agent-1"}))
	g.Expect(view(verdict("w1", 2, "agent-0", "agent-1"), verdict("w2", 2, "agent-0", "agent-1"))).To(HaveLen(2), "no endpoint that is up accepts flows: all are listed")
	g.Expect(view(verdict("w1", 3, "agent-0"), verdict("w2", 3, "agent-0"))).To(Equal([]string{"agent-1"}))
	// The record expires long after the endpoint went down. By then no watcher suspects it
	// any more.
	store.Expire([]*wire.Record{store.Get(wire.Record_KIND_ENDPOINT, "agent-0")})
	g.Expect(view(verdict("w1", 4), verdict("w2", 4), serviceRecord(0, 2, "10.0.0.0/8"))).To(Equal([]string{"agent-1"}))
	g.Expect(view(endpointRecord(0, 0, 0, 2, wire.Endpoint_STATE_COLD))).To(HaveLen(2), "it comes back")
}
