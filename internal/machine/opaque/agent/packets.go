package agent

import (
	"net/netip"
	"slices"
	"time"

	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/roster"
)

// handleOffer handles a packet from a balancer or another agent. The packet starts at
// offset OfferHeadroom of the buffer.
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
	a.handleNonSYN(&h, offer, buffer, a.node.Now())
}

// handleSYN delivers a new flow to the endpoint or offers it to the next agent.
func (a *Agent) handleSYN(h *flow.Header, offer *opaque.Offer, buffer []byte) {
	now := a.node.Now()
	key := h.KeyFromCaller()
	existing := a.table.Get(key)
	reason := flow.Accepted
	a.observeSaturation()
	if existing == nil {
		reason = a.decide(now, h, key, offer)
	}
	a.metrics.offers.WithLabelValues(outcomeOf(reason)).Inc()
	a.logOffer(key, h, offer, reason)
	if reason != flow.Accepted {
		a.reportOffer(now, key, offer.Balancer, reason)
		a.forwardToNext(h, key, offer, buffer, reason)
		return
	}
	if a.table.Offer(now, key) == nil {
		a.forwardToNext(h, key, offer, buffer, flow.RefusedBusy)
		return
	}
	a.reportOffer(now, key, offer.Balancer, reason)
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

// logOffer writes the decision on an offered flow to the decision log.
func (a *Agent) logOffer(key flow.Key, h *flow.Header, offer *opaque.Offer, reason flow.Reason) {
	now, state := a.node.Now(), a.node.State()
	entry := a.instance.Decisions.Decision("take")
	if e := a.lifecycle.Admission(now); e != nil {
		entry = entry.Str("endpoint", e.ID).Dur("heard_ago_ms", now-e.LastSeen)
	}
	if route := state.Table.Lookup(key.Dialed); route != nil {
		entry = entry.Int("priority", route.Priority)
	}
	entry.Str("flow", key.String()).Int("attempt", h.Attempt).Int("hops", offer.Hops).Str("outcome", outcomeOf(reason)).
		Int("in_flight", a.table.InFlight()).Int("last_second", a.table.RecentRequests(now)).Dur("pace_ms", a.table.ResponseTime(now)).
		Uint64("routing_version", state.Table.Version).Uint64("offered_version", offer.RoutingVersion).Uint64("zone_index", state.ZoneIndex).Msg("")
}

// decide returns the gate's decision on a new flow. Whether the route may use the
// endpoint's service is determined by the newer of the balancer's and the agent's
// routing tables.
func (a *Agent) decide(now time.Duration, h *flow.Header, key flow.Key, offer *opaque.Offer) flow.Reason {
	state := a.node.State()
	request := flow.AdmissionRequest{
		IsZoneOut:      state.IsOut(a.instance.Settings.Zone),
		IsLeaving:      a.isLeaving,
		CandidatesLeft: len(offer.Candidates()),
		InFlight:       a.table.InFlight(),
		RecentRequests: a.table.RecentRequests(now),
		ResponseTime:   a.table.ResponseTime(now), LongestWait: a.table.LongestWait(now),
		ServiceTime: a.table.RecentServiceTime(), IsSlowForService: state.View.IsSlow(a.node.Address()), FailureRate: a.table.FailureRate(now),
	}
	route := state.Table.Lookup(h.Destination)
	if route != nil {
		request.Objective = route.LatencyObjective
		request.Elapsed = flow.TransmissionTime(h.Attempt)
	}
	var coldPerSecond float64
	endpoint := a.lifecycle.Admission(now)
	if endpoint != nil {
		service, isKnown := state.Table.Service(endpoint.Service)
		coldPerSecond = service.ColdPerSecond
		request.IsLeastUrgent = isKnown && route != nil && service.IsLeastUrgent(route)
		if !isKnown {
			// The agent has recently started, and balancers have received a routing table
			// before it.
			coldPerSecond = a.gate.DefaultColdRate()
		}
		request.IsHistoryUnknown = isKnown && now-a.knownFrom < flow.ColdWindow
		// Endpoints of a zone that was out of service may have been restarted meanwhile.
		request.MayBeCold = endpoint.LastSeen < a.zoneReturnedAt
		request.IsFull = service.MaxFlows > 0 && a.table.Active() >= service.MaxFlows
		request.IsRouteAllowed = offer.Service == opaque.TagOfService(endpoint.Service)
		if offer.RoutingVersion <= state.Table.Version {
			request.IsRouteAllowed = request.IsRouteAllowed && route.Allows(endpoint.Service)
		}
	}
	return a.gate.Decide(now, endpoint, coldPerSecond, request)
}

// forwardToNext offers a new flow to the next candidate, or resets it if none is left.
// Only the first transmission of a SYN is answered with a reset, because a
// retransmission may have crossed the answer of an endpoint that accepted the first. In a
// rush it is not answered either: the next transmission is likely to find a free slot.
func (a *Agent) forwardToNext(h *flow.Header, key flow.Key, offer *opaque.Offer, buffer []byte, reason flow.Reason) {
	next, ok := offer.PopCandidate()
	if !ok {
		isRush := isTemporary(reason) && !a.saturation.IsSustained(a.node.Now())
		if h.Attempt == 0 && !offer.IsLate && !isRush {
			a.sendReset(key, h.Ack, resetCause{reason: string(reason), hops: offer.Hops})
		}
		return
	}
	offer.Hops++
	a.node.SendOffer(offer, buffer, next)
}

// isTemporary reports whether an endpoint that refuses a flow for a reason may accept it
// soon.
func isTemporary(reason flow.Reason) bool {
	return reason == flow.RefusedBusy || reason == flow.RefusedCold
}

// observeSaturation records whether the endpoint has a free slot.
func (a *Agent) observeSaturation() {
	if e := a.lifecycle.Endpoint(); e != nil {
		a.saturation.Observe(a.node.Now(), a.table.InFlight(), e.Slots)
	}
}

// handleNonSYN handles a packet that does not open a flow. It delivers the packet to
// the endpoint if the endpoint has the flow, and forwards it otherwise.
func (a *Agent) handleNonSYN(h *flow.Header, offer *opaque.Offer, buffer []byte, arrivedAt time.Duration) {
	now := a.node.Now()
	key := h.KeyFromCaller()
	if owned := a.table.HandleCallerPacket(now, h); owned != nil {
		a.metrics.hops.Observe(float64(offer.Hops))
		a.deliver(buffer[opaque.OfferHeadroom:])
		if _, isSeen := owned.OpenedAt(); isSeen && h.Length == 0 && !h.IsFIN && !h.IsRST {
			a.witnesses.Record(key, buffer[opaque.OfferHeadroom:])
		}
		if offer.Hops > 0 {
			a.node.SendOwnerUpdate(key, a.node.Address(), offer.Balancer)
		}
		return
	}
	if a.awaitsFlows {
		a.deferred.Add(now, arrivedAt, h, buffer[opaque.OfferHeadroom:], *offer)
		return
	}
	isAdopting := now < a.adoptUntil
	existing := a.table.Get(key)
	isUnknown := existing == nil || existing.IsUnanswered(now)
	if isUnknown && a.bounceable.isBounced(now, key) {
		offer.Trials++
		a.forwardInOrder(h, offer, buffer, arrivedAt)
		return
	}
	isTried := isAdopting && isUnknown && (a.lifecycle.Endpoint() != nil || a.lifecycle.IsUnannounced())
	isTried = isTried && a.isTrialAllowed(now, h, key, offer)
	if isAdopting {
		offer.Trials++
	}
	if isTried && a.bounceable.add(now, key, offer) {
		a.bounceable.keep(key, buffer)
		a.openFlowLine("try", key, offer).Int("earlier", offer.Trials-1).Dur("adopt_left_ms", a.adoptUntil-now).Dur("uptime_ms", now).Msg("")
		a.deliver(buffer[opaque.OfferHeadroom:])
		return
	}
	// The endpoint may have the flow from before the agent's start. Where the agent has
	// offered it a SYN of the flow, it may have answered that one while the caller has opened
	// the flow elsewhere.
	offer.IsInconclusive = offer.IsInconclusive || isAdopting
	a.forwardInOrder(h, offer, buffer, arrivedAt)
}

// isTrialAllowed reports whether a packet of an unknown flow may be tried on the endpoint. It probes
// the agents that may be absent, so that the next transmission of the packet finds out.
func (a *Agent) isTrialAllowed(now time.Duration, h *flow.Header, key flow.Key, offer *opaque.Offer) bool {
	repeatedFor, ok := a.forwards.Observe(now, h)
	state, hash := a.node.State(), key.Hash()
	if !ok || !state.IsUsable || offer.IsShortcut || offer.Trials == 0 {
		return true
	}
	order := flow.Order{View: state.View, Flow: hash, Origin: offer.Origin, Services: state.Services(key, hash, a.services[:])}
	away := order.AppendAway(nil, &a.self)
	trial := flow.Trial{Earlier: offer.Trials, RepeatedFor: repeatedFor}
	trial.IsOwnerAbsent = slices.ContainsFunc(away, func(agent netip.AddrPort) bool {
		return repeatedFor == 0 || a.suspects.IsSuspected(now, agent)
	})
	a.probe(away)
	return trial.IsAllowed()
}

// forwardInOrder sends a packet to the next agent in the order that may own its flow.
// If no agent owns it, the packet is dropped or the flow is reset. A packet from an
// instance with a newer routing table is deferred, because this agent's order may lack
// agents that own it.
func (a *Agent) forwardInOrder(h *flow.Header, offer *opaque.Offer, buffer []byte, arrivedAt time.Duration) {
	key := h.KeyFromCaller()
	state := a.node.State()
	if !state.IsUsable || state.Table.Version < offer.RoutingVersion {
		a.instance.Decisions.Decision("defer").Str("flow", key.String()).Int("hops", offer.Hops).
			Uint64("routing_version", state.Table.Version).Uint64("offered_version", offer.RoutingVersion).
			Bool("usable", state.IsUsable).Msg("")
		a.deferred.Add(a.node.Now(), arrivedAt, h, buffer[opaque.OfferHeadroom:], *offer)
		return
	}
	hash := key.Hash()
	order := flow.Order{
		View: state.View, Flow: hash, Origin: offer.Origin,
		Services: state.Services(key, hash, a.services[:]),
	}
	// An earlier hop with an older table may have left out agents that own the flow.
	offer.IsInconclusive = offer.IsInconclusive || state.Table.Version > offer.RoutingVersion
	next, ok := a.nextInOrder(key, offer, &order)
	if (!ok || next.IsExpired) && a.isOrphan(h, offer, &order) {
		a.sendReset(key, h.Ack, resetCause{reason: reasonNoOwner, hops: offer.Hops})
		return
	}
	offer.IsShortcut = false
	offer.Hops++
	if !ok || offer.Hops > maxHops(state.View, offer) {
		a.metrics.dropped.WithLabelValues("no-holder").Inc()
		a.openFlowLine("drop", key, offer).
			Int("agents", state.View.LiveCount()).Str("reason", "no agent holds the flow").Msg("")
		return
	}
	if a.forwards.Record(a.node.Now(), h, next.Address) && !next.IsExpired {
		a.probeNext(next.Address)
	}
	a.node.SendOffer(offer, buffer, next.Address)
}

// nextInOrder counts this agent among those that a packet has visited, and returns the next one
// in the order. After the live agents that answer probes, these are those that were left out,
// and then the expired ones.
func (a *Agent) nextInOrder(key flow.Key, offer *opaque.Offer, order *flow.Order) (flow.Member, bool) {
	next, isDetour, ok := order.Next(&a.self, offer.IsShortcut)
	if !isDetour && order.Has(&a.self) {
		offer.Visited = offer.Visited.With(&a.self)
	}
	next, ok = a.skipSilent(next, ok, order)
	if ok && !next.IsExpired {
		return next, true
	}
	if leftOut, isFound := a.returnPacket(key, offer, order); isFound {
		return leftOut, true
	}
	return next, ok
}

// maxHops returns how many hops a packet may make: over all live agents, twice if it was
// returned, and to some expired ones.
func maxHops(view *flow.View, offer *opaque.Offer) int {
	const toExpired = 4
	if offer.IsReturned {
		return 2*view.LiveCount() + toExpired
	}
	return view.LiveCount() + toExpired
}

// skipSilent returns the next agent of the order that answers probes, or one that may not: an
// expired one, or one that has announced that it stops and may restart while its endpoint
// serves. A packet that reaches the last agent without those that were skipped is returned to
// them.
func (a *Agent) skipSilent(next flow.Member, ok bool, order *flow.Order) (flow.Member, bool) {
	for ok && !next.IsExpired && next.IsReady && a.suspects.IsUnresponsive(a.node.Now(), next.Address) {
		// An answer shows that it has returned.
		a.probe([]netip.AddrPort{next.Address})
		next, ok = order.After(&next)
	}
	return next, ok
}

// probeNext probes an agent that a packet was forwarded to more than once, and again if it does
// not answer. The caller holds the lock.
func (a *Agent) probeNext(agent netip.AddrPort) {
	if !a.suspects.RecordUnanswered(a.node.Now(), agent) {
		return
	}
	a.node.Probe(agent)
	time.AfterFunc(orphanCheckInterval, func() {
		defer a.node.RecoverPanic("probe of the next agent")
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.suspects.IsSuspected(a.node.Now(), agent) {
			a.probe([]netip.AddrPort{agent})
		}
	})
}

// returnPacket returns the agent that a packet which has reached the last live agent goes to
// because it was left out on the way. A packet is returned at most once.
func (a *Agent) returnPacket(key flow.Key, offer *opaque.Offer, order *flow.Order) (flow.Member, bool) {
	if !offer.HasVisited || offer.IsReturned {
		return flow.Member{}, false
	}
	leftOut, ok := order.LeftOut(offer.Visited)
	if !ok {
		return flow.Member{}, false
	}
	offer.IsReturned = true
	a.metrics.returned.Inc()
	a.instance.Decisions.Decision("return").Str("flow", key.String()).Int("hops", offer.Hops).
		Stringer("agent", leftOut.Address).Msg("")
	return leftOut, true
}

// handlePublished handles a new state of the node.
func (a *Agent) handlePublished() {
	a.mu.Lock()
	state, zone, wasOut := a.node.State(), a.instance.Settings.Zone, a.isZoneOut
	a.isZoneOut = state.IsOut(zone)
	// The zone may have been out of service between two states.
	index := state.ReturnIndex(zone)
	if wasOut && !a.isZoneOut || index > a.zoneReturnIndex {
		a.zoneReturnIndex, a.zoneReturnedAt = index, a.node.Now()
	}
	wasDown := a.lifecycle.IsDown()
	isChanged := a.applyServices()
	wasDown = wasDown && !a.lifecycle.IsDown()
	a.mu.Unlock()
	if wasDown {
		// No check was due while no endpoint ran.
		a.scheduleCheck()
	}
	if isChanged {
		a.node.Refresh()
	}
	a.releaseDeferred()
}

// releaseDeferred forwards the deferred packets. Those that still wait for a newer routing
// table are deferred again, at most until flow.DeferTTL.
func (a *Agent) releaseDeferred() {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.logLostDeferred()
	if a.deferred.Len() == 0 {
		return
	}
	now := a.node.Now()
	buffer := make([]byte, opaque.OfferHeadroom, opaque.OfferHeadroom+opaque.MaxPacketBytes)
	for _, p := range a.deferred.Take(now) {
		packet := append(buffer, p.Packet...)
		if h, ok := a.codec.Parse(packet[opaque.OfferHeadroom:]); ok {
			a.handleNonSYN(&h, &p.Extra, packet, p.ArrivedAt)
		}
	}
}

// isOrphan reports whether to reset a flow because no agent owns it. It is called when
// the packet has reached all live agents, this one being the last. Expired agents still
// get the packet, and are probed: while one of them answers, it may own the flow.
func (a *Agent) isOrphan(h *flow.Header, offer *opaque.Offer, order *flow.Order) bool {
	if h.IsRST || !h.IsACK || offer.IsInconclusive {
		return false
	}
	packet := flow.OrphanPacket{
		Flow: h.KeyFromCaller(), Seq: h.Seq, Ack: h.Ack, Length: h.Length, Hops: offer.Hops, Expired: order.AppendExpired(nil),
	}
	if offer.HasVisited && offer.Visited == order.Live() {
		packet.VisitedView, packet.RoutingVersion = order.View, offer.RoutingVersion
	}
	if a.probe(packet.Expired); len(packet.Expired) > 0 {
		a.scheduleOrphanCheck()
	}
	if a.orphans.Observe(a.node.Now(), a.node.SyncedAt(), packet, a.isSilent) {
		return true
	}
	a.node.Refresh()
	return false
}

// probe probes agents that have expired, unless they were probed recently. The caller
// holds the lock, as for isSilent.
func (a *Agent) probe(agents []netip.AddrPort) {
	for _, agent := range agents {
		if a.suspects.RecordUnanswered(a.node.Now(), agent) {
			a.node.Probe(agent)
		}
	}
}

// orphanCheckInterval separates the probes of expired agents, and their evaluation.
const orphanCheckInterval = 110 * time.Millisecond

// scheduleOrphanCheck checks the flows without an owner after orphanCheckInterval, and
// again as long as expired agents may own some. The caller holds the lock.
func (a *Agent) scheduleOrphanCheck() {
	if a.isOrphanCheckScheduled {
		return
	}
	a.isOrphanCheckScheduled = true
	time.AfterFunc(orphanCheckInterval, func() {
		defer a.node.RecoverPanic("check of flows without an owner")
		a.mu.Lock()
		defer a.mu.Unlock()
		a.isOrphanCheckScheduled = false
		a.orphans.Sweep(a.node.Now())
		if a.resetConfirmedOrphans() {
			a.scheduleOrphanCheck()
		}
	})
}

// maxRestartTime is how long an agent that was stopped gracefully may take to return.
const maxRestartTime = 8 * time.Second

// isSilent reports whether an agent has not answered its probes for so long that it does not
// merely restart. Control has waited for roster.Timeout before it took an agent for expired;
// the agent here waits as long for one that control has not heard of since its own start.
func (a *Agent) isSilent(agent netip.AddrPort) bool {
	minSilence := time.Duration(0)
	switch a.node.State().View.AbsenceOf(agent) {
	case flow.AbsenceUnseen:
		minSilence = roster.Timeout
	case flow.AbsenceStopped:
		minSilence = maxRestartTime
	}
	return a.suspects.IsSilent(a.node.Now(), agent, minSilence)
}

func (a *Agent) handleProbeAnswer(agent netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.suspects.RecordAnswer(agent)
}

// resetOrphans resets the flows that no agent owns, after control has confirmed that
// there are no other agents. It probes the expired agents that may own others.
func (a *Agent) resetOrphans() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resetConfirmedOrphans()
}

