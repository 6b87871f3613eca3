package balancer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/contract"
	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/exchange"
	"sassafrasturn.example/internal/keyring"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/route"
	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/internal/wire"
	"sassafrasturn.example/internal/zone"
)

// idleSocket is a socket that receives nothing and discards what is sent.
type idleSocket struct{ closed chan struct{} }

func (s idleSocket) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	<-s.closed
	return 0, netip.AddrPort{}, net.ErrClosed
}

func (s idleSocket) WriteToUDPAddrPort(b []byte, _ netip.AddrPort) (int, error) { return len(b), nil }
func (s idleSocket) LocalAddr() net.Addr                                        { return nil }
func (s idleSocket) Close() error                                               { close(s.closed); return nil }

func newIdleBalancer(tb testing.TB) *Balancer {
	keys, err := keyring.New(1, map[keyring.Epoch][]byte{1: make([]byte, keyring.SecretBytes)})
	if err != nil {
		tb.Fatal(err)
	}
	b, err := New(&machine.Instance{
		Settings: new(settings.Settings), Log: &log.Logger{Level: log.PanicLevel}, Keys: keys,
		Store: exchange.NewStore(), Metrics: prometheus.NewRegistry(), Lease: zone.NewLeaseHolder(),
		ListenUDP: func(netip.AddrPort) (machine.Socket, error) { return idleSocket{make(chan struct{})}, nil },
	})
	if err != nil {
		tb.Fatal(err)
	}
	b.instance.Store.Watch(b.changes.add)
	tb.Cleanup(b.close)
	return b
}

func record(kind wire.Record_Kind, key string, major uint64, value proto.Message) *wire.Record {
	data, _ := proto.Marshal(value)
	return &wire.Record{Kind: kind, Key: key, Major: major, Value: data}
}

func zoneRecord(i int, major uint64, isOut bool) *wire.Record {
	name := fmt.Sprint("zone-", i)
	return record(wire.Record_KIND_ZONE, name, major, &wire.Zone{Number: uint32(i + 1), Name: name, Out: isOut})
}

func serviceRecord(i int, major uint64, allow string) *wire.Record {
	name := fmt.Sprint("service-", i)
	document := fmt.Sprintf("[service]\nname = %s\naddress = 192.0.%d.%d:443\n[endpoints]\nallow = %s\n", name, i/250, i%250, allow)
	return record(wire.Record_KIND_SERVICE, name, major, &wire.Service{Number: uint32(i + 1), Document: []byte(document)})
}

// endpointRecord returns the record of an endpoint of instance i at agent address number at.
func endpointRecord(i, at, service int, major uint64, state wire.Endpoint_State) *wire.Record {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(at % 2), byte(at >> 8), byte(at)}), 7500)
	name := fmt.Sprint("agent-", i)
	return record(wire.Record_KIND_ENDPOINT, name, major, &wire.Endpoint{
		Instance: name, Address: envelope.PackAddress(address), Service: fmt.Sprint("service-", service),
		Zone: fmt.Sprint("zone-", i%3), State: state,
	})
}

// fullyRebuiltViews computes the endpoints of every service from all records of the store.
func fullyRebuiltViews(store *exchange.Store) map[string][]string {
	zoneIsOut, owner := make(map[string]bool), make(map[string]*wire.Record)
	for _, r := range store.List(wire.Record_KIND_ZONE) {
		z := new(wire.Zone)
		_ = proto.Unmarshal(r.Value, z)
		zoneIsOut[z.Name] = z.Out
	}
	endpointOf := func(r *wire.Record) *wire.Endpoint {
		e := new(wire.Endpoint)
		_ = proto.Unmarshal(r.Value, e)
		return e
	}
	for _, r := range store.List(wire.Record_KIND_ENDPOINT) {
		address := string(endpointOf(r).Address)
		if owner[address] == nil || r.Major > owner[address].Major {
			owner[address] = r
		}
	}
	views := make(map[string][]string)
	for _, s := range store.List(wire.Record_KIND_SERVICE) {
		service := new(wire.Service)
		_ = proto.Unmarshal(s.Value, service)
		doc, _ := contract.Parse(s.Key, service.Document)
		views[s.Key] = nil
		for _, r := range owner {
			e := endpointOf(r)
			agent, _ := envelope.UnpackAddress(e.Address)
			isOut, isKnown := zoneIsOut[e.Zone]
			if e.Service == s.Key && isKnown && !isOut && doc.Allows(agent.Addr()) && acceptsNewFlows(e.State) {
				views[s.Key] = append(views[s.Key], e.Instance)
			}
		}
		slices.Sort(views[s.Key])
	}
	return views
}

