package agent

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

// correctionInterval is the minimum time between two corrections of a balancer's view.
const correctionInterval = 50 * time.Millisecond

// maxCorrectedBalancers bounds how many balancers are corrected within correctionInterval.
const maxCorrectedBalancers = 1024

// corrections paces the corrections of each balancer's view. The zero value is ready to
// use. It is safe for concurrent use.
type corrections struct {
	mu sync.Mutex
	// last is when each balancer was corrected.
	last map[netip.AddrPort]time.Time
}

// take reports whether the balancer may be corrected now, and if so counts the correction.
func (c *corrections) take(now time.Time, balancer netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isRecent := func(at time.Time) bool { return now.Sub(at) < correctionInterval }
	if at, ok := c.last[balancer]; ok && isRecent(at) {
		return false
	}
	if len(c.last) >= maxCorrectedBalancers {
		maps.DeleteFunc(c.last, func(_ netip.AddrPort, at time.Time) bool { return !isRecent(at) })
		if len(c.last) >= maxCorrectedBalancers {
			return false
		}
	}
	if c.last == nil {
		c.last = make(map[netip.AddrPort]time.Time)
	}
	c.last[balancer] = now
	return true
}

// zoneState is an immutable snapshot of the zones that are out of service.
type zoneState struct {
	// isZoneOut is true when the agent's own zone is out of service.
	isZoneOut bool
	// isAnyOut is true when at least one zone is out of service.
	isAnyOut bool
	// agentsOut holds the agents in zones that are out of service, by packed address.
	agentsOut map[string]bool
}

// withoutZonesOut returns the candidates that are not in a zone known to be out of service.
func (z *zoneState) withoutZonesOut(candidates [][]byte) [][]byte {
	if len(z.agentsOut) == 0 {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(address []byte) bool { return z.agentsOut[string(address)] })
}

// readZoneState reads the zone records, and the endpoint records only while a
// zone is out of service.
func (a *Agent) readZoneState() *zoneState {
	next := &zoneState{agentsOut: make(map[string]bool)}
	zonesOut := make(map[string]bool)
	for _, record := range a.instance.Store.List(wire.Record_KIND_ZONE) {
		zone := new(wire.Zone)
		if proto.Unmarshal(record.Value, zone) == nil && zone.Out {
			zonesOut[zone.Name] = true
		}
	}
	next.isZoneOut = zonesOut[a.instance.Settings.Zone]
	next.isAnyOut = len(zonesOut) > 0
	if !next.isAnyOut {
		return next
	}
	for _, record := range a.instance.Store.List(wire.Record_KIND_ENDPOINT) {
		endpoint := new(wire.Endpoint)
		if proto.Unmarshal(record.Value, endpoint) == nil && zonesOut[endpoint.Zone] {
			next.agentsOut[string(endpoint.Address)] = true
		}
	}
	return next
}

// updateZones replaces the zone state when relevant records change, and closes
// all flows when the agent's own zone goes out of service.
func (a *Agent) updateZones(records []*wire.Record) {
	isZone := func(record *wire.Record) bool { return record.Kind == wire.Record_KIND_ZONE }
	isEndpoint := func(record *wire.Record) bool { return record.Kind == wire.Record_KIND_ENDPOINT }
	if slices.ContainsFunc(records, isZone) || (a.zones.Load().isAnyOut && slices.ContainsFunc(records, isEndpoint)) {
		a.zonesMu.Lock()
		defer a.zonesMu.Unlock()
		next := a.readZoneState()
		if previous := a.zones.Swap(next); next.isZoneOut && !previous.isZoneOut {
			go a.closeFlows()
		}
	}
}

// dropAndCorrect drops a datagram that was routed by a stale view and sends the
// balancer the current zone and endpoint records.
func (a *Agent) dropAndCorrect(reason dropReason, balancer netip.AddrPort) {
	a.drop(reason)
	if !a.corrections.take(time.Now(), balancer) {
		return
	}
	update := &wire.Exchange{Records: a.instance.Store.List(wire.Record_KIND_ZONE)}
	if own := a.instance.Store.Get(wire.Record_KIND_ENDPOINT, a.instance.Settings.Instance); own != nil {
		update.Records = append(update.Records, own)
	}
	payload, err := proto.Marshal(update)
	if err != nil {
		a.drop(dropSendFailed)
		return
	}
	a.instance.Decisions.Decision("refuse").Str("reason", string(reason)).Stringer("balancer", balancer).Msg("stale view corrected")
	a.send(&wire.Envelope{Kind: wire.Envelope_KIND_STALE, Payload: payload, Incarnation: a.instance.Incarnation}, balancer)
}
