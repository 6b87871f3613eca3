package agent

import (
	"time"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine/opaque"
)

// handleOffer decides a packet that a balancer or another agent sends. It begins
// at OfferSpace of the buffer.
func (a *Agent) handleOffer(offer *opaque.Offer, buffer []byte) {
	h, ok := a.codec.Parse(buffer[opaque.OfferHeadroom:])
	if !ok {
		a.metrics.dropped.WithLabelValues("malformed").Inc()
		return
	}
	a.node.ObserveVersions(offer.RoutingVersion, offer.ZoneIndex)
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.IsSYN && !h.IsACK {
		a.handleSYN(&h, offer, buffer)
		return
	}
	a.handleNonSYN(&h, offer, buffer)
}

// handleSYN gives a new flow to the endpoint or offers it to the next agent.
func (a *Agent) handleSYN(h *flow.Header, offer *opaque.Offer, buffer []byte) {
	now := a.node.Now()
	key := h.KeyFromCaller()
	existing := a.table.Get(key)
	reason := flow.Accepted
	if existing == nil {
		reason = a.decide(now, h, key, offer)
	}
	a.metrics.offers.WithLabelValues(outcomeOf(reason)).Inc()
	a.logOffer(key, h, offer, reason)
	if reason != flow.Accepted {
		a.forwardToNext(h, key, offer, buffer, reason)
		return
	}
	if a.table.Offer(now, key) == nil {
		a.forwardToNext(h, key, offer, buffer, flow.RefusedBusy)
		return
	}
	a.bounceable.add(now, key, offer)
	a.deliver(buffer[opaque.OfferHeadroom:])
	if offer.Hops > 0 || h.Attempt > 0 || offer.IsReordered {
		a.node.SendOwnerUpdate(key, a.node.Address(), offer.Balancer)
	}
}

func outcomeOf(reason flow.Reason) string {
	if reason == flow.Accepted {
		return "taken"
	}
	return string(reason)
}

func (a *Agent) logOffer(key flow.Key, h *flow.Header, offer *opaque.Offer, reason flow.Reason) {
	now, state := a.node.Now(), a.node.State()
	entry := a.instance.Decisions.Decision("take")
	if a.endpoint != nil {
		entry = entry.Str("endpoint", a.endpoint.ID).Dur("heard_ago_ms", now-a.endpoint.LastSeen)
	}
	entry.Str("flow", key.String()).Int("attempt", h.Attempt).Int("hops", offer.Hops).Str("outcome", outcomeOf(reason)).
		Int("in_flight", a.table.InFlight()).Int("last_second", a.table.RecentRequests(now)).Dur("pace_ms", a.table.ResponseTime(now)).
		Uint64("routing_version", state.Table.Version).Uint64("offered_version", offer.RoutingVersion).Uint64("zone_index", state.ZoneIndex).Msg("")
}

// decide asks the gate. The newer of the two routing tables, the balancer's and
// the agent's, says whether the route may use the endpoint's service.
func (a *Agent) decide(now time.Duration, h *flow.Header, key flow.Key, offer *opaque.Offer) flow.Reason {
	state := a.node.State()
	request := flow.Request{
		IsZoneOut:      state.IsOut(a.instance.Settings.Zone),
		IsLeaving:      a.isLeaving,
		CandidatesLeft: len(offer.Candidates()),
		InFlight:       a.table.InFlight(),
		RecentRequests: a.table.RecentRequests(now),
		ResponseTime:   a.table.ResponseTime(now), LongestWait: a.table.LongestWait(now),
		FailureRate: a.table.FailureRate(now),
	}
	route := state.Table.Lookup(h.Destination)
	if route != nil {
		request.Objective = route.LatencyObjective
	}
	var coldPerSecond float64
	if a.endpoint != nil {
		service, isKnown := state.Table.Service(a.endpoint.Service)
		coldPerSecond = service.ColdPerSecond
		if !isKnown {
			// The agent has just started, and balancers know a table before it does.
			coldPerSecond = a.gate.DefaultColdRate()
		}
		request.IsFull = service.MaxFlows > 0 && a.table.Active() >= service.MaxFlows
		request.IsRouteAllowed = offer.Service == opaque.TagOfService(a.endpoint.Service)
		if offer.RoutingVersion <= state.Table.Version {
			request.IsRouteAllowed = request.IsRouteAllowed && route.Allows(a.endpoint.Service)
		}
	}
	return a.gate.Decide(now, a.endpoint, coldPerSecond, request)
}

