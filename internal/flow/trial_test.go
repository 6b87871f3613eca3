package flow

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// No more than two endpoints may get a packet of another's flow within 2 s while its owner is absent,
// and a packet whose owner is one of the agents that try it must not wait while all others answer.
func TestTrialsTakeTurnsWhileTheOwnerMayBeAbsent(t *testing.T) {
	g := NewWithT(t)
	firstTrials := make(map[int]time.Duration)
	// Transmissions of a caller, at intervals that double up to 1.6 s.
	for at, wait := time.Duration(0), 200*time.Millisecond; at < 20*time.Second; at, wait = at+wait, min(2*wait, 1600*time.Millisecond) {
		for earlier := range 8 {
			trial := Trial{Earlier: earlier, RepeatedFor: at}
			g.Expect(trial.IsAllowed()).To(BeTrue())
			trial.IsOwnerAbsent = true
			if _, isTried := firstTrials[earlier]; !isTried && trial.IsAllowed() {
				firstTrials[earlier] = at
			}
		}
	}
	g.Expect(firstTrials).To(HaveLen(8))
	for earlier := range 6 {
		g.Expect(firstTrials[earlier+2] - firstTrials[earlier]).To(BeNumerically(">", 2*time.Second))
	}
}

func TestForwardsObserveTransmissions(t *testing.T) {
	g, f := NewWithT(t), NewForwards()
	next := netip.MustParseAddrPort("10.0.0.1:7000")
	packet := Header{Source: key.Caller, Destination: key.Dialed, Seq: 5, Length: 10}
	observe := func(at time.Duration, h Header) time.Duration {
		repeatedFor, ok := f.Observe(at, &h)
		g.Expect(ok).To(BeTrue())
		return repeatedFor
	}
	g.Expect(observe(time.Second, packet)).To(BeZero())
	g.Expect(f.Record(time.Second, &packet, next)).To(BeFalse(), "the first transmission")
	g.Expect(observe(2*time.Second, packet)).To(Equal(time.Second))
	g.Expect(f.Record(2*time.Second, &packet, next)).To(BeTrue())
	g.Expect(observe(3*time.Second, packet)).To(Equal(2 * time.Second))
	later := packet
	later.Seq = 15
	g.Expect(observe(3*time.Second, later)).To(BeZero())
	g.Expect(observe(3*time.Second+forwardTTL+1, later)).To(BeZero(), "too old")
	for port := range uint16(maxForwards) {
		f.Observe(0, &Header{Source: netip.AddrPortFrom(key.Caller.Addr(), port), Destination: key.Dialed})
	}
	_, ok := f.Observe(0, &Header{Source: netip.AddrPortFrom(key.Caller.Addr(), maxForwards+1), Destination: key.Dialed})
	g.Expect(ok).To(BeFalse())
}
