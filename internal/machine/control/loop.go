package control

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/consensus"
	"sassafrasturn.example/internal/journal"
	"sassafrasturn.example/internal/wire"
)

const (
	tickInterval = 20 * time.Millisecond
	// messageQueueLength is the capacity of the queue of received messages.
	messageQueueLength = 1024
	// maxBatch is the maximum number of queued events that are handled before one sync
	// stores their results.
	maxBatch = 64
	leaseKey = "control"
)

// loop runs a replica on a single goroutine.
type loop struct {
	replica  *replica
	started  time.Time
	messages chan *wire.ConsensusMessage
	calls    chan loopCall
	done     chan struct{}
	status   atomic.Pointer[consensus.Status]
	identity atomic.Pointer[wire.DiskIdentity]
	// onStatusChange is called with the previous and the current status after each
	// event; it may be nil.
	onStatusChange func(before, after *consensus.Status)
	// onMemberAddress is called with the ID and address of each member after each event.
	onMemberAddress func(id uint64, address string)
	// isDiskFailed is set while the disk cannot be written. The instance does not
	// take part in consensus in that time.
	isDiskFailed atomic.Bool
	// onDiskState is called with the error when the disk fails, and with nil when it
	// can be written again. The function may be nil.
	onDiskState func(failure error)
}

// loopCall is a function to run on the loop. refused receives the error if it is not run.
type loopCall struct {
	run     func(now time.Duration) error
	refused chan<- error
}

func newLoop(r *replica, started time.Time, onMemberAddress func(uint64, string)) *loop {
	l := &loop{
		replica:         r,
		started:         started,
		messages:        make(chan *wire.ConsensusMessage, messageQueueLength),
		calls:           make(chan loopCall),
		done:            make(chan struct{}),
		onMemberAddress: onMemberAddress,
	}
	l.updateStatus()
	return l
}

// now returns the time since the start on the monotonic clock.
func (l *loop) now() time.Duration {
	return time.Since(l.started)
}

// run handles events until ctx is cancelled. An error means that the instance must
// stop.
func (l *loop) run(ctx context.Context) error {
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		err := l.handleNext(ctx, ticker)
		if journal.ErrFailed.Has(err) {
			err = l.awaitDisk(ctx, err)
		}
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
		l.updateStatus()
		l.publishLease()
	}
}

func (l *loop) handleNext(ctx context.Context, ticker *time.Ticker) error {
	select {
	case <-ctx.Done():
		return nil
	case <-ticker.C:
		return l.replica.tick(l.now())
	case m := <-l.messages:
		l.replica.core.Step(l.now(), m)
	case call := <-l.calls:
		if err := call.run(l.now()); err != nil {
			return err
		}
	}
	if err := l.handleQueued(); err != nil {
		return err
	}
	return l.replica.process(l.now())
}

// handleQueued handles the events that are already queued, so that one sync stores them all.
func (l *loop) handleQueued() error {
	for range maxBatch {
		select {
		case m := <-l.messages:
			l.replica.core.Step(l.now(), m)
		case call := <-l.calls:
			if err := call.run(l.now()); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

func (l *loop) updateStatus() {
	status := l.replica.core.Status(l.now())
	for _, member := range status.Group.GetMembers() {
		l.onMemberAddress(member.Id, member.Address)
	}
	before := l.status.Swap(&status)
	if l.onStatusChange != nil && before != nil {
		l.onStatusChange(before, &status)
	}
	l.identity.Store(l.replica.identity)
}

// isMember reports whether this instance is a member of the group.
func (l *loop) isMember() bool {
	identity := l.identity.Load()
	return l.status.Load().IsMember(identity.Id, identity.Disk)
}

// isCurrent reports whether this instance is a member whose applied state includes
// everything that was committed as of its last contact, which must be less than an
// election timeout ago.
func (l *loop) isCurrent() bool {
	status := l.status.Load()
	return status.IsCurrent && l.isMember() && l.now()-status.LastContact < consensus.ElectionTimeout
}

func (l *loop) publishLease() {
	lease := l.replica.lease(l.now())
	if lease == nil {
		return
	}
	// Marshal only fails for invalid UTF-8, and a lease has no string fields.
	data, _ := proto.Marshal(lease)
	record := &wire.Record{
		Kind:  wire.Record_KIND_LEASE,
		Key:   leaseKey,
		Major: l.status.Load().Term,
		Minor: l.replica.leaseSequence,
		Value: data,
	}
	l.replica.outputs.publish([]*wire.Record{record})
}

// do runs call on the loop and waits until it has returned.
func (l *loop) do(ctx context.Context, call func(now time.Duration) error) error {
	ran, refused := make(chan struct{}), make(chan error, 1)
	wrapped := func(now time.Duration) error {
		defer close(ran)
		return call(now)
	}
	select {
	case l.calls <- loopCall{run: wrapped, refused: refused}:
	case <-l.done:
		return errStopped
	case <-ctx.Done():
		return errNotRun
	}
	select {
	case <-ran:
		return nil
	case err := <-refused:
		return err
	}
}

// deliver queues a received message for the replica. It reports false if the loop has stopped.
func (l *loop) deliver(ctx context.Context, m *wire.ConsensusMessage) bool {
	select {
	case l.messages <- m:
		return true
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
}

var (
	errStopped = Error.New("not run: the instance is shutting down; send the command to another control instance")
	errNoDisk  = Error.New("not run: the disk of the instance cannot be written; send the command to another control instance")
	errNotRun  = Error.New("not run: the instance is too busy; try again")
	errTimeout = Error.New("outcome unknown: no majority confirmed the command in time; send it again with the same submission ID to get the first result, if there is one")
)

type outcome struct {
	result *wire.CommandResult
	err    error
}

// submit starts a proposal on the loop and waits for its outcome until ctx is cancelled.
func (l *loop) submit(ctx context.Context, start func(now time.Duration, done func(*wire.CommandResult, error))) (*wire.CommandResult, error) {
	outcomes := make(chan outcome, 1)
	err := l.do(ctx, func(now time.Duration) error {
		start(now, func(result *wire.CommandResult, err error) { outcomes <- outcome{result, err} })
		return nil
	})
	if err != nil {
		return nil, err
	}
	select {
	case o := <-outcomes:
		return o.result, o.err
	case <-l.done:
		return nil, errTimeout
	case <-ctx.Done():
		return nil, errTimeout
	}
}
