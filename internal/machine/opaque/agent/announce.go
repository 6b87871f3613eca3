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
	if change == flow.ChangeNone {
		a.logStale(previous, &announcement)
		return false
	}
	if ended != nil {
		// The new endpoint may have accepted flows before its first announcement.
		a.resetFlows("endpoint-restarted", ended, a.table.ClearBefore(ended.LastSeen-reuseMargin))
		a.adoptUntil = 0
	}
	if change == flow.ChangeStarted || previous.IsDraining != announcement.IsDraining {
		a.instance.Log.Info().Str("endpoint", announcement.ID).Str("service", announcement.Service).
			Uint64("sequence", announcement.Sequence).Int64("born", announcement.StartedAt).Dur("uptime_ms", now).
			Bool("draining", announcement.IsDraining).Dur("cold_left_ms", announcement.ColdLeft).Msg("endpoint announced")
	}
	before := a.record.Sequence
	a.refreshRecord()
	return a.record.Sequence != before
}

// logStale logs an ignored announcement, except for a late one of the current endpoint.
func (a *Agent) logStale(current *flow.Endpoint, announcement *Announcement) {
	if current == nil || current.ID != announcement.ID || current.StartedAt != announcement.StartedAt {
		a.instance.Log.Info().Str("endpoint", announcement.ID).Int64("born", announcement.StartedAt).
			Uint64("sequence", announcement.Sequence).Msg("ignoring delayed announcement of another endpoint")
	}
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