// resetConfirmedOrphans reports whether expired agents may own some of the other flows.
func (a *Agent) resetConfirmedOrphans() (arePending bool) {
	state := a.node.State()
	for _, orphan := range a.orphans.PopConfirmed(a.node.SyncedAt(), state.View, state.Table.Version, a.isSilent) {
		a.sendReset(orphan.Flow, orphan.Ack, resetCause{reason: reasonNoOwner, hops: orphan.Hops, expired: len(orphan.Expired)})
	}
	a.expired = a.orphans.AppendExpired(a.expired[:0])
	a.probe(a.expired)
	return len(a.expired) > 0
}

// deliver sends a packet to the endpoint.
func (a *Agent) deliver(packet []byte) {
	if _, err := a.outbound.WriteToUDPAddrPort(packet, a.instance.Settings.Opaque.Endpoint); err != nil {
		a.metrics.dropped.WithLabelValues("endpoint-unreachable").Inc()
		a.logUnreachable(packet, err)
	}
}

// resetCause is what a reset was decided on.
type resetCause struct {
	reason string
	// hops is the number of agents that had forwarded the packet, and expired the number of
	// expired agents that were taken for failed.
	hops, expired int
	// endpoint is the endpoint that has ended, nil for other reasons.
	endpoint *flow.Endpoint
}

