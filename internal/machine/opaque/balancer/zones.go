package balancer

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/routing"
)

// zoneShares decides for each service which new flows leave the balancer's zone. It takes part
// only in routes that state an objective and a timeout.
type zoneShares struct {
	balancer *Balancer
	// services is replaced when a service is added or removed, so that offers need no lock.
	services atomic.Pointer[map[string]*serviceZones]

	mu sync.Mutex
	// answers are the latest answers of agents to requests for their load.
	answers map[netip.AddrPort]loadAnswer

	flows, bytes map[flow.PlacementReason]prometheus.Counter
}

// serviceZones is the state of one service. Only step uses the fields other than the atomic ones.
type serviceZones struct {
	// offeredAt is the time of the last offer in nanoseconds.
	offeredAt atomic.Int64
	split     atomic.Pointer[flow.ZoneSplit]
	shares    *flow.ZoneShares
	// logged are the shares of the last log line.
	logged map[string]float64
}

type loadAnswer struct {
	load          flow.Load
	at, roundTrip time.Duration
}

const (
	// zoneIdleTime is how long a service keeps its shares without a new flow.
	zoneIdleTime = 10 * time.Second
	// loggedChange is the change of a share that leads to a log line.
	loggedChange = 0.1
)

func newZoneShares(b *Balancer) *zoneShares {
	flows := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sassafrasturn_flows_offered_total", Help: "New flows by the reason for the zone that they were offered to first.",
	}, []string{"reason"})
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sassafrasturn_zone_crossing_bytes_total",
		Help: "Bytes of callers' packets that the balancer sent to other zones, by the reason for the zone that the flow was offered to first.",
	}, []string{"reason"})
	b.instance.Metrics.MustRegister(flows, bytes)
	z := &zoneShares{
		balancer: b, answers: make(map[netip.AddrPort]loadAnswer),
		flows: make(map[flow.PlacementReason]prometheus.Counter), bytes: make(map[flow.PlacementReason]prometheus.Counter),
	}
	for _, reason := range []flow.PlacementReason{flow.PlacedHome, flow.PlacedShortage, flow.PlacedNoEndpoint} {
		z.flows[reason], z.bytes[reason] = flows.WithLabelValues(string(reason)), bytes.WithLabelValues(string(reason))
	}
	z.services.Store(&map[string]*serviceZones{})
	b.loads.handleAnswer = z.handleAnswer
	return z
}

// choose returns the candidates of a new flow and the reason for the zone of the first one.
func (z *zoneShares) choose(state *opaque.State, route *routing.Route, service string, hash uint64) ([]flow.Member, flow.PlacementReason) {
	if route.HasDeadline() {
		s := z.service(service)
		s.offeredAt.Store(int64(z.balancer.node.Now()))
		if split := s.split.Load(); split != nil {
			agents, reason := flow.ChooseZoneCandidates(state.View, service, hash, z.balancer.origin, state.IsOut, split)
			if len(agents) > 0 {
				return agents, reason
			}
		}
	}
	agents := flow.ChooseCandidates(state.View, service, hash, z.balancer.origin, state.IsOut)
	if len(agents) > 0 && agents[0].Zone != z.home() {
		return agents, flow.PlacedNoEndpoint
	}
	return agents, flow.PlacedHome
}

func (z *zoneShares) home() string { return z.balancer.instance.Settings.Zone }

