package control

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/consensus"
	"sassafrasturn.example/internal/journal"
	"sassafrasturn.example/internal/journal/journaltest"
	"sassafrasturn.example/internal/wire"
)

// singleMember is the loop of a group of one, whose disk a test spoils.
type singleMember struct {
	t      *testing.T
	g      Gomega
	folder *journaltest.Folder
	loop   *loop
	ended  chan error
	// diskStates is what the loop has said of its diskStates.
	diskStates []error
}

func runSingleMember(t *testing.T, play func(l *singleMember)) {
	synctest.Test(t, func(t *testing.T) {
		l := &singleMember{t: t, g: NewWithT(t), folder: journaltest.New(rand.New(rand.NewPCG(1, 1))), ended: make(chan error, 1)}
		out := outputs{send: func(*wire.ConsensusMessage) {}, publish: func([]*wire.Record) {}}
		r, err := openReplica(l.folder, 1, rand.New(rand.NewPCG(2, 2)), 0, out)
		l.g.Expect(err).NotTo(HaveOccurred())
		l.g.Expect(r.form(0, []*wire.ControlMember{{Id: 1, Disk: r.identity.Disk, Voter: true}})).To(Succeed())
		l.loop = newLoop(r, time.Now(), func(uint64, string) {})
		l.loop.onDiskState = func(failure error) { l.diskStates = append(l.diskStates, failure) }
		go func() { l.ended <- l.loop.run(t.Context()) }()
		l.awaitElection()
		play(l)
	})
}

// awaitElection waits until the instance leads again, and for its loop to be idle.
func (l *singleMember) awaitElection() {
	time.Sleep(3 * consensus.ElectionTimeout)
	synctest.Wait()
}

// submit proposes to take a zone out, spoiling the disk just before.
func (l *singleMember) submit(zone string, spoil func()) error {
	_, err := l.loop.submit(l.t.Context(), func(now time.Duration, done func(*wire.CommandResult, error)) {
		spoil()
		l.loop.replica.propose(now, zoneOutCommand(zone), done)
	})
	return err
}

func (l *singleMember) failOnce(failure error) func() {
	return func() { l.folder.FailAt, l.folder.Failure = l.folder.Operations+1, failure }
}

func noFault() {}

// The instance does not go on with what it believed, since what is durable is not
// known: it begins anew from what it has stored once more.
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

// Nothing is answered while the disk is full, however long, and nothing is lost.
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
		l.g.Expect(l.diskStates).To(HaveLen(2), "said once each")
	})
}

// An instance whose journal cannot be read back must end: it would begin with an
// empty one.
func TestLoopStopsWhenJournalIsDamaged(t *testing.T) {
	runSingleMember(t, func(l *singleMember) {
		l.g.Expect(l.submit("a", noFault)).To(Succeed())
		spoil := func() {
			l.failOnce(journaltest.ErrSync)()
			l.folder.Content("identity")[13] ^= 1
		}
		l.g.Expect(l.submit("b", spoil)).To(MatchError(ContainSubstring("outcome unknown")))
		l.g.Expect(journal.ErrDamaged.Has(<-l.ended)).To(BeTrue())
		l.g.Expect(l.submit("c", noFault)).To(MatchError(errStopped))
	})
}

// A leader whose disk fails hands over: nobody waits for an election.
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