// sendReset resets a flow at its caller and logs the cause.
func (a *Agent) sendReset(key flow.Key, seq uint32, cause resetCause) {
	a.metrics.resets.WithLabelValues(cause.reason).Inc()
	now, state := a.node.Now(), a.node.State()
	entry := a.resetLine(cause.reason).Str("flow", key.String()).Str("reason", cause.reason).
		Int("hops", cause.hops).Int("expired", cause.expired).Dur("uptime_ms", now)
	if cause.endpoint == nil {
		cause.endpoint = a.lifecycle.Endpoint()
	}
	if e := cause.endpoint; e != nil {
		entry = entry.Str("endpoint", e.ID).Dur("heard_ago_ms", now-e.LastSeen)
	}
	entry.Int("in_flight", a.table.InFlight()).Int("agents", state.View.LiveCount()).
		Dur("agents_known_ago_ms", now-a.node.SyncedAt()).Uint64("routing_version", state.Table.Version).Msg("")
	a.reset = a.codec.AppendReset(a.reset[:0], key, seq)
	a.node.SendPacket(a.reset, key.Caller.Addr())
}

// handleOutbound handles a packet that the endpoint has sent or bounced.
func (a *Agent) handleOutbound(buffer []byte) {
	defer a.node.RecoverPanic("packet of the endpoint")
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
	if a.isHandedOver && h.IsSYN && !a.table.IsAnswered(h.KeyFromEndpoint()) {
		// The next start would not know the flow.
		a.metrics.dropped.WithLabelValues("after-handover").Inc()
		return
	}
	f := a.table.HandleEndpointPacket(a.node.Now(), &h)
	if f == nil && a.handleUnknownReset(&h) {
		return
	}
	if f != nil && !h.IsSYN && !h.IsRST {
		if heldSince, ok := f.HeldSince(); ok {
			a.lifecycle.RecordEndpointPacket(heldSince)
		}
	}
	a.observeSaturation()
	a.node.SendPacket(packet, h.Destination.Addr())
}

