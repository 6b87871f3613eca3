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

// lonely is the loop of a group of one, whose disk a test spoils.
type lonely struct {
	t      *testing.T
	g      Gomega
	folder *journaltest.Folder
	loop   *loop
	ended  chan error
	// disk is what the loop has said of its disk.
	disk []error
}

func playLonely(t *testing.T, play func(l *lonely)) {
	synctest.Test(t, func(t *testing.T) {
		l := &lonely{t: t, g: NewWithT(t), folder: journaltest.New(rand.New(rand.NewPCG(1, 1))), ended: make(chan error, 1)}
		out := outputs{send: func(*wire.ConsensusMessage) {}, publish: func([]*wire.Record) {}}
		r, err := openReplica(l.folder, 1, rand.New(rand.NewPCG(2, 2)), 0, out)
		l.g.Expect(err).NotTo(HaveOccurred())
		l.g.Expect(r.form(0, []*wire.ControlMember{{Id: 1, Disk: r.identity.Disk, Voter: true}})).To(Succeed())
		l.loop = newLoop(r, time.Now(), func(uint64, string) {})
		l.loop.noteDisk = func(failure error) { l.disk = append(l.disk, failure) }
		go func() { l.ended <- l.loop.run(t.Context()) }()
		l.electAgain()
		play(l)
	})
}

// electAgain waits until the instance leads again, and for its loop to be idle.
func (l *lonely) electAgain() {
	time.Sleep(3 * consensus.ElectionTimeout)
	synctest.Wait()
}

// submit proposes to take a zone out, spoiling the disk just before.
func (l *lonely) submit(zone string, spoil func()) error {
	_, err := l.loop.submit(l.t.Context(), func(now time.Duration, done func(*wire.CommandResult, error)) {
		spoil()
		l.loop.replica.propose(now, outCommand(zone), done)
	})
	return err
}

func (l *lonely) failOnce(failure error) func() {
	return func() { l.folder.FailAt, l.folder.Failure = l.folder.Operations+1, failure }
}

func nothing() {}

// The instance does not go on with what it believed, since what is durable is not
// known: it begins anew from what it has stored once more.
func TestLoopBeginsAnewAfterAFailedDisk(t *testing.T) {
	for _, failure := range []error{journaltest.ErrFull, journaltest.ErrSync} {
		t.Run(failure.Error(), func(t *testing.T) {
			playLonely(t, func(l *lonely) {
				l.g.Expect(l.submit("a", nothing)).To(Succeed())
				synctest.Wait()
				journalBefore := l.loop.replica.journal
				l.g.Expect(l.submit("b", l.failOnce(failure))).To(MatchError(ContainSubstring("outcome unknown")))
				l.g.Expect(l.submit("c", nothing)).To(MatchError(errNoDisk))
				l.g.Expect(l.loop.isCurrent()).To(BeFalse())
				l.electAgain()
				l.g.Expect(l.loop.replica.journal).NotTo(BeIdenticalTo(journalBefore))
				l.g.Expect(l.submit("d", nothing)).To(Succeed())
				synctest.Wait()
				l.g.Expect(l.loop.replica.catalog.ZonesOut()).To(ContainElements("a", "d"))
				l.g.Expect(l.loop.replica.catalog.ZonesOut()).NotTo(ContainElement("c"))
				l.g.Expect(l.disk).To(HaveExactElements(MatchError(failure), BeNil()))
				l.g.Expect(l.ended).To(BeEmpty())
			})
		})
	}
}

// Nothing is answered while the disk is full, however long, and nothing is lost.
func TestLoopWaitsWhileTheDiskIsFull(t *testing.T) {
	playLonely(t, func(l *lonely) {
		l.g.Expect(l.submit("a", nothing)).To(Succeed())
		l.g.Expect(l.submit("b", func() { l.folder.IsFull.Store(true) })).To(MatchError(ContainSubstring("outcome unknown")))
		for range 20 {
			time.Sleep(time.Second)
			l.g.Expect(l.submit("c", nothing)).To(MatchError(errNoDisk))
		}
		l.folder.IsFull.Store(false)
		l.electAgain()
		l.g.Expect(l.submit("d", nothing)).To(Succeed())
		synctest.Wait()
		l.g.Expect(l.loop.replica.catalog.ZonesOut()).To(ContainElements("a", "d"))
		l.g.Expect(l.disk).To(HaveLen(2), "said once each")
	})
}

// An instance whose journal cannot be read back must end: it would begin with an
// empty one.
func TestLoopEndsWhenTheJournalIsDamaged(t *testing.T) {
	playLonely(t, func(l *lonely) {
		l.g.Expect(l.submit("a", nothing)).To(Succeed())
		spoil := func() {
			l.failOnce(journaltest.ErrSync)()
			l.folder.Content("identity")[13] ^= 1
		}
		l.g.Expect(l.submit("b", spoil)).To(MatchError(ContainSubstring("outcome unknown")))
		l.g.Expect(journal.ErrDamaged.Has(<-l.ended)).To(BeTrue())
		l.g.Expect(l.submit("c", nothing)).To(MatchError(errStopped))
	})
}

// A leader whose disk fails hands over: nobody waits for an election.
func TestLeaderWithoutDiskHandsOver(t *testing.T) {
	g := NewWithT(t)
	group := newTrio(t, memoryFolder)
	for range 3 {
		group.tick()
		group.deliver()
	}
	group.replicas[0].stepDown(group.now)
	group.isAway[0] = true
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

func outCommand(zone string) *wire.Command {
	return &wire.Command{Body: &wire.Command_SetZone{SetZone: &wire.SetZone{Name: zone, Out: true, Register: true}}}
}
