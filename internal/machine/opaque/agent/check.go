package agent

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// checkTimeout bounds the check of an endpoint of the own machine, which takes
// less than a millisecond.
const checkTimeout = 300 * time.Millisecond

// checkEndpoint finds out, at the agent's start, whether an endpoint runs beside
// it. One that does not, and one that is only starting, refuses connections; it
// holds no flows, and all that it will hold come through this agent. Otherwise
// the agent waits for an announcement to know.
func (a *Agent) checkEndpoint(ctx context.Context) {
	address := a.instance.Settings.Opaque.EndpointCheck
	if !address.IsValid() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	conn, err := a.instance.DialTCP(ctx, address)
	if err == nil {
		conn.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		a.instance.Log.Info().Err(err).Msg("no sign of whether an endpoint runs; its announcement decides")
		return
	}
	a.mu.Lock()
	isUnannounced := a.endpoint == nil
	if isUnannounced {
		a.adoptUntil = 0
		a.withdraw()
	}
	a.mu.Unlock()
	if isUnannounced {
		a.instance.Log.Info().Stringer("address", address).Msg("no endpoint runs yet")
		a.node.Refresh()
	}
}
