package flow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// serviceTable names the services of a routing table, and retains others.
type serviceTable struct{ named, retained []string }

func (t serviceTable) Names(service string) bool   { return slices.Contains(t.named, service) }
func (t serviceTable) Retains(service string) bool { return slices.Contains(t.retained, service) }

func named(services ...string) Services { return Services{Table: serviceTable{named: services}} }

// decisions are all that a lifecycle decides at a moment.
type decisions struct {
	change                             Change
	ended, endpoint, admission         Endpoint
	isDown, isUnannounced, isConfirmed bool
	checkDue                           time.Duration
	isCheckDue                         bool
}

func decisionsOf(l *Lifecycle, now time.Duration, change Change, ended *Endpoint) decisions {
	valueOf := func(e *Endpoint) Endpoint {
		if e == nil {
			return Endpoint{}
		}
		return *e
	}
	d := decisions{
		change: change, ended: valueOf(ended), endpoint: valueOf(l.Endpoint()), admission: valueOf(l.Admission(now)),
		isDown: l.IsDown(), isUnannounced: l.IsUnannounced(), isConfirmed: l.IsConfirmed(),
	}
	d.checkDue, d.isCheckDue = l.CheckDue()
	return d
}

// randomEvent returns an event in the life of endpoints of the service "orders", which start again
// under new IDs or old ones, are heard late, crash and leave.
func randomEvent(random *rand.Rand, now time.Duration) func(l *Lifecycle) (Change, *Endpoint) {
	number := int(now/(4*time.Second)) + random.IntN(2)
	id, startedAt := fmt.Sprint("e-", number/2), int64(5000+1000*number)
	e := Endpoint{ID: id, Service: "orders", Slots: 5, StartedAt: startedAt, Sequence: uint64(now/time.Millisecond) + uint64(random.IntN(3)), LastSeen: now, IsDraining: random.IntN(10) == 0}
	openedAt, presence := time.Duration(random.Int64N(int64(now)+1)), Presence(random.IntN(3))
	kind := random.IntN(20)
	return func(l *Lifecycle) (Change, *Endpoint) {
		switch kind {
		case 0:
			l.Leave(now, id, startedAt)
		case 1, 2, 3:
			return l.RecordCheck(now-10*time.Millisecond, presence), nil
		case 4:
			l.RecordEndpointPacket(openedAt)
		case 5:
			return ChangeNone, l.RecordLostFlow(now, openedAt)
		default:
			return l.Announce(now, e)
		}
		return ChangeNone, nil
	}
}

// randomUnnamed returns an announcement of a service that is not named, under an ID of its own or
// one of an endpoint.
func randomUnnamed(random *rand.Rand, now time.Duration) Endpoint {
	return Endpoint{
		ID: fmt.Sprint("e-", random.IntN(20)), Service: fmt.Sprint("unnamed-", random.IntN(3)), Slots: 1, LastSeen: now,
		StartedAt: []int64{0, 1, 5000, 8000, 1 << 40}[random.IntN(5)], Sequence: random.Uint64(), IsDraining: random.IntN(2) == 0,
		ColdUntil: now + time.Hour,
	}
}

// Over random lives of endpoints, announcements of unnamed services change no decision.
func TestAnnouncementsOfUnnamedServicesDecideNothing(t *testing.T) {
	for _, services := range []Services{named("orders"), {Configured: "orders"}, {Configured: "orders", Table: serviceTable{}}} {
		started := 0
		for seed := range uint64(500) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 3))
			alone, disturbed := NewLifecycle(silence), NewLifecycle(silence)
			alone.SetServices(0, services)
			disturbed.SetServices(0, services)
			for now := time.Duration(0); now < 30*time.Second; now += time.Duration(random.Int64N(int64(800 * time.Millisecond))) {
				for range random.IntN(4) {
					change, ended := disturbed.Announce(now, randomUnnamed(random, now))
					g.Expect(change).To(Equal(ChangeUnnamed), "seed %d", seed)
					g.Expect(ended).To(BeNil(), "seed %d", seed)
				}
				if random.IntN(5) == 0 {
					g.Expect(disturbed.SetServices(now, services)).To(Equal(ChangeNone), "seed %d", seed)
				}
				event := randomEvent(random, now)
				change, ended := event(alone)
				want := decisionsOf(alone, now, change, ended)
				change, ended = event(disturbed)
				g.Expect(decisionsOf(disturbed, now, change, ended)).To(Equal(want), "seed %d at %s", seed, now)
				if change == ChangeStarted {
					started++
				}
			}
			g.Expect(len(disturbed.unnamed.heard)).To(BeNumerically("<=", maxUnnamedStarts))
		}
		NewWithT(t).Expect(started).To(BeNumerically(">", 1000))
	}
}

// servicesAt is a change of the services that are named.
type servicesAt struct {
	at       time.Duration
	services Services
	want     Change
}

