package agent

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	balancers     = 4
	probeInterval = time.Second
	seed          = 7
)

func balancerAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7500)
}

// replyPath is implemented by returnPaths and by the naive version.
type replyPath interface {
	recordForwarded(now time.Time, balancer netip.AddrPort)
	recordProbe(now time.Time, balancer netip.AddrPort)
	pick(now time.Time) (netip.AddrPort, bool)
}

// lastSeenPath is the naive version: it sends every reply through the balancer
// that forwarded last.
type lastSeenPath struct{ last netip.AddrPort }

func (p *lastSeenPath) recordForwarded(_ time.Time, balancer netip.AddrPort) { p.last = balancer }
func (p *lastSeenPath) recordProbe(time.Time, netip.AddrPort)                {}
func (p *lastSeenPath) pick(time.Time) (netip.AddrPort, bool)                { return p.last, p.last.IsValid() }

// quietFlow simulates an event stream with one event every 10 s and PTO
// retransmissions. In each interval a random balancer fails within 8 s. It
// returns the number of events of which no copy was sent through a live
// balancer within 2 s.
func quietFlow(path replyPath) (lost int) {
	random := rand.New(rand.NewPCG(seed, seed))
	now := time.Unix(1000, 0)
	for range 200 {
		path.recordForwarded(now, balancerAt(random.IntN(balancers)))
		failed := balancerAt(random.IntN(balancers))
		failedAt := now.Add(time.Duration(random.Int64N(int64(8 * time.Second))))
		event := now.Add(10 * time.Second)
		for at := now; at.Before(event); at = at.Add(probeInterval) {
			for i := range balancers {
				probed := at.Add(probeInterval / balancers * time.Duration(i))
				if balancerAt(i) != failed || probed.Before(failedAt) {
					path.recordProbe(probed, balancerAt(i))
				}
			}
		}
		if !isDelivered(path, event, failed) {
			lost++
		}
		now = event.Add(probeInterval)
	}
	return lost
}

func isDelivered(path replyPath, event time.Time, failed netip.AddrPort) bool {
	for _, pto := range []time.Duration{0, 200, 600, 1400} {
		if balancer, ok := path.pick(event.Add(pto * time.Millisecond)); ok && balancer != failed {
			return true
		}
	}
	return false
}

func TestQuietFlowRepliesThroughLiveBalancer(t *testing.T) {
	g := NewWithT(t)
	g.Expect(quietFlow(&lastSeenPath{})).To(BeNumerically(">", 0), "the naive version must fail")
	g.Expect(quietFlow(newReturnPaths())).To(BeZero())
}

func TestReturnPathsPreferRecentlySeenBalancers(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	paths := newReturnPaths()
	_, ok := paths.pick(now)
	g.Expect(ok).To(BeFalse())
	paths.recordForwarded(now, balancerAt(1))
	paths.recordForwarded(now.Add(150*time.Millisecond), balancerAt(2))
	for range 8 {
		picked, _ := paths.pick(now.Add(160 * time.Millisecond))
		g.Expect(picked).To(Equal(balancerAt(2)), "1 was last seen before the rotation window")
	}
	later := now.Add(5 * time.Second)
	picked, _ := paths.pick(later)
	g.Expect(picked).To(Equal(balancerAt(2)), "fall back to the one seen last")
	paths.recordProbe(later, balancerAt(3))
	for range 8 {
		picked, _ := paths.pick(later.Add(probeInterval))
		g.Expect(picked).To(Equal(balancerAt(3)), "only 3 has probed within the window")
	}
}

func TestReturnPathsSpreadAndStayBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	paths := newReturnPaths()
	for i := range 200 {
		paths.recordForwarded(now.Add(time.Duration(i)), balancerAt(i))
	}
	g.Expect(paths.paths).To(HaveLen(maxReturnPaths))
	counts := make(map[netip.AddrPort]int)
	for range 10 * maxReturnPaths {
		picked, _ := paths.pick(now)
		counts[picked]++
	}
	g.Expect(counts).To(HaveLen(maxReturnPaths))
	g.Expect(counts).To(HaveEach(10))
}

func BenchmarkReturnPaths(b *testing.B) {
	paths := newReturnPaths()
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for i := range b.N {
		paths.recordForwarded(now, balancerAt(i%40))
		paths.pick(now)
	}
}
