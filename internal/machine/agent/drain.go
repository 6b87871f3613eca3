package agent

import (
	"context"
	"time"

	"sassafrasturn.example/internal/pause"
)

const (
	// handshakeGrace limits how long a drain waits for handshakes in progress.
	handshakeGrace = time.Second
	// closeGrace is how long callers have to read the rest of their last
	// response and close the connection themselves.
	closeGrace = 5 * time.Second
	// propagationTime is how long the draining state may take to reach every
	// balancer. Until then the agent still receives offers of new flows and
	// forwards them to the next candidate.
	propagationTime   = 2 * time.Second
	drainPollInterval = 20 * time.Millisecond
	// transportDelay is how long a datagram of an accepted flow may take to reach
	// the QUIC transport, which counts the handshake.
	transportDelay = 5 * drainPollInterval
)

// drain stops serving the endpoint without interrupting requests: it accepts no
// new flows, waits for handshakes in progress, sends GOAWAY on every
// connection, waits for requests in flight, and closes the connections that
// callers leave open. It reports whether it finished before ctx ended.
func (s *serving) drain(ctx context.Context) bool {
	propagation, cancelPropagation := context.WithTimeout(ctx, propagationTime)
	defer cancelPropagation()
	s.acceptsFlows.Store(false)
	s.waitForHandshakes(ctx)
	s.decider.close()
	shutdownDone := make(chan struct{})
	go func() {
		defer close(shutdownDone)
		// Sends GOAWAY and returns when every connection is closed.
		_ = s.server.Shutdown(ctx)
	}()
	isEmpty := s.waitUntilIdle(ctx)
	<-propagation.Done()
	if !isEmpty {
		s.agent.instance.Log.Warn().
			Int64("requests", s.work.requests.Load()).
			Msg("drain timed out with requests in flight; raise shutdown_timeout to let them finish")
	}
	s.server.Close()
	<-shutdownDone
	return isEmpty
}

// waitUntilIdle waits until callers have closed every connection or no request
// has run for closeGrace. It reports whether no request is running.
func (s *serving) waitUntilIdle(ctx context.Context) bool {
	lastBusy := time.Now()
	waitUntil(ctx, func() bool {
		if s.work.requests.Load() > 0 {
			lastBusy = time.Now()
			return false
		}
		return s.work.flows.Load() == 0 || time.Since(lastBusy) >= s.closeGrace
	})
	return s.work.requests.Load() == 0
}

func (s *serving) waitForHandshakes(ctx context.Context) {
	grace, cancel := context.WithTimeout(ctx, handshakeGrace)
	defer cancel()
	pause.For(grace, transportDelay)
	waitUntil(grace, func() bool { return s.work.handshakes.Load() == 0 })
}

// waitUntil polls a condition. It reports false if ctx ended before the condition held.
func waitUntil(ctx context.Context, isDone func() bool) bool {
	for !isDone() {
		if !pause.For(ctx, drainPollInterval) {
			return isDone()
		}
	}
	return true
}
