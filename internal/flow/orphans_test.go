package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestObserveReportsOrphansAfterOrphanDelay(t *testing.T) {
	type packet struct {
		at, syncedAt time.Duration
		want         bool
	}
	const ms = time.Millisecond
	cases := []struct {
		name    string
		packets []packet
	}{
		{"one packet", []packet{{0, 0, false}}},
		{"retransmissions within OrphanDelay", []packet{{0, 0, false}, {10 * ms, 5 * ms, false}, {200 * ms, 150 * ms, false}}},
		{"no owner for OrphanDelay", []packet{{0, 0, false}, {200 * ms, 150 * ms, false}, {600 * ms, 550 * ms, true}}},
		{"reported once", []packet{{0, 0, false}, {600 * ms, 550 * ms, true}, {601 * ms, 550 * ms, false}}},
		{"no newer list of agents", []packet{{100 * ms, 90 * ms, false}, {700 * ms, 90 * ms, false}, {1500 * ms, 100 * ms, false}}},
		{"packets too far apart", []packet{{0, 0, false}, {5000 * ms, 4900 * ms, false}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			orphans := NewOrphans()
			for i, p := range c.packets {
				NewWithT(t).Expect(orphans.Observe(p.at, p.syncedAt, OrphanPacket{Flow: key})).To(Equal(p.want), "packet %d", i)
			}
			orphans.Sweep(time.Hour)
			NewWithT(t).Expect(orphans.seen).To(BeEmpty())
		})
	}
}

func TestPopConfirmedRequiresConfirmedView(t *testing.T) {
	const ms = time.Millisecond
	view, other := NewView(nil), NewView(nil)
	cases := []struct {
		name          string
		visited       *View
		syncedAt      time.Duration
		view          *View
		wantConfirmed int
	}{
		{"all visited, confirmed since", view, 110 * ms, view, 1},
		{"confirmed only before", view, 90 * ms, view, 0},
		{"some not visited", nil, 110 * ms, view, 0},
		{"view changed since", view, 110 * ms, other, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			orphans := NewOrphans()
			g.Expect(orphans.Observe(100*ms, 0, OrphanPacket{Flow: key, Ack: 7, VisitedView: c.visited})).To(BeFalse())
			confirmed := orphans.PopConfirmed(c.syncedAt, c.view)
			g.Expect(confirmed).To(HaveLen(c.wantConfirmed))
			g.Expect(orphans.PopConfirmed(c.syncedAt, c.view)).To(BeEmpty(), "must be returned only once")
		})
	}
}
