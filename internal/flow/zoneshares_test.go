package flow

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/rendezvous"
)

const leaveCost = 5 * time.Millisecond

// zoneLoad returns the load of a zone of 12 endpoints with 3 slots each, of which a share is
// taken. Above 1, flows wait.
func zoneLoad(zone string, use float64) ZoneLoad {
	const slots = 36
	load := ZoneLoad{Zone: zone, Endpoints: 12, Reports: 8, Slots: slots, InFlight: use * slots, Free: max(0, 1-use) * slots, FullShare: min(1, use*use*use), RoundTrip: time.Millisecond}
	load.Wait, load.ServiceTime = time.Duration(max(use, 0.3)*40)*time.Millisecond, 40*time.Millisecond
	return load
}

func silentZone(zone string) ZoneLoad { return ZoneLoad{Zone: zone, Endpoints: 12} }

func leavingOf(split *ZoneSplit) float64 {
	if split == nil {
		return 0
	}
	return split.LeavingShare()
}

// The zone's use follows the share that stays.
func TestZoneSharesGrowInBoundedStepsAndReturnByHalves(t *testing.T) {
	g := NewWithT(t)
	s := NewZoneShares("a", leaveCost)
	last, now := 0.0, time.Duration(0)
	play := func(demand float64, steps int) {
		for range steps {
			now += ZoneStepInterval
			split := s.Step(now, []ZoneLoad{zoneLoad("a", demand*(1-last)), zoneLoad("b", 0.5), zoneLoad("c", 0.7)})
			share := leavingOf(split)
			g.Expect(math.Abs(share-last)).To(BeNumerically("<=", maxZoneStep+1e-9), "a step moves more than a tenth")
			if share < last {
				g.Expect(share).To(Or(BeNumerically(">=", last/2-1e-9), BeZero()))
			}
			last = share
		}
	}
	play(0.6, 4)
	g.Expect(last).To(BeZero())
	play(1.5, 20)
	g.Expect(last).To(BeNumerically("~", 0.45, 0.1), "what exceeds the zone must leave, and not more")
	settled := last
	play(1.5, 8)
	g.Expect(last).To(BeNumerically("~", settled, maxZoneStep), "the share oscillates")
	g.Expect(s.NeedsFigures(now)).To(BeTrue())
	play(0.6, 20)
	g.Expect(last).To(BeZero())
	g.Expect(s.NeedsFigures(now)).To(BeFalse(), "figures are requested 2 s after the zone has room")
}

func TestNoFlowsLeaveWithoutGain(t *testing.T) {
	slow, far := zoneLoad("b", 0.5), zoneLoad("b", 0.5)
	slow.ServiceTime, far.RoundTrip = 90*time.Millisecond, 40*time.Millisecond
	for name, zones := range map[string][]ZoneLoad{
		"all zones are full":         {zoneLoad("a", 1.2), zoneLoad("b", 1.2), zoneLoad("c", 1.2)},
		"the other zone is slow":     {zoneLoad("a", 1.2), slow},
		"the other zone is far":      {zoneLoad("a", 1.2), far},
		"the own zone has room":      {zoneLoad("a", 0.8), zoneLoad("b", 0)},
		"the own zone is silent":     {silentZone("a"), zoneLoad("b", 0)},
		"the other zones are silent": {zoneLoad("a", 1.2), silentZone("b"), silentZone("c")},
		"control lists no agents":    {},
	} {
		s := NewZoneShares("a", leaveCost)
		for step := range 8 {
			split := s.Step(time.Duration(step)*ZoneStepInterval, zones)
			NewWithT(t).Expect(leavingOf(split)).To(BeZero(), name)
			NewWithT(t).Expect(split == nil || split.Target == "").To(BeTrue(), name)
		}
	}
}

// A link to one zone is cut: its flows must not be lost until reports expire elsewhere.
func TestSharesOfSilentZonesEndAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := NewZoneShares("a", leaveCost)
	for step := range 4 {
		s.Step(time.Duration(step)*ZoneStepInterval, []ZoneLoad{zoneLoad("a", 1.5), zoneLoad("b", 0.5), zoneLoad("c", 0.5)})
	}
	split := s.Step(time.Second, []ZoneLoad{zoneLoad("a", 1.5), silentZone("b"), zoneLoad("c", 0.5)})
	g.Expect(split.Leaving).To(HaveLen(1))
	g.Expect(split.Leaving[0].Zone).To(Equal("c"))
	g.Expect(s.Step(time.Second, []ZoneLoad{silentZone("a"), zoneLoad("c", 0.5)})).To(BeNil(), "the own zone is silent")
}

