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
	i.Store.Watch(i.noteRecords)
	return i
}

func put(i *Instance, kind wire.Record_Kind, key string, major, minor uint64, value proto.Message) {
	data, _ := proto.Marshal(value)
	i.Store.Merge([]*wire.Record{{Kind: kind, Key: key, Major: major, Minor: minor, Value: data}})
}

func putLease(i *Instance, sequence, zoneIndex uint64) {
	put(i, wire.Record_KIND_LEASE, leaseKey, 1, sequence, &wire.Lease{ZoneIndex: zoneIndex, DurationMs: 3000})
}

func putZone(i *Instance, name string, index uint64, isOut bool) {
	put(i, wire.Record_KIND_ZONE, name, index, 0, &wire.Zone{Number: 1, Name: name, Out: isOut})
}

// ask lets one instance ask another; the answer arrives after the delay.
func ask(g Gomega, asker, peer *Instance, delay time.Duration) {
	near, far := net.Pipe()
	defer near.Close()
	go func() {
		defer far.Close()
		peer.answerLease(&wire.LeaseRequest{ZonesDigest: asker.heldZones().digest}, far)
	}()
	response := new(wire.Response)
	g.Expect(link.ReadMessage(near, response)).To(Succeed())
	now := time.Now()
	asker.takeLease(now.Add(-delay), now, response.GetLease())
}

func stateOf(i *Instance) zone.State { return i.Lease.State(time.Now()) }

func TestLeaseComesWithItsZones(t *testing.T) {
	g := NewWithT(t)
	control, middle, balancer := newLeaseInstance(settings.RoleControl), newLeaseInstance(settings.RoleAgent), newLeaseInstance(settings.RoleBalancer)
	putZone(control, "a", 1, false)
	ask(g, balancer, control, 0)
	g.Expect(stateOf(balancer)).To(Equal(zone.StateNone), "control has no lease yet")
	putLease(control, 1, 1)
	g.Expect(stateOf(control)).To(Equal(zone.StateFresh))
	ask(g, middle, control, 0)
	ask(g, balancer, middle, 0)
	g.Expect(stateOf(balancer)).To(Equal(zone.StateFresh), "through a peer")

	putZone(control, "b", 4, true)
	putZone(control, "a", 5, true)
	putLease(control, 2, 5)
	putZone(balancer, "a", 5, true)
	ask(g, balancer, control, 0)
	g.Expect(balancer.Store.Get(wire.Record_KIND_ZONE, "b")).NotTo(BeNil(), "the exchange had brought the newest change alone")
}

func TestLeaseThatLayInBufferIsNotFresh(t *testing.T) {
	g := NewWithT(t)
	control, balancer := newLeaseInstance(settings.RoleControl), newLeaseInstance(settings.RoleBalancer)
	putZone(control, "a", 1, false)
	putLease(control, 1, 1)
	ask(g, balancer, control, 4*time.Second)
	g.Expect(stateOf(balancer)).NotTo(Equal(zone.StateFresh))
	ask(g, balancer, control, 0)
	g.Expect(stateOf(balancer)).To(Equal(zone.StateFresh))
}

func TestOnlyControlTakesLeaseRecords(t *testing.T) {
	g := NewWithT(t)
	balancer := newLeaseInstance(settings.RoleBalancer)
	putZone(balancer, "a", 1, false)
	putLease(balancer, 1, 1)
	g.Expect(stateOf(balancer)).To(Equal(zone.StateNone))
}

type leaseServer struct{ *Instance }

func (s leaseServer) ServeStream(_ context.Context, request *wire.Request, stream net.Conn) {
	s.answerLease(request.GetLease(), stream)
}

// BenchmarkAskLease measures a question with its answer on loopback, both ends
// together, at the target's number of endpoint records.
func BenchmarkAskLease(b *testing.B) {
	control, balancer := newLeaseInstance(settings.RoleControl), newLeaseInstance(settings.RoleBalancer)
	for n := range 7 {
		putZone(control, fmt.Sprint("zone-", n), uint64(n+1), false)
	}
	for n := range 3100 {
		for _, i := range []*Instance{control, balancer} {
			put(i, wire.Record_KIND_ENDPOINT, fmt.Sprint("agent-", n), 1, 1, &wire.Endpoint{})
		}
	}
	putLease(control, 1, 7)
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
		if _, err := balancer.askOnce(ctx, session); err != nil {
			b.Fatal(err)
		}
	}
}

func TestAgentsThatKnowABalancerSpareControl(t *testing.T) {
	g := NewWithT(t)
	for role, isSparing := range map[settings.Role]bool{settings.RoleAgent: true, settings.RoleBalancer: false} {
		i := newLeaseInstance(role)
		g.Expect(i.asksNeighboursOnly()).To(BeFalse(), "an instance that knows nobody asks its configured peers")
		put(i, wire.Record_KIND_BALANCER, "x", 1, 0, &wire.Balancer{Instance: "x", Link: "10.0.0.9:7400"})
		g.Expect(i.asksNeighboursOnly()).To(Equal(isSparing), string(role))
	}
}

func TestRoleThatRoutesByZonesSetsTheView(t *testing.T) {
	g := NewWithT(t)
	i := newLeaseInstance(settings.RoleBalancer)
	i.RoleSetsAppliedIndex = true
	putZone(i, "a", 3, true)
	i.Lease.UpdateLease(time.Now(), zone.Lease{Term: 1, ZoneIndex: 3, Duration: time.Minute})
	g.Expect(stateOf(i).MayForward()).To(BeFalse())
	i.Lease.SetAppliedIndex(3)
	g.Expect(stateOf(i)).To(Equal(zone.StateFresh))
}
