package flow

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/rendezvous"
)

func allIn(string) bool { return false }

// speedMembers returns agents of three zones whose service times are given by their number.
func speedMembers(count int, serviceTime func(i int) time.Duration) []Member {
	var members []Member
	for i := range count {
		member := NewMember(addressOf(i), fmt.Sprintf("zone-%d", i%3), "orders")
		member.ServiceTime = serviceTime(i)
		members = append(members, member)
	}
	return members
}

// oneInFourSlow is a service time that is slow for one in four agents.
func oneInFourSlow(i int) time.Duration {
	if i%4 == 0 {
		return 70 * time.Millisecond
	}
	return 30 * time.Millisecond
}

func unknownSpeed(int) time.Duration { return 0 }

// A flow goes to a slow agent only after the fast ones that are tried first, but one slow agent
// stays among its candidates. Without that, the slots of slow agents are not used in an overload.
func TestSlowAgentsComeLastOfTheFirstCandidates(t *testing.T) {
	g := NewWithT(t)
	view := NewView(speedMembers(50, oneInFourSlow))
	g.Expect(view.Speed("orders")).To(Equal(Speed{Fast: 30 * time.Millisecond, Measured: 50, Slow: 13}))
	remeasuring, flows := 0, 2000
	for key := range uint64(flows) {
		flow := rendezvous.Mix(key)
		if isRemeasuring(flow) {
			remeasuring++
			continue
		}
		candidates := ChooseCandidates(view, "orders", flow, TagOf("zone-1"), allIn)
		g.Expect(candidates).To(HaveLen(MaxCandidates))
		for i, candidate := range candidates {
			g.Expect(candidate.isSlow).To(Equal(i == 2), "candidate %d", i)
			isOwn := i != 3 && i != 4
			g.Expect(candidate.Zone == "zone-1").To(Equal(isOwn), "candidate %d", i)
		}
		g.Expect(addressesOf(candidates)).To(HaveLen(MaxCandidates))
	}
	g.Expect(remeasuring).To(BeNumerically("~", flows/remeasureShare, flows/remeasureShare/3))
}

func addressesOf(members []Member) map[string]bool {
	addresses := make(map[string]bool)
	for i := range members {
		addresses[members[i].Address.String()] = true
	}
	return addresses
}

// Equal, few or no measurements, or all of the same class, change no candidates. Owners are found
// by the order, which speeds never change: a view with other speeds must not lose a packet.
func TestSpeedsChangeNothingElse(t *testing.T) {
	without := NewView(speedMembers(12, unknownSpeed))
	for name, serviceTime := range map[string]func(int) time.Duration{
		"equal":          func(int) time.Duration { return 30 * time.Millisecond },
		"one step apart": func(i int) time.Duration { return []time.Duration{24, 30}[i%2] * time.Millisecond },
		"all slow":       func(int) time.Duration { return time.Second },
		"few measured": func(i int) time.Duration {
			return []time.Duration{30, 90, 30}[min(i, 2)] * time.Millisecond * time.Duration(min(1, 3/(i+1)))
		},
		"few milliseconds":  func(i int) time.Duration { return []time.Duration{1, 2}[i%2] * time.Millisecond },
		"unknown and equal": func(i int) time.Duration { return time.Duration(i%2) * 30 * time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			view := NewView(speedMembers(12, serviceTime))
			g.Expect(view.Speed("orders").Slow).To(BeZero())
			for key := range uint64(200) {
				flow := rendezvous.Mix(key)
				want, got := ChooseCandidates(without, "orders", flow, TagOf("zone-1"), allIn), ChooseCandidates(view, "orders", flow, TagOf("zone-1"), allIn)
				for i := range want {
					g.Expect(got[i].Address).To(Equal(want[i].Address))
				}
			}
		})
	}
	g := NewWithT(t)
	view := NewView(speedMembers(12, oneInFourSlow))
	for key := range uint64(200) {
		order := Order{View: view, Flow: rendezvous.Mix(key), Origin: TagOf("zone-1"), Services: []string{"orders"}}
		plain := order
		plain.View = without
		g.Expect(walk(order)).To(Equal(walk(plain)))
	}
}

