package exchange

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/link"
	"sassafrasturn.example/internal/wire"
)

// round is the time step of the simulated network. A message takes one round per hop.
const round = flushDelay

// linkOverheadBytes is the overhead per message of the yamux, TCP and IP headers
// and of an acknowledgement.
const linkOverheadBytes = 12 + 40 + 40

var testStart = time.Unix(1_700_000_000, 0)

// testLink is a link between two stores, with the messages in flight.
type testLink struct {
	ends     [2]*Session
	inFlight [2][]*wire.Exchange
	isBroken bool
	// isPartial is true for a link to an agent.
	isPartial bool
}

// network connects stores by sessions in simulated time.
type network struct {
	now    time.Time
	stores []*Store
	links  []*testLink
	bytes  uint64
	// agentBytes is the part of bytes that was sent on links to agents.
	agentBytes uint64
	messages   uint64
	records    uint64
}

func newNetwork(stores int) *network {
	n := &network{now: testStart}
	for range stores {
		n.stores = append(n.stores, NewStore())
	}
	return n
}

func (n *network) connect(a, b int, subscription *wire.Subscription) *testLink {
	hello := &wire.Hello{Instance: nodeName(b), Subscription: subscription}
	if subscription != nil {
		hello.Instance = subscription.Instance
	}
	p := &testLink{isPartial: subscription != nil, ends: [2]*Session{
		NewSession(n.now, n.stores[a], &wire.Hello{Instance: nodeName(a)}),
		NewSession(n.now, n.stores[b], hello),
	}}
	n.links = append(n.links, p)
	return p
}

func nodeName(i int) string { return fmt.Sprintf("balancer-%04d", i) }

// connectMesh links each store to its successor and to randomLinks others.
func (n *network) connectMesh(random *rand.Rand) {
	for i := range n.stores {
		n.connect(i, (i+1)%len(n.stores), nil)
		for range randomLinks {
			if j := random.IntN(len(n.stores)); j != i {
				n.connect(i, j, nil)
			}
		}
	}
}

// step delivers the messages of the previous round and then collects those of
// every session.
func (n *network) step() {
	n.now = n.now.Add(round)
	for _, p := range n.links {
		if p.isBroken {
			continue
		}
		flight := p.inFlight
		p.inFlight = [2][]*wire.Exchange{}
		for end, messages := range flight {
			for _, message := range messages {
				if p.ends[1-end].Receive(n.now, message) != nil {
					p.isBroken = true
				}
			}
		}
	}
	for _, p := range n.links {
		if !p.isBroken {
			n.collect(p)
		}
	}
}

func (n *network) collect(p *testLink) {
	for end := range p.ends {
		p.inFlight[end] = p.ends[end].Collect(n.now)
		for _, message := range p.inFlight[end] {
			size := uint64(link.FrameBytes(proto.Size(message)) + linkOverheadBytes)
			n.bytes += size
			if p.isPartial {
				n.agentBytes += size
			}
			n.messages++
			n.records += uint64(len(message.Records))
		}
	}
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.step()
	}
}

// roundsUntil steps until every store has the record's version. It returns the
// number of rounds, or -1 when 500 rounds are not enough.
func (n *network) roundsUntil(record *wire.Record) int {
	for rounds := range 500 {
		if n.allHave(record) {
			return rounds
		}
		n.step()
	}
	return -1
}

func (n *network) allHave(record *wire.Record) bool {
	for _, store := range n.stores {
		stored := store.getAny(keyOf(record))
		if stored == nil || IsNewer(record, stored) {
			return false
		}
	}
	return true
}

const (
	documentBytes = 1000
	testServices  = 640
)

// clusterRecords returns the records of a cluster with the given number of
// agents, and with services and balancers in the proportions of the target.
func clusterRecords(agents int) []*wire.Record {
	var records []*wire.Record
	services := max(1, agents*testServices/3100)
	for i := range services {
		document, _ := proto.Marshal(&wire.Service{Number: uint32(i + 1), Version: 1, Document: make([]byte, documentBytes)})
		records = append(records, &wire.Record{Kind: wire.Record_KIND_SERVICE, Key: fmt.Sprintf("service-%d", i), Major: uint64(i + 1), Value: document})
	}
	for i := range 7 {
		value, _ := proto.Marshal(&wire.Zone{Number: uint32(i + 1), Name: fmt.Sprintf("zone-%d", i)})
		records = append(records, &wire.Record{Kind: wire.Record_KIND_ZONE, Key: fmt.Sprintf("zone-%d", i), Major: 1, Value: value})
	}
	for i := range agents {
		records = append(records, endpointRecord(i, i%services, 1))
	}
	for i := range agents / 5 {
		value, _ := proto.Marshal(&wire.Balancer{Instance: nodeName(i), Address: make([]byte, 6), Zone: fmt.Sprintf("zone-%d", i%7), Link: "10.10.200.200:7400"})
		records = append(records, &wire.Record{Kind: wire.Record_KIND_BALANCER, Key: nodeName(i), Major: 1_700_000_000_000, Minor: 1, Value: value})
	}
	return records
}

func endpointRecord(i, service int, minor uint64) *wire.Record {
	name := fmt.Sprintf("service-%d", service)
	value, _ := proto.Marshal(&wire.Endpoint{
		Instance: fmt.Sprintf("agent-%04d", i), Address: make([]byte, 6), Service: name,
		Zone: fmt.Sprintf("zone-%d", i%7), State: wire.Endpoint_STATE_WARM, Slots: 5, Link: "10.10.200.200:7400",
	})
	return &wire.Record{Kind: wire.Record_KIND_ENDPOINT, Key: fmt.Sprintf("agent-%04d", i), Major: 1_700_000_000_000, Minor: minor, Scope: name, Value: value}
}

// hotRecord is a record that changes often.
func hotRecord(minor uint64) *wire.Record {
	return endpointRecord(0, 0, minor+1)
}

func recordBytes(records []*wire.Record) uint64 {
	return uint64(proto.Size(&wire.Exchange{Records: records}))
}
