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
	// silenceCheckInterval is the time between two checks for a silent endpoint.
	silenceCheckInterval = 500 * time.Millisecond
	// watchInterval is the delay before the watch connects again after an error
	// or a connection that lasted less than watchInterval. It is also the dial
	// timeout.
	watchInterval = 500 * time.Millisecond
)

// startWatchLocked watches the endpoint at the address instead of the previous one.
func (a *Agent) startWatchLocked(address string) {
	if a.stopWatch != nil {
		a.stopWatch()
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.stopWatch = cancel
	go a.watch(ctx, address)
}

// watch keeps an idle connection to the endpoint open. If the process dies, the
// connection closes at once and the next one is refused.
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

// holdConnection returns when the connection is closed. It returns an error only
// if the connection could not be opened.
func holdConnection(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: watchInterval}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	// Nothing is sent, so the read returns only when the connection closes.
	_, _ = conn.Read(make([]byte, 1))
	return nil
}

// checkSilence marks an endpoint as failed if its announcements have stopped.
func (a *Agent) checkSilence(now time.Time) {
	a.mu.Lock()
	isSilent := a.lifecycle.isSilent(now)
	a.mu.Unlock()
	if isSilent {
		a.failEndpoint(context.Background(), "announcements stopped")
	}
}

// failEndpoint marks the endpoint as failed: the agent accepts no flows and
// refuses requests until the endpoint announces itself again. It does nothing if
// ctx, the context of the watch that detected the failure, has ended.
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