// handleUnknownReset handles a reset of a flow that is not known to be the endpoint's. If it
// answers a packet that the agent has tried, the flow may be another endpoint's: this one is
// still starting, or has had a part in the handshake. That packet is forwarded then, and the
// reset is not. handleUnknownReset reports whether the reset is held back.
func (a *Agent) handleUnknownReset(h *flow.Header) (isHeldBack bool) {
	key := h.KeyFromEndpoint()
	offer, buffer, isKept := a.bounceable.takeKept(key)
	if !isKept && a.lifecycle.Endpoint() != nil {
		return false
	}
	a.metrics.dropped.WithLabelValues("reset-of-unknown-flow").Inc()
	if packet, ok := a.codec.Parse(buffer[min(opaque.OfferHeadroom, len(buffer)):]); ok {
		a.openFlowLine("bounce", key, &offer).Str("reason", "reset by the endpoint").Msg("")
		a.bounceable.setBounced(a.node.Now(), key)
		a.forwardInOrder(&packet, &offer, buffer, a.node.Now())
	}
	return true
}

// handleBounced forwards a packet that the endpoint did not accept to another agent.
func (a *Agent) handleBounced(h *flow.Header, buffer []byte) {
	key := h.KeyFromCaller()
	a.codec.ClearMarks(buffer[opaque.OfferHeadroom:])
	existing := a.table.Get(key)
	if existing != nil && !h.IsSYN && existing.Matches(h) {
		// The endpoint has lost a flow that it had. The reset makes the caller reconnect.
		a.table.Remove(key)
		a.sendReset(key, h.Ack, resetCause{reason: reasonLostFlow})
		a.recordLostFlow(existing)
		return
	}
	isNew := h.IsSYN && !h.IsACK
	if !isNew {
		a.bounceable.setBounced(a.node.Now(), key)
	}
	offer, ok := a.bounceable.get(key)
	if !ok {
		a.metrics.dropped.WithLabelValues("bounced").Inc()
		return
	}
	if isNew {
		a.table.Refuse(key)
		a.metrics.offers.WithLabelValues(outcomeOf(flow.RefusedByEndpoint)).Inc()
		a.logOffer(key, h, &offer, flow.RefusedByEndpoint)
		a.reportOffer(a.node.Now(), key, offer.Balancer, flow.RefusedByEndpoint)
		a.forwardToNext(h, key, &offer, buffer, flow.RefusedByEndpoint)
		return
	}
	a.openFlowLine("bounce", key, &offer).Str("reason", "returned by the endpoint").Msg("")
	a.forwardInOrder(h, &offer, buffer, a.node.Now())
}
