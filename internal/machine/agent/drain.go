package agent

import (
	"context"
	"time"

	"sassafrasturn.example/internal/pause"
)

const (
	// handshakeGrace bounds how long handshakes that have begun may take to end.
	handshakeGrace = time.Second
	// closeGrace is how long callers have to fetch the end of their last answer
	// and close the connection by themselves.
	closeGrace = 5 * time.Second
	// propagationTime is how long the news of the drain may take to reach every
	// balancer; until then new flows are still offered and handed on.
	propagationTime   = 2 * time.Second
	drainPollInterval = 20 * time.Millisecond
	// transportDelay is how long a datagram may take from the hunt to the transport.
	transportDelay = 5 * drainPollInterval
)

// drain ends the service of the endpoint without cutting anything: no new
// flows, the handshakes that have begun come to an end, GOAWAY on every
// connection, the requests in flight come to an end, and the connections that
// callers leave open are closed. It reports whether it was done before ctx ended.
func (s *serving) drain(ctx context.Context) bool {
	propagation, cancelPropagation := context.WithTimeout(ctx, propagationTime)
	defer cancelPropagation()
	s.acceptsFlows.Store(false)
	s.waitForHandshakes(ctx)
	s.decider.close()
	shutdownDone := make(chan struct{})
	go func() {
		defer close(shutdownDone)
		// Sends GOAWAY; returns when every connection has ended.
		_ = s.server.Shutdown(ctx)
	}()
	isEmpty := s.waitUntilIdle(ctx)
	<-propagation.Done()
	if !isEmpty {
		s.agent.instance.Log.Warn().
			Int64("requests", s.work.requests.Load()).
			Msg("drain ended with requests in flight; raise shutdown_timeout to let them end")
	}
	s.server.Close()
	<-shutdownDone
	return isEmpty
}

// waitUntilIdle returns once callers have closed every connection, or no
// request has run for closeGrace. It reports whether no request runs.
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

// waitUntil polls a condition; it reports false when ctx ended first.
func waitUntil(ctx context.Context, isDone func() bool) bool {
	for !isDone() {
		if !pause.For(ctx, drainPollInterval) {
			return isDone()
		}
	}
	return true
}
