package roster

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/wire"
)

// A change of the service time is a change of the record like any other: other control instances
// and nodes must get it, and a node whose control instance restarts or changes must keep it.
// Records of earlier releases have none.
func TestServiceTimeReachesNodes(t *testing.T) {
	g := NewWithT(t)
	polled, gossiped := New(1, 0), New(2, 0)
	record := func(sequence uint64, serviceTime uint32) *wire.AgentRecord {
		return &wire.AgentRecord{Address: 1, Port: 1, Zone: "a", Service: "orders", Ready: true, Incarnation: 5, Sequence: sequence, ServiceTimeMs: serviceTime}
	}
	registry := Registry{KeyOf(record(1, 0)): {Address: 1, Port: 1, Zone: "a", Service: "orders"}}
	for _, r := range []*Roster{polled, gossiped} {
		r.SetRegistry(0, registry)
	}
	replica := NewReplica()
	now := 2 * ConvergenceTime
	for i, serviceTime := range []uint32{0, 37, 57, 0} {
		now += time.Second
		polled.RecordPoll(now, record(uint64(i+1), serviceTime))
		changed, seen := polled.Gossip(now, now)
		gossiped.Merge(now, changed, seen)
		source := []*Roster{polled, gossiped}[i%2]
		position := replica.Position(false)
		delta := source.Since(now, position, 1000)
		g.Expect(replica.Apply(now, delta)).To(BeTrue())
		g.Expect(replica.Records()[0].ServiceTimeMs).To(Equal(serviceTime))
		g.Expect(*replica.Position(false).Digests).To(Equal(*source.currentDigests()), "a node need not fetch what it has")
	}
	restarted := New(3, now)
	restarted.SetRegistry(now, registry)
	polled.RecordPoll(now, record(5, 57))
	replica.Apply(now, polled.Since(now, replica.Position(false), 1000))
	replica.Apply(now, restarted.Since(now, replica.Position(false), 1000))
	g.Expect(replica.Records()[0].ServiceTimeMs).To(Equal(uint32(57)), "the restarted instance has not heard of the agent")
}

// Digests do not contain the service time, since its change also changes the sequence number.
// Nodes and control instances of earlier releases would compute others, and fetch every record
// with each change of the control instance.
func TestDigestsAreThoseOfEarlierReleases(t *testing.T) {
	g := NewWithT(t)
	var with, without Digests
	with.add(&wire.AgentRecord{Address: 1, Port: 1, Service: "orders", Sequence: 2, ServiceTimeMs: 37})
	without.add(&wire.AgentRecord{Address: 1, Port: 1, Service: "orders", Sequence: 2})
	g.Expect(with).To(Equal(without))
}
