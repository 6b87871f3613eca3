package pathtest

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/machine/opaque/agent"
)

// laterThanAll is a time of birth after that of the world's own endpoints.
const laterThanAll = 2_000_000_000_000

func announcement(id string, born, sequence int, isDraining bool) agent.Announcement {
	return agent.Announcement{ID: id, Service: "orders", Slots: 5, StartedAt: laterThanAll + int64(born), Sequence: uint64(sequence), IsDraining: isDraining}
}

// An announcement that was delayed says nothing about now: neither an older one
// of the same endpoint, nor one of an endpoint that had the place before.
func TestLateAnnouncementsChangeNothing(t *testing.T) {
	cases := []struct {
		name        string
		late        agent.Announcement
		after       time.Duration
		isOverruled bool
	}{
		{name: "an older one of the same endpoint", late: announcement("e", 5000, 6, true)},
		{name: "the same once more", late: announcement("e", 5000, 7, true)},
		{name: "one of the endpoint before", late: announcement("before", 4000, 90, true)},
		{name: "one of the start before under the same identity", late: announcement("e", 4000, 90, true)},
		{name: "a newer one of the same endpoint", late: announcement("e", 5000, 8, true), isOverruled: true},
		{name: "one of the next endpoint", late: announcement("next", 6000, 1, true), isOverruled: true},
		{
			name: "one of an endpoint whose clock went back, after silence", after: 2500 * time.Millisecond,
			late: announcement("next", 1000, 1, true), isOverruled: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			play(t, false, 1, 1, func(w *world) {
				s := w.sites[0]
				s.endpoint.isMute = true
				s.agent.Announce(announcement("e", 5000, 7, false))
				w.g.Expect(w.isServed(orders)).To(BeTrue())
				w.sleep(c.after)
				s.agent.Announce(c.late)
				w.g.Expect(w.isServed(orders)).To(Equal(!c.isOverruled))
			})
		})
	}
}

func TestLeaveEndsTheEndpoint(t *testing.T) {
	play(t, false, 1, 2, func(w *world) {
		s := w.sites[0]
		s.agent.RemoveEndpoint("somebody else")
		w.g.Expect(s.agent.Health()).To(Succeed())
		s.endpoint.isMute = true
		s.agent.RemoveEndpoint(s.endpoint.id)
		w.g.Expect(s.agent.Health()).NotTo(Succeed())
		for range 10 {
			w.g.Expect(w.isServed(orders)).To(BeTrue())
		}
		w.g.Expect(s.endpoint.opened).To(BeEmpty())
	})
}
