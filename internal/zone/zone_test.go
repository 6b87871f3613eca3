package zone

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	step     = 10 * time.Millisecond
	duration = 3 * time.Second
	// outBound is the guarantee: no packet is forwarded into a zone later than this
	// after the zone went out of service.
	outBound = duration
	// latency is the transit time of an answer.
	latency = 100 * time.Millisecond
	seeds   = 500
)

var start = time.Unix(1000, 0)

// leaseHolder is implemented by the lease holder under test and the baseline.
type leaseHolder interface {
	UpdateLease(confirmed time.Time, lease Lease)
	RecordAnswer(requested, now time.Time, zoneIndex uint64)
	SetAppliedIndex(index uint64)
	State(now time.Time) State
}

// baselineHolder is a baseline that counts a lease from its arrival and continues as long
// as any peer has answered recently.
type baselineHolder struct {
	until, lastContact time.Time
	now                func() time.Time
}

func (h *baselineHolder) UpdateLease(_ time.Time, lease Lease)    { h.until = h.now().Add(lease.Duration) }
func (h *baselineHolder) RecordAnswer(_, now time.Time, _ uint64) { h.lastContact = now }
func (h *baselineHolder) SetAppliedIndex(uint64)                  {}
func (h *baselineHolder) State(now time.Time) (state State) {
	if now.Before(h.until) || now.Sub(h.lastContact) < PeerTimeout {
		return StateFresh
	}
	return StateIsolated
}

// answer is a peer's answer in transit.
type answer struct {
	requested, confirmed time.Time
	lease                Lease
	hasLease             bool
}

// cluster simulates a balancer, a peer with contact to control and a peer that is
// partitioned from control, all on one clock. At some time a zone goes out of service.
// The balancer is frozen for some time and loses contact with both peers for some
// time. Answers that arrive while it is frozen stay in its socket buffer until it
// resumes.
type cluster struct {
	now                  time.Time
	out                  time.Time
	frozenFrom, frozenTo time.Time
	cutFrom, cutTo       time.Time
	view                 uint64
	buffered             []answer
	lateForwards         int
	forwards             int
}

func between(now, from, to time.Time) bool { return !now.Before(from) && now.Before(to) }

func newCluster(random *rand.Rand) *cluster {
	at := func(maximum time.Duration) time.Time {
		return start.Add(time.Duration(random.Int64N(int64(maximum))).Truncate(step))
	}
	c := &cluster{now: start, out: at(10 * time.Second), frozenFrom: at(10 * time.Second), cutFrom: at(20 * time.Second)}
	c.frozenTo = c.frozenFrom.Add(at(10 * time.Second).Sub(start))
	c.cutTo = c.cutFrom.Add(at(10 * time.Second).Sub(start))
	c.view = 1
	return c
}

func (c *cluster) zoneIndex() uint64 {
	if c.now.Before(c.out) {
		return 1
	}
	return 2
}

func (c *cluster) sendRequests() {
	if between(c.now, c.cutFrom, c.cutTo) {
		return
	}
	fromControl := answer{requested: c.now, confirmed: c.now.Add(-step), hasLease: true}
	fromControl.lease = Lease{Term: 1, ZoneIndex: c.zoneIndex(), Duration: duration}
	partitioned := answer{requested: c.now, lease: Lease{ZoneIndex: 1}}
	c.buffered = append(c.buffered, partitioned, fromControl)
}

// deliverAnswer passes one buffered answer to the holder, as the balancer's receive
// loop would after resuming.
func (c *cluster) deliverAnswer(h leaseHolder) {
	if len(c.buffered) == 0 || c.now.Sub(c.buffered[0].requested) < latency {
		return
	}
	next := c.buffered[0]
	c.buffered = c.buffered[1:]
	h.RecordAnswer(next.requested, c.now, next.lease.ZoneIndex)
	if next.hasLease {
		c.view = max(c.view, next.lease.ZoneIndex)
		h.SetAppliedIndex(c.view)
		h.UpdateLease(next.confirmed, next.lease)
	}
}

func (c *cluster) run(h leaseHolder, length time.Duration) {
	h.SetAppliedIndex(c.view)
	for ; c.now.Before(start.Add(length)); c.now = c.now.Add(step) {
		if between(c.now, c.frozenFrom, c.frozenTo) {
			continue
		}
		// A datagram may be processed before the buffered answers are read.
		c.decide(h)
		if c.now.Sub(start)%RequestInterval == 0 {
			c.sendRequests()
		}
		c.deliverAnswer(h)
		c.deliverAnswer(h)
	}
}

func (c *cluster) decide(h leaseHolder) {
	if !h.State(c.now).MayForward() {
		return
	}
	c.forwards++
	if c.view < 2 && c.now.Sub(c.out) > outBound {
		c.lateForwards++
	}
}

