package opaque

import (
	"io"
	"net"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/internal/wire"
)

// discardSocket receives nothing and drops what is sent.
type discardSocket struct{}

func (discardSocket) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	return 0, netip.AddrPort{}, net.ErrClosed
}

func (discardSocket) WriteToUDPAddrPort(data []byte, _ netip.AddrPort) (int, error) {
	return len(data), nil
}
func (discardSocket) LocalAddr() net.Addr { return &net.UDPAddr{} }
func (discardSocket) Close() error        { return nil }

func newDiscardingNode(tb testing.TB, handlers Handlers) *Node {
	instance, err := machine.New(&settings.Settings{
		Mode: settings.ModeOpaque, Role: settings.RoleBalancer, Instance: "balancer", Zone: "zone-a",
		Cluster: settings.Cluster{IsInsecure: true, Peers: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7000")}},
		Link:    settings.Link{Listen: netip.MustParseAddrPort("10.0.0.2:7000")},
	})
	NewWithT(tb).Expect(err).NotTo(HaveOccurred())
	instance.Log = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	instance.ListenUDP = func(netip.AddrPort) (machine.Socket, error) { return discardSocket{}, nil }
	node, err := NewNode(instance, nil, handlers)
	NewWithT(tb).Expect(err).NotTo(HaveOccurred())
	return node
}

// A datagram of any content must not end a balancer or an agent, neither when it is read
// nor when a poll answer in it is applied.
func FuzzDispatch(f *testing.F) {
	pollAnswer, _ := proto.Marshal(&wire.PollAnswer{
		Sequence: 1, Fresh: true, Roster: 1, Revision: 1, Restart: true, Settled: true, RoutingVersion: 1, TableBytes: 4,
		PartVersion: 1, Part: []byte("part"), Control: []string{"10.0.0.1:7000", "nowhere"}, ZonesOut: []string{"a"}, ZoneIndex: 1,
		Records: []*wire.AgentRecord{{Address: 1, Port: 1 << 20, Zone: "a", Service: "b", Ready: true}, {Gone: true}, {Unseen: true}},
	})
	poll, _ := proto.Marshal(&wire.Poll{Sequence: 1, FetchVersion: 9, FetchOffset: 1 << 31, Digests: []uint64{1}})
	for kind := range KindReady + 3 {
		for _, data := range [][]byte{nil, pollAnswer, poll, {0xff, 0xff}} {
			f.Add(byte(kind), data)
		}
	}
	f.Fuzz(func(t *testing.T, kind byte, data []byte) {
		node := newDiscardingNode(t, Handlers{Offer: func(*Offer, []byte) {}, OwnerUpdate: func(OwnerUpdate) {}})
		from := netip.MustParseAddrPort("10.0.0.1:7000")
		buffer := append(make([]byte, OfferHeadroom), append([]byte{kind}, data...)...)
		var offer Offer
		node.dispatch(&offer, buffer, OfferHeadroom, from)
		message := new(wire.PollAnswer)
		if proto.Unmarshal(data, message) == nil {
			node.poller.apply(answer{message: message, from: from})
			node.poller.applyPeer(answer{message: message, from: from})
			node.poller.newPoll()
		}
	})
}

// A handler that fails drops its datagram. The process and later datagrams go on.
func TestFailingHandlersDoNotEndTheProcess(t *testing.T) {
	g := NewWithT(t)
	handled := 0
	fail := func() {
		handled++
		panic("injected")
	}
	node := newDiscardingNode(t, Handlers{
		Offer:         func(*Offer, []byte) { fail() },
		OwnerUpdate:   func(OwnerUpdate) { fail() },
		Message:       func(Kind, []byte, netip.AddrPort) { fail() },
		ProbeAnswered: func(netip.AddrPort) { fail() },
	})
	offer, update, probeAnswer := Offer{}, OwnerUpdate{}, []byte{byte(KindProbeAnswer)}
	datagrams := [][]byte{
		offer.wrap(append(make([]byte, OfferHeadroom), "packet"...)), update.marshal(make([]byte, ownerUpdateBytes)),
		{byte(KindGossip)},
		probeAnswer,
		{byte(KindResync)},
	}
	for range 2 {
		for _, datagram := range datagrams {
			var read Offer
			node.dispatch(&read, append(make([]byte, OfferHeadroom), datagram...), OfferHeadroom, netip.MustParseAddrPort("10.0.0.1:7000"))
		}
	}
	g.Expect(handled).To(Equal(2 * len(datagrams)))
}

// Instances that an answer names are polled after the current one, before those that may
// have failed to answer.
func TestReportedControlInstancesArePolledNext(t *testing.T) {
	p := newDiscardingNode(t, Handlers{}).poller
	p.updateControl([]string{"10.0.0.4:7000", "10.0.0.3:7000", "10.0.0.1:7000", "nowhere"})
	NewWithT(t).Expect(p.control).To(Equal([]netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.4:7000"), netip.MustParseAddrPort("10.0.0.3:7000"),
	}))
	p.updateControl([]string{"10.0.0.5:7000", "10.0.0.3:7000"})
	NewWithT(t).Expect(p.control).To(Equal([]netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.5:7000"), netip.MustParseAddrPort("10.0.0.3:7000"),
	}))
}
