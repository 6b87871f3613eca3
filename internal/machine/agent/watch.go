package agent

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"sassafrasturn.example/internal/pause"
)

const (
	// silenceCheckInterval separates two looks for a silent endpoint.
	silenceCheckInterval = 500 * time.Millisecond
	// watchInterval separates two connections of the watch, except the first
	// one after a connection that has lasted.
	watchInterval = 500 * time.Millisecond
)

// startWatchLocked watches the endpoint at the address in place of the earlier one.
func (a *Agent) startWatchLocked(address string) {
	if a.stopWatch != nil {
		a.stopWatch()
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.stopWatch = cancel
	go a.watch(ctx, address)
}

// watch holds an idle connection to the endpoint. Its end shows the death of
// the process at once: the next connection is then refused.
func (a *Agent) watch(ctx context.Context, address string) {
	for ctx.Err() == nil {
		begun := time.Now()
		err := holdConnection(ctx, address)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.failEndpoint(ctx, "connection refused")
		}
		if err != nil || time.Since(begun) < watchInterval {
			pause.For(ctx, watchInterval)
		}
	}
}

// holdConnection returns when the connection has ended, with an error only when
// there was none.
func holdConnection(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: watchInterval}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	// Nothing is sent, so that nothing is answered; only the end matters.
	_, _ = conn.Read(make([]byte, 1))
	return nil
}

// checkSilence gives up an endpoint whose announcements have stopped.
func (a *Agent) checkSilence(now time.Time) {
	a.mu.Lock()
	isSilent := a.lifecycle.isSilent(now)
	a.mu.Unlock()
	if isSilent {
		a.failEndpoint(context.Background(), "announcements stopped")
	}
}

// failEndpoint takes no flows and refuses requests until the endpoint announces itself
// again. ctx is that of the watch that has seen it.
func (a *Agent) failEndpoint(ctx context.Context, reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ctx.Err() != nil || !a.lifecycle.markFailed(reason) {
		return
	}
	if a.serving != nil {
		a.serving.suspend()
	}
	a.publishLocked()
}
