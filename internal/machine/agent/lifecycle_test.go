package agent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/admit"
)

func at(seconds float64) time.Time {
	return time.Time{}.Add(time.Duration(seconds * float64(time.Second)))
}

func TestLifecycleDistinguishesRestartsAndMoves(t *testing.T) {
	first := Announcement{Service: "order-desk", Address: "127.0.0.1:8000", Process: "1"}
	restarted, otherService, otherAddress := first, first, first
	restarted.Process = "2"
	otherService.Service = "drawings"
	otherAddress.Address = "127.0.0.1:8001"
	cases := map[string]struct {
		next   Announcement
		expect change
	}{
		"again":                             {first, changeNone},
		"restart":                           {restarted, changeRestarted},
		"other service at the same address": {otherService, changeMoved},
		"other address":                     {otherAddress, changeMoved},
	}
	for name, c := range cases {
		g := NewWithT(t)
		l := new(lifecycle)
		g.Expect(l.announce(at(0), &first)).To(Equal(changeMoved), name)
		g.Expect(l.announce(at(0.5), &c.next)).To(Equal(c.expect), name)
	}
}

func TestLifecycleDetectsEndpointThatEndsWithoutDraining(t *testing.T) {
	g := NewWithT(t)
	announcement := &Announcement{Service: "order-desk", Address: "127.0.0.1:8000", Process: "1"}
	l := new(lifecycle)
	_, err := l.announce(at(0), announcement)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.isSilent(at(3600))).To(BeFalse(), "not silent after a single announcement")
	_, _ = l.announce(at(0.5), announcement)
	g.Expect(l.isSilent(at(3.4))).To(BeFalse())
	g.Expect(l.isSilent(at(3.6))).To(BeTrue())
	g.Expect(l.markFailed("announcements stopped")).To(BeTrue())
	g.Expect(l.acceptsFlows()).To(BeFalse())
	g.Expect(l.markFailed("connection refused")).To(BeFalse(), "already marked as failed")
	g.Expect(l.announce(at(9), announcement)).To(Equal(changeRestarted), "cold again")
	g.Expect(l.acceptsFlows()).To(BeTrue())
}

func TestLifecycleRejectsDrainedProcess(t *testing.T) {
	g := NewWithT(t)
	announcement := &Announcement{Service: "order-desk", Address: "127.0.0.1:8000"}
	l := new(lifecycle)
	_, _ = l.announce(at(0), announcement)
	l.drain("requested")
	_, err := l.announce(at(1), announcement)
	g.Expect(err).To(HaveOccurred(), "while the endpoint is draining")
	l.finishDrain()
	_, err = l.announce(at(2), announcement)
	g.Expect(err).To(HaveOccurred(), "the drained process announces itself again")
	l.markFailed("connection refused")
	_, err = l.announce(at(3), announcement)
	g.Expect(err).NotTo(HaveOccurred(), "the process has ended, so this is another one")
	l.isStopping = true
	_, err = l.announce(at(4), announcement)
	g.Expect(err).To(HaveOccurred(), "the agent is shutting down")
}

func TestFlowDecisionIsKeptForHandshake(t *testing.T) {
	g := NewWithT(t)
	next := flowAccept
	d := newFlowDecider(func(flowOffer) admit.FlowDecision { return admit.FlowDecision{Choice: next} })
	decide := func(second float64, id string, isLast bool) flowChoice {
		return d.decide(at(second), []byte(id), flowOffer{isLast: isLast}).Choice
	}
	g.Expect(decide(0, "flow", false)).To(Equal(flowAccept))
	next = flowForward
	g.Expect(decide(1, "flow", false)).To(Equal(flowAccept), "the second datagram of the handshake")
	d.close()
	g.Expect(decide(2, "flow", false)).To(Equal(flowForward), "closed, so the handshake is decided again")
	next = flowAccept
	g.Expect(decide(2, "flow", true)).To(Equal(flowAccept), "no candidate is left")
	next = flowRefuse
	g.Expect(decide(3, "full", true)).To(Equal(flowRefuse))
	next = flowForward
	g.Expect(decide(4, "full", false)).To(Equal(flowForward), "refusals are not kept")
}
