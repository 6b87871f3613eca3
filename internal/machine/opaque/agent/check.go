package agent

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// checkTimeout bounds the check of the endpoint on the same instance, which normally
// takes less than a millisecond.
const checkTimeout = 300 * time.Millisecond

// checkEndpoint checks at the agent's start whether its endpoint is running. A refused
// connection means that the endpoint is down or still starting: it has no flows, and
// all its future flows pass through this agent. Otherwise the agent waits for an
// announcement.
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
		a.instance.Log.Info().Err(err).Msg("cannot determine whether an endpoint is running; waiting for its announcement")
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
		a.instance.Log.Info().Stringer("address", address).Msg("endpoint is not running yet")
	}
}
