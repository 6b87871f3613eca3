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
	// spreadTime is how long the news of the drain may take to reach every
	// balancer; until then new flows are still offered and handed on.
	spreadTime = 2 * time.Second
	drainPoll  = 20 * time.Millisecond
	// drainSettle is how long a datagram may take from the hunt to the transport.
	drainSettle = 5 * drainPoll
)

// drain ends the service of the endpoint without cutting anything: no new
// flows, the handshakes that have begun come to an end, GOAWAY on every
// connection, the requests in flight come to an end, and the connections that
// callers leave open are closed. It reports whether it was done before ctx ended.
func (s *serving) drain(ctx context.Context) bool {
	spread, cancelSpread := context.WithTimeout(ctx, spreadTime)
	defer cancelSpread()
	s.takesFlows.Store(false)
	s.finishHandshakes(ctx)
	s.hunt.close()
	goneAway := make(chan struct{})
	go func() {
		defer close(goneAway)
		// Sends GOAWAY; returns when every connection has ended.
		_ = s.server.Shutdown(ctx)
	}()
	isEmpty := s.waitUntilQuiet(ctx)
	<-spread.Done()
	if !isEmpty {
		s.agent.instance.Log.Warn().
			Int64("requests", s.work.requests.Load()).
			Msg("drain ended with requests in flight; raise shutdown_timeout to let them end")
	}
	s.server.Close()
	<-goneAway
	return isEmpty
}

// waitUntilQuiet returns once callers have closed every connection, or no
// request has run for closeGrace. It reports whether no request runs.
func (s *serving) waitUntilQuiet(ctx context.Context) bool {
	busy := time.Now()
	waitUntil(ctx, func() bool {
		if s.work.requests.Load() > 0 {
			busy = time.Now()
			return false
		}
		return s.work.flows.Load() == 0 || time.Since(busy) >= s.closeGrace
	})
	return s.work.requests.Load() == 0
}

func (s *serving) finishHandshakes(ctx context.Context) {
	grace, cancel := context.WithTimeout(ctx, handshakeGrace)
	defer cancel()
	pause.For(grace, drainSettle)
	waitUntil(grace, func() bool { return s.work.handshakes.Load() == 0 })
}

// waitUntil polls a condition; it reports false when ctx ended first.
func waitUntil(ctx context.Context, isDone func() bool) bool {
	for !isDone() {
		if !pause.For(ctx, drainPoll) {
			return isDone()
		}
	}
	return true
}
