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
	isChanged := a.announce(announcement)
	a.mu.Unlock()
	if isChanged {
		a.node.Refresh()
	}
}

func (a *Agent) announce(announcement Announcement) (isChanged bool) {
	now := a.node.Now()
	held := a.endpoint
	if held != nil && isSameIncarnation(held, &announcement) {
		if announcement.Sequence <= held.Sequence {
			return false
		}
	} else if held != nil {
		if announcement.StartedAt < held.StartedAt && now-held.LastSeen <= a.gate.SilenceTimeout {
			a.instance.Log.Info().Str("endpoint", announcement.ID).Msg("late announcement of an earlier endpoint ignored")
			return false
		}
		// The next endpoint may have taken flows before it announced itself.
		a.endEndpoint("endpoint-restarted", a.table.ClearBefore(held.LastSeen-reuseMargin))
	}
	before := a.record.Sequence
	a.endpoint = &flow.Endpoint{
		ID: announcement.ID, Service: announcement.Service, Slots: announcement.Slots, StartedAt: announcement.StartedAt,
		Sequence: announcement.Sequence, IsDraining: announcement.IsDraining,
		ColdUntil: now + announcement.ColdLeft, LastSeen: now,
	}
	a.noteNew(held, &announcement)
	a.refreshRecord()
	return a.record.Sequence != before
}

// noteNew logs what an announcement changed.
func (a *Agent) noteNew(held *flow.Endpoint, announcement *Announcement) {
	if held != nil && isSameIncarnation(held, announcement) && held.IsDraining == announcement.IsDraining {
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

func isSameIncarnation(held *flow.Endpoint, announcement *Announcement) bool {
	return held.ID == announcement.ID && held.StartedAt == announcement.StartedAt
}

// RemoveEndpoint notes that an endpoint has ended.
func (a *Agent) RemoveEndpoint(id string) {
	a.mu.Lock()
	isOwn := a.endpoint != nil && a.endpoint.ID == id
	if isOwn {
		a.instance.Log.Info().Str("endpoint", id).Msg("endpoint left")
		a.endEndpoint("endpoint-left", a.table.Clear())
		a.withdraw()
	}
	a.mu.Unlock()
	if isOwn {
		a.node.Refresh()
	}
}

// endEndpoint forgets an endpoint that is gone and tells the callers of its
// open flows to dial again.
func (a *Agent) endEndpoint(reason string, open []*flow.Flow) {
	a.endpoint = nil
	for _, f := range open {
		a.sendReset(f.Key, f.CallerAck, reason)
	}
}
