package balancer

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/routing"
	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/internal/wire"
)

// recordingSocket receives nothing and keeps what is sent.
type recordingSocket struct{ sent [][]byte }

func (s *recordingSocket) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	return 0, netip.AddrPort{}, net.ErrClosed
}

func (s *recordingSocket) WriteToUDPAddrPort(data []byte, _ netip.AddrPort) (int, error) {
	s.sent = append(s.sent, append([]byte(nil), data...))
	return len(data), nil
}
func (s *recordingSocket) LocalAddr() net.Addr { return &net.UDPAddr{} }
func (s *recordingSocket) Close() error        { return nil }

func newTestBalancer(tb testing.TB) (*Balancer, *recordingSocket) {
	instance, err := machine.New(&settings.Settings{
		Mode: settings.ModeOpaque, Role: settings.RoleBalancer, Instance: "balancer", Zone: "zone-a",
		Cluster: settings.Cluster{IsInsecure: true, Peers: []netip.AddrPort{netip.MustParseAddrPort("10.9.0.1:7000")}},
		Link:    settings.Link{Listen: netip.MustParseAddrPort("10.1.0.1:7000")},
	})
	NewWithT(tb).Expect(err).NotTo(HaveOccurred())
	instance.Log = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	socket := new(recordingSocket)
	instance.ListenUDP = func(netip.AddrPort) (machine.Socket, error) { return socket, nil }
	b, err := New(instance, nil)
	NewWithT(tb).Expect(err).NotTo(HaveOccurred())
	return b, socket
}

func testAgent(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(number)}), 7000)
}

func testView(count int) *flow.View {
	var members []flow.Member
	for number := range count {
		members = append(members, flow.NewMember(testAgent(number), "zone-a", "orders"))
	}
	return flow.NewView(members)
}

// An answer counts once, from the agent that was asked and within the timeout. Others change
// nothing and give no round trip.
func TestOnlyRequestedAnswersAreRecorded(t *testing.T) {
	g := NewWithT(t)
	b, socket := newTestBalancer(t)
	l, view := b.loads, testView(2)
	var roundTrips []time.Duration
	l.handleAnswer = func(_ netip.AddrPort, _ flow.Load, roundTrip time.Duration) {
		roundTrips = append(roundTrips, roundTrip)
	}
	request := func() (sequence uint64, at time.Duration) {
		g.Expect(b.requestLoad(testAgent(0))).To(BeTrue())
		datagram, message := socket.sent[len(socket.sent)-1], new(wire.EndpointLoad)
		g.Expect(opaque.Kind(datagram[0])).To(Equal(opaque.KindLoadRequest))
		g.Expect(proto.Unmarshal(datagram[1:], message)).To(Succeed())
		return message.Sequence, l.requests[message.Sequence].at
	}
	answer := func(sequence uint64, number int) *wire.EndpointLoad {
		return &wire.EndpointLoad{Agent: routing.AddrPortNumber(testAgent(number)), Sequence: sequence, Slots: 3, WaitMs: 7, Ready: true}
	}
	first, at := request()
	g.Expect(l.record(at+time.Millisecond, answer(first, 1), view)).To(Equal(flow.ReportUnrequested))
	g.Expect(l.record(at+3*time.Millisecond, answer(first, 0), view)).To(Equal(flow.ReportRecorded))
	g.Expect(l.record(at+4*time.Millisecond, answer(first, 0), view)).To(Equal(flow.ReportUnrequested))
	load, age, ok := l.reports.Get(at+5*time.Millisecond, testAgent(0))
	g.Expect([]any{load.Wait, age, ok}).To(Equal([]any{7 * time.Millisecond, 5 * time.Millisecond, true}))
	second, at := request()
	g.Expect(l.record(at+loadRequestTimeout+1, answer(second, 0), view)).To(Equal(flow.ReportUnrequested))
	g.Expect(roundTrips).To(Equal([]time.Duration{3 * time.Millisecond}))
	for range 2 * maxLoadRequests {
		b.requestLoad(testAgent(0))
	}
	g.Expect(len(l.requests)).To(BeNumerically("<=", maxLoadRequests))
}
