package exchange

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/wire"
)

const (
	// budgetBytesPerSecond is the target for the control traffic of a node, 21 kB/s.
	budgetBytesPerSecond = 21_000
	testSeed             = 11
)

func newTestRandom() *rand.Rand { return rand.New(rand.NewPCG(testSeed, testSeed)) }

// fullStateBytes is the number of bytes per second that a node sends if it sends
// its full state on each of its links every second.
func fullStateBytes(records []*wire.Record, links int) float64 {
	return float64(recordBytes(records) * uint64(links))
}

func TestSteadyStateTrafficIsWithinBudget(t *testing.T) {
	g := NewWithT(t)
	const nodes, seconds = 60, 10
	records := clusterRecords(3100)
	n := newNetwork(nodes)
	n.connectMesh(newTestRandom())
	for _, store := range n.stores {
		store.Merge(records)
	}
	n.run(4 * time.Second)
	n.bytes = 0
	for i := range uint64(2 * seconds) {
		n.stores[0].Merge([]*wire.Record{hotRecord(i + 1)})
		n.run(500 * time.Millisecond)
	}
	perNode := float64(n.bytes) / nodes / seconds
	t.Logf("%.0f bytes per second and node; full state every second: %.0f", perNode, fullStateBytes(records, 6))
	g.Expect(fullStateBytes(records, 6)).To(BeNumerically(">", budgetBytesPerSecond))
	g.Expect(perNode).To(BeNumerically("<", budgetBytesPerSecond))
	g.Expect(n.allHave(hotRecord(2 * seconds))).To(BeTrue())
}

func TestChangeIsNotEchoed(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(3)
	n.connect(0, 1, nil)
	n.connect(1, 2, nil)
	n.run(100 * time.Millisecond)
	n.records = 0
	n.stores[0].Merge([]*wire.Record{hotRecord(1)})
	n.run(2 * time.Second)
	// Echoes to the senders would make it four.
	g.Expect(n.records).To(BeEquivalentTo(2))
}

func TestReconnectFetchesOnlyMissingRecords(t *testing.T) {
	g := NewWithT(t)
	records := clusterRecords(3100)
	n := newNetwork(2)
	n.stores[0].Merge(records)
	n.stores[1].Merge(records)
	var missed []*wire.Record
	for i := range 300 {
		missed = append(missed, endpointRecord(i*7, i*7%testServices, 2))
	}
	n.stores[0].Merge(missed)
	n.connect(0, 1, nil)
	n.run(time.Second)
	snapshot := recordBytes(records)
	t.Logf("%d records, %d bytes; snapshot: %d records, %d bytes", n.records, n.bytes, len(records), snapshot)
	for _, record := range missed {
		g.Expect(n.allHave(record)).To(BeTrue())
	}
	// A naive implementation sends the snapshot.
	g.Expect(n.records).To(BeEquivalentTo(len(missed)))
	g.Expect(n.bytes).To(BeNumerically("<", snapshot/5))
}

func TestStartFetchesOneSnapshot(t *testing.T) {
	g := NewWithT(t)
	records := clusterRecords(3100)
	n := newNetwork(7)
	for i, store := range n.stores[1:] {
		store.Merge(records)
		n.connect(i+1, 0, nil)
	}
	n.run(time.Second)
	g.Expect(n.stores[0].List()).To(HaveLen(len(records)))
	// A naive implementation fetches a snapshot from each of its six peers.
	g.Expect(n.records).To(BeEquivalentTo(len(records)))
}

func TestAgentStoresOnlySubscribedRecords(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(2)
	records := clusterRecords(3100)
	n.stores[0].Merge(append(records, &wire.Record{Kind: wire.Record_KIND_LEASE, Key: "control", Major: 1}))
	n.stores[1].Merge([]*wire.Record{endpointRecord(7, 7, 5)})
	n.connect(0, 1, &wire.Subscription{Instance: "agent-0007", Service: "service-7"})
	n.run(time.Second)
	n.stores[0].Merge([]*wire.Record{endpointRecord(8, 8, 9), endpointRecord(647, 7, 9)})
	n.run(time.Second)
	agent := n.stores[1]
	// A naive implementation stores all records of the cluster.
	g.Expect(len(agent.List())).To(BeNumerically("<", 30))
	g.Expect(agent.Get(wire.Record_KIND_SERVICE, "service-7")).NotTo(BeNil())
	g.Expect(agent.Get(wire.Record_KIND_SERVICE, "service-8")).To(BeNil())
	g.Expect(agent.List(wire.Record_KIND_ZONE)).To(HaveLen(7))
	// Leases are not exchanged.
	g.Expect(agent.List(wire.Record_KIND_LEASE)).To(BeEmpty())
	g.Expect(agent.List(wire.Record_KIND_BALANCER)).To(HaveLen(balancersPerAgent))
	g.Expect(agent.Get(wire.Record_KIND_ENDPOINT, "agent-0647").Minor).To(BeEquivalentTo(9))
	g.Expect(agent.Get(wire.Record_KIND_ENDPOINT, "agent-0008")).To(BeNil())
	g.Expect(n.stores[0].Get(wire.Record_KIND_ENDPOINT, "agent-0007").Minor).To(BeEquivalentTo(5))
}