// The services are decided anew when they change, and no endpoint ends by that.
func TestLifecycleFollowsTheNamedServices(t *testing.T) {
	const ms = time.Millisecond
	orders := func(s step) any { return s.ofService("orders") }
	other := func(s step) any { return s.ofService("other") }
	set := func(at time.Duration, services Services, want Change) any { return servicesAt{at, services, want} }
	dropped := Services{Table: serviceTable{named: []string{"another"}, retained: []string{"orders"}}}
	cases := []struct {
		name string
		// steps are values of type step or servicesAt.
		steps   []any
		current string
		isDown  bool
	}{
		{"named after it has announced itself", []any{
			set(0, named("another"), ChangeNone), orders(announceAt(100*ms, "e", 5000, 1, ChangeUnnamed)),
			set(500*ms, named("orders"), ChangeStarted), orders(announceAt(1000*ms, "e", 5000, 2, ChangeUpdated)),
		}, "e", false},
		{"named after it has announced itself beside another writer, the last one heard", []any{
			set(0, named("another"), ChangeNone), orders(announceAt(100*ms, "e", 5000, 1, ChangeUnnamed)), other(announceAt(200*ms, "o", 9000, 1, ChangeUnnamed)),
			set(500*ms, named("orders"), ChangeStarted), other(announceAt(600*ms, "o", 9000, 2, ChangeUnnamed)),
		}, "e", false},
		{"two starts of a service that is named then", []any{
			set(0, named("another"), ChangeNone), orders(announceAt(100*ms, "f", 6000, 1, ChangeUnnamed)), orders(announceAt(200*ms, "e", 5000, 9, ChangeUnnamed)),
			set(500*ms, named("orders"), ChangeStarted),
		}, "f", false},
		{"named when it has been silent for too long", []any{
			set(0, named("another"), ChangeNone), orders(announceAt(100*ms, "e", 5000, 1, ChangeUnnamed)), set(2100*ms, named("orders"), ChangeNone),
		}, "", false},
		{"named after it has ended", []any{
			set(0, named("another"), ChangeNone), orders(announceAt(100*ms, "e", 5000, 1, ChangeUnnamed)),
			checkAt(200*ms, PresenceDown, ChangeEnded), set(500*ms, named("orders"), ChangeNone),
		}, "", true},
		{"named after it has started at an address where none ran", []any{
			set(0, named("another"), ChangeNone), checkAt(100*ms, PresenceDown, ChangeEnded),
			orders(announceAt(200*ms, "e", 5000, 1, ChangeUnnamed)), set(500*ms, named("orders"), ChangeStarted),
		}, "e", false},
		{"named after it has announced its end", []any{
			set(0, named("another"), ChangeNone), orders(announceAt(100*ms, "e", 5000, 1, ChangeUnnamed)), leaveAt(200*ms, "e", 5000, ChangeNone),
			set(500*ms, named("orders"), ChangeStarted), orders(announceAt(600*ms, "e", 5000, 2, ChangeNone)),
		}, "e", false},
		{"dropped and named again", []any{
			set(0, named("orders"), ChangeNone), orders(announceAt(100*ms, "e", 5000, 1, ChangeStarted)), set(500*ms, dropped, ChangeNone),
			orders(announceAt(1000*ms, "e", 5000, 2, ChangeUpdated)), other(announceAt(1100*ms, "o", 9000, 1, ChangeUnnamed)),
			set(1500*ms, named("orders"), ChangeNone), orders(announceAt(2000*ms, "e", 5000, 3, ChangeUpdated)),
		}, "e", false},
		{"dropped, and one late announcement of an earlier start of a named service", []any{
			set(0, named("orders"), ChangeNone), orders(announceAt(100*ms, "e", 5000, 1, ChangeStarted)), set(500*ms, dropped, ChangeNone),
			announceAt(900*ms, "a", 4000, 90, ChangeNone).ofService("another"), announceAt(910*ms, "a", 4000, 91, ChangeNone).ofService("another"),
			orders(announceAt(1000*ms, "e", 5000, 2, ChangeUpdated)),
		}, "e", false},
		{"first heard of a dropped service", []any{
			set(0, dropped, ChangeNone), orders(announceAt(100*ms, "e", 5000, 1, ChangeStarted)),
		}, "e", false},
		{"another writer of a service that is dropped then", []any{
			set(0, named("orders", "other"), ChangeNone), other(announceAt(100*ms, "o", 9000, 1, ChangeStarted)),
			orders(announceAt(200*ms, "e", 5000, 1, ChangeNone)), other(announceAt(900*ms, "o", 9000, 2, ChangeUpdated)), orders(announceAt(1200*ms, "e", 5000, 2, ChangeNone)),
			set(1500*ms, named("orders"), ChangeNone), other(announceAt(1700*ms, "o", 9000, 3, ChangeUpdated)),
			orders(announceAt(2200*ms, "e", 5000, 3, ChangeStarted)), other(announceAt(2500*ms, "o", 9000, 4, ChangeUnnamed)),
		}, "e", false},
		{"another writer, which is confirmed, of a service that is dropped then", []any{
			set(0, named("orders", "other"), ChangeNone), other(announceAt(100*ms, "o", 9000, 1, ChangeStarted)), other(announceAt(1200*ms, "o", 9000, 2, ChangeUpdated)),
			orders(announceAt(1300*ms, "e", 5000, 2, ChangeNone)), set(1400*ms, named("orders"), ChangeNone), other(announceAt(2200*ms, "o", 9000, 3, ChangeUpdated)),
			orders(announceAt(2300*ms, "e", 5000, 3, ChangeNone)), other(announceAt(3200*ms, "o", 9000, 4, ChangeUpdated)), orders(announceAt(3300*ms, "e", 5000, 4, ChangeStarted)),
		}, "e", false},
		{"outranked while its service was dropped, and named again", []any{
			set(0, named("orders"), ChangeNone), orders(announceAt(100*ms, "e", 5000, 1, ChangeStarted)), set(200*ms, dropped, ChangeNone),
			announceAt(300*ms, "a", 4000, 1, ChangeNone).ofService("another"), announceAt(1300*ms, "a", 4000, 2, ChangeNone).ofService("another"),
			orders(announceAt(2000*ms, "e", 5000, 2, ChangeUpdated)), announceAt(2300*ms, "a", 4000, 3, ChangeStarted).ofService("another"),
			set(2400*ms, named("orders", "another"), ChangeNone), orders(announceAt(3000*ms, "e", 5000, 3, ChangeClaimed)),
		}, "a", false},
		{"another writer before anything is named", []any{
			other(announceAt(100*ms, "o", 0, 1, ChangeStarted)), orders(announceAt(200*ms, "e", 5000, 1, ChangeClaimed)),
			set(500*ms, named("orders"), ChangeNone), other(announceAt(900*ms, "o", 0, 2, ChangeUpdated)),
			orders(announceAt(1200*ms, "e", 5000, 2, ChangeStarted)), other(announceAt(1700*ms, "o", 0, 3, ChangeUnnamed)),
		}, "e", false},
		{"another writer claims the address when its service is dropped", []any{
			set(0, named("orders", "other"), ChangeNone), orders(announceAt(100*ms, "e", 5000, 1, ChangeStarted)),
			other(announceAt(200*ms, "o", 9000, 1, ChangeClaimed)), set(500*ms, named("orders"), ChangeNone), lostFlowAt(600*ms, 50*ms, ""),
			other(announceAt(1300*ms, "o", 9000, 2, ChangeUnnamed)), other(announceAt(3000*ms, "o", 9000, 3, ChangeUnnamed)),
		}, "e", false},
		{"another writer with an ID for each announcement, of a dropped service", []any{
			set(0, dropped, ChangeNone), orders(announceAt(100*ms, "o-1", 9000, 1, ChangeStarted)),
			announceAt(200*ms, "a", 5000, 1, ChangeNone).ofService("another"), orders(announceAt(800*ms, "o-2", 9000, 2, ChangeNone)),
			announceAt(1200*ms, "a", 5000, 2, ChangeNone).ofService("another"), orders(announceAt(1600*ms, "o-3", 9000, 3, ChangeNone)),
			announceAt(2200*ms, "a", 5000, 3, ChangeStarted).ofService("another"),
		}, "a", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := NewLifecycle(silence)
			for i, s := range c.steps {
				switch s := s.(type) {
				case step:
					change, ended := s.apply(l)
					g.Expect(change).To(Equal(s.want), "step %d", i)
					g.Expect(ended).To(BeEmpty(), "step %d", i)
				case servicesAt:
					g.Expect(l.SetServices(s.at, s.services)).To(Equal(s.want), "step %d", i)
				}
			}
			g.Expect(l.IsDown()).To(Equal(c.isDown))
			if c.current == "" {
				g.Expect(l.Endpoint()).To(BeNil())
			} else {
				g.Expect(l.Endpoint().ID).To(Equal(c.current))
			}
		})
	}
}

// An endpoint that is in use stays so beside a claim of a lower standing.
func TestClaimOfALowerStandingDoesNotRestrictAdmission(t *testing.T) {
	const ms = time.Millisecond
	g := NewWithT(t)
	l := NewLifecycle(silence)
	l.SetServices(0, Services{Configured: "configured", Table: serviceTable{named: []string{"orders"}, retained: []string{"dropped"}}})
	e := Endpoint{ID: "e", Service: "orders", Slots: 5, StartedAt: 5000, Sequence: 1}
	l.Announce(0, e)
	for i, service := range []string{"configured", "dropped", "unnamed"} {
		at := time.Duration(i+1) * 100 * ms
		l.Announce(at, Endpoint{ID: "o", Service: service, Slots: 1, StartedAt: 9000, Sequence: 1, IsDraining: true, LastSeen: at})
		g.Expect(*l.Admission(at)).To(Equal(e), service)
	}
}
