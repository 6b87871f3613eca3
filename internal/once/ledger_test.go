package once

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// answerCache is a baseline that keeps the latest answers by key: a request runs if
// the cache has no entry for its key.
type answerCache struct {
	size  int
	order []ID
	known map[ID]bool
}

func (c *answerCache) begin(id ID) bool {
	if c.known[id] {
		return false
	}
	c.known[id] = true
	c.order = append(c.order, id)
	if len(c.order) > c.size {
		delete(c.known, c.order[0])
		c.order = c.order[1:]
	}
	return true
}

func (c *answerCache) refuse(id ID) {
	delete(c.known, id)
}

// schedule records the externally visible results of random attempts, queries,
// refusals, ends and jumps of time: how often each key ran, and whether a key ran
// although it had been refused as not run.
type schedule struct {
	runs          map[ID]int
	refused       map[ID]bool
	duplicateRuns int
	falseRefusals int
}

func (s *schedule) ran(id ID) {
	s.runs[id]++
	if s.runs[id] > 1 {
		s.duplicateRuns++
	}
	if s.refused[id] {
		s.falseRefusals++
	}
}

func (s *schedule) notRun(id ID) {
	s.refused[id] = true
	if s.runs[id] > 0 {
		s.falseRefusals++
	}
}

var testLimits = Limits{KeyLifetime: 20 * time.Second, Retention: 10 * time.Second, Runs: 8, Voids: 8, AnswerBytes: 100 + answerOverhead, TotalBytes: 300 + 3*answerOverhead}

const (
	scheduleSteps = 400
	scheduleKeys  = 30
)

func runSchedule(seed uint64, drive func(s *schedule, now time.Duration, random *rand.Rand, id ID, expires time.Duration)) *schedule {
	random := rand.New(rand.NewPCG(seed, 0))
	s := &schedule{runs: make(map[ID]int), refused: make(map[ID]bool)}
	now := time.Duration(0)
	for range scheduleSteps {
		now += time.Duration(random.IntN(1500)) * time.Millisecond
		number := random.IntN(scheduleKeys)
		issued := time.Duration(number) * 10 * time.Second
		if now < issued {
			continue
		}
		drive(s, now, random, ID{byte(number)}, issued+testLimits.KeyLifetime)
	}
	return s
}

func driveLedger() func(s *schedule, now time.Duration, random *rand.Rand, id ID, expires time.Duration) {
	ledger := NewLedger(testLimits)
	running := make(map[ID]bool)
	return func(s *schedule, now time.Duration, random *rand.Rand, id ID, expires time.Duration) {
		if running[id] && random.IntN(2) == 0 {
			delete(running, id)
			endRun(ledger, s, now, random, id)
			return
		}
		if random.IntN(4) == 0 {
			if ledger.Resolve(now, id, expires, ContentDigest{}).State == StateVoid {
				s.notRun(id)
			}
			return
		}
		result, hasStarted := ledger.Begin(now, id, expires, ContentDigest{})
		if hasStarted {
			running[id] = true
		}
		if result.State == StateVoid {
			s.notRun(id)
		}
	}
}

// endRun runs the request, or refuses it before it has run.
func endRun(ledger *Ledger, s *schedule, now time.Duration, random *rand.Rand, id ID) {
	if random.IntN(4) == 0 {
		ledger.Void(now, id)
		s.notRun(id)
		return
	}
	s.ran(id)
	switch random.IntN(3) {
	case 0:
		ledger.FinishUnknown(now, id)
	default:
		ledger.Finish(now, id, &Answer{Body: make([]byte, random.IntN(120))})
	}
}

func driveAnswerCache() func(s *schedule, now time.Duration, random *rand.Rand, id ID, expires time.Duration) {
	cache := &answerCache{size: testLimits.Runs, known: make(map[ID]bool)}
	return func(s *schedule, _ time.Duration, random *rand.Rand, id ID, _ time.Duration) {
		if !cache.begin(id) {
			return
		}
		if random.IntN(4) == 0 {
			cache.refuse(id)
			s.notRun(id)
			return
		}
		s.ran(id)
	}
}

