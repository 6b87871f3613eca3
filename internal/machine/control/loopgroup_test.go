package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/consensus"
	"sassafrasturn.example/internal/journal/journaltest"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/wire"
)

const (
	loopLatency   = time.Millisecond
	loopOperators = 4
)

// loopGroup is a group of five instances, each with its loop, whose messages take
// loopLatency.
type loopGroup struct {
	g       Gomega
	folders []*journaltest.Folder
	loops   []*loop
	ended   []chan error
	version atomic.Uint64
	// accepted is the newest acknowledged version.
	accepted atomic.Uint64
	mu       sync.Mutex
	slowest  time.Duration
}

func newLoopGroup(t *testing.T, ctx context.Context, seed uint64) *loopGroup {
	w := &loopGroup{g: NewWithT(t)}
	var replicas []*replica
	var members []*wire.ControlMember
	links := make([][]chan *wire.ConsensusMessage, selfVoters)
	for i := range selfVoters {
		links[i] = make([]chan *wire.ConsensusMessage, selfVoters)
		folder := journaltest.New(rand.New(rand.NewPCG(seed, uint64(i))))
		send := func(m *wire.ConsensusMessage) {
			for j, member := range members {
				if member.Id == m.To {
					select {
					case links[i][j] <- m:
					default:
					}
				}
			}
		}
		r, err := openReplica(folder, 0, rand.New(rand.NewPCG(seed, uint64(10+i))), 0, time.Minute, outputs{send: send, publish: func([]*wire.Record) {}})
		w.g.Expect(err).NotTo(HaveOccurred())
		r.targetVoters, r.compactAfter = selfVoters, modelCompactAfter
		w.folders, replicas = append(w.folders, folder), append(replicas, r)
		members = append(members, &wire.ControlMember{Id: r.identity.Id, Disk: r.identity.Disk, Address: fmt.Sprintf("10.0.0.%d:7000", i+1), Voter: true})
	}
	started := time.Now()
	for i, r := range replicas {
		w.loops, w.ended = append(w.loops, newLoop(r, started, func(uint64, string) {})), append(w.ended, make(chan error, 1))
		for j := range replicas {
			links[i][j] = make(chan *wire.ConsensusMessage, sendQueueLength)
		}
	}
	w.g.Expect(replicas[0].form(0, members)).To(Succeed())
	for i, l := range w.loops {
		for j, other := range w.loops {
			go carry(ctx, links[i][j], other)
		}
		go func() { w.ended[i] <- l.run(ctx) }()
	}
	time.Sleep(3 * consensus.ElectionTimeout)
	return w
}

// carry delivers the messages of a link, in order.
func carry(ctx context.Context, link <-chan *wire.ConsensusMessage, to *loop) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-link:
			pause.For(ctx, loopLatency)
			to.deliver(ctx, m)
		}
	}
}

// leaderKnownBy returns the loop that an instance executes a command on or redirects to.
func (w *loopGroup) leaderKnownBy(l *loop) *loop {
	status := l.status.Load()
	if status.Role == consensus.Leader {
		return l
	}
	if l.isDiskFailed.Load() || l.now()-status.LastContact > leaderSilenceTimeout {
		return nil
	}
	for _, other := range w.loops {
		if other.identity.Load().Id == status.Leader {
			return other
		}
	}
	return nil
}

// change sends a change until it is acknowledged, first to one instance, and returns how
// long that took.
func (w *loopGroup) change(ctx context.Context, random *rand.Rand, to *loop) time.Duration {
	sentAt, version := time.Now(), w.version.Add(1)
	command := &wire.Command{Body: &wire.Command_ReplaceRouting{ReplaceRouting: &wire.ReplaceRouting{Version: version, Source: fmt.Appendf(nil, "table %d", version)}}}
	for time.Since(sentAt) < 2*diskAckTime && ctx.Err() == nil {
		if leader := w.leaderKnownBy(to); leader != nil && w.submit(ctx, leader, command) {
			for accepted := w.accepted.Load(); accepted < version && !w.accepted.CompareAndSwap(accepted, version); {
				accepted = w.accepted.Load()
			}
			break
		}
		time.Sleep(100 * time.Millisecond)
		to = w.loops[random.IntN(len(w.loops))]
	}
	took := time.Since(sentAt)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowest = max(w.slowest, took)
	return took
}

func (w *loopGroup) submit(ctx context.Context, l *loop, command *wire.Command) bool {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	result, err := l.submit(ctx, func(now time.Duration, done func(*wire.CommandResult, error)) {
		l.replica.propose(now, command, done)
	})
	return err == nil && result.GetOutcome() == wire.CommandResult_OUTCOME_ACCEPTED
}

func (w *loopGroup) fillInTurn(random *rand.Rand) {
	isLeader := random.IntN(2) == 0
	order := random.Perm(len(w.loops))
	for i := range diskFills {
		chosen := order[i%len(order)]
		for j, l := range w.loops {
			if isLeader && l.status.Load().Role == consensus.Leader {
				chosen = j
			}
		}
		w.folders[chosen].IsFull.Store(true)
		time.Sleep(time.Second + time.Duration(random.Int64N(int64(7*time.Second))))
		w.folders[chosen].IsFull.Store(false)
		time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
	}
}

// run fills the disks in turn while operators send changes, and checks the group
// afterwards.
func (w *loopGroup) run(ctx context.Context, seed uint64) {
	changing, stop := context.WithCancel(ctx)
	var operators sync.WaitGroup
	for i := range uint64(loopOperators) {
		random := rand.New(rand.NewPCG(seed, 20+i))
		operators.Go(func() {
			for changing.Err() == nil {
				w.change(ctx, random, w.loops[random.IntN(len(w.loops))])
				time.Sleep(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
			}
		})
	}
	random := rand.New(rand.NewPCG(seed, 30))
	w.fillInTurn(random)
	time.Sleep(diskCalmTime)
	stop()
	operators.Wait()
	for i, l := range w.loops {
		w.g.Expect(w.change(ctx, random, l)).To(BeNumerically("<", diskAckTime), "seed %d, instance %d", seed, i)
	}
	time.Sleep(time.Second)
	for i, l := range w.loops {
		w.g.Expect(w.ended[i]).To(BeEmpty(), "seed %d, instance %d", seed, i)
		w.g.Expect(l.do(ctx, func(time.Duration) error {
			w.g.Expect(l.replica.catalog.Routing().GetVersion()).To(Equal(w.version.Load()), "seed %d, instance %d", seed, i)
			w.g.Expect(l.replica.pending).To(BeEmpty(), "seed %d, instance %d", seed, i)
			return nil
		})).To(Succeed(), "seed %d, instance %d", seed, i)
	}
	w.g.Expect(w.slowest).To(BeNumerically("<", diskAckTime), "seed %d", seed)
}

func TestLoopsAnswerEveryChangeWhileDisksFillInTurn(t *testing.T) {
	const seeds = 6
	var slowest time.Duration
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			w := newLoopGroup(t, ctx, seed)
			w.run(ctx, seed)
			cancel()
			synctest.Wait()
			slowest = max(slowest, w.slowest)
		})
	}
	t.Logf("slowest acknowledgement %s", slowest)
}