func TestZoneWithoutEndpointsSendsAllFlowsByRoom(t *testing.T) {
	g := NewWithT(t)
	s := NewZoneShares("a", leaveCost)
	out := ZoneLoad{Zone: "a"}
	var split *ZoneSplit
	for step := range 20 {
		split = s.Step(time.Duration(step)*ZoneStepInterval, []ZoneLoad{out, zoneLoad("b", 0.25), zoneLoad("c", 0.75)})
		g.Expect(split.LeavingShare()).To(BeNumerically("~", 1, 1e-9))
	}
	g.Expect(split.Reason).To(Equal(PlacedNoEndpoint))
	g.Expect(split.Leaving[0].Share).To(BeNumerically("~", 0.75, 0.02))
	// The zone returns without reports, and then with endpoints that are cold: they show no room.
	g.Expect(leavingOf(s.Step(6*time.Second, []ZoneLoad{silentZone("a"), zoneLoad("b", 0.5), zoneLoad("c", 0.5)}))).To(BeNumerically("~", 1, 1e-9))
	cold := s.Step(6*time.Second, []ZoneLoad{zoneLoad("a", 0.9), zoneLoad("b", 0.5), zoneLoad("c", 0.5)})
	g.Expect(cold.LeavingShare()).To(BeNumerically("~", 1, 1e-9), "flows return to a zone without room")
	warm := s.Step(7*time.Second, []ZoneLoad{zoneLoad("a", 0.2), zoneLoad("b", 0.5), zoneLoad("c", 0.5)})
	g.Expect(warm.LeavingShare()).To(BeNumerically("~", 0.9, 1e-9))
	g.Expect(s.Step(8*time.Second, []ZoneLoad{out})).To(BeNil(), "no zone is known")
}

// Reports come from other processes.
func TestBadReportsAreNoFigures(t *testing.T) {
	g := NewWithT(t)
	report := func(age time.Duration, load Load) ZoneReport { return ZoneReport{Load: load, Age: age} }
	good := Load{IsReady: true, Slots: 3, InFlight: 1}
	// What waits at one endpoint must not hide the free slots of another.
	sum := SumZone("b", 12, []ZoneReport{report(0, good), report(0, Load{IsReady: true, Slots: 3, InFlight: 9})})
	g.Expect(sum.Slots).To(BeNumerically("~", 36, 1e-9))
	g.Expect(sum.InFlight).To(BeNumerically("~", 60, 1e-9))
	g.Expect(sum.Free).To(BeNumerically("~", 12, 1e-9))
	g.Expect(sum.FullShare).To(BeNumerically("~", 0.5, 1e-9))
	for name, bad := range map[string]ZoneReport{
		"stale": report(MaxZoneReportAge+1, good), "of the future": report(-1, good),
		"without slots": report(0, Load{IsReady: true}), "not ready": report(0, Load{Slots: 3}),
	} {
		sum := SumZone("b", 12, []ZoneReport{report(0, good), bad})
		g.Expect(sum.isKnown()).To(BeFalse(), name)
	}
	single := SumZone("b", 1, []ZoneReport{report(0, good), report(0, good)})
	g.Expect(single.isKnown()).To(BeFalse(), "a single agent")
}

func zoneMembers(perZone int) []Member {
	var members []Member
	for i := range 3 * perZone {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
		members = append(members, NewMember(address, string(rune('a'+i%3)), "orders"))
	}
	return members
}

func zonesOf(members []Member) string {
	zones := ""
	for i := range members {
		zones += members[i].Zone
	}
	return zones
}

func TestChooseZoneCandidates(t *testing.T) {
	g := NewWithT(t)
	view := NewView(zoneMembers(10))
	split := &ZoneSplit{Reason: PlacedShortage, Target: "c", target: TagOf("c"), Leaving: []ZoneShare{{Zone: "b", Share: 0.3, tag: TagOf("b")}}}
	inService := func(string) bool { return false }
	left := 0
	for i := range 2000 {
		hash := rendezvous.Mix(uint64(i))
		members, reason := ChooseZoneCandidates(view, "orders", hash, TagOf("a"), inService, split)
		order := Order{View: view, Flow: hash, Origin: TagOf("a"), Services: []string{"orders"}}
		first, _ := order.First()
		if reason == PlacedShortage {
			left++
			g.Expect(zonesOf(members)).To(Equal("bbbaaa"))
		} else {
			g.Expect(zonesOf(members)).To(Equal("aaacca"))
			g.Expect(members[0].Address).To(Equal(first.Address))
		}
		out, _ := ChooseZoneCandidates(view, "orders", hash, TagOf("a"), func(zone string) bool { return zone == "b" }, split)
		g.Expect(zonesOf(out)).NotTo(ContainSubstring("b"), "an evacuated zone gets flows")
	}
	g.Expect(float64(left) / 2000).To(BeNumerically("~", 0.3, 0.04))
	full, _ := ChooseZoneCandidates(view, "orders", 1, TagOf("a"), inService, &ZoneSplit{AreOthersFull: true})
	g.Expect(zonesOf(full)).To(Equal("aaaaaa"), "all zones are full")
	unknown, _ := ChooseZoneCandidates(view, "orders", 1, TagOf("a"), inService, &ZoneSplit{})
	g.Expect(zonesOf(unknown)).To(MatchRegexp("^aaaa[bc]a$"), "no zone is better, and not all are full")
	homeless := &ZoneSplit{Reason: PlacedNoEndpoint, Leaving: []ZoneShare{{Zone: "b", Share: 1, tag: TagOf("b")}}}
	away, _ := ChooseZoneCandidates(view, "orders", 1, TagOf("a"), func(zone string) bool { return zone == "a" }, homeless)
	g.Expect(zonesOf(away)).To(Equal("bbbbcc"), "the flow's zone may be full")
	none, _ := ChooseZoneCandidates(view, "orders", 1, TagOf("a"), func(string) bool { return true }, split)
	g.Expect(none).To(BeEmpty())
}

