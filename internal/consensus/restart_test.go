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

// restartCase describes how a group of five restarts after a power loss of all members.
type restartCase struct {
	name string
	// voters is the number of members that restart with their disks.
	voters int
	// startSpread is the time within which they restart.
	startSpread time.Duration
	// meanBound is the bound on the mean time to a leader.
	meanBound time.Duration
	// maxLatency is the longest one-way time of a message, and syncTime the time of a
	// write to the disk.
	maxLatency, syncTime time.Duration
}

// timedGroup runs cores over a network with latency and disks with a write time.
type timedGroup struct {
	random *rand.Rand
	c      restartCase
	now    time.Duration
	cores  map[uint64]*consensus.Core
	// startAt and busyUntil are the times of a member's start and of the end of its
	// newest write.
	startAt, busyUntil map[uint64]time.Duration
	inFlight           []timedMessage
	// links are the times at which a member opens a link to another.
	links      []timedLink
	votedTerms map[uint64]bool
}

// timedLink is a link that another member opens to the member with the ID to.
type timedLink struct {
	at time.Duration
	to uint64
}

type timedMessage struct {
	at      time.Duration
	message *wire.ConsensusMessage
}

// linkTime is how long it takes to open a link.
const linkTime = 20 * time.Millisecond

// coreTick is the interval at which Tick is called.
const coreTick = 20 * time.Millisecond

func newTimedGroup(c restartCase, seed uint64) *timedGroup {
	g := &timedGroup{
		random: rand.New(rand.NewPCG(seed, 9)), c: c, cores: make(map[uint64]*consensus.Core),
		startAt: make(map[uint64]time.Duration), busyUntil: make(map[uint64]time.Duration), votedTerms: make(map[uint64]bool),
	}
	config := &wire.ControlGroup{Number: groupNumber, HighestId: 5}
	for id := range uint64(5) {
		config.Members = append(config.Members, member(id+1, true))
	}
	for i := range uint64(c.voters) {
		id := i + 1
		g.startAt[id] = time.Duration(g.random.Int64N(int64(c.startSpread)))
		stored := consensus.Stored{
			State: &wire.VoteState{Term: 7, Commit: 1}, Snapshot: consensus.FirstSnapshot(config),
		}
		g.cores[id] = consensus.New(consensus.Config{
			ID: id, Disk: diskOf(id), Rand: rand.New(rand.NewPCG(id, seed)), GrantsNoLease: true,
		}, stored, g.startAt[id])
	}
	for from := range uint64(c.voters) {
		for to := range uint64(c.voters) {
			if from != to {
				at := max(g.startAt[from+1], g.startAt[to+1]) + linkTime
				g.links = append(g.links, timedLink{at: at, to: to + 1})
			}
		}
	}
	return g
}

// majorityAt returns when a majority of the group has started.
func (g *timedGroup) majorityAt() time.Duration {
	var starts []time.Duration
	for _, at := range g.startAt {
		starts = append(starts, at)
	}
	slices.Sort(starts)
	return starts[2]
}

// processReady stores the state of a member and sends its messages, which leave after the
// time of the write.
func (g *timedGroup) processReady(id uint64) {
	for {
		ready := g.cores[id].Ready()
		if ready.IsEmpty() {
			return
		}
		if ready.State != nil || len(ready.Entries) > 0 {
			g.busyUntil[id] = g.now + g.c.syncTime
		}
		sent := max(g.now, g.busyUntil[id])
		for _, m := range ready.Messages {
			at := sent + 1 + time.Duration(g.random.Int64N(int64(g.c.maxLatency)))
			g.inFlight = append(g.inFlight, timedMessage{at: at, message: m})
			if m.Kind == wire.ConsensusMessage_KIND_VOTE {
				g.votedTerms[m.Term] = true
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
			g.processReady(id)
		}
	}
	g.links = slices.DeleteFunc(g.links, func(l timedLink) bool {
		if l.at > g.now || g.now < g.busyUntil[l.to] {
			return false
		}
		g.cores[l.to].Connected(g.now)
		g.processReady(l.to)
		return true
	})
	slices.SortStableFunc(g.inFlight, func(a, b timedMessage) int { return cmp.Compare(a.at, b.at) })
	var later []timedMessage
	for _, m := range g.inFlight {
		to := m.message.To
		switch {
		case m.at > g.now || g.now < g.busyUntil[to] && g.cores[to] != nil:
			later = append(later, m)
		case g.cores[to] == nil || g.now < g.startAt[to]:
		default:
			sent := g.inFlight
			g.inFlight = nil
			g.cores[to].Step(g.now, m.message)
			g.processReady(to)
			later = append(later, g.inFlight...)
			g.inFlight = sent
		}
	}
	g.inFlight = later
}

// timeToLeader returns the time from the start of a majority until a leader has applied
// all committed entries, and in how many terms votes were requested.
func (g *timedGroup) timeToLeader() (took time.Duration, terms int) {
	const limit = 10 * time.Second
	for g.now < limit {
		g.step()
		for _, core := range g.cores {
			if status := core.Status(g.now); status.Role == consensus.Leader && status.IsCurrent {
				return g.now - g.majorityAt(), len(g.votedTerms)
			}
		}
	}
	return limit, len(g.votedTerms)
}

// A caller that dials while all machines restart sends its last copy of the SYN after
// 0.6 s. A leader that is elected by then lets the first attempt succeed. Usually half
// of this time must remain for the distribution of views.
func TestGroupElectsLeaderSoonAfterPowerLoss(t *testing.T) {
	const (
		seeds        = 500
		worstBound   = 600 * time.Millisecond
		soonBound    = 300 * time.Millisecond
		minSoonShare = 0.9
	)
	cases := []restartCase{
		{name: "all at once", voters: 5, meanBound: 90 * time.Millisecond, startSpread: 5 * time.Millisecond, maxLatency: 2 * time.Millisecond, syncTime: time.Millisecond},
		{name: "two disks lost", voters: 3, meanBound: 100 * time.Millisecond, startSpread: 5 * time.Millisecond, maxLatency: 2 * time.Millisecond, syncTime: time.Millisecond},
		{name: "one after the other", voters: 5, meanBound: 50 * time.Millisecond, startSpread: 300 * time.Millisecond, maxLatency: 2 * time.Millisecond, syncTime: time.Millisecond},
		{name: "across regions", voters: 5, meanBound: 110 * time.Millisecond, startSpread: 5 * time.Millisecond, maxLatency: 10 * time.Millisecond, syncTime: time.Millisecond},
		{name: "slow disks, two lost", voters: 3, meanBound: 220 * time.Millisecond, startSpread: 5 * time.Millisecond, maxLatency: 2 * time.Millisecond, syncTime: 30 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			soon, split := 0, 0
			var worst, sum time.Duration
			for seed := range uint64(seeds) {
				took, terms := newTimedGroup(c, seed).timeToLeader()
				worst = max(worst, took)
				sum += took
				if took <= soonBound {
					soon++
				}
				if terms > 1 {
					split++
				}
			}
			t.Logf("mean %s, worst %s, %d of %d within %s, %d with more than one term", sum/seeds, worst, soon, seeds, soonBound, split)
			g.Expect(worst).To(BeNumerically("<=", worstBound))
			g.Expect(sum / seeds).To(BeNumerically("<=", c.meanBound))
			g.Expect(float64(soon) / seeds).To(BeNumerically(">=", minSoonShare))
		})
	}
}