func TestNoForwardingIntoOutZoneAfterLeaseExpiry(t *testing.T) {
	g := NewWithT(t)
	late, baselineLate, forwards := 0, 0, 0
	for seed := range uint64(seeds) {
		c := newCluster(rand.New(rand.NewPCG(seed, 1)))
		c.run(NewLeaseHolder(), 20*time.Second)
		late += c.lateForwards
		forwards += c.forwards
		baseline := newCluster(rand.New(rand.NewPCG(seed, 1)))
		baseline.run(&baselineHolder{now: func() time.Time { return baseline.now }}, 20*time.Second)
		baselineLate += baseline.lateForwards
	}
	g.Expect(baselineLate).To(BeNumerically(">", 0), "the baseline must fail")
	g.Expect(late).To(BeZero())
	g.Expect(forwards).To(BeNumerically(">", seeds*500), "a balancer that is neither frozen nor partitioned must forward")
}

func lease(index uint64) Lease { return Lease{Term: 1, ZoneIndex: index, Duration: duration} }

func TestStates(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	fresh := func(h *LeaseHolder) {
		h.SetAppliedIndex(1)
		h.RecordAnswer(at(0), at(1), 1)
		h.UpdateLease(at(0), lease(1))
	}
	answerEach := func(h *LeaseHolder, from, to, every int) {
		for ms := from; ms <= to; ms += every {
			h.RecordAnswer(at(ms), at(ms+1), 1)
			h.State(at(ms + 1))
		}
	}
	for name, c := range map[string]struct {
		events func(h *LeaseHolder)
		ms     int
		want   State
	}{
		"restarted, peers answer, no lease":         {func(h *LeaseHolder) { answerEach(h, 0, 5000, 500) }, 5001, StateNone},
		"fresh":                                     {fresh, 2999, StateFresh},
		"expired, no peer answers":                  {fresh, 3000, StateIsolated},
		"expired, peers answer continuously":        {func(h *LeaseHolder) { fresh(h); answerEach(h, 500, 4000, 500) }, 4001, StateStatic},
		"expired, peers answer, then none":          {func(h *LeaseHolder) { fresh(h); answerEach(h, 500, 4000, 500) }, 5600, StateIsolated},
		"contact lost and regained without a lease": {func(h *LeaseHolder) { fresh(h); answerEach(h, 500, 4000, 500); answerEach(h, 8000, 9000, 500) }, 9001, StateIsolated},
		"contact lost and regained with a lease":    {func(h *LeaseHolder) { fresh(h); h.UpdateLease(at(9000), lease(1)) }, 9001, StateFresh},
		"answer buffered while frozen":              {func(h *LeaseHolder) { fresh(h); h.RecordAnswer(at(500), at(9000), 1); h.UpdateLease(at(500), lease(1)) }, 9000, StateIsolated},
		"lease requires a change not applied yet":   {func(h *LeaseHolder) { fresh(h); answerEach(h, 500, 3500, 500); h.UpdateLease(at(3500), lease(2)) }, 3501, StateStale},
		"change applied after the lease arrived":    {func(h *LeaseHolder) { fresh(h); h.UpdateLease(at(3500), lease(2)); h.SetAppliedIndex(2) }, 3501, StateFresh},
		"peer has received a newer change":          {func(h *LeaseHolder) { fresh(h); answerEach(h, 500, 3500, 500); h.RecordAnswer(at(3600), at(3601), 2) }, 3602, StateStale},
		"lease of a deposed leader": {func(h *LeaseHolder) {
			fresh(h)
			h.UpdateLease(at(5000), Lease{Term: 0, ZoneIndex: 1, Duration: duration})
		}, 5001, StateIsolated},
		"answers out of order": {func(h *LeaseHolder) { fresh(h); h.UpdateLease(at(2000), lease(1)); h.UpdateLease(at(1000), lease(1)) }, 4500, StateFresh},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewLeaseHolder()
			c.events(h)
			NewWithT(t).Expect(h.State(at(c.ms))).To(Equal(c.want))
		})
	}
}

func TestValidLeaseReturnsOnlyValidLeases(t *testing.T) {
	g := NewWithT(t)
	h := NewLeaseHolder()
	h.SetAppliedIndex(1)
	h.UpdateLease(start, lease(1))
	_, age, ok := h.ValidLease(start.Add(time.Second))
	g.Expect(ok).To(BeTrue())
	g.Expect(age).To(Equal(time.Second))
	_, _, ok = h.ValidLease(start.Add(duration))
	g.Expect(ok).To(BeFalse())
}

func BenchmarkState(b *testing.B) {
	h := NewLeaseHolder()
	h.UpdateLease(time.Now(), Lease{Duration: time.Hour})
	b.ReportAllocs()
	for b.Loop() {
		if h.State(time.Now()) != StateFresh {
			b.Fatal("not fresh")
		}
	}
}
