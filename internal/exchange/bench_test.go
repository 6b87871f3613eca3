package exchange

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

// clusterSizes are the numbers of agents of the measured clusters, which have
// one balancer per five agents.
var clusterSizes = []int{100, 1000, 4000}

// simCluster is an idle cluster with the balancers in a mesh and each agent
// linked to two balancers.
type simCluster struct {
	*network
	balancers, agents int
}

func newSimCluster(agents int) *simCluster {
	c := &simCluster{network: newNetwork(agents / 5), balancers: agents / 5, agents: agents}
	random := newTestRandom()
	c.connectMesh(random)
	records := clusterRecords(agents)
	for _, store := range c.stores {
		store.Merge(records)
	}
	services := max(1, agents*testServices/3100)
	for i := range agents {
		own := endpointRecord(i, i%services, 1)
		store := NewStore()
		store.Merge([]*wire.Record{own})
		c.stores = append(c.stores, store)
		for range agentLinks {
			c.connect(random.IntN(c.balancers), c.balancers+i, &wire.Subscription{Instance: own.Key, Service: own.Scope})
		}
	}
	c.run(5 * time.Second)
	return c
}

// measure reports the traffic and the elapsed real time of act, which runs the
// simulation for the simulated time d.
func (c *simCluster) measure(b *testing.B, d time.Duration, act func()) {
	bytes, agentBytes := c.bytes, c.agentBytes
	started := time.Now()
	act()
	spent := time.Since(started)
	bytes, agentBytes = c.bytes-bytes, c.agentBytes-agentBytes
	seconds := d.Seconds()
	balancers := float64(c.balancers)
	// A byte between balancers counts for both the sender and the receiver.
	b.ReportMetric((2*float64(bytes-agentBytes)+float64(agentBytes))/balancers/seconds, "B/s/balancer")
	b.ReportMetric(float64(agentBytes)/float64(c.agents)/seconds, "B/s/agent")
	b.ReportMetric(float64(spent.Microseconds())/balancers/seconds, "µs/s/balancer")
	b.ReportMetric(0, "ns/op")
}

func forEachSize(b *testing.B, run func(b *testing.B, c *simCluster)) {
	for _, agents := range clusterSizes {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			run(b, newSimCluster(agents))
		})
	}
}

const measurementTime = 6 * time.Second

// BenchmarkIdle measures an exchange without changes.
func BenchmarkIdle(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *simCluster) {
		c.measure(b, measurementTime, func() { c.run(measurementTime) })
	})
}

// BenchmarkHotRecord measures a record that changes every 500 ms.
func BenchmarkHotRecord(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *simCluster) {
		c.measure(b, measurementTime, func() {
			for i := range uint64(measurementTime / (500 * time.Millisecond)) {
				c.stores[0].Merge([]*wire.Record{hotRecord(i + 2)})
				c.run(500 * time.Millisecond)
			}
		})
	})
}

// BenchmarkMemberChange measures one change of an endpoint per second, idle
// traffic included.
func BenchmarkMemberChange(b *testing.B) {
	benchmarkChange(b, func(c *simCluster, i int) (*Store, *wire.Record) {
		return c.stores[c.balancers+i], endpointRecord(i, i%max(1, c.agents*testServices/3100), uint64(i+2))
	})
}

// BenchmarkDocumentChange measures one change of a document per second, idle
// traffic included.
func BenchmarkDocumentChange(b *testing.B) {
	benchmarkChange(b, func(c *simCluster, i int) (*Store, *wire.Record) {
		record := &wire.Record{Kind: wire.Record_KIND_SERVICE, Key: "service-0", Major: uint64(10_000 + i), Value: make([]byte, documentBytes)}
		return c.stores[0], record
	})
}

func benchmarkChange(b *testing.B, change func(c *simCluster, i int) (*Store, *wire.Record)) {
	forEachSize(b, func(b *testing.B, c *simCluster) {
		maxRounds := 0
		c.measure(b, measurementTime, func() {
			for i := range int(measurementTime / time.Second) {
				store, record := change(c, i)
				store.Merge([]*wire.Record{record})
				started := c.now
				c.stores, store = c.stores[:c.balancers], nil
				maxRounds = max(maxRounds, c.roundsUntil(record))
				c.stores = c.stores[:c.balancers+c.agents]
				c.run(time.Second - c.now.Sub(started))
			}
		})
		b.ReportMetric(float64(maxRounds), "rounds-to-all-balancers")
	})
}

// BenchmarkRestart measures a balancer that reconnects after 400 changes, with
// its former records or with an empty store.
func BenchmarkRestart(b *testing.B) {
	for _, agents := range clusterSizes {
		for _, isEmpty := range []bool{false, true} {
			b.Run(fmt.Sprintf("agents=%d/empty=%v", agents, isEmpty), func(b *testing.B) { benchmarkRestart(b, agents, isEmpty) })
		}
	}
}

func benchmarkRestart(b *testing.B, agents int, isEmpty bool) {
	records := clusterRecords(agents)
	n := newNetwork(4)
	for i, store := range n.stores {
		if i > 0 || !isEmpty {
			store.Merge(records)
		}
		if i == 0 {
			continue
		}
		for j := range 400 {
			store.Merge([]*wire.Record{endpointRecord(j%agents, 0, uint64(j+2))})
		}
	}
	for i := range 3 {
		n.connect(0, i+1, nil)
	}
	started := time.Now()
	rounds := 0
	for ; n.stores[0].total() != n.stores[1].total(); rounds++ {
		n.step()
	}
	b.ReportMetric(float64(time.Since(started).Microseconds()), "µs")
	b.ReportMetric(float64(rounds), "rounds")
	b.ReportMetric(float64(n.bytes), "B")
	b.ReportMetric(float64(n.records), "records")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkStoreMemory measures the memory of a store whose records are not
// shared with other stores.
func BenchmarkStoreMemory(b *testing.B) {
	for _, agents := range clusterSizes {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			before := heapBytes()
			store := NewStore()
			records := clusterRecords(agents)
			count := len(records)
			store.Merge(records)
			records = nil
			after := heapBytes()
			runtime.KeepAlive(store)
			b.ReportMetric(float64(after-before), "B/store")
			b.ReportMetric(float64(after-before)/float64(count), "B/record")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkZoneLoss measures the verdicts after the loss of a zone: six of seven
// balancers publish one at the same time, with three suspicions each.
func BenchmarkZoneLoss(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *simCluster) {
		const watched = 10 * time.Second
		var last *wire.Record
		rounds := 0
		c.measure(b, watched, func() {
			for i := range c.balancers {
				if i%7 == 0 {
					continue
				}
				last = verdictRecord(i)
				c.stores[i].Merge([]*wire.Record{last})
			}
			c.stores = c.stores[:c.balancers]
			rounds = c.roundsUntil(last)
			c.run(watched - time.Duration(rounds)*round)
		})
		b.ReportMetric(float64(rounds), "rounds-to-all-balancers")
	})
}

func verdictRecord(watcher int) *wire.Record {
	verdict := &wire.Verdict{Zone: "zone-1", LostZones: []string{"zone-0"}}
	for i := range 3 {
		verdict.Suspicions = append(verdict.Suspicions, &wire.Suspicion{
			Kind: wire.Record_KIND_ENDPOINT, Member: fmt.Sprintf("agent-%04d", watcher*5+i), Major: 1_700_000_000_000, Minor: 3,
		})
	}
	value, _ := proto.Marshal(verdict)
	return &wire.Record{Kind: wire.Record_KIND_VERDICT, Key: nodeName(watcher), Major: 1_700_000_000_000, Minor: 2, Value: value}
}
