package route

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/keyring"
	"sassafrasturn.example/internal/token"
)

const seeds = 200

func newCodec(tb testing.TB) *token.Codec {
	keys, err := keyring.New(1, map[keyring.Epoch][]byte{1: bytes.Repeat([]byte{1}, keyring.SecretBytes)})
	if err != nil {
		tb.Fatal(err)
	}
	codec, err := token.NewCodec(keys)
	if err != nil {
		tb.Fatal(err)
	}
	return codec
}

func endpoints(count int) []Endpoint {
	list := make([]Endpoint, count)
	for i := range list {
		address := netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)})
		list[i] = Endpoint{Instance: fmt.Sprint(i), Agent: netip.AddrPortFrom(address, 7500), Zone: uint8(1 + i%3)}
	}
	return list
}

func initial(random *rand.Rand) []byte {
	datagram := make([]byte, minInitialBytes)
	datagram[0], datagram[5] = longHeaderBit|fixedBit, minNewIDBytes
	binary.BigEndian.PutUint64(datagram[6:], random.Uint64())
	return datagram
}

// balancerRouting is implemented by the router under test and the baselines. routeTo
// returns the agent for a flow's first or later datagram.
type balancerRouting interface {
	routeTo(view *View, datagram []byte, caller uint64) netip.AddrPort
}

type statelessRouting struct{ *Router }

func (p statelessRouting) routeTo(view *View, datagram []byte, _ uint64) netip.AddrPort {
	return p.Decide(view, datagram).Agent
}

// moduloRouting is a baseline that hashes the caller modulo the length of the list of
// endpoints.
type moduloRouting struct{}

func (moduloRouting) routeTo(view *View, _ []byte, caller uint64) netip.AddrPort {
	if len(view.Endpoints) == 0 {
		return netip.AddrPort{}
	}
	hash := fnv.New64a()
	_ = binary.Write(hash, binary.BigEndian, caller)
	return view.Endpoints[hash.Sum64()%uint64(len(view.Endpoints))].Agent
}

// flowTableRouting is a baseline that stores each flow in the balancer that received
// its first datagram.
type flowTableRouting struct{ flows map[uint64]netip.AddrPort }

func (t flowTableRouting) routeTo(view *View, datagram []byte, caller uint64) netip.AddrPort {
	if _, ok := t.flows[caller]; !ok {
		t.flows[caller] = moduloRouting{}.routeTo(view, datagram, caller)
	}
	return t.flows[caller]
}

// brokenFlows opens flows through random balancers, replaces balancers and their views
// at random, and returns the number of datagrams that do not reach the agent of their
// flow.
func brokenFlows(tb testing.TB, seed uint64, newBalancer func() balancerRouting) (broken int) {
	random := rand.New(rand.NewPCG(seed, 2))
	codec := newCodec(tb)
	all := endpoints(7)
	newView := func() *View {
		view := &View{Service: 1, ZonesOut: new([256]bool)}
		for _, endpoint := range all {
			if random.IntN(4) > 0 {
				view.Endpoints = append(view.Endpoints, endpoint)
			}
		}
		return view
	}
	balancers, views := make([]balancerRouting, 3), make([]*View, 3)
	for i := range balancers {
		balancers[i], views[i] = newBalancer(), newView()
	}
	agents := make(map[uint64]netip.AddrPort)
	for step := range 300 {
		caller := random.Uint64N(20)
		i := random.IntN(len(balancers))
		if random.IntN(10) == 0 {
			balancers[i] = newBalancer()
		}
		if random.IntN(10) == 0 {
			views[i] = newView()
		}
		agent, isOpen := agents[caller]
		if !isOpen {
			agents[caller] = balancers[i].routeTo(views[i], initial(random), caller)
			continue
		}
		id := codec.Encode(token.Route{Agent: agent, Zone: 1, Service: 1, Counter: uint32(step)})
		datagram := append([]byte{fixedBit}, id[:]...)
		if balancers[i].routeTo(views[i], datagram, caller) != agent {
			broken++
		}
	}
	return broken
}

func TestAnyBalancerRoutesEstablishedFlows(t *testing.T) {
	g := NewWithT(t)
	codec := newCodec(t)
	stateless, modulo, table := 0, 0, 0
	for seed := range uint64(seeds) {
		stateless += brokenFlows(t, seed, func() balancerRouting { return statelessRouting{NewRouter(codec)} })
		modulo += brokenFlows(t, seed, func() balancerRouting { return moduloRouting{} })
		table += brokenFlows(t, seed, func() balancerRouting { return flowTableRouting{make(map[uint64]netip.AddrPort)} })
	}
	t.Logf("datagrams that missed their agent: stateless %d, modulo %d, flow table %d", stateless, modulo, table)
	g.Expect(modulo).To(BeNumerically(">", 0), "the modulo baseline must fail")
	g.Expect(table).To(BeNumerically(">", 0), "the flow table baseline must fail")
	g.Expect(stateless).To(BeZero())
}

