package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/consensus"
	"sassafrasturn.example/internal/wire"
)

func zoneCommand(id string) *wire.Command {
	return &wire.Command{SubmissionId: id, Body: &wire.Command_RegisterZone{RegisterZone: &wire.RegisterZone{Name: id}}}
}

// TestLostMajorityReturnsOutcomeUnknown proposes at a leader that then loses its
// majority. The outcome must be reported as unknown, and a resend after the majority
// is back must be accepted.
func TestLostMajorityReturnsOutcomeUnknown(t *testing.T) {
	g := NewWithT(t)
	group := newTestGroup(t, memoryFolder)
	group.isDown[1], group.isDown[2] = true, true
	leader := group.replicas[0]
	var got outcome
	record := func(result *wire.CommandResult, err error) { got = outcome{result, err} }
	leader.propose(group.now, zoneCommand("a"), record)
	g.Expect(leader.process(group.now)).To(Succeed())
	for range consensus.ElectionTimeout/modelStep + 1 {
		group.tick()
	}
	g.Expect(got.err).To(MatchError(ContainSubstring("outcome unknown")))
	leader.propose(group.now, zoneCommand("b"), record)
	g.Expect(got.err).To(MatchError(consensus.ErrNotLeader))

	group.isDown[1], group.isDown[2] = false, false
	for range 10 * consensus.ElectionTimeout / modelStep {
		group.tick()
	}
	for _, r := range group.replicas {
		if r.core.Status(group.now).Role == consensus.Leader {
			r.propose(group.now, zoneCommand("a"), record)
			g.Expect(r.process(group.now)).To(Succeed())
		}
	}
	group.deliver()
	g.Expect(got.err).NotTo(HaveOccurred())
	g.Expect(got.result.GetOutcome()).To(Equal(wire.CommandResult_OUTCOME_ACCEPTED))
}

// TestPendingProposalsAreBounded proposes at a leader whose majority is down.
func TestPendingProposalsAreBounded(t *testing.T) {
	g := NewWithT(t)
	group := newTestGroup(t, memoryFolder)
	group.isDown[1], group.isDown[2] = true, true
	refused := 0
	for range maxPending + 5 {
		group.replicas[0].propose(group.now, zoneCommand(""), func(_ *wire.CommandResult, err error) {
			g.Expect(err).To(MatchError(errTooManyPending))
			refused++
		})
	}
	g.Expect(refused).To(Equal(5))
}

// TestSubmitTimesOut proposes while no majority answers. The caller must receive
// an unknown outcome when its own timeout expires.
func TestSubmitTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		group := newTestGroup(t, memoryFolder)
		l := newLoop(group.replicas[0], time.Now().Add(-group.now), func(uint64, string) {})
		go l.run(t.Context())
		const timeout = 300 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		started := time.Now()
		_, err := l.submit(ctx, func(now time.Duration, done func(*wire.CommandResult, error)) {
			group.replicas[0].propose(now, zoneCommand("a"), done)
		})
		g.Expect(err).To(MatchError(errTimeout))
		g.Expect(time.Since(started)).To(Equal(timeout))
	})
}
