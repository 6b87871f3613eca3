package agent

import (
	"time"

	"sassafrasturn.example/internal/flow"
)

// Announcement is what an endpoint says about itself.
type Announcement struct {
	ID      string
	Service string
	Slots   int
	// StartedAt is the wall-clock time of the endpoint's start in Unix milliseconds, 0
	// when it did not say.
	StartedAt  int64
	Sequence   uint64
	IsDraining bool
	// ColdLeft is how much longer the endpoint is cold.
	ColdLeft time.Duration
}

// Announce takes in an announcement. When it returns, what the announcement
// says holds for every new flow.
func (a *Agent) Announce(announcement Announcement) {
	a.mu.Lock()
	isChanged := a.applyAnnouncement(announcement)
	a.mu.Unlock()
	if isChanged {
		a.node.Refresh()
	}
}

func (a *Agent) applyAnnouncement(announcement Announcement) (isChanged bool) {
	now := a.node.Now()
	previous := a.endpoint
	if previous != nil && isSameIncarnation(previous, &announcement) {
		if announcement.Sequence <= previous.Sequence {
			return false
		}
	} else if previous != nil {
		if announcement.StartedAt < previous.StartedAt && now-previous.LastSeen <= a.gate.SilenceTimeout {
			a.instance.Log.Info().Str("endpoint", announcement.ID).Msg("late announcement of an earlier endpoint ignored")
			return false
		}
		// The next endpoint may have taken flows before it announced itself.
		a.clearEndpoint("endpoint-restarted", a.table.ClearBefore(previous.LastSeen-reuseMargin))
	}
	before := a.record.Sequence
	a.endpoint = &flow.Endpoint{
		ID: announcement.ID, Service: announcement.Service, Slots: announcement.Slots, StartedAt: announcement.StartedAt,
		Sequence: announcement.Sequence, IsDraining: announcement.IsDraining,
		ColdUntil: now + announcement.ColdLeft, LastSeen: now,
	}
	a.handleChange(previous, &announcement)
	a.refreshRecord()
	return a.record.Sequence != before
}

// handleChange logs what an announcement changed.
func (a *Agent) handleChange(previous *flow.Endpoint, announcement *Announcement) {
	if previous != nil && isSameIncarnation(previous, announcement) && previous.IsDraining == announcement.IsDraining {
		return
	}
	if a.endpoint.StartedWithin(time.Now().UnixMilli(), a.node.Now()) {
		// The endpoint is younger than the agent, which knows all its flows.
		a.adoptUntil = 0
	}
	a.instance.Log.Info().Str("endpoint", announcement.ID).Str("service", announcement.Service).
		Uint64("sequence", announcement.Sequence).Int64("born", announcement.StartedAt).
		Bool("draining", announcement.IsDraining).Dur("cold_left_ms", announcement.ColdLeft).Msg("endpoint announced")
}

func isSameIncarnation(current *flow.Endpoint, announcement *Announcement) bool {
	return current.ID == announcement.ID && current.StartedAt == announcement.StartedAt
}

// RemoveEndpoint notes that an endpoint has ended.
func (a *Agent) RemoveEndpoint(id string) {
	a.mu.Lock()
	isCurrent := a.endpoint != nil && a.endpoint.ID == id
	if isCurrent {
		a.instance.Log.Info().Str("endpoint", id).Msg("endpoint left")
		a.clearEndpoint("endpoint-left", a.table.Clear())
		a.withdraw()
	}
	a.mu.Unlock()
	if isCurrent {
		a.node.Refresh()
	}
}

// clearEndpoint forgets an endpoint that is gone and tells the callers of its
// open flows to dial again.
func (a *Agent) clearEndpoint(reason string, open []*flow.Flow) {
	a.endpoint = nil
	for _, f := range open {
		a.sendReset(f.Key, f.CallerAck, reason)
	}
}
