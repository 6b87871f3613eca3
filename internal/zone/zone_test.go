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
	// outBound is the promise: no packet into a zone later than this after it went out.
	outBound = duration
	// latency is how long an answer is on its way.
	latency = 100 * time.Millisecond
	seeds   = 500
)

var start = time.Unix(1000, 0)

// leaseHolder is what the product and the naive version offer.
type leaseHolder interface {
	UpdateLease(confirmed time.Time, lease Lease)
	RecordAnswer(asked, now time.Time, zoneIndex uint64)
	SetAppliedIndex(index uint64)
	State(now time.Time) State
}

// naiveHolder counts a lease from its arrival and goes on while any peer was
// heard lately.
type naiveHolder struct {
	until, heard time.Time
	now          func() time.Time
}

func (h *naiveHolder) UpdateLease(_ time.Time, lease Lease)    { h.until = h.now().Add(lease.Duration) }
func (h *naiveHolder) RecordAnswer(_, now time.Time, _ uint64) { h.heard = now }
func (h *naiveHolder) SetAppliedIndex(uint64)                  {}
func (h *naiveHolder) State(now time.Time) (state State) {
	if now.Before(h.until) || now.Sub(h.heard) < PeerTimeout {
		return StateFresh
	}
	return StateIsolated
}

// answer is one peer's answer on its way.
type answer struct {
	asked, confirmed time.Time
	lease            Lease
	hasLease         bool
}

// cluster is one balancer, a peer that hears control and a peer that is cut off
// from control, on one clock. A zone goes out at one point; the balancer is
// frozen and cut off from either peer for spans of time. Answers to a frozen
// balancer lie in its socket's buffer until it wakes.
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
	w := &cluster{now: start, out: at(10 * time.Second), frozenFrom: at(10 * time.Second), cutFrom: at(20 * time.Second)}
	w.frozenTo = w.frozenFrom.Add(at(10 * time.Second).Sub(start))
	w.cutTo = w.cutFrom.Add(at(10 * time.Second).Sub(start))
	w.view = 1
	return w
}

func (w *cluster) zoneIndex() uint64 {
	if w.now.Before(w.out) {
		return 1
	}
	return 2
}

func (w *cluster) sendRequests() {
	if between(w.now, w.cutFrom, w.cutTo) {
		return
	}
	hears := answer{asked: w.now, confirmed: w.now.Add(-step), hasLease: true}
	hears.lease = Lease{Term: 1, ZoneIndex: w.zoneIndex(), Duration: duration}
	cutOff := answer{asked: w.now, lease: Lease{ZoneIndex: 1}}
	w.buffered = append(w.buffered, cutOff, hears)
}

// deliverAnswer hands one buffered answer to the holder, as a reader that wakes would.
func (w *cluster) deliverAnswer(h leaseHolder) {
	if len(w.buffered) == 0 || w.now.Sub(w.buffered[0].asked) < latency {
		return
	}
	next := w.buffered[0]
	w.buffered = w.buffered[1:]
	h.RecordAnswer(next.asked, w.now, next.lease.ZoneIndex)
	if next.hasLease {
		w.view = max(w.view, next.lease.ZoneIndex)
		h.SetAppliedIndex(w.view)
		h.UpdateLease(next.confirmed, next.lease)
	}
}

func (w *cluster) run(h leaseHolder, length time.Duration) {
	h.SetAppliedIndex(w.view)
	for ; w.now.Before(start.Add(length)); w.now = w.now.Add(step) {
		if between(w.now, w.frozenFrom, w.frozenTo) {
			continue
		}
		// A datagram may be decided before the answers are read.
		w.decide(h)
		if w.now.Sub(start)%RequestInterval == 0 {
			w.sendRequests()
		}
		w.deliverAnswer(h)
		w.deliverAnswer(h)
	}
}

func (w *cluster) decide(h leaseHolder) {
	if !h.State(w.now).MayForward() {
		return
	}
	w.forwards++
	if w.view < 2 && w.now.Sub(w.out) > outBound {
		w.lateForwards++
	}
}

func TestNoPacketIntoOutZonePastLease(t *testing.T) {
	g := NewWithT(t)
	late, naiveLate, forwards := 0, 0, 0
	for seed := range uint64(seeds) {
		w := newCluster(rand.New(rand.NewPCG(seed, 1)))
		w.run(NewLeaseHolder(), 20*time.Second)
		late += w.lateForwards
		forwards += w.forwards
		naive := newCluster(rand.New(rand.NewPCG(seed, 1)))
		naive.run(&naiveHolder{now: func() time.Time { return naive.now }}, 20*time.Second)
		naiveLate += naive.lateForwards
	}
	g.Expect(naiveLate).To(BeNumerically(">", 0), "the naive version must fail")
	g.Expect(late).To(BeZero())
	g.Expect(forwards).To(BeNumerically(">", seeds*500), "a balancer that is neither frozen nor cut off forwards")
}

func lease(index uint64) Lease { return Lease{Term: 1, ZoneIndex: index, Duration: duration} }

func TestStates(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	fresh := func(h *LeaseHolder) {
		h.SetAppliedIndex(1)
		h.RecordAnswer(at(0), at(1), 1)
		h.UpdateLease(at(0), lease(1))
	}
	hearEach := func(h *LeaseHolder, from, to, every int) {
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
		"restarted, peers heard, no lease":         {func(h *LeaseHolder) { hearEach(h, 0, 5000, 500) }, 5001, StateNone},
		"fresh":                                    {fresh, 2999, StateFresh},
		"run out, nobody heard":                    {fresh, 3000, StateIsolated},
		"run out, peers heard all along":           {func(h *LeaseHolder) { fresh(h); hearEach(h, 500, 4000, 500) }, 4001, StateStatic},
		"run out, peers heard, then nobody":        {func(h *LeaseHolder) { fresh(h); hearEach(h, 500, 4000, 500) }, 5600, StateIsolated},
		"contact lost and found without a lease":   {func(h *LeaseHolder) { fresh(h); hearEach(h, 500, 4000, 500); hearEach(h, 8000, 9000, 500) }, 9001, StateIsolated},
		"contact lost and found with a lease":      {func(h *LeaseHolder) { fresh(h); h.UpdateLease(at(9000), lease(1)) }, 9001, StateFresh},
		"answer lay in a buffer while frozen":      {func(h *LeaseHolder) { fresh(h); h.RecordAnswer(at(500), at(9000), 1); h.UpdateLease(at(500), lease(1)) }, 9000, StateIsolated},
		"lease names a change that the view lacks": {func(h *LeaseHolder) { fresh(h); hearEach(h, 500, 3500, 500); h.UpdateLease(at(3500), lease(2)) }, 3501, StateStale},
		"the change arrives after the lease":       {func(h *LeaseHolder) { fresh(h); h.UpdateLease(at(3500), lease(2)); h.SetAppliedIndex(2) }, 3501, StateFresh},
		"a peer knows a newer change":              {func(h *LeaseHolder) { fresh(h); hearEach(h, 500, 3500, 500); h.RecordAnswer(at(3600), at(3601), 2) }, 3602, StateStale},
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

func TestPeersPassOnOnlyValidLeases(t *testing.T) {
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
