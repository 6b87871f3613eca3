package flow

import (
	"fmt"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
)

func witnessKey(number int) Key {
	return Key{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), uint16(number)), Dialed: netip.MustParseAddrPort("198.51.100.1:443")}
}

// packetsOf returns the packets of the witnesses as texts.
func packetsOf(w *Witnesses, isKept func(Key) bool) []string {
	var texts []string
	for _, packet := range w.AppendPackets(nil, isKept) {
		texts = append(texts, string(packet))
	}
	return texts
}

// Only flows that the endpoint had when it announced itself show whether it has started again.
func TestWitnessesAreFlowsFromBeforeTheLastAnnouncement(t *testing.T) {
	g := NewWithT(t)
	w := new(Witnesses)
	closed := make(map[Key]bool)
	isKept := func(flow Key) bool { return !closed[flow] }
	buffer := []byte("1 old")
	w.Record(witnessKey(1), buffer)
	copy(buffer, "other")
	w.Record(witnessKey(1), []byte("1 new"))
	w.Record(witnessKey(2), []byte("2"))
	g.Expect(packetsOf(w, isKept)).To(BeEmpty())
	w.RecordAnnouncement(isKept)
	w.Record(witnessKey(3), []byte("3"))
	g.Expect(packetsOf(w, isKept)).To(ConsistOf("1 new", "2"))
	closed[witnessKey(2)] = true
	g.Expect(packetsOf(w, isKept)).To(ConsistOf("1 new"))
	w.RecordAnnouncement(isKept)
	g.Expect(packetsOf(w, isKept)).To(ConsistOf("1 new", "3"))
	w.Clear()
	g.Expect(packetsOf(w, isKept)).To(BeEmpty())
}

func TestWitnessesAreBounded(t *testing.T) {
	g := NewWithT(t)
	w := new(Witnesses)
	isKept := func(Key) bool { return true }
	for number := range 100 {
		w.Record(witnessKey(number), fmt.Appendf(nil, "%d", number))
		if number%7 == 0 {
			w.RecordAnnouncement(isKept)
		}
		g.Expect(len(w.recent) + len(w.certain)).To(BeNumerically("<=", maxWitnesses))
	}
	g.Expect(packetsOf(w, isKept)).To(ConsistOf("95", "96", "97", "98"))
}
