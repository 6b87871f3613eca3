package control

import (
	"context"
	"time"

	"sassafrasturn.example/internal/consensus"
	"sassafrasturn.example/internal/journal"
)

// diskRetryInterval separates attempts to write a disk that has failed. Each writes
// all that the journal holds.
const diskRetryInterval = 500 * time.Millisecond

// awaitDisk follows a failure of the journal. The instance hands its lead over and
// takes no part, like one that has ended, until its disk stores all that can be
// read back from it. It keeps what it knows of agents and of other instances.
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

// rejectFor lets time pass. Calls are refused, and messages dropped: an answer to either
// may promise something.
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

// logDiskState logs that the disk has failed, and that it can be written again.
func (c *Control) logDiskState(failure error) {
	if failure != nil {
		c.instance.Log.Error().Err(failure).Msg("disk cannot be written; the instance takes no part until it can")
		return
	}
	c.instance.Log.Info().Msg("disk can be written again; the instance begins anew from what it holds")
}
