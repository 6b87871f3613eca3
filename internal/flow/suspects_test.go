package flow

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func addresses(members []Member) []netip.AddrPort {
	var found []netip.AddrPort
	for _, member := range members {
		found = append(found, member.Address)
	}
	return found
}

func threeAgents() []Member {
	return []Member{
		NewMember(addressOf(1), "a", "orders"), NewMember(addressOf(2), "a", "orders"), NewMember(addressOf(3), "b", "orders"),
	}
}

func TestAgentWithoutProbeAnswerIsDeprioritized(t *testing.T) {
	g := NewWithT(t)
	s := NewSuspects()
	now := 10 * time.Second
	g.Expect(s.RecordUnanswered(now, addressOf(1))).To(BeTrue())
	agents := threeAgents()
	newlySuspected, count := s.Deprioritize(now+probeTimeout, agents)
	g.Expect(newlySuspected).To(BeEmpty())
	g.Expect(count).To(BeZero(), "the answer may be in transit")
	now += probeTimeout + 1
	newlySuspected, count = s.Deprioritize(now, agents)
	g.Expect(newlySuspected).To(ConsistOf(addressOf(1)))
	g.Expect(count).To(Equal(1))
	g.Expect(addresses(agents)).To(HaveExactElements(addressOf(2), addressOf(3), addressOf(1)))

	agents = threeAgents()
	newlySuspected, _ = s.Deprioritize(now, agents)
	g.Expect(newlySuspected).To(BeEmpty(), "must be reported only once")
	g.Expect(s.RecordAnswer(addressOf(1))).To(BeTrue())
	_, count = s.Deprioritize(now, agents)
	g.Expect(count).To(BeZero())
}

// A retransmitted SYN alone is no evidence of a failure, since the packet or the
// answer may have been lost.
func TestAgentThatAnswersProbesIsNotSuspected(t *testing.T) {
	g := NewWithT(t)
	s := NewSuspects()
	for now := time.Second; now < 5*time.Second; now += probeTimeout / 2 {
		agents := threeAgents()
		if s.RecordUnanswered(now, addressOf(1)) {
			s.RecordAnswer(addressOf(1))
		}
		_, count := s.Deprioritize(now, agents)
		g.Expect(count).To(BeZero())
	}
}

func TestSuspectsAreRateLimitedAndExpire(t *testing.T) {
	g := NewWithT(t)
	s := NewSuspects()
	probes := 0
	for now := time.Second; now < 2*time.Second; now += time.Millisecond {
		if s.RecordUnanswered(now, addressOf(1)) {
			probes++
		}
	}
	g.Expect(probes).To(Equal(10))
	expired := 2*time.Second + suspectTTL
	_, count := s.Deprioritize(expired, threeAgents())
	g.Expect(count).To(BeZero())
	s.Sweep(expired)
	g.Expect(s.agents).To(BeEmpty())
}

func TestDeprioritizeKeepsOrderIfAllAreSuspected(t *testing.T) {
	g := NewWithT(t)
	s := NewSuspects()
	agents := threeAgents()
	for _, agent := range agents {
		s.RecordUnanswered(0, agent.Address)
	}
	_, count := s.Deprioritize(time.Second, agents)
	g.Expect(count).To(Equal(3))
	g.Expect(addresses(agents)).To(Equal(addresses(threeAgents())))
}