// Slow agents must come behind fast ones also while flows leave the zone.
func TestZoneCandidatesAreRankedBySpeed(t *testing.T) {
	g := NewWithT(t)
	members := zoneMembers(10)
	for i := range members {
		if members[i].ServiceTime = 20 * time.Millisecond; i%2 == 0 {
			members[i].ServiceTime = 60 * time.Millisecond
		}
	}
	view := NewView(members)
	split := &ZoneSplit{Target: "c", target: TagOf("c"), Leaving: []ZoneShare{{Zone: "b", Share: 0.5, tag: TagOf("b")}}}
	for i := range 200 {
		hash := rendezvous.Mix(uint64(i))
		if isRemeasuring(hash) {
			continue
		}
		candidates, _ := ChooseZoneCandidates(view, "orders", hash, TagOf("a"), func(string) bool { return false }, split)
		g.Expect(candidates[0].isSlow || candidates[1].isSlow).To(BeFalse())
	}
}

// A share that grows must not move flows that have left already: a retransmission would reach
// another endpoint.
func TestGrowingSharesKeepTheirFlows(t *testing.T) {
	g := NewWithT(t)
	for i := range 1000 {
		hash := rendezvous.Mix(uint64(i))
		small := ZoneSplit{Leaving: []ZoneShare{{Share: 0.2, tag: 1}}}
		large := ZoneSplit{Leaving: []ZoneShare{{Share: 0.3, tag: 1}}}
		if _, leaves := small.Pick(hash); leaves {
			_, leaves = large.Pick(hash)
			g.Expect(leaves).To(BeTrue())
		}
	}
}

func TestZoneIsShortIfAQuarterOfItsAgentsIsFull(t *testing.T) {
	g := NewWithT(t)
	view := NewView(zoneMembers(8))
	agents := view.ReadyByZone("orders", func(zone string) bool { return zone == "c" })
	g.Expect(agents["a"]).To(HaveLen(8))
	g.Expect(agents).To(HaveKeyWithValue("c", BeEmpty()))
	loads := NewLoads()
	g.Expect(IsZoneShort(0, loads, agents["c"])).To(BeTrue())
	loads.Record(0, agents["a"][0], Load{IsReady: true, Slots: 3, InFlight: 3})
	g.Expect(IsZoneShort(0, loads, agents["a"])).To(BeFalse())
	loads.Record(0, agents["a"][1], Load{IsReady: true, Slots: 3, InFlight: 3})
	g.Expect(IsZoneShort(0, loads, agents["a"])).To(BeTrue())
	g.Expect(IsZoneShort(shortageAge+1, loads, agents["a"])).To(BeFalse(), "by old reports")
}

func BenchmarkCandidates(b *testing.B) {
	for _, perZone := range []int{16, 207} {
		view := NewView(zoneMembers(perZone))
		inService := func(string) bool { return false }
		split := &ZoneSplit{Target: "c", target: TagOf("c"), Leaving: []ZoneShare{{Zone: "b", Share: 0.3, tag: TagOf("b")}}}
		b.Run(fmt.Sprintf("fixed-%d", 3*perZone), func(b *testing.B) {
			for i := range b.N {
				ChooseCandidates(view, "orders", rendezvous.Mix(uint64(i)), TagOf("a"), inService)
			}
		})
		b.Run(fmt.Sprintf("shares-%d", 3*perZone), func(b *testing.B) {
			for i := range b.N {
				ChooseZoneCandidates(view, "orders", rendezvous.Mix(uint64(i)), TagOf("a"), inService, split)
			}
		})
	}
}
