package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// linkModel plays new flows on a link: each has a size, half of which is sent a round trip after
// the flow was taken, and a quarter each 50 and 100 ms later.
type linkModel struct {
	rate, flowBytes float64
	// isAlwaysTaken leaves the budget out.
	isAlwaysTaken bool

	budget *LinkBudget
	due    map[int]float64
	queue  float64
	sent   float64
	// longest is the longest wait at the link in ms, and used the bytes that it has carried.
	longest, used  float64
	offered, taken [linkRanks]int
}

// run offers flows of rank 0 and 1 at rates per ms that depend on the time in ms.
func (m *linkModel) run(ms int, perMs func(now int) [2]float64) {
	m.budget, m.due = NewLinkBudget(int(m.rate*1000)), make(map[int]float64)
	var credit [2]float64
	for now := range ms {
		added := m.due[now]
		for rank, rate := range perMs(now) {
			for credit[rank] += rate; credit[rank] >= 1; credit[rank]-- {
				m.offered[rank]++
				decision := m.budget.Decide(time.Duration(now)*time.Millisecond, uint64(m.sent+added), rank)
				if decision != LinkFree && !m.isAlwaysTaken {
					continue
				}
				m.taken[rank]++
				m.due[now+5] += m.flowBytes / 2
				m.due[now+50] += m.flowBytes / 4
				m.due[now+100] += m.flowBytes / 4
			}
		}
		m.sent += added
		carried := min(m.queue+added, m.rate)
		m.queue += added - carried
		m.used += carried
		m.longest = max(m.longest, m.queue/m.rate)
	}
}

func (m *linkModel) share(rank int) float64 { return float64(m.taken[rank]) / float64(m.offered[rank]) }

// A burst fills a small link. Without the budget all packets of open flows wait for longer than
// callers wait before they send again; with it they do not, the link is used, and the less urgent
// flows are refused first. A balanced or an unknown link refuses nothing.
func TestLinkBudgetKeepsTheLinkFreeForOpenFlows(t *testing.T) {
	const rate, flowBytes = 337.0, 900.0 // 2.7 Mbit/s
	perMs := func(load, urgentShare float64) [2]float64 {
		flows := load * rate / flowBytes
		return [2]float64{flows * (1 - urgentShare), flows * urgentShare}
	}
	cases := []struct {
		name string
		load func(now int) [2]float64
	}{
		{"step", func(int) [2]float64 { return perMs(1.5, 0.25) }},
		{"burst of three times", func(now int) [2]float64 {
			if now%4000 < 1000 {
				return perMs(1.8, 0.25)
			}
			return perMs(0.6, 0.25)
		}},
		{"waves", func(now int) [2]float64 { return perMs(0.4+1.2*float64(now%3000)/3000, 0.25) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			naive := &linkModel{rate: rate, flowBytes: flowBytes, isAlwaysTaken: true}
			naive.run(12_000, c.load)
			m := &linkModel{rate: rate, flowBytes: flowBytes}
			m.run(12_000, c.load)
			g.Expect(naive.longest).To(BeNumerically(">", 200), "the load fills the link")
			g.Expect(m.longest).To(BeNumerically("<", 60), "longest wait in ms: the time-out of a probe")
			fits := 0.0
			for now := range 12_000 {
				load := c.load(now)
				fits += min((load[0]+load[1])*flowBytes, linkUtilization*rate)
			}
			g.Expect(m.used).To(BeNumerically(">", 0.9*fits), "bytes carried, of those that fit the budget")
			g.Expect(m.share(1)).To(BeNumerically(">", 0.99))
			g.Expect(m.share(1)).To(BeNumerically(">", m.share(0)))
		})
	}
	g := NewWithT(t)
	m := &linkModel{rate: rate, flowBytes: flowBytes}
	m.run(12_000, func(int) [2]float64 { return perMs(0.8, 0.25) })
	g.Expect(m.share(0)).To(Equal(1.0))
	unknown := NewLinkBudget(0)
	g.Expect(unknown.Decide(time.Second, 1<<40, 0)).To(Equal(LinkFree))
}

// A flow that is not taken is refused at once only when the link has been full for an attempt.
func TestLinkIsSaturatedAfterAnAttempt(t *testing.T) {
	g := NewWithT(t)
	const rate = 100_000
	b := NewLinkBudget(rate)
	sent := uint64(0)
	for now := 10 * time.Millisecond; now <= 2*time.Second; now += 10 * time.Millisecond {
		sent += 2 * rate / 100
		decision := b.Decide(now, sent, 0)
		switch {
		case now < 20*time.Millisecond:
			g.Expect(decision).To(Equal(LinkFree))
		case now < handshakeTimeout:
			g.Expect(decision).To(Equal(LinkBusy))
		case now > handshakeTimeout+50*time.Millisecond:
			g.Expect(decision).To(Equal(LinkSaturated))
		}
	}
	g.Expect(b.Decide(time.Minute, sent, 0)).To(Equal(LinkFree))
	g.Expect(b.Decide(time.Minute+50*time.Millisecond, sent+rate, 0)).To(Equal(LinkBusy))
	// A rank without flows while the link was free is not taken for saturated later.
	g.Expect(b.Decide(time.Minute+51*time.Millisecond, sent+rate, 1)).To(Equal(LinkBusy))
	g.Expect(b.Decide(2*time.Minute, sent+rate, 0)).To(Equal(LinkFree))
	g.Expect(b.Decide(2*time.Minute+time.Millisecond, sent+2*rate, 1)).To(Equal(LinkBusy))
}