// forwardToNext offers a new flow to the next agent, or resets it when none is left.
// Only the first copy of a SYN is answered by a reset: a later one may have
// crossed the answer of the endpoint that took the first.
func (a *Agent) forwardToNext(h *flow.Header, key flow.Key, offer *opaque.Offer, buffer []byte, reason flow.Reason) {
	next, ok := offer.PopCandidate()
	if !ok {
		if h.Attempt == 0 {
			a.sendReset(key, h.Ack, string(reason))
		}
		return
	}
	offer.Hops++
	a.node.SendOffer(offer, buffer, next)
}

// handleNonSYN gives a later packet to the endpoint when the endpoint holds its
// flow, and passes it on otherwise.
func (a *Agent) handleNonSYN(h *flow.Header, offer *opaque.Offer, buffer []byte) {
	now := a.node.Now()
	key := h.KeyFromCaller()
	if existing := a.table.HandleCallerPacket(now, h); existing != nil {
		a.metrics.hops.Observe(float64(offer.Hops))
		a.deliver(buffer[opaque.OfferHeadroom:])
		if offer.Hops > 0 {
			a.node.SendOwnerUpdate(key, a.node.Address(), offer.Balancer)
		}
		return
	}
	isAdopting := a.table.Get(key) == nil && now < a.adoptUntil
	if isAdopting && a.endpoint != nil && a.bounceable.add(now, key, offer) {
		a.deliver(buffer[opaque.OfferHeadroom:])
		return
	}
	// An endpoint that has not announced itself may be starting, and would reset
	// the flow of another one.
	offer.IsInconclusive = offer.IsInconclusive || isAdopting
	a.forwardInOrder(h, offer, buffer)
}

// forwardInOrder sends a packet to the next agent that may hold its flow.
func (a *Agent) forwardInOrder(h *flow.Header, offer *opaque.Offer, buffer []byte) {
	key := h.KeyFromCaller()
	state := a.node.State()
	hash := key.Hash()
	order := flow.Order{
		View: state.View, Flow: hash, Origin: offer.Origin,
		Services: state.Services(key, hash, a.services[:]),
	}
	next, isDetour, ok := order.Next(a.node.Address(), offer.IsShortcut)
	if (!ok || next.IsExpired) && a.isOrphan(h, offer, &order, !ok) {
		a.sendReset(key, h.Ack, "no-agent-holds-flow")
		return
	}
	offer.IsShortcut = false
	offer.IsDetour = offer.IsDetour || isDetour
	offer.Hops++
	if !ok || offer.Hops > state.View.LiveCount()+maxExpiredHops {
		a.metrics.dropped.WithLabelValues("no-holder").Inc()
		a.instance.Decisions.Decision("drop").Str("flow", key.String()).Int("hops", offer.Hops).
			Int("agents", state.View.LiveCount()).Str("reason", "no agent holds the flow").Msg("")
		return
	}
	a.node.SendOffer(offer, buffer, next.Address)
}

