package agent

import (
	"time"

	"sassafrasturn.example/internal/flow"
)

// Announcement is the state that an endpoint reports in a heartbeat.
type Announcement struct {
	ID      string
	Service string
	Slots   int
	// StartedAt is the wall-clock time of the endpoint's start in Unix milliseconds, 0
	// if the endpoint did not report it.
	StartedAt int64
	// Sequence increases with each announcement of the same start.
	Sequence   uint64
	IsDraining bool
	// ColdLeft is the time for which the endpoint remains cold.
	ColdLeft time.Duration
}

// Announce applies an announcement. When it returns, the announced state is in effect
// for all new flows.
func (a *Agent) Announce(announcement Announcement) {
	a.mu.Lock()
	wasDown := a.lifecycle.IsDown()
	isChanged := a.applyAnnouncement(announcement)
	a.mu.Unlock()
	if wasDown {
		// No check was due while no endpoint ran.
		a.scheduleCheck()
	}
	if isChanged {
		a.node.Refresh()
	}
}

// applyAnnouncement applies an announcement unless it is stale, and reports whether
// the agent's record changed. The caller holds the lock.
func (a *Agent) applyAnnouncement(announcement Announcement) (isChanged bool) {
	now := a.node.Now()
	previous := a.lifecycle.Endpoint()
	change, ended := a.lifecycle.Announce(now, flow.Endpoint{
		ID: announcement.ID, Service: announcement.Service, Slots: announcement.Slots, StartedAt: announcement.StartedAt,
		Sequence: announcement.Sequence, IsDraining: announcement.IsDraining,
		ColdUntil: now + announcement.ColdLeft, LastSeen: now,
	})
	a.metrics.announcements.WithLabelValues(nameOf(change)).Inc()
	switch change {
	case flow.ChangeNone:
		a.logOther(previous, &announcement, "ignoring delayed announcement of another endpoint")
	case flow.ChangeUnnamed:
		a.logOther(previous, &announcement, "setting aside announcement of a service that is not named")
	case flow.ChangeClaimed:
		a.logOther(previous, &announcement, "another endpoint claims the address of the current one")
		a.probeEndpoint()
	case flow.ChangeUpdated:
		a.witnesses.RecordAnnouncement(a.isKept)
	}
	a.clearEnded(ended)
	isShown := change == flow.ChangeUpdated && previous.IsDraining != announcement.IsDraining
	if change == flow.ChangeStarted || isShown {
		a.logAnnounced()
	}
	before := a.record.Sequence
	a.refreshRecord()
	return a.record.Sequence != before
}

// logAnnounced logs the state of the current endpoint.
func (a *Agent) logAnnounced() {
	now, e := a.node.Now(), a.lifecycle.Endpoint()
	a.instance.Log.Info().Str("endpoint", e.ID).Str("service", e.Service).
		Uint64("sequence", e.Sequence).Int64("born", e.StartedAt).Dur("uptime_ms", now).
		Bool("draining", e.IsDraining).Dur("cold_left_ms", max(0, e.ColdUntil-now)).Msg("endpoint announced")
}

// applyServices decides anew which endpoint is current, by the services that the routing
// table names, and reports whether the agent's record changed. The caller holds the lock.
func (a *Agent) applyServices() (isChanged bool) {
	table := a.node.State().Table
	if table.Version == 0 {
		return false
	}
	change := a.lifecycle.SetServices(a.node.Now(), flow.Services{Configured: a.instance.Settings.Opaque.Service, Table: table})
	if change != flow.ChangeStarted {
		return false
	}
	a.metrics.announcements.WithLabelValues(nameOf(change)).Inc()
	a.logAnnounced()
	before := a.record.Sequence
	a.refreshRecord()
	return a.record.Sequence != before
}

// nameOf returns the label of the effect of an announcement.
func nameOf(change flow.Change) string {
	switch change {
	case flow.ChangeUpdated:
		return "updated"
	case flow.ChangeClaimed:
		return "claimed"
	case flow.ChangeStarted:
		return "started"
	case flow.ChangeUnnamed:
		return "unnamed"
	}
	return "ignored"
}

