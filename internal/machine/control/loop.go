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
	// messageQueueLength bounds the received messages that wait.
	messageQueueLength = 1024
	// maxBatch is how many events are handled before their work is stored at once.
	maxBatch = 64
	leaseKey = "control"
)

// loop runs a replica on one goroutine.
type loop struct {
	replica  *replica
	started  time.Time
	messages chan *wire.ConsensusMessage
	calls    chan loopCall
	done     chan struct{}
	status   atomic.Pointer[consensus.Status]
	identity atomic.Pointer[wire.DiskIdentity]
	// onStatusChange is told the status before and now, each time it is noted; it may be nil.
	onStatusChange func(before, after *consensus.Status)
	// onMemberAddress is told the address of each member.
	onMemberAddress func(id uint64, address string)
	// isDiskFailed: the instance takes no part until its disk can be written again.
	isDiskFailed atomic.Bool
	// onDiskState is told when the disk has failed, with the failure, and when it can be
	// written again, with nil; it may be nil itself.
	onDiskState func(failure error)
}

// loopCall is something to run on the loop. refused gets why it was not run.
type loopCall struct {
	run     func(now time.Duration) error
	refused chan<- error
}

func newLoop(r *replica, started time.Time, learn func(uint64, string)) *loop {
	l := &loop{
		replica:         r,
		started:         started,
		messages:        make(chan *wire.ConsensusMessage, messageQueueLength),
		calls:           make(chan loopCall),
		done:            make(chan struct{}),
		onMemberAddress: learn,
	}
	l.updateStatus()
	return l
}

// now is the time since the start, by the monotonic clock.
func (l *loop) now() time.Duration {
	return time.Since(l.started)
}

// run works until ctx ends. An error means that the instance must stop.
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

// handleQueued handles events that wait already, so that one sync stores them all.
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

// isMember reports whether the group has this instance.
func (l *loop) isMember() bool {
	identity := l.identity.Load()
	return l.status.Load().IsMember(identity.Id, identity.Disk)
}

// isCurrent reports whether what this instance has applied is, but for the
// last moments, what a majority has committed.
func (l *loop) isCurrent() bool {
	status := l.status.Load()
	return status.IsCurrent && l.isMember() && l.now()-status.LastContact < consensus.ElectionTimeout
}

func (l *loop) publishLease() {
	lease := l.replica.lease(l.now())
	if lease == nil {
		return
	}
	// Marshal fails only for invalid UTF-8, and a lease has no text.
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

// do runs a call on the loop and waits until it has run.
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

// deliver hands a received message to the replica.
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
	errStopped = Error.New("not run: the instance stops; ask another control instance")
	errNoDisk  = Error.New("not run: the instance cannot store anything; ask another control instance")
	errNotRun  = Error.New("not run: the instance is too busy; try again")
	errTimeout = Error.New("outcome unknown: no majority has confirmed it in time; send it again with the same submission ID, which gets the first answer if there is one")
)

type outcome struct {
	result *wire.CommandResult
	err    error
}

// submit starts a proposal on the loop and waits for its outcome.
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