func TestTombstoneIsNotUndoneByOldRecord(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(3)
	old := endpointRecord(1, 1, 1)
	for _, store := range n.stores {
		store.Merge([]*wire.Record{old})
	}
	n.connect(0, 1, nil)
	n.stores[0].Expire([]*wire.Record{old})
	n.run(time.Second)
	// The third store was disconnected and still has the record. A store that
	// deletes records without a tombstone would fetch it again from there.
	n.connect(1, 2, nil)
	n.run(time.Second)
	for _, store := range n.stores {
		g.Expect(store.Get(old.Kind, old.Key)).To(BeNil())
		g.Expect(store.total()).To(BeZero())
	}
	n.stores[2].Merge([]*wire.Record{endpointRecord(1, 1, 2)})
	n.run(time.Second)
	g.Expect(n.stores[0].Get(old.Kind, old.Key)).NotTo(BeNil())
	tombstone := &wire.Record{Kind: old.Kind, Key: "unknown", Major: 1, Expired: true}
	g.Expect(n.stores[0].Merge([]*wire.Record{tombstone})).To(BeEmpty())
	n.stores[0].Expire([]*wire.Record{endpointRecord(1, 1, 2)})
	n.stores[0].sweep(time.Now().Add(tombstoneRetention + time.Hour))
	g.Expect(n.stores[0].countByKind[old.Kind].Load()).To(BeZero())
}

func TestBoundsOnRecords(t *testing.T) {
	g := NewWithT(t)
	store := NewStore()
	long := strings.Repeat("x", maxKeyBytes+1)
	bad := []*wire.Record{
		nil,
		{Kind: 0, Key: "a"},
		{Kind: maxKind + 1, Key: "a"},
		{Kind: -1, Key: "a"},
		{Kind: wire.Record_KIND_ZONE},
		{Kind: wire.Record_KIND_ZONE, Key: long},
		{Kind: wire.Record_KIND_ENDPOINT, Key: "a", Scope: long},
		{Kind: wire.Record_KIND_ZONE, Key: "a", Value: make([]byte, maxMemberBytes+1)},
	}
	g.Expect(store.Merge(bad)).To(BeEmpty())
	for i := range 10 {
		store.Merge([]*wire.Record{{Kind: wire.Record_KIND_LEASE, Key: nodeName(i), Major: 1}})
	}
	g.Expect(store.List()).To(HaveLen(int(kindBounds[wire.Record_KIND_LEASE].records)))
	g.Expect(store.Rejected()).To(Equal(map[string]uint64{"kind": 4, "key": 3, "value": 1, "too-many": 6}))
}

func TestMessagesBufferedDuringFreezeAreRejected(t *testing.T) {
	g := NewWithT(t)
	store := NewStore()
	session := NewSession(testStart, store, &wire.Hello{Instance: "a"})
	message := &wire.Exchange{Records: []*wire.Record{hotRecord(1)}}
	g.Expect(session.Receive(testStart.Add(10*time.Second), message)).NotTo(Succeed())
	// The message may have waited in the socket buffer while the process was
	// frozen, so its records may be stale.
	g.Expect(store.List()).To(BeEmpty())
	g.Expect(store.LastReceived().IsZero()).To(BeTrue())
}

func TestStoresConvergeOverLossyLinks(t *testing.T) {
	for seed := range uint64(20) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, seed))
		n := newNetwork(8)
		n.connectMesh(random)
		for step := range 400 {
			i := random.IntN(50)
			n.stores[random.IntN(8)].Merge([]*wire.Record{endpointRecord(i, i, uint64(random.IntN(100)))})
			if step%10 == 0 {
				// Break a link, losing its messages in flight, and open a new one.
				at := random.IntN(len(n.links))
				broken := n.links[at]
				n.links = append(n.links[:at], n.links[at+1:]...)
				broken.ends[0].Close()
				broken.ends[1].Close()
				n.connect(random.IntN(8), random.IntN(8), nil)
			}
			n.step()
		}
		for i := range n.stores {
			n.connect(i, (i+1)%8, nil)
		}
		n.run(10 * time.Second)
		for _, store := range n.stores[1:] {
			g.Expect(store.digest()).To(Equal(n.stores[0].digest()), "seed %d", seed)
		}
	}
}
