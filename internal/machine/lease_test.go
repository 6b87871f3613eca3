package machine

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/exchange"
	"sassafrasturn.example/internal/link"
	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/internal/wire"
	"sassafrasturn.example/internal/zone"
)

func newLeaseInstance(role settings.Role) *Instance {
	i := &Instance{
		Settings: &settings.Settings{Role: role}, Log: &log.Logger{Level: log.PanicLevel},
		Store: exchange.NewStore(), Lease: zone.NewLeaseHolder(),
	}
	i.Store.Watch(i.applyRecords)
	return i
}

func mergeRecord(i *Instance, kind wire.Record_Kind, key string, major, minor uint64, value proto.Message) {
	data, _ := proto.Marshal(value)
	i.Store.Merge([]*wire.Record{{Kind: kind, Key: key, Major: major, Minor: minor, Value: data}})
}

func mergeLease(i *Instance, sequence, zoneIndex uint64) {
	mergeRecord(i, wire.Record_KIND_LEASE, leaseKey, 1, sequence, &wire.Lease{ZoneIndex: zoneIndex, DurationMs: 3000})
}

func mergeZone(i *Instance, name string, index uint64, isOut bool) {
	mergeRecord(i, wire.Record_KIND_ZONE, name, index, 0, &wire.Zone{Number: 1, Name: name, Out: isOut})
}

// fetchLease sends a lease request from client to server. The answer is applied as if it
// had arrived after delay.
func fetchLease(g Gomega, client, server *Instance, delay time.Duration) {
	near, far := net.Pipe()
	defer near.Close()
	go func() {
		defer far.Close()
		server.serveLease(&wire.LeaseRequest{ZonesDigest: client.cachedZones().digest}, far)
	}()
	response := new(wire.Response)
	g.Expect(link.ReadMessage(near, response)).To(Succeed())
	now := time.Now()
	client.applyAnswer(now.Add(-delay), now, response.GetLease())
}

func leaseState(i *Instance) zone.State { return i.Lease.State(time.Now()) }

func TestLeaseResponseCarriesZones(t *testing.T) {
	g := NewWithT(t)
	control, relay, balancer := newLeaseInstance(settings.RoleControl), newLeaseInstance(settings.RoleAgent), newLeaseInstance(settings.RoleBalancer)
	mergeZone(control, "a", 1, false)
	fetchLease(g, balancer, control, 0)
	g.Expect(leaseState(balancer)).To(Equal(zone.StateNone), "control has no lease yet")
	mergeLease(control, 1, 1)
	g.Expect(leaseState(control)).To(Equal(zone.StateFresh))
	fetchLease(g, relay, control, 0)
	fetchLease(g, balancer, relay, 0)
	g.Expect(leaseState(balancer)).To(Equal(zone.StateFresh), "received through a peer")

	mergeZone(control, "b", 4, true)
	mergeZone(control, "a", 5, true)
	mergeLease(control, 2, 5)
	mergeZone(balancer, "a", 5, true)
	fetchLease(g, balancer, control, 0)
	g.Expect(balancer.Store.Get(wire.Record_KIND_ZONE, "b")).NotTo(BeNil(), "record exchange had delivered only the latest change")
}

// TestDelayedLeaseIsNotFresh guards against a lease that counts as fresh although its
// answer stayed in a buffer for longer than the lease's duration.
func TestDelayedLeaseIsNotFresh(t *testing.T) {
	g := NewWithT(t)
	control, balancer := newLeaseInstance(settings.RoleControl), newLeaseInstance(settings.RoleBalancer)
	mergeZone(control, "a", 1, false)
	mergeLease(control, 1, 1)
	fetchLease(g, balancer, control, 4*time.Second)
	g.Expect(leaseState(balancer)).NotTo(Equal(zone.StateFresh))
	fetchLease(g, balancer, control, 0)
	g.Expect(leaseState(balancer)).To(Equal(zone.StateFresh))
}

func TestOnlyControlAppliesLeaseRecords(t *testing.T) {
	g := NewWithT(t)
	balancer := newLeaseInstance(settings.RoleBalancer)
	mergeZone(balancer, "a", 1, false)
	mergeLease(balancer, 1, 1)
	g.Expect(leaseState(balancer)).To(Equal(zone.StateNone))
}

type leaseServer struct{ *Instance }

func (s leaseServer) ServeStream(_ context.Context, request *wire.Request, stream net.Conn) {
	s.serveLease(request.GetLease(), stream)
}

// BenchmarkLeaseRequest measures a lease request and its answer over loopback, including
// the work of both ends, with the target number of endpoint records.
func BenchmarkLeaseRequest(b *testing.B) {
	control, balancer := newLeaseInstance(settings.RoleControl), newLeaseInstance(settings.RoleBalancer)
	for n := range 7 {
		mergeZone(control, fmt.Sprint("zone-", n), uint64(n+1), false)
	}
	for n := range 3100 {
		for _, i := range []*Instance{control, balancer} {
			mergeRecord(i, wire.Record_KIND_ENDPOINT, fmt.Sprint("agent-", n), 1, 1, &wire.Endpoint{})
		}
	}
	mergeLease(control, 1, 7)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := &link.Server{Handler: leaseServer{control}}
	go server.Serve(ctx, listener)
	session, err := new(link.Dialer).Dial(ctx, listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer session.Close()
	for b.Loop() {
		if _, err := balancer.requestLease(ctx, session); err != nil {
			b.Fatal(err)
		}
	}
}

func TestAgentsThatKnowABalancerSkipConfiguredPeers(t *testing.T) {
	g := NewWithT(t)
	for role, isSkipping := range map[settings.Role]bool{settings.RoleAgent: true, settings.RoleBalancer: false} {
		i := newLeaseInstance(role)
		g.Expect(i.skipsConfiguredPeers()).To(BeFalse(), "an instance that knows no other instance polls its configured peers")
		mergeRecord(i, wire.Record_KIND_BALANCER, "x", 1, 0, &wire.Balancer{Instance: "x", Link: "10.0.0.9:7400"})
		g.Expect(i.skipsConfiguredPeers()).To(Equal(isSkipping), string(role))
	}
}

func TestLeaseWaitsForIndexAppliedByRole(t *testing.T) {
	g := NewWithT(t)
	i := newLeaseInstance(settings.RoleBalancer)
	i.RoleSetsAppliedIndex = true
	mergeZone(i, "a", 3, true)
	i.Lease.UpdateLease(time.Now(), zone.Lease{Term: 1, ZoneIndex: 3, Duration: time.Minute})
	g.Expect(leaseState(i).MayForward()).To(BeFalse())
	i.Lease.SetAppliedIndex(3)
	g.Expect(leaseState(i)).To(Equal(zone.StateFresh))
}