func currentViews(b *Balancer) map[string][]string {
	views := make(map[string][]string)
	for _, l := range *b.listeners.Load() {
		views[l.service] = nil
		for _, endpoint := range l.view.Load().Endpoints {
			views[l.service] = append(views[l.service], endpoint.Instance)
		}
		slices.Sort(views[l.service])
	}
	return views
}

func TestIncrementalViewsMatchFullRebuild(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		b := newIdleBalancer(t)
		store := b.instance.Store
		for major := uint64(1); major < 300; major++ {
			state := wire.Endpoint_State(1 + random.IntN(4))
			change := endpointRecord(random.IntN(20), random.IntN(12), random.IntN(4), major, state)
			switch random.IntN(10) {
			case 0:
				change = zoneRecord(random.IntN(3), major, random.IntN(2) == 0)
			case 1:
				allow := []string{"10.0.0.0/8", "10.0.0.0/16", "10.1.0.0/16"}[random.IntN(3)]
				change = serviceRecord(random.IntN(4), major, allow)
			}
			store.Merge([]*wire.Record{change})
			if random.IntN(3) == 0 {
				b.applyChanges(context.Background())
				g.Expect(currentViews(b)).To(Equal(fullyRebuiltViews(store)), "seed %d, change %d", seed, major)
			}
		}
	}
}

func TestOnlyAffectedServicesAreRebuilt(t *testing.T) {
	g := NewWithT(t)
	b := newTargetSizeBalancer(t)
	before := make(map[string]*route.View)
	for _, l := range *b.listeners.Load() {
		before[l.service] = l.view.Load()
	}
	b.instance.Store.Merge([]*wire.Record{endpointRecord(7, 7, 7, 9, wire.Endpoint_STATE_DRAINING)})
	b.applyChanges(context.Background())
	var rebuilt []string
	for _, l := range *b.listeners.Load() {
		if l.view.Load() != before[l.service] {
			rebuilt = append(rebuilt, l.service)
		}
	}
	g.Expect(rebuilt).To(ConsistOf("service-7"))
}

const (
	targetServices  = 640
	targetEndpoints = 3100
)

// newTargetSizeBalancer returns a balancer with the target number of services and endpoints.
func newTargetSizeBalancer(tb testing.TB) *Balancer {
	b := newIdleBalancer(tb)
	var records []*wire.Record
	for i := range 3 {
		records = append(records, zoneRecord(i, 1, false))
	}
	for i := range targetServices {
		records = append(records, serviceRecord(i, 1, "10.0.0.0/8"))
	}
	for i := range targetEndpoints {
		records = append(records, endpointRecord(i, i, i%targetServices, 1, wire.Endpoint_STATE_WARM))
	}
	b.instance.Store.Merge(records)
	b.applyChanges(context.Background())
	if len(*b.listeners.Load()) != targetServices || !strings.Contains(strings.Join(b.Details(), "\n"), "5 endpoints") {
		tb.Fatal("the views do not contain all services and endpoints")
	}
	return b
}

func BenchmarkApplyOneEndpoint(b *testing.B) {
	balancer := newTargetSizeBalancer(b)
	major := uint64(2)
	for b.Loop() {
		balancer.instance.Store.Merge([]*wire.Record{endpointRecord(7, 7, 7, major, wire.Endpoint_STATE_WARM)})
		balancer.applyChanges(context.Background())
		major++
	}
}

func BenchmarkApplyOneDocument(b *testing.B) {
	balancer := newTargetSizeBalancer(b)
	major := uint64(2)
	for b.Loop() {
		balancer.instance.Store.Merge([]*wire.Record{serviceRecord(7, major, "10.0.0.0/8")})
		balancer.applyChanges(context.Background())
		major++
	}
}

func BenchmarkApplyAll(b *testing.B) {
	balancer := newTargetSizeBalancer(b)
	for b.Loop() {
		balancer.changes.add(balancer.instance.Store.List())
		balancer.applyChanges(context.Background())
	}
}

// TestLeaseIsNotFreshBeforeViewsApplyZones guards against forwarding by an outdated view: a
// fresh lease and a zone change arrive together, and datagrams arrive before the views
// are rebuilt.
func TestLeaseIsNotFreshBeforeViewsApplyZones(t *testing.T) {
	g := NewWithT(t)
	b := newIdleBalancer(t)
	const change = 5
	b.instance.Store.Merge([]*wire.Record{zoneRecord(0, change, true)})
	now := time.Now()
	b.instance.Lease.UpdateLease(now, zone.Lease{Term: 1, ZoneIndex: change, Duration: time.Minute})
	g.Expect(b.instance.Lease.State(now).MayForward()).To(BeFalse())
	b.applyChanges(context.Background())
	g.Expect(b.instance.Lease.State(now)).To(Equal(zone.StateFresh))
}
