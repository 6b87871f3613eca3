package control

import (
	"io/fs"
	"math/rand/v2"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/consensus"
	"sassafrasturn.example/internal/journal"
	"sassafrasturn.example/internal/journal/journaltest"
	"sassafrasturn.example/internal/wire"
)

// singleMember is the loop of a group of one, into whose disk a test injects failures.
type singleMember struct {
	t      *testing.T
	g      Gomega
	folder *journaltest.Folder
	loop   *loop
	ended  chan error
	// diskStates are the states of the disk that the loop has reported.
	diskStates []error
}

func runSingleMember(t *testing.T, run func(l *singleMember)) {
	synctest.Test(t, func(t *testing.T) {
		l := &singleMember{t: t, g: NewWithT(t), folder: journaltest.New(rand.New(rand.NewPCG(1, 1))), ended: make(chan error, 1)}
		out := outputs{send: func(*wire.ConsensusMessage) {}, publish: func([]*wire.Record) {}}
		r, err := openReplica(l.folder, 1, rand.New(rand.NewPCG(2, 2)), 0, time.Minute, out)
		l.g.Expect(err).NotTo(HaveOccurred())
		l.g.Expect(r.form(0, []*wire.ControlMember{{Id: 1, Disk: r.identity.Disk, Voter: true}})).To(Succeed())
		l.loop = newLoop(r, time.Now(), func(uint64, string) {})
		l.loop.onDiskState = func(failure error) { l.diskStates = append(l.diskStates, failure) }
		go func() { l.ended <- l.loop.run(t.Context()) }()
		l.awaitElection()
		run(l)
	})
}

// awaitElection waits until the instance has been elected and its loop is idle.
func (l *singleMember) awaitElection() {
	time.Sleep(3 * consensus.ElectionTimeout)
	synctest.Wait()
}

// submit calls inject on the loop and then proposes to take a zone out of service.
func (l *singleMember) submit(zone string, inject func()) error {
	_, err := l.loop.submit(l.t.Context(), func(now time.Duration, done func(*wire.CommandResult, error)) {
		inject()
		l.loop.replica.propose(now, zoneOutCommand(zone), done)
	})
	return err
}

func (l *singleMember) failOnce(failure error) func() {
	return func() { l.folder.FailAt, l.folder.Failure = l.folder.Operations+1, failure }
}

func noFault() {}

// After a disk failure it is unknown what is durable. The instance must not continue
// with its state in memory, but restore it from the journal and store it again.
func TestLoopRestartsFromJournalAfterDiskFailure(t *testing.T) {
	for _, failure := range []error{journaltest.ErrFull, journaltest.ErrSync} {
		t.Run(failure.Error(), func(t *testing.T) {
			runSingleMember(t, func(l *singleMember) {
				l.g.Expect(l.submit("a", noFault)).To(Succeed())
				synctest.Wait()
				journalBefore := l.loop.replica.journal
				l.g.Expect(l.submit("b", l.failOnce(failure))).To(MatchError(ContainSubstring("outcome unknown")))
				l.g.Expect(l.submit("c", noFault)).To(MatchError(errNoDisk))
				l.g.Expect(l.loop.isCurrent()).To(BeFalse())
				l.awaitElection()
				l.g.Expect(l.loop.replica.journal).NotTo(BeIdenticalTo(journalBefore))
				l.g.Expect(l.submit("d", noFault)).To(Succeed())
				synctest.Wait()
				l.g.Expect(l.loop.replica.catalog.ZonesOut()).To(ContainElements("a", "d"))
				l.g.Expect(l.loop.replica.catalog.ZonesOut()).NotTo(ContainElement("c"))
				l.g.Expect(l.diskStates).To(HaveExactElements(MatchError(failure), BeNil()))
				l.g.Expect(l.ended).To(BeEmpty())
			})
		})
	}
}

// While the disk is full, for any length of time, proposals must be refused and no
// accepted command may be lost.
func TestLoopWaitsWhileDiskIsFull(t *testing.T) {
	runSingleMember(t, func(l *singleMember) {
		l.g.Expect(l.submit("a", noFault)).To(Succeed())
		l.g.Expect(l.submit("b", func() { l.folder.IsFull.Store(true) })).To(MatchError(ContainSubstring("outcome unknown")))
		for range 20 {
			time.Sleep(time.Second)
			l.g.Expect(l.submit("c", noFault)).To(MatchError(errNoDisk))
		}
		l.folder.IsFull.Store(false)
		l.awaitElection()
		l.g.Expect(l.submit("d", noFault)).To(Succeed())
		synctest.Wait()
		l.g.Expect(l.loop.replica.catalog.ZonesOut()).To(ContainElements("a", "d"))
		l.g.Expect(l.diskStates).To(HaveLen(2), "one report of the failure and one of the recovery")
	})
}