// The owner of a flow that a slow agent would have got first is not found at once. Balancers must
// ask to be told, or each packet passes the slow agents.
func TestIsReorderedBySpeed(t *testing.T) {
	g := NewWithT(t)
	view := NewView(speedMembers(50, oneInFourSlow))
	reordered := 0
	for key := range uint64(2000) {
		order := Order{View: view, Flow: rendezvous.Mix(key), Origin: TagOf("zone-1"), Services: []string{"orders"}}
		first, _ := order.First()
		candidates := ChooseCandidates(view, "orders", order.Flow, order.Origin, allIn)
		isReordered := IsReorderedBySpeed(order.Flow, candidates)
		g.Expect(isReordered).To(Equal(first.Address != candidates[0].Address))
		if isReordered {
			reordered++
		}
	}
	g.Expect(reordered).To(BeNumerically("~", 2000/4, 100))
	g.Expect(IsReorderedBySpeed(1, nil)).To(BeFalse())
}

// An agent that has just become fast, or whose speed is not known, gets its share of the flows and
// no more. With the least service time first, it would get all of them.
func TestNoHerdOnAgentsThatBecomeFast(t *testing.T) {
	for name, serviceTime := range map[string]time.Duration{"fastest": 2 * time.Millisecond, "unknown": 0} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			members := speedMembers(48, oneInFourSlow)
			members[1].ServiceTime = serviceTime
			view := NewView(members)
			first, flows := 0, 4000
			for key := range uint64(flows) {
				if ChooseCandidates(view, "orders", rendezvous.Mix(key), members[1].zone, allIn)[0].Address == members[1].Address {
					first++
				}
			}
			const fastInZone = 12
			g.Expect(first).To(BeNumerically("~", flows/fastInZone, flows/fastInZone/4))
		})
	}
}

// Decides on an offer without known speeds, as before, and with slow agents.
func BenchmarkOfferBySpeed(b *testing.B) {
	for _, c := range []struct {
		name        string
		serviceTime func(i int) time.Duration
	}{{"unknown", unknownSpeed}, {"uneven", oneInFourSlow}} {
		b.Run(c.name, func(b *testing.B) {
			view := NewView(speedMembers(163, c.serviceTime))
			for i := range b.N {
				flow := rendezvous.Mix(uint64(i))
				IsReorderedBySpeed(flow, ChooseCandidates(view, "orders", flow, TagOf("zone-1"), allIn))
			}
		})
	}
}

// A long request at an endpoint that answers others is no reason to refuse flows for which slots
// are free. The slots of slow endpoints stayed unused for a part of an overload.
func TestGateAcceptsBesideLongRequests(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name    string
		request AdmissionRequest
		want    Reason
	}{
		{"long request raised the mean", AdmissionRequest{ResponseTime: 140 * ms, ServiceTime: 72 * ms, InFlight: 3}, Accepted},
		{"service time not known", AdmissionRequest{ResponseTime: 140 * ms, InFlight: 3}, RefusedSlow},
		{"endpoint became slow", AdmissionRequest{ResponseTime: 140 * ms, ServiceTime: 140 * ms, InFlight: 3}, RefusedSlow},
		{"slow for its service", AdmissionRequest{ResponseTime: 140 * ms, InFlight: 4, IsSlowForService: true}, Accepted},
		{"slow for its service and full", AdmissionRequest{ResponseTime: 140 * ms, InFlight: 5, IsSlowForService: true}, RefusedBusy},
		{"slow for its service and stuck", AdmissionRequest{LongestWait: 500 * ms, IsSlowForService: true}, RefusedSlow},
	} {
		t.Run(c.name, func(t *testing.T) {
			gate := Gate{SilenceTimeout: time.Second}
			c.request.IsRouteAllowed, c.request.CandidatesLeft, c.request.Objective = true, 3, 400*ms
			NewWithT(t).Expect(gate.Decide(0, &Endpoint{Slots: 4}, 0, c.request)).To(Equal(c.want))
		})
	}
}