// isOrphan reports whether the caller of a flow is to be told that no agent
// holds it. All living agents have been asked, this one being the last. Agents
// that are gone still get the packet: if one is alive behind a cut and holds the
// flow, its endpoint answers, and the caller does not send the packet again.
func (a *Agent) isOrphan(h *flow.Header, offer *opaque.Offer, order *flow.Order, isLast bool) bool {
	if h.IsRST || !h.IsACK || offer.IsInconclusive {
		return false
	}
	packet := flow.OrphanPacket{Flow: h.KeyFromCaller(), Ack: h.Ack}
	// A caller waits for an answer to data only.
	if isLast && h.Length > 0 && offer.Visited() >= order.Len() {
		packet.QueriedView = order.View
	}
	if a.orphans.Observe(a.node.Now(), a.node.SyncedAt(), packet) {
		return true
	}
	a.node.Refresh()
	return false
}

// resetOrphans tells the callers of flows that no agent holds, after control has
// confirmed that there are no other agents.
func (a *Agent) resetOrphans() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, orphan := range a.orphans.PopConfirmed(a.node.SyncedAt(), a.node.State().View) {
		a.sendReset(orphan.Flow, orphan.Ack, "no-agent-holds-flow")
	}
}

// maxExpiredHops is how many agents beyond the living ones a packet may pass.
const maxExpiredHops = 4

func (a *Agent) deliver(packet []byte) {
	if _, err := a.outbound.WriteToUDPAddrPort(packet, a.instance.Settings.Opaque.Endpoint); err != nil {
		a.metrics.dropped.WithLabelValues("endpoint-unreachable").Inc()
	}
}

func (a *Agent) sendReset(key flow.Key, seq uint32, reason string) {
	a.metrics.resets.WithLabelValues(reason).Inc()
	state := a.node.State()
	entry := a.instance.Decisions.Decision("reset").Str("flow", key.String()).Str("reason", reason)
	if a.endpoint != nil {
		entry = entry.Str("endpoint", a.endpoint.ID)
	}
	entry.Int("in_flight", a.table.InFlight()).Int("agents", state.View.LiveCount()).
		Dur("agents_known_ago_ms", a.node.Now()-a.node.SyncedAt()).Uint64("routing_version", state.Table.Version).Msg("")
	a.reset = a.codec.AppendReset(a.reset[:0], key, seq)
	a.node.SendPacket(a.reset, key.Caller.Addr())
}

// handleOutbound handles a packet of the endpoint, or one that it has bounced.
func (a *Agent) handleOutbound(buffer []byte) {
	packet := buffer[opaque.OfferHeadroom:]
	h, ok := a.codec.Parse(packet)
	if !ok {
		a.metrics.dropped.WithLabelValues("malformed").Inc()
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.IsBounced {
		a.handleBounced(&h, buffer)
		return
	}
	if a.table.HandleEndpointPacket(a.node.Now(), &h) == nil && a.endpoint == nil {
		// An endpoint that is only starting resets whatever reaches it.
		a.metrics.dropped.WithLabelValues("endpoint-starting").Inc()
		return
	}
	a.node.SendPacket(packet, h.Destination.Addr())
}

// handleBounced finds another agent for a packet that the endpoint did not take.
func (a *Agent) handleBounced(h *flow.Header, buffer []byte) {
	key := h.KeyFromCaller()
	a.codec.ClearMarks(buffer[opaque.OfferHeadroom:])
	existing := a.table.Get(key)
	if existing != nil && existing.Matches(h) {
		// The endpoint has lost a flow that it held: the caller is to dial again.
		a.table.Remove(key)
		a.sendReset(key, h.Ack, "endpoint-lost-flow")
		return
	}
	offer, ok := a.bounceable.get(key)
	if !ok {
		a.metrics.dropped.WithLabelValues("bounced").Inc()
		return
	}
	if h.IsSYN && !h.IsACK {
		a.table.Refuse(key)
		a.metrics.offers.WithLabelValues(outcomeOf(flow.RefusedByEndpoint)).Inc()
		a.logOffer(key, h, &offer, flow.RefusedByEndpoint)
		a.forwardToNext(h, key, &offer, buffer, flow.RefusedByEndpoint)
		return
	}
	a.forwardInOrder(h, &offer, buffer)
}