func TestKeysRunAtMostOnceAndRefusalsAreTrue(t *testing.T) {
	const seeds = 2000
	var violations, cacheDuplicates, runs int
	var cacheFalseRefusals int
	for seed := range uint64(seeds) {
		s := runSchedule(seed, driveLedger())
		violations += s.duplicateRuns + s.falseRefusals
		runs += len(s.runs)
		n := runSchedule(seed, driveAnswerCache())
		cacheDuplicates += n.duplicateRuns
		cacheFalseRefusals += n.falseRefusals
	}
	t.Logf("%d schedules, %d keys ran: ledger: %d duplicate runs or false refusals; answer cache: %d duplicate runs, %d false refusals", seeds, runs, violations, cacheDuplicates, cacheFalseRefusals)
	g := NewWithT(t)
	g.Expect(runs).To(BeNumerically(">", seeds))
	g.Expect(cacheDuplicates).To(BeNumerically(">", 0))
	g.Expect(cacheFalseRefusals).To(BeNumerically(">", 0))
	g.Expect(violations).To(BeZero())
}

func TestLedgerStates(t *testing.T) {
	content, other := ContentDigest{1}, ContentDigest{2}
	begin := func(l *Ledger, now time.Duration) (State, bool) {
		result, hasStarted := l.Begin(now, ID{1}, testLimits.KeyLifetime, content)
		return result.State, hasStarted
	}
	table := []struct {
		name string
		do   func(l *Ledger)
		at   time.Duration
		want State
	}{
		{"running", func(*Ledger) {}, 1, StateRunning},
		{"finished", func(l *Ledger) { l.Finish(2, ID{1}, &Answer{Body: []byte("x")}) }, 3, StateFinished},
		{"too large to keep", func(l *Ledger) { l.Finish(2, ID{1}, &Answer{Body: make([]byte, 101)}) }, 3, StateNotKept},
		{"outcome unknown", func(l *Ledger) { l.FinishUnknown(2, ID{1}) }, 3, StateUnknown},
		{"refused", func(l *Ledger) { l.Void(2, ID{1}) }, 3, StateVoid},
		{"only the first end counts", func(l *Ledger) { l.FinishUnknown(2, ID{1}); l.Void(2, ID{1}) }, 3, StateUnknown},
		{"finished, key expired", func(l *Ledger) { l.Finish(2, ID{1}, &Answer{}) }, testLimits.KeyLifetime + 1, StateFinished},
		{"record expired", func(l *Ledger) { l.Finish(2, ID{1}, &Answer{}) }, time.Hour, StateUnknown},
		{"runs longer than the key's lifetime", func(*Ledger) {}, time.Hour, StateRunning},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			ledger := NewLedger(testLimits)
			_, hasStarted := begin(ledger, 0)
			g.Expect(hasStarted).To(BeTrue())
			row.do(ledger)
			state, hasStarted := begin(ledger, row.at)
			g.Expect(hasStarted).To(BeFalse())
			g.Expect(state).To(Equal(row.want))
		})
	}
	t.Run("different content", func(t *testing.T) {
		ledger := NewLedger(testLimits)
		begin(ledger, 0)
		NewWithT(t).Expect(ledger.Resolve(1, ID{1}, testLimits.KeyLifetime, other).State).To(Equal(StateMismatch))
	})
}

func TestLedgerRespectsLimits(t *testing.T) {
	g := NewWithT(t)
	ledger := NewLedger(testLimits)
	for i := range 100 {
		id := ID{byte(i)}
		if _, hasStarted := ledger.Begin(0, id, testLimits.KeyLifetime, ContentDigest{}); hasStarted {
			ledger.Finish(0, id, &Answer{Body: make([]byte, 90)})
		}
	}
	records, bytes := ledger.Usage()
	g.Expect(records).To(Equal(testLimits.Runs + testLimits.Voids))
	g.Expect(bytes).To(BeNumerically("<=", testLimits.TotalBytes))
	// The oldest answer was removed, but not the record that its request ran.
	g.Expect(ledger.Resolve(1, ID{0}, testLimits.KeyLifetime, ContentDigest{}).State).To(Equal(StateNotKept))
	// Without room for a record of the void key, the state is unknown.
	g.Expect(ledger.Resolve(1, ID{99}, testLimits.KeyLifetime, ContentDigest{}).State).To(Equal(StateUnknown))
	ledger.Resolve(time.Hour, ID{200}, time.Hour+1, ContentDigest{})
	records, bytes = ledger.Usage()
	g.Expect([]int{records, bytes}).To(Equal([]int{1, 0}))
}
