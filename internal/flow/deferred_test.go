package flow

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestDeferredPackets(t *testing.T) {
	const ms = time.Millisecond
	syn := Header{Source: key.Caller, Destination: key.Dialed, Seq: 1, IsSYN: true}
	repeated := syn
	repeated.Attempt = 1
	request := Header{Source: key.Caller, Destination: key.Dialed, Seq: 2, Length: 10, IsACK: true}
	next := request
	next.Seq = 12
	type added struct {
		at   time.Duration
		h    Header
		data string
	}
	cases := []struct {
		name  string
		added []added
		want  []string
	}{
		{"nothing", nil, nil},
		{"order of arrival", []added{{0, syn, "syn"}, {10 * ms, request, "request"}}, []string{"syn", "request"}},
		{"first transmission stays", []added{{0, syn, "first"}, {200 * ms, repeated, "second"}}, []string{"first"}},
		{"different packets of a flow", []added{{0, request, "a"}, {0, next, "b"}, {0, request, "c"}}, []string{"a", "b"}},
		{"old ones are dropped", []added{{-2 * ms, syn, "syn"}, {100 * ms, request, "request"}}, []string{"request"}},
		{"a repeated one replaces an old one", []added{{-300 * ms, syn, "first"}, {400 * ms, repeated, "second"}}, []string{"second"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			d := NewDeferred[int]()
			for _, a := range c.added {
				d.Add(a.at, a.at, &a.h, []byte(a.data), 0)
			}
			var got []string
			for _, p := range d.Take(DeferTTL - ms) {
				got = append(got, string(p.Packet))
			}
			g.Expect(got).To(Equal(c.want))
			g.Expect(d.Take(DeferTTL)).To(BeEmpty())
			g.Expect(d.Len()).To(BeZero())
		})
	}
}

func TestDeferredPacketsAreBounded(t *testing.T) {
	g := NewWithT(t)
	d := NewDeferred[int]()
	for i := range 2 * maxDeferred {
		h := Header{Source: netip.AddrPortFrom(key.Caller.Addr(), uint16(i)), Destination: key.Dialed, IsSYN: true}
		d.Add(0, 0, &h, []byte("syn"), 0)
	}
	g.Expect(d.Take(0)).To(HaveLen(maxDeferred))
	g.Expect(d.held).To(BeEmpty())
}

// Packets of open flows that are dropped while an instance starts must show in its log.
func TestLostDeferredPacketsAreCounted(t *testing.T) {
	g, d := NewWithT(t), NewDeferred[int]()
	for number := range uint32(maxDeferred + 3) {
		for range 2 {
			d.Add(0, 0, &Header{Source: key.Caller, Destination: key.Dialed, Seq: number}, nil, 0)
		}
	}
	g.Expect(d.TakeLost()).To(Equal(6), "three packets and their repetitions")
	d.Take(DeferTTL + 1)
	g.Expect(d.TakeLost()).To(Equal(maxDeferred))
	g.Expect(d.TakeLost()).To(BeZero())
}
