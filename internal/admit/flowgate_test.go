package admit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/admit"
)

func TestFlowGate(t *testing.T) {
	busy := admit.FlowLoad{Flows: 100, MaxFlows: 2000, FullSlots: 5, Work: admit.Load{Taken: 3, Slots: 5, IsWarm: true}, IsServing: true}
	cases := map[string]struct {
		change func(l *admit.FlowLoad)
		choice admit.FlowChoice
		reason admit.FlowReason
	}{
		"idle":                    {func(l *admit.FlowLoad) { l.Work.Taken = 0 }, admit.FlowAccept, admit.FlowLittleWork},
		"idle and cold":           {func(l *admit.FlowLoad) { l.Work = admit.Load{Slots: 1} }, admit.FlowForward, admit.FlowCompare},
		"first candidate":         {func(*admit.FlowLoad) {}, admit.FlowForward, admit.FlowCompare},
		"less loaded":             {func(l *admit.FlowLoad) { l.FirstCandidateLoad = 0.8 }, admit.FlowAccept, admit.FlowLessLoaded},
		"more loaded":             {func(l *admit.FlowLoad) { l.FirstCandidateLoad = 0.7 }, admit.FlowForward, admit.FlowMoreLoaded},
		"cold, with less work":    {func(l *admit.FlowLoad) { l.Work, l.FirstCandidateLoad = admit.Load{Taken: 1, Slots: 1}, 0.8 }, admit.FlowForward, admit.FlowMoreLoaded},
		"last":                    {func(l *admit.FlowLoad) { l.IsLast, l.FirstCandidateLoad = true, 0.1 }, admit.FlowAccept, admit.FlowLastCandidate},
		"paused":                  {func(l *admit.FlowLoad) { l.Work.Slots = 0 }, admit.FlowForward, admit.FlowNoSlots},
		"paused, last":            {func(l *admit.FlowLoad) { l.Work.Slots, l.IsLast = 0, true }, admit.FlowAccept, admit.FlowLastCandidate},
		"full":                    {func(l *admit.FlowLoad) { l.Flows = 2000 }, admit.FlowForward, admit.FlowHardLimit},
		"full, last":              {func(l *admit.FlowLoad) { l.Flows, l.IsLast = 2000, true }, admit.FlowRefuse, admit.FlowHardLimit},
		"full and paused, last":   {func(l *admit.FlowLoad) { l.Flows, l.Work.Slots, l.IsLast = 2000, 0, true }, admit.FlowRefuse, admit.FlowNoSlots},
		"draining":                {func(l *admit.FlowLoad) { l.IsServing = false }, admit.FlowForward, admit.FlowNotServing},
		"draining and idle, last": {func(l *admit.FlowLoad) { l.IsServing, l.IsLast, l.Work.Taken = false, true, 0 }, admit.FlowRefuse, admit.FlowNotServing},
	}
	for name, c := range cases {
		load := busy
		c.change(&load)
		decision := admit.NewFlowGate().Decide(time.Time{}.Add(time.Hour), load)
		g := NewWithT(t)
		g.Expect(decision.Choice).To(Equal(c.choice), name)
		g.Expect(decision.Reason).To(Equal(c.reason), name)
	}
}
