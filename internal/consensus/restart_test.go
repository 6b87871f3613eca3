package consensus_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/consensus"
	"sassafrasturn.example/internal/wire"
)

// restartCase is how a group of five comes back after all have lost power.
type restartCase struct {
	name string
	// voters is how many come back with their disks.
	voters int
	// spread is the time within which they do.
	spread time.Duration
	// oneWay bounds the time of a message on its way, and sync that of a write.
	oneWay, sync time.Duration
}

// timedGroup runs cores over a network and disks that take time.
type timedGroup struct {
	random *rand.Rand
	c      restartCase
	now    time.Duration
	cores  map[uint64]*consensus.Core
	// startAt and busyUntil are the times of a member's start and of the end of
	// its newest write.
	startAt, busyUntil map[uint64]time.Duration
	mail               []timedMessage
	terms              map[uint64]bool
}

type timedMessage struct {
	at      time.Duration
	message *wire.ConsensusMessage
}

// coreTick is how often the owner of a core advances its time.
const coreTick = 20 * time.Millisecond

func newTimedGroup(c restartCase, seed uint64) *timedGroup {
	g := &timedGroup{
		random: rand.New(rand.NewPCG(seed, 9)), c: c, cores: make(map[uint64]*consensus.Core),
		startAt: make(map[uint64]time.Duration), busyUntil: make(map[uint64]time.Duration), terms: make(map[uint64]bool),
	}
	config := &wire.ControlGroup{Number: groupNumber, HighestId: 5}
	for id := range uint64(5) {
		config.Members = append(config.Members, member(id+1, true))
	}
	for i := range uint64(c.voters) {
		id := i + 1
		g.startAt[id] = time.Duration(g.random.Int64N(int64(c.spread)))
		stored := consensus.Stored{
			State: &wire.VoteState{Term: 7, Commit: 1}, Snapshot: consensus.FirstSnapshot(config),
		}
		g.cores[id] = consensus.New(consensus.Config{
			ID: id, Disk: diskOf(id), Rand: rand.New(rand.NewPCG(id, seed)), GrantsNoLease: true,
		}, stored, g.startAt[id])
	}
	return g
}

// majorityAt is when a majority of the group has started.
func (g *timedGroup) majorityAt() time.Duration {
	var starts []time.Duration
	for _, at := range g.startAt {
		starts = append(starts, at)
	}
	slices.Sort(starts)
	return starts[2]
}

// work stores and sends what a member has to, after the time of a write.
func (g *timedGroup) work(id uint64) {
	for {
		ready := g.cores[id].Ready()
		if ready.IsEmpty() {
			return
		}
		if ready.State != nil || len(ready.Entries) > 0 {
			g.busyUntil[id] = g.now + g.c.sync
		}
		sent := max(g.now, g.busyUntil[id])
		for _, m := range ready.Messages {
			at := sent + 1 + time.Duration(g.random.Int64N(int64(g.c.oneWay)))
			g.mail = append(g.mail, timedMessage{at: at, message: m})
			if m.Kind == wire.ConsensusMessage_KIND_VOTE {
				g.terms[m.Term] = true
			}
		}
		g.cores[id].Advance(ready)
	}
}

// step advances the time by a millisecond.
func (g *timedGroup) step() {
	g.now += time.Millisecond
	for id := uint64(1); id <= uint64(g.c.voters); id++ {
		isDue := g.now >= g.startAt[id] && (g.now-g.startAt[id])%coreTick < time.Millisecond
		if isDue && g.now >= g.busyUntil[id] {
			g.cores[id].Tick(g.now)
			g.work(id)
		}
	}
	slices.SortStableFunc(g.mail, func(a, b timedMessage) int { return cmp.Compare(a.at, b.at) })
	var later []timedMessage
	for _, m := range g.mail {
		to := m.message.To
		switch {
		case m.at > g.now || g.now < g.busyUntil[to] && g.cores[to] != nil:
			later = append(later, m)
		case g.cores[to] == nil || g.now < g.startAt[to]:
		default:
			sent := g.mail
			g.mail = nil
			g.cores[to].Step(g.now, m.message)
			g.work(to)
			later = append(later, g.mail...)
			g.mail = sent
		}
	}
	g.mail = later
}

// untilLed returns the time from the start of a majority until a leader may
// serve, and in how many terms votes were asked for.
func (g *timedGroup) untilLed() (took time.Duration, terms int) {
	const most = 10 * time.Second
	for g.now < most {
		g.step()
		for _, core := range g.cores {
			if status := core.Status(g.now); status.Role == consensus.Leader && status.IsCurrent {
				return g.now - g.majorityAt(), len(g.terms)
			}
		}
	}
	return most, len(g.terms)
}

// A caller that dials while all machines come back sends its last copy of the
// SYN after 0.6 s. A leader by then lets the first try succeed; half of that is
// left for views to spread.
func TestGroupElectsSoonAfterAllHaveLostPower(t *testing.T) {
	const (
		seeds     = 500
		most      = 600 * time.Millisecond
		usually   = 300 * time.Millisecond
		shareSoon = 0.9
	)
	cases := []restartCase{
		{name: "all at once", voters: 5, spread: 5 * time.Millisecond, oneWay: 2 * time.Millisecond, sync: time.Millisecond},
		{name: "two disks lost", voters: 3, spread: 5 * time.Millisecond, oneWay: 2 * time.Millisecond, sync: time.Millisecond},
		{name: "one after the other", voters: 5, spread: 300 * time.Millisecond, oneWay: 2 * time.Millisecond, sync: time.Millisecond},
		{name: "over regions", voters: 5, spread: 5 * time.Millisecond, oneWay: 10 * time.Millisecond, sync: time.Millisecond},
		{name: "slow disks, two lost", voters: 3, spread: 5 * time.Millisecond, oneWay: 2 * time.Millisecond, sync: 30 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			soon, split := 0, 0
			var worst, sum time.Duration
			for seed := range uint64(seeds) {
				took, terms := newTimedGroup(c, seed).untilLed()
				worst = max(worst, took)
				sum += took
				if took <= usually {
					soon++
				}
				if terms > 1 {
					split++
				}
			}
			t.Logf("mean %s, worst %s, %d of %d within %s, %d with more than one term", sum/seeds, worst, soon, seeds, usually, split)
			g.Expect(worst).To(BeNumerically("<=", most))
			g.Expect(float64(soon) / seeds).To(BeNumerically(">=", shareSoon))
		})
	}
}
