package flow

import (
	"math"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/routing"
	"sassafrasturn.example/internal/wire"
)

func loadAgent(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(number)}), 7000)
}

func loadView(count int) *View {
	var members []Member
	for number := range count {
		members = append(members, NewMember(loadAgent(number), "zone-a", "orders"))
	}
	return NewView(members)
}

// fullReport returns a report of a busy agent with a wait.
func fullReport(number int, wait time.Duration) *wire.EndpointLoad {
	load := Load{IsReady: true, Slots: 3, InFlight: 9, ServiceTime: 40 * time.Millisecond}
	load.Wait = wait
	message := load.Message()
	message.Agent = routing.AddrPortNumber(loadAgent(number))
	return message
}

// A report that cannot be right must neither be kept nor replace one that was.
func TestBadReportsChangeNothing(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(*wire.EndpointLoad)
		outcome ReportOutcome
	}{
		"unknown agent":       {func(m *wire.EndpointLoad) { m.Agent = routing.AddrPortNumber(loadAgent(9)) }, ReportUnknownAgent},
		"agent out of range":  {func(m *wire.EndpointLoad) { m.Agent |= 1 << 48 }, ReportUnknownAgent},
		"no slots":            {func(m *wire.EndpointLoad) { m.Slots = 0 }, ReportImplausible},
		"huge wait":           {func(m *wire.EndpointLoad) { m.WaitMs = math.MaxUint32 }, ReportImplausible},
		"wait over a minute":  {func(m *wire.EndpointLoad) { m.WaitMs = 60_001 }, ReportImplausible},
		"too many slots":      {func(m *wire.EndpointLoad) { m.Slots = math.MaxUint32 }, ReportImplausible},
		"too many in flight":  {func(m *wire.EndpointLoad) { m.InFlight = math.MaxUint32 }, ReportImplausible},
		"slow beyond a limit": {func(m *wire.EndpointLoad) { m.ServiceTimeMs = math.MaxUint32 }, ReportImplausible},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, view := NewLoads(), loadView(1)
			g.Expect(l.RecordReport(0, fullReport(0, 70*time.Millisecond), view)).To(Equal(ReportRecorded))
			bad := fullReport(0, time.Second)
			c.change(bad)
			g.Expect(l.RecordReport(0, bad, view)).To(Equal(c.outcome))
			g.Expect(l.byAgent).To(HaveLen(1))
			load, _, ok := l.Get(20*time.Millisecond, loadAgent(0))
			g.Expect(ok).To(BeTrue())
			g.Expect(load.Wait).To(Equal(70 * time.Millisecond))
		})
	}
}

// Reports of any content must neither end a balancer, nor grow its store beyond the view, nor
// lead to waits beyond the bound or to any once they are old.
func FuzzReports(f *testing.F) {
	for _, message := range []*wire.EndpointLoad{
		fullReport(0, 70*time.Millisecond), fullReport(1, time.Hour), fullReport(9, time.Second),
		{Agent: math.MaxUint64, Slots: 1, WaitMs: 1},
		{Sequence: math.MaxUint64},
		{Agent: routing.AddrPortNumber(loadAgent(0)), Slots: math.MaxUint32, InFlight: math.MaxUint32, ServiceTimeMs: math.MaxUint32, WaitMs: math.MaxUint32},
		{Agent: routing.AddrPortNumber(loadAgent(1)), Slots: 1, WaitMs: math.MaxUint32, Ready: true},
	} {
		data, _ := proto.Marshal(message)
		f.Add(data, uint32(50))
		f.Add(data[:len(data)/2], uint32(3000))
	}
	f.Add([]byte{0x32, 0xff, 0xff, 0xff, 0xff, 0x0f}, uint32(0))
	f.Fuzz(func(t *testing.T, data []byte, ageMs uint32) {
		g := NewWithT(t)
		l, view := NewLoads(), loadView(2)
		message := new(wire.EndpointLoad)
		if proto.Unmarshal(data, message) != nil {
			return
		}
		outcome := l.RecordReport(time.Second, message, view)
		g.Expect(len(l.byAgent) == 1).To(Equal(outcome == ReportRecorded))
		age := time.Duration(ageMs) * time.Millisecond
		for number := range 2 {
			if load, _, ok := l.Get(time.Second+age, loadAgent(number)); ok {
				g.Expect(load.Wait).To(BeNumerically("<=", maxLoadTime))
				g.Expect(outcome == ReportRecorded && age <= maxLoadAge).To(BeTrue())
				g.Expect(LoadOf(load.Message())).To(Equal(load))
			}
		}
		l.Sweep(time.Second + age)
		g.Expect(len(l.byAgent)).To(BeNumerically("<=", 1))
	})
}

// Each balancer gets a report at most once in 250 ms, and all together at most 60 in any second,
// whoever asks and however many balancers there seem to be.
func TestReportsAreLimited(t *testing.T) {
	g := NewWithT(t)
	r := NewReportLimit()
	var sent []time.Duration
	lastTo := make(map[netip.AddrPort]time.Duration)
	for now := time.Duration(0); now < 3*time.Second; now += time.Millisecond {
		for number := range 25 {
			balancer := loadAgent(number)
			if last, ok := lastTo[balancer]; r.Allow(now, balancer) {
				g.Expect(!ok || now-last >= 250*time.Millisecond).To(BeTrue())
				lastTo[balancer] = now
				sent = append(sent, now)
			}
		}
		if now%(100*time.Millisecond) == 0 && r.AllowAnswer(now) {
			sent = append(sent, now)
		}
	}
	for i, at := range sent {
		if i >= 60 {
			g.Expect(at - sent[i-60]).To(BeNumerically(">=", time.Second))
		}
	}
	g.Expect(len(sent)).To(BeNumerically(">", 3*45))
	for number := range 100_000 {
		r.Allow(time.Hour+time.Duration(number)*reportSpacing, netip.AddrPortFrom(loadAgent(0).Addr(), uint16(number)))
	}
	g.Expect(len(r.sentTo)).To(BeNumerically("<=", maxReportedBalancers))
	r.Sweep(2 * time.Hour)
	g.Expect(r.sentTo).To(BeEmpty())
}
