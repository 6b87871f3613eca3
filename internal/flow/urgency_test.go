package flow

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// rushCaller is a request in a rush at several endpoints.
type rushCaller struct {
	isUrgent bool
	sentAt   time.Duration
	attempt  int
	doneAt   time.Duration
}

// rush plays callers in virtual time, in steps of 1 ms: a SYN is offered to six endpoints in turn,
// and sent again after 200 and 600 ms if none takes it. Endpoints serve requests in the order of
// arrival.
type rush struct {
	endpoints, slots int
	objective        time.Duration
	work             func() time.Duration
	// isUrgencyIgnored leaves urgency and the time that callers have waited out of the decision.
	isUrgencyIgnored bool

	random *rand.Rand
	// freeAt has the times at which the slots of each endpoint become free, and inFlight the ends
	// of its requests.
	freeAt   [][]time.Duration
	inFlight [][]time.Duration
}

func (r *rush) play(callers []*rushCaller) {
	r.random = rand.New(rand.NewPCG(1, 2))
	for range r.endpoints {
		r.freeAt = append(r.freeAt, make([]time.Duration, r.slots))
		r.inFlight = append(r.inFlight, nil)
	}
	due := make(map[time.Duration][]*rushCaller)
	last := time.Duration(0)
	for _, c := range callers {
		due[c.sentAt+TransmissionTime(c.attempt)] = append(due[c.sentAt+TransmissionTime(c.attempt)], c)
		last = max(last, c.sentAt+handshakeTimeout)
	}
	for now := time.Duration(0); now <= last; now += time.Millisecond {
		for i := range r.inFlight {
			r.inFlight[i] = slices.DeleteFunc(r.inFlight[i], func(end time.Duration) bool { return end <= now })
		}
		for _, c := range due[now] {
			if !r.offer(now, c) && c.attempt < len(transmissionTimes)-1 {
				c.attempt++
				next := c.sentAt + TransmissionTime(c.attempt)
				due[next] = append(due[next], c)
			}
		}
	}
}

func (r *rush) offer(now time.Duration, c *rushCaller) bool {
	gate := Gate{SilenceTimeout: time.Hour}
	endpoint := &Endpoint{Slots: r.slots}
	candidates := r.random.Perm(r.endpoints)[:MaxCandidates]
	for i, at := range candidates {
		request := AdmissionRequest{IsRouteAllowed: true, CandidatesLeft: MaxCandidates - 1 - i, InFlight: len(r.inFlight[at]), Objective: r.objective}
		if !r.isUrgencyIgnored {
			request.IsLeastUrgent, request.Elapsed = !c.isUrgent, TransmissionTime(c.attempt)
		}
		if gate.Decide(now, endpoint, 0, request) != Accepted {
			continue
		}
		slot := slices.Index(r.freeAt[at], slices.Min(r.freeAt[at]))
		c.doneAt = max(now, r.freeAt[at][slot]) + r.work()
		r.freeAt[at][slot] = c.doneAt
		r.inFlight[at] = append(r.inFlight[at], c.doneAt)
		return true
	}
	return false
}

// inTime returns the shares of urgent and of other callers that were answered within the objective.
func (r *rush) inTime(callers []*rushCaller, from time.Duration) (urgent, others float64) {
	var asked, answered [2]float64
	for _, c := range callers {
		class := 0
		if c.isUrgent {
			class = 1
		}
		if c.sentAt < from {
			continue
		}
		asked[class]++
		if c.doneAt > 0 && c.doneAt-c.sentAt <= r.objective {
			answered[class]++
		}
	}
	return answered[1] / asked[1], answered[0] / asked[0]
}

func newRush(isUrgencyIgnored bool, load float64, duration time.Duration) (*rush, []*rushCaller) {
	random := rand.New(rand.NewPCG(3, 4))
	r := &rush{endpoints: 40, slots: 3, objective: 300 * time.Millisecond, isUrgencyIgnored: isUrgencyIgnored}
	r.work = func() time.Duration { return time.Duration(25+random.IntN(36)) * time.Millisecond }
	const meanWork = 42.5
	perMs := load * float64(r.endpoints*r.slots) / meanWork
	var callers []*rushCaller
	credit := 0.0
	for now := time.Duration(0); now < duration; now += time.Millisecond {
		for credit += perMs; credit >= 1; credit-- {
			callers = append(callers, &rushCaller{sentAt: now, isUrgent: random.IntN(5) == 0})
		}
	}
	return r, callers
}

// In an overload of all slots, urgent callers must not fail like the others, and the others must
// get what is left.
func TestUrgentFlowsAreServedInAnOverload(t *testing.T) {
	for _, load := range []float64{1.25, 2} {
		g := NewWithT(t)
		naive, callers := newRush(true, load, 8*time.Second)
		naive.play(callers)
		naiveUrgent, naiveOthers := naive.inTime(callers, 0)
		r, callers := newRush(false, load, 8*time.Second)
		r.play(callers)
		urgent, others := r.inTime(callers, 0)
		t.Logf("load %.2f: urgent in time %.3f, others %.3f; without urgency %.3f, %.3f", load, urgent, others, naiveUrgent, naiveOthers)
		g.Expect(naiveUrgent).To(BeNumerically("<", 0.95))
		g.Expect(urgent).To(BeNumerically(">", 0.99))
		g.Expect(0.2*urgent + 0.8*others).To(BeNumerically(">", 0.2*naiveUrgent+0.8*naiveOthers-0.02))
	}
}

// Callers have waited through an outage, and send their third transmission while new ones arrive.
// Those that are late already must not make the new ones late too, nor be left out altogether.
func TestFlowsThatCanBeInTimeAreServedBeforeLateOnes(t *testing.T) {
	g := NewWithT(t)
	const waiting = 900
	play := func(isUrgencyIgnored bool) (inTime float64, lateServed int) {
		r, callers := newRush(isUrgencyIgnored, 0.8, time.Second)
		for i := range waiting {
			callers = append(callers, &rushCaller{sentAt: time.Duration(i%300)*time.Millisecond - 600*time.Millisecond, attempt: 2})
		}
		r.play(callers)
		urgent, others := r.inTime(callers, 0)
		for _, c := range callers[len(callers)-waiting:] {
			if c.doneAt > 0 {
				lateServed++
			}
		}
		return 0.2*urgent + 0.8*others, lateServed
	}
	naive, _ := play(true)
	inTime, lateServed := play(false)
	t.Logf("new callers in time %.3f, %d of %d late ones served; without the elapsed time %.3f", inTime, lateServed, waiting, naive)
	g.Expect(naive).To(BeNumerically("<", 0.95))
	g.Expect(inTime).To(BeNumerically(">", 0.99))
	g.Expect(lateServed).To(BeNumerically(">", waiting/4))
}

// Without an overload neither urgency nor lateness may refuse anything.
func TestUrgencyChangesNothingWithRoom(t *testing.T) {
	g := NewWithT(t)
	r, callers := newRush(false, 0.5, 2*time.Second)
	r.play(callers)
	urgent, others := r.inTime(callers, 0)
	g.Expect([]float64{urgent, others}).To(Equal([]float64{1, 1}))
}