// An instance that is started while its disk is full, with an empty disk or with a torn
// write or a snapshot that is due, must wait for room and not stop.
func TestStartWaitsWhileDiskIsFull(t *testing.T) {
	for _, refusesAll := range []bool{false, true} {
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				folder := journaltest.New(rand.New(rand.NewPCG(seed, 1)))
				folder.RefusesAllWhenFull = refusesAll
				var states []error
				start := func() (*replica, error) {
					report := func(failure error) { states = append(states, failure) }
					return openWhenWritable(t.Context(), report, func() (*replica, error) {
						out := outputs{send: func(*wire.ConsensusMessage) {}, publish: func([]*wire.Record) {}}
						return openReplica(folder, 0, rand.New(rand.NewPCG(seed, 2)), 0, time.Minute, out)
					})
				}
				fill := func(length time.Duration) {
					folder.IsFull.Store(true)
					time.AfterFunc(length, func() { folder.IsFull.Store(false) })
				}
				fill(3 * time.Second)
				r, err := start()
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(states).To(HaveExactElements(MatchError(journaltest.ErrFull), BeNil()))

				// The process is killed after a torn write to the full disk.
				g.Expect(r.form(0, []*wire.ControlMember{{Id: r.identity.Id, Disk: r.identity.Disk, Voter: true}})).To(Succeed())
				fill(3 * time.Second)
				g.Expect(r.journal.Save(&wire.VoteState{Term: 7, Commit: 1}, nil)).To(MatchError(journaltest.ErrFull))
				folder.Kill()
				r, err = start()
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(r.core.Status(0).Group.GetMembers()).To(HaveLen(1))
				g.Expect(folder.Open).To(Equal(2), "the log of the killed process, and that of the new one")
			})
		}
	}
}

// An instance ended when the limit on the size of its files, and not the disk, stopped a write at its
// start (soak seed 1796461884470).
func TestStartWaitsWhileNoMoreCanBeWritten(t *testing.T) {
	for _, limit := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			attempts, reports := 0, 0
			opened, err := openWhenWritable(t.Context(), func(error) { reports++ }, func() (int, error) {
				if attempts++; attempts < 4 {
					return 0, journal.Error.Wrap(&fs.PathError{Op: "write", Path: "identity.new", Err: limit})
				}
				return attempts, nil
			})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(opened).To(Equal(4))
			g.Expect(reports).To(Equal(2), "when it begins to wait, and when it ends")
		})
	}
}

// An instance whose journal cannot be read back must stop, since it would otherwise
// continue with an empty one.
func TestLoopStopsWhenJournalIsDamaged(t *testing.T) {
	runSingleMember(t, func(l *singleMember) {
		l.g.Expect(l.submit("a", noFault)).To(Succeed())
		damage := func() {
			l.failOnce(journaltest.ErrSync)()
			l.folder.Content("identity")[13] ^= 1
		}
		l.g.Expect(l.submit("b", damage)).To(MatchError(ContainSubstring("outcome unknown")))
		l.g.Expect(journal.ErrDamaged.Has(<-l.ended)).To(BeTrue())
		l.g.Expect(l.submit("c", noFault)).To(MatchError(errStopped))
	})
}

// A leader whose disk fails transfers leadership, so that the other members elect a
// leader without waiting for the election timeout.
func TestLeaderWithFailedDiskTransfersLeadership(t *testing.T) {
	g := NewWithT(t)
	group := newTestGroup(t, memoryFolder)
	for range 3 {
		group.tick()
		group.deliver()
	}
	group.replicas[0].stepDown(group.now)
	group.isDown[0] = true
	for range 3 {
		group.tick()
		group.deliver()
	}
	leaders := 0
	for _, r := range group.replicas[1:] {
		if r.core.Status(group.now).Role == consensus.Leader {
			leaders++
		}
	}
	g.Expect(leaders).To(Equal(1))
}

func zoneOutCommand(zone string) *wire.Command {
	return &wire.Command{Body: &wire.Command_SetZone{SetZone: &wire.SetZone{Name: zone, Out: true, Register: true}}}
}
