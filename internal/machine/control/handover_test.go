package control

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/journal/journaltest"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/wire"
)

// exchange lets an agent send a message about its flows and returns the answer.
func (s *recordingSocket) exchange(tb testing.TB, c *Control, kind opaque.Kind, message *wire.Handover) *wire.Handover {
	data, _ := proto.Marshal(message)
	c.discovery.handleMessage(kind, data, nodeAddress)
	s.mu.Lock()
	defer s.mu.Unlock()
	last, answer := s.sent[len(s.sent)-1], new(wire.Handover)
	NewWithT(tb).Expect(opaque.Kind(last[0])).To(Equal(kind + 1))
	NewWithT(tb).Expect(proto.Unmarshal(last[1:], answer)).To(Succeed())
	return answer
}

// A start that polls another control instance is known by gossip. The copy here is not given to a
// later one, which would miss the flows that the first has opened, nor does a late part make one.
func TestCopyIsNotForALaterStartThanGossipReports(t *testing.T) {
	for _, isLate := range []bool{false, true} {
		g := NewWithT(t)
		c, socket := newTestControl(t, journaltest.New(rand.New(rand.NewPCG(1, 1))))
		agent := &wire.AgentRecord{Address: 7, Port: 7000, Zone: "zone-a", Service: "orders", Incarnation: 200}
		key := uint64(7)<<16 | 7000
		hear := func() {
			c.discovery.handleGossip(&wire.Gossip{Changed: []*wire.AgentRecord{agent}}, nodeAddress)
		}
		if isLate {
			hear()
		}
		part := &wire.Handover{Agent: key, Incarnation: 100, Total: 1, Flows: []*wire.FlowState{{CallerPort: 1}}}
		g.Expect(socket.exchange(t, c, opaque.KindHandover, part).Offset).To(Equal(uint32(1)))
		if !isLate {
			hear()
		}
		answer := socket.exchange(t, c, opaque.KindTakeover, &wire.Handover{Agent: key, Incarnation: 300})
		g.Expect(answer.Found).To(BeFalse())
		g.Expect(answer.Refused).To(BeTrue())
	}
}

// The next start but one polls and asks an instance that knows the start in between by gossip only.
func TestCopyIsNotForAStartAfterOneThatGossipReports(t *testing.T) {
	g := NewWithT(t)
	c, socket := newTestControl(t, journaltest.New(rand.New(rand.NewPCG(1, 1))))
	agent := func(incarnation uint64) *wire.AgentRecord {
		return &wire.AgentRecord{Address: 7, Port: 7000, Zone: "zone-a", Service: "orders", Incarnation: incarnation}
	}
	key := uint64(7)<<16 | 7000
	part := &wire.Handover{Agent: key, Incarnation: 100, Total: 1, Flows: []*wire.FlowState{{CallerPort: 1}}}
	g.Expect(socket.exchange(t, c, opaque.KindHandover, part).Offset).To(Equal(uint32(1)))
	c.discovery.handleGossip(&wire.Gossip{Changed: []*wire.AgentRecord{agent(200)}}, nodeAddress)
	c.discovery.answerPoll(&wire.Poll{Self: agent(300)})
	answer := socket.exchange(t, c, opaque.KindTakeover, &wire.Handover{Agent: key, Incarnation: 300})
	g.Expect(answer.Found).To(BeFalse())
	g.Expect(answer.Refused).To(BeTrue())
}

// An instance that has lost contact with others since it got the flows may have missed a start.
func TestCopyIsConfirmedOnlyWithContactToAllOthers(t *testing.T) {
	for _, hasLostContact := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			c, socket := newTestControl(t, journaltest.New(rand.New(rand.NewPCG(1, 1))))
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go func() { _ = c.loop.run(ctx) }()
			socket.awaitFresh(t, c)
			part := &wire.Handover{Agent: 1, Incarnation: 100, Total: 1, Flows: []*wire.FlowState{{CallerPort: 1}}}
			g.Expect(socket.exchange(t, c, opaque.KindHandover, part).Offset).To(Equal(uint32(1)))
			time.Sleep(time.Millisecond)
			if hasLostContact {
				c.discovery.mu.Lock()
				c.discovery.wasComplete = false
				c.discovery.mu.Unlock()
			}
			answer := socket.exchange(t, c, opaque.KindTakeover, &wire.Handover{Agent: 1, Incarnation: 200})
			g.Expect(answer.Found).To(BeTrue())
			g.Expect(answer.Confirmed).To(Equal(!hasLostContact))
		})
	}
}

// An agent with more flows than there is room for is told so with its first part.
func TestFlowsWithoutRoomAreRefused(t *testing.T) {
	c, socket := newTestControl(t, journaltest.New(rand.New(rand.NewPCG(1, 1))))
	answer := socket.exchange(t, c, opaque.KindHandover, &wire.Handover{Agent: 1, Incarnation: 100, Total: 1 << 20})
	NewWithT(t).Expect(answer.Refused).To(BeTrue())
	NewWithT(t).Expect(answer.Total).To(Equal(uint32(1 << 20)))
}
