package control

import (
	"context"
	"errors"
	"syscall"
	"time"

	"sassafrasturn.example/internal/consensus"
	"sassafrasturn.example/internal/journal"
	"sassafrasturn.example/internal/pause"
)

// diskRetryInterval is the time between attempts to write to a disk that has failed.
// Each attempt rewrites the entire journal.
const diskRetryInterval = 500 * time.Millisecond

// openWhenWritable calls open, which may have to write to the disk, and calls it again
// while no more can be written. An instance that is started then must not stop for it.
func openWhenWritable[T any](ctx context.Context, report func(failure error), open func() (T, error)) (T, error) {
	for isWaiting := false; ; isWaiting = true {
		opened, err := open()
		switch {
		case err == nil && isWaiting:
			report(nil)
			return opened, nil
		case !isWriteLimit(err):
			return opened, err
		case !isWaiting:
			report(err)
		}
		if !pause.For(ctx, diskRetryInterval) {
			return opened, err
		}
	}
}

// isWriteLimit reports whether an error means that no more can be written for now: the disk is
// full, or the quota or the limit on the size of files is reached.
func isWriteLimit(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// awaitDisk handles a failure of the journal. The instance transfers leadership and
// takes no part in consensus, like one that has stopped, until everything that can
// be read back from its disk has been stored again. It keeps its state about agents
// and other instances. It returns an error if the instance must stop.
func (l *loop) awaitDisk(ctx context.Context, failure error) error {
	l.isDiskFailed.Store(true)
	defer l.isDiskFailed.Store(false)
	l.reportDiskState(failure)
	l.replica.stepDown(l.now())
	status := l.replica.core.Status(l.now())
	status.Role, status.Leader, status.IsCurrent = consensus.Follower, 0, false
	l.status.Store(&status)
	for ctx.Err() == nil {
		l.rejectFor(ctx, diskRetryInterval)
		err := l.replica.reload(l.now())
		if err == nil {
			l.reportDiskState(nil)
			return nil
		}
		if !journal.ErrFailed.Has(err) && !journal.Error.Has(err) {
			return err
		}
	}
	return nil
}

func (l *loop) reportDiskState(failure error) {
	if l.onDiskState != nil {
		l.onDiskState(failure)
	}
}

// rejectFor refuses calls and drops messages for the given time, since the answer to
// either may acknowledge something that is not durable.
func (l *loop) rejectFor(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-l.messages:
		case call := <-l.calls:
			call.refused <- errNoDisk
		}
	}
}

// logDiskState logs that the disk has failed or, if failure is nil, has recovered.
func (c *Control) logDiskState(failure error) {
	if failure != nil {
		c.instance.Log.Error().Err(failure).Msg("disk cannot be written; not taking part in consensus until it can")
		return
	}
	c.instance.Log.Info().Msg("disk can be written again; restarted consensus from the stored state")
}