// TestReturnedZoneGetsItsShare returns a zone to service. Its endpoints must receive
// no more new flows than the others, and the flows that they forward must be spread
// over many agents.
func TestReturnedZoneGetsItsShare(t *testing.T) {
	g := NewWithT(t)
	const flows = 30_000
	random := rand.New(rand.NewPCG(9, 9))
	all := endpoints(9)
	first, second := make(map[uint8]int), make(map[netip.AddrPort]int)
	zoneOf := make(map[netip.AddrPort]uint8)
	for _, endpoint := range all {
		zoneOf[endpoint.Agent] = endpoint.Zone
	}
	moved := 0
	for range flows {
		id := initial(random)[6:14]
		chosen := ChooseCandidates(id, all)
		first[zoneOf[chosen.All()[0]]]++
		if zoneOf[chosen.All()[0]] == 1 {
			second[chosen.All()[1]]++
			continue
		}
		var without []Endpoint
		for _, endpoint := range all {
			if endpoint.Zone != 1 {
				without = append(without, endpoint)
			}
		}
		before := ChooseCandidates(id, without)
		if before.All()[0] != chosen.All()[0] {
			moved++
		}
	}
	g.Expect(first[1]).To(BeNumerically("~", flows/3, flows/30), "a third, within a tenth")
	g.Expect(second).To(HaveLen(len(all)), "flows forwarded by the zone's agents must be spread over all agents")
	g.Expect(moved).To(BeZero(), "flows of the other zones must not move")
}

func TestCandidatesMatchFullSort(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(4, 4))
	for count := range 12 {
		list := endpoints(count)
		id := initial(random)[6:14]
		chosen := ChooseCandidates(id, list)
		// The reference implementation repeatedly selects the best of the remaining
		// endpoints.
		for _, agent := range chosen.All() {
			best := 0
			for i := range list {
				if rendezvousScore(hashID(id), list[i].Agent) > rendezvousScore(hashID(id), list[best].Agent) {
					best = i
				}
			}
			g.Expect(agent).To(Equal(list[best].Agent))
			list = append(list[:best:best], list[best+1:]...)
		}
		g.Expect(chosen.All()).To(HaveLen(min(count, MaxCandidates)))
	}
}

func FuzzDecide(f *testing.F) {
	codec := newCodec(f)
	id := codec.Encode(token.Route{Agent: netip.MustParseAddrPort("10.0.0.1:1"), Service: 1, Zone: 2})
	f.Add([]byte{})
	f.Add(append([]byte{fixedBit}, id[:]...))
	f.Add(append([]byte{longHeaderBit, 0, 0, 0, 1, 21}, id[:]...))
	f.Add(initial(rand.New(rand.NewPCG(1, 1))))
	router := NewRouter(codec)
	view := &View{Service: 1, Endpoints: endpoints(5), ZonesOut: new([256]bool)}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		decision := router.Decide(view, datagram)
		packet, ok := ParsePacket(datagram)
		if ok && len(packet.Destination) > maxIDBytes+1 {
			t.Fatal("connection ID longer than allowed")
		}
		if (decision.Action == ActionDrop) != (decision.Reason != ReasonNone) {
			t.Fatal("a decision must have a reason if and only if it is a drop")
		}
		if decision.Action == ActionForward && decision.Route.Service != view.Service {
			t.Fatal("forwarded to another service")
		}
	})
}

func BenchmarkChooseCandidates(b *testing.B) {
	id := initial(rand.New(rand.NewPCG(1, 1)))[6:14]
	for _, count := range []int{10, 100, 1000} {
		list := endpoints(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ChooseCandidates(id, list)
			}
		})
	}
}

func BenchmarkDecideEstablished(b *testing.B) {
	codec := newCodec(b)
	router := NewRouter(codec)
	id := codec.Encode(token.Route{Agent: netip.MustParseAddrPort("10.0.0.1:1"), Service: 1})
	datagram := append([]byte{fixedBit}, id[:]...)
	view := &View{Service: 1, ZonesOut: new([256]bool)}
	b.ReportAllocs()
	for b.Loop() {
		if decision := router.Decide(view, datagram); decision.Action != ActionForward {
			b.Fatal(decision.Reason)
		}
	}
}
