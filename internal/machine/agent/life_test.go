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

func TestLifeTellsRestartsAndMovesApart(t *testing.T) {
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
		l := new(life)
		g.Expect(l.announce(at(0), &first)).To(Equal(changeMoved), name)
		g.Expect(l.announce(at(0.5), &c.next)).To(Equal(c.expect), name)
	}
}

func TestLifeLosesAnEndpointThatIsGoneWithoutAWord(t *testing.T) {
	g := NewWithT(t)
	announcement := &Announcement{Service: "order-desk", Address: "127.0.0.1:8000", Process: "1"}
	l := new(life)
	_, err := l.announce(at(0), announcement)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.isSilent(at(3600))).To(BeFalse(), "announced only once: silence says nothing")
	_, _ = l.announce(at(0.5), announcement)
	g.Expect(l.isSilent(at(3.4))).To(BeFalse())
	g.Expect(l.isSilent(at(3.6))).To(BeTrue())
	g.Expect(l.lose("announcements stopped")).To(BeTrue())
	g.Expect(l.takesFlows()).To(BeFalse())
	g.Expect(l.lose("connection refused")).To(BeFalse(), "lost already")
	g.Expect(l.announce(at(9), announcement)).To(Equal(changeRestarted), "cold again")
	g.Expect(l.takesFlows()).To(BeTrue())
}

func TestLifeServesADrainedProcessNoMore(t *testing.T) {
	g := NewWithT(t)
	announcement := &Announcement{Service: "order-desk", Address: "127.0.0.1:8000"}
	l := new(life)
	_, _ = l.announce(at(0), announcement)
	l.drain("asked")
	_, err := l.announce(at(1), announcement)
	g.Expect(err).To(HaveOccurred(), "while it drains")
	l.endDrain()
	_, err = l.announce(at(2), announcement)
	g.Expect(err).To(HaveOccurred(), "the drained process announces itself again")
	l.lose("connection refused")
	_, err = l.announce(at(3), announcement)
	g.Expect(err).NotTo(HaveOccurred(), "the process has ended, so this is another one")
	l.isStopping = true
	_, err = l.announce(at(4), announcement)
	g.Expect(err).To(HaveOccurred(), "the agent stops")
}

func TestHuntKeepsTheFateOfAHandshake(t *testing.T) {
	g := NewWithT(t)
	next := huntAccept
	h := newHunt(func(bool) huntChoice { return next })
	id := []byte("flow")
	g.Expect(h.decide(at(0), id, false)).To(Equal(huntAccept))
	next = huntHandOn
	g.Expect(h.decide(at(1), id, false)).To(Equal(huntAccept), "the second datagram of the handshake")
	h.close()
	g.Expect(h.decide(at(2), id, false)).To(Equal(huntHandOn), "the drain has ended the handshakes")
	next = huntAccept
	g.Expect(h.decide(at(2), id, true)).To(Equal(huntAccept), "nobody left to hand on to")
	next = huntRefuse
	g.Expect(h.decide(at(3), []byte("full"), true)).To(Equal(huntRefuse))
	next = huntHandOn
	g.Expect(h.decide(at(4), []byte("full"), false)).To(Equal(huntHandOn), "a refusal is not kept")
}

func TestFlowGate(t *testing.T) {
	idle := admit.FlowLoad{Connections: 2000, FullSlots: 5, Work: admit.Load{Slots: 5}, IsServing: true}
	cases := map[string]struct {
		change func(l *admit.FlowLoad)
		choice huntChoice
	}{
		"idle":                         {func(*admit.FlowLoad) {}, huntAccept},
		"busy":                         {func(l *admit.FlowLoad) { l.Work.Taken = 5 }, huntHandOn},
		"busy, last":                   {func(l *admit.FlowLoad) { l.Work.Taken, l.IsLast = 5, true }, huntAccept},
		"cold, as busy as a warm half": {func(l *admit.FlowLoad) { l.Work.Taken, l.Work.Slots = 1, 1 }, huntHandOn},
		"paused":                       {func(l *admit.FlowLoad) { l.Work.Slots = 0 }, huntHandOn},
		"full":                         {func(l *admit.FlowLoad) { l.Flows = 2000 }, huntHandOn},
		"full, last":                   {func(l *admit.FlowLoad) { l.Flows, l.IsLast = 2000, true }, huntRefuse},
		"draining, last":               {func(l *admit.FlowLoad) { l.IsServing, l.IsLast = false, true }, huntRefuse},
	}
	for name, c := range cases {
		load := idle
		c.change(&load)
		choice, reason := admit.NewFlowGate().Decide(load)
		NewWithT(t).Expect(choice).To(Equal(c.choice), "%s: %s", name, reason)
	}
}