// service returns the state of a service, which it adds if it is new.
func (z *zoneShares) service(name string) *serviceZones {
	if s := (*z.services.Load())[name]; s != nil {
		return s
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	services := maps.Clone(*z.services.Load())
	s := services[name]
	if s == nil {
		s = &serviceZones{shares: flow.NewZoneShares(z.home(), z.balancer.instance.Settings.Opaque.ZoneLeaveCost)}
		s.offeredAt.Store(int64(z.balancer.node.Now()))
		services[name] = s
		z.services.Store(&services)
	}
	return s
}

// handleAnswer keeps the load that an agent has reported on request.
func (z *zoneShares) handleAnswer(agent netip.AddrPort, load flow.Load, roundTrip time.Duration) {
	now := z.balancer.node.Now()
	z.mu.Lock()
	defer z.mu.Unlock()
	z.answers[agent] = loadAnswer{load: load, at: now - roundTrip, roundTrip: roundTrip}
}

func (z *zoneShares) run(ctx context.Context) {
	// Balancers that start at the same time decide at different times.
	pause.For(ctx, rand.N(flow.ZoneStepInterval))
	for ctx.Err() == nil {
		z.stepAll()
		pause.For(ctx, flow.ZoneStepInterval)
	}
}

func (z *zoneShares) stepAll() {
	defer z.balancer.node.RecoverPanic("step of the zones' shares")
	now, state := z.balancer.node.Now(), z.balancer.node.State()
	z.sweep(now)
	for name, s := range *z.services.Load() {
		z.step(now, state, name, s)
	}
}

// sweep removes old answers and idle services.
func (z *zoneShares) sweep(now time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	maps.DeleteFunc(z.answers, func(_ netip.AddrPort, a loadAnswer) bool { return now-a.at > flow.MaxZoneReportAge })
	isIdle := func(_ string, s *serviceZones) bool { return now-time.Duration(s.offeredAt.Load()) > zoneIdleTime }
	for name, s := range *z.services.Load() {
		if isIdle(name, s) {
			services := maps.Clone(*z.services.Load())
			maps.DeleteFunc(services, isIdle)
			z.services.Store(&services)
			return
		}
	}
}

// step decides the shares of a service, and requests the loads for the next step if they are
// needed.
func (z *zoneShares) step(now time.Duration, state *opaque.State, service string, s *serviceZones) {
	agents := state.View.ReadyByZone(service, state.IsOut)
	if _, hasHome := agents[z.home()]; len(agents) == 0 || hasHome && len(agents) == 1 {
		// There is no other zone to leave for.
		s.split.Store(nil)
		return
	}
	loads := z.balancer.loads
	loads.mu.Lock()
	isShort := flow.IsZoneShort(now, loads.reports, agents[z.home()])
	loads.mu.Unlock()
	if isShort {
		s.shares.RecordShortage(now)
	}
	if !s.shares.NeedsFigures(now) {
		s.split.Store(nil)
		return
	}
	zones := make([]flow.ZoneLoad, 0, len(agents))
	for _, zone := range slices.Sorted(maps.Keys(agents)) {
		zones = append(zones, flow.SumZone(zone, len(agents[zone]), z.reports(now, agents[zone])))
	}
	split := s.shares.Step(now, zones)
	s.split.Store(split)
	z.logChange(service, s, split, zones)
	for _, members := range agents {
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		for _, agent := range members[:min(flow.ZoneSample, len(members))] {
			z.balancer.requestLoad(agent)
		}
	}
}

func (z *zoneShares) reports(now time.Duration, agents []netip.AddrPort) []flow.ZoneReport {
	z.mu.Lock()
	defer z.mu.Unlock()
	var reports []flow.ZoneReport
	for _, agent := range agents {
		if a, ok := z.answers[agent]; ok {
			reports = append(reports, flow.ZoneReport{Load: a.load, Age: now - a.at, RoundTrip: a.roundTrip})
		}
	}
	return reports
}

// logChange logs the shares and their inputs if one has changed by a tenth since the last line,
// or the last flows return.
func (z *zoneShares) logChange(service string, s *serviceZones, split *flow.ZoneSplit, zones []flow.ZoneLoad) {
	shares, reason, target := make(map[string]float64), flow.PlacedHome, ""
	if split != nil {
		reason, target = split.Reason, split.Target
		for _, share := range split.Leaving {
			shares[share.Zone] = share.Share
		}
	}
	isChanged := len(shares) == 0 && len(s.logged) > 0
	for i := range zones {
		// The sum of bounded steps may be less than loggedChange by a rounding error.
		const slack = 1e-9
		isChanged = isChanged || math.Abs(shares[zones[i].Zone]-s.logged[zones[i].Zone]) >= loggedChange-slack
	}
	if !isChanged {
		return
	}
	s.logged = shares
	var inputs []string
	for i := range zones {
		l := &zones[i]
		inputs = append(inputs, fmt.Sprintf("%s: share %.2f, endpoints %d, reports %d, age %s, in flight %.1f, free %.1f of %.1f, full %.2f, wait %s, service time %s, round trip %s",
			l.Zone, shares[l.Zone], l.Endpoints, l.Reports, l.Age.Round(time.Millisecond), l.InFlight, l.Free, l.Slots, l.FullShare,
			l.Wait.Round(time.Millisecond), l.ServiceTime, l.RoundTrip))
	}
	z.balancer.instance.Decisions.Decision("zone-shares").Str("service", service).Str("reason", string(reason)).
		Str("target", target).Str("zones", strings.Join(inputs, "; ")).Msg("")
}

// crossing returns the reason for which packets of a flow go to an owner in another zone, or
// an empty one if the owner is in the balancer's zone or unknown.
func (z *zoneShares) crossing(state *opaque.State, key flow.Key, owner netip.AddrPort) flow.PlacementReason {
	if zone, ok := state.View.ZoneOf(owner); !ok || zone == z.balancer.origin {
		return ""
	}
	route := state.Table.Lookup(key.Dialed)
	if route == nil || len(route.Services) == 0 {
		return flow.PlacedHome
	}
	hash := key.Hash()
	if s := (*z.services.Load())[route.Pick(hash)]; s != nil && route.HasDeadline() {
		if split := s.split.Load(); split != nil {
			if _, leaves := split.Pick(hash); leaves {
				return split.Reason
			}
		}
	}
	return flow.PlacedHome
}

// count counts the bytes of a packet that is sent to another zone.
func (z *zoneShares) count(reason flow.PlacementReason, packet int) {
	if counter := z.bytes[reason]; counter != nil {
		counter.Add(float64(packet))
	}
}
