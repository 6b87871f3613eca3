package agent

import (
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

// correctionInterval separates corrections of balancers' views.
const correctionInterval = 50 * time.Millisecond

// guard is what an agent knows of the zones. It never changes once made.
type guard struct {
	// isZoneOut is true when the agent's own zone is out of service.
	isZoneOut bool
	// isAnyOut is true when any zone is out of service.
	isAnyOut bool
	// out holds the agents in zones that are out, by packed address.
	out map[string]bool
}

// withoutZonesOut returns the candidates that are not in a zone known to be out.
func (g *guard) withoutZonesOut(candidates [][]byte) [][]byte {
	if len(g.out) == 0 {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(address []byte) bool { return g.out[string(address)] })
}

// readGuard reads the zones, and the endpoints only while a zone is out.
func (a *Agent) readGuard() *guard {
	next := &guard{out: make(map[string]bool)}
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
			next.out[string(endpoint.Address)] = true
		}
	}
	return next
}

// followZones keeps the guard up to date.
func (a *Agent) followZones(records []*wire.Record) {
	isZone := func(record *wire.Record) bool { return record.Kind == wire.Record_KIND_ZONE }
	isEndpoint := func(record *wire.Record) bool { return record.Kind == wire.Record_KIND_ENDPOINT }
	if slices.ContainsFunc(records, isZone) || (a.guard.Load().isAnyOut && slices.ContainsFunc(records, isEndpoint)) {
		a.guardMu.Lock()
		defer a.guardMu.Unlock()
		next := a.readGuard()
		if previous := a.guard.Swap(next); next.isZoneOut && !previous.isZoneOut {
			go a.giveUpFlows()
		}
	}
}

// refuse drops a datagram that was routed by a stale view and tells the
// balancer the newer state.
func (a *Agent) refuse(reason dropReason, balancer netip.AddrPort) {
	a.drop(reason)
	now := time.Now().UnixNano()
	last := a.corrected.Load()
	if now-last < int64(correctionInterval) || !a.corrected.CompareAndSwap(last, now) {
		return
	}
	newer := &wire.Exchange{Records: a.instance.Store.List(wire.Record_KIND_ZONE)}
	if own := a.instance.Store.Get(wire.Record_KIND_ENDPOINT, a.instance.Settings.Instance); own != nil {
		newer.Records = append(newer.Records, own)
	}
	payload, err := proto.Marshal(newer)
	if err != nil {
		a.drop(dropSendFailed)
		return
	}
	a.instance.Decisions.Decision("refuse").Str("reason", string(reason)).Stringer("balancer", balancer).Msg("stale view corrected")
	a.send(&wire.Envelope{Kind: wire.Envelope_KIND_STALE, Payload: payload, Incarnation: a.instance.Incarnation}, balancer)
}