// logOther logs an announcement that is not of the current endpoint.
func (a *Agent) logOther(current *flow.Endpoint, announcement *Announcement, message string) {
	if current != nil && current.ID == announcement.ID && current.StartedAt == announcement.StartedAt && current.Service == announcement.Service {
		return
	}
	entry := a.instance.Log.Info().Str("endpoint", announcement.ID).Str("service", announcement.Service).
		Int64("born", announcement.StartedAt).Uint64("sequence", announcement.Sequence)
	if current != nil {
		entry = entry.Str("current", current.ID).Dur("heard_ago_ms", a.node.Now()-current.LastSeen)
	}
	entry.Msg(message)
}

// clearEnded resets the flows of an endpoint that another one has replaced, if any. The caller
// holds the lock.
func (a *Agent) clearEnded(ended *flow.Endpoint) {
	if ended == nil {
		return
	}
	// The new endpoint may have accepted flows before its first announcement.
	a.resetFlows(reasonRestarted, ended, a.table.ClearBefore(ended.LastSeen-reuseMargin))
	a.witnesses.Clear()
	a.adoptUntil = 0
}

// probeEndpoint sends the endpoint copies of packets of a few flows, which it bounces if it has
// started again. The caller holds the lock.
func (a *Agent) probeEndpoint() {
	for _, packet := range a.witnesses.AppendPackets(nil, a.isKept) {
		a.deliver(packet)
	}
}

// isKept reports whether the current endpoint, if it still runs, has a flow.
func (a *Agent) isKept(key flow.Key) bool {
	f := a.table.Get(key)
	return f != nil && a.shouldHave(f)
}

// shouldHave reports whether an endpoint that still runs has a flow of the table.
func (a *Agent) shouldHave(f *flow.Flow) bool {
	return f.IsKept(a.node.Now(), a.node.State().Table.IdleTimeout, a.instance.Settings.Opaque.MaxFlowLifetime)
}

// recordLostFlow handles that the endpoint has bounced a packet of a flow that it had. If
// another endpoint claims its address, that one has replaced it. The caller holds the lock.
func (a *Agent) recordLostFlow(f *flow.Flow) {
	openedAt, ok := f.OpenedAt()
	if !ok || !a.shouldHave(f) {
		return
	}
	ended := a.lifecycle.RecordLostFlow(a.node.Now(), openedAt)
	if ended == nil {
		return
	}
	current := a.lifecycle.Endpoint()
	a.instance.Log.Info().Str("endpoint", current.ID).Str("service", current.Service).Int64("born", current.StartedAt).
		Str("replaces", ended.ID).Str("lost_flow", f.Key.String()).Msg("endpoint has been replaced")
	a.clearEnded(ended)
	a.refreshRecord()
	a.node.Refresh()
}

// AnnounceLeave applies the announcement that an endpoint is about to exit. If it is the
// current one, it gets no more new flows, and its open flows are reset once it refuses
// connections, or at once if the settings name no address to check. startedAt is when the
// endpoint has started, in Unix milliseconds as in its announcements, 0 if it is not known.
func (a *Agent) AnnounceLeave(id string, startedAt int64) {
	a.mu.Lock()
	isCurrent := a.lifecycle.Leave(a.node.Now(), id, startedAt)
	a.instance.Log.Info().Str("endpoint", id).Int64("born", startedAt).Bool("current", isCurrent).
		Int("flows", a.table.Active()).Msg("endpoint leaves")
	if isCurrent && !a.canCheck() {
		a.recordPresence(a.node.Now(), flow.PresenceDown)
	}
	a.refreshRecord()
	a.mu.Unlock()
	a.scheduleCheck()
	a.node.Refresh()
}

// resetFlows resets open flows of an endpoint that has ended, so that the callers reconnect.
func (a *Agent) resetFlows(reason string, endpoint *flow.Endpoint, open []*flow.Flow) {
	for _, f := range open {
		a.sendReset(f.Key, f.CallerAck, resetCause{reason: reason, endpoint: endpoint})
	}
}
