package agent

import (
	"context"
	"errors"
	"syscall"
	"time"

	"sassafrasturn.example/internal/flow"
)

// checkTimeout bounds the check of the endpoint on the same instance, which normally
// takes less than a millisecond.
const checkTimeout = 300 * time.Millisecond

// scheduleCheck makes watchEndpoint look again when the next check is due.
func (a *Agent) scheduleCheck() {
	select {
	case a.checkChanged <- struct{}{}:
	default:
	}
}

// watchEndpoint checks the endpoint whenever its lifecycle requires it, until ctx ends.
func (a *Agent) watchEndpoint(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		a.mu.Lock()
		at, isDue := a.lifecycle.CheckDue()
		a.mu.Unlock()
		timer.Stop()
		if isDue {
			timer.Reset(max(0, at-a.node.Now()))
		}
		select {
		case <-ctx.Done():
			return
		case <-a.checkChanged:
		case <-timer.C:
			if a.isCheckDue() {
				a.checkEndpoint(ctx)
			}
		}
	}
}

func (a *Agent) isCheckDue() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.lifecycle.CheckDue()
	return ok && at <= a.node.Now()
}

// checkEndpoint checks whether the endpoint is running. A refused connection means that it
// is down or still starting: it has no flows, and all its future flows pass through this
// agent.
func (a *Agent) checkEndpoint(ctx context.Context) {
	startedAt := a.node.Now()
	presence, err := a.dialEndpoint(ctx)
	if presence == flow.PresenceUnknown {
		a.instance.Log.Info().Err(err).Msg("cannot determine whether an endpoint is running")
	}
	a.mu.Lock()
	hasEnded := a.recordPresence(startedAt, presence)
	a.mu.Unlock()
	if hasEnded {
		a.node.Refresh()
	}
}

// recordPresence applies the result of a check that started at the given time, and reports
// whether the endpoint has ended. Then it resets the endpoint's flows, so that the callers
// reconnect. The caller holds the lock.
func (a *Agent) recordPresence(startedAt time.Duration, presence flow.Presence) (hasEnded bool) {
	endpoint := a.lifecycle.Endpoint()
	if a.lifecycle.RecordCheck(startedAt, presence) != flow.ChangeEnded {
		return false
	}
	a.instance.Log.Info().Dur("uptime_ms", a.node.Now()).Int("flows", a.table.Active()).Msg("no endpoint is running")
	a.adoptUntil, a.knownFrom = 0, -flow.ColdWindow
	a.resetFlows(reasonLeft, endpoint, a.table.Clear())
	a.witnesses.Clear()
	a.refreshRecord()
	return true
}

func (a *Agent) dialEndpoint(ctx context.Context) (flow.Presence, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	conn, err := a.instance.DialTCP(ctx, a.instance.Settings.Opaque.EndpointCheck)
	switch {
	case err == nil:
		conn.Close()
		return flow.PresenceRunning, nil
	case errors.Is(err, syscall.ECONNREFUSED):
		return flow.PresenceDown, nil
	}
	return flow.PresenceUnknown, Error.Wrap(err)
}

// canCheck reports whether the settings name an address at which the endpoint accepts
// connections.
func (a *Agent) canCheck() bool { return a.instance.Settings.Opaque.EndpointCheck.IsValid() }
