package pathtest

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/wire"
)

// TestCallersOfAZoneThatGoesOutDialAgainAtOnce: their connections are closed,
// quiet ones too, and their next request succeeds elsewhere. The caller's own
// silence timeout is 30 s here.
func TestCallersOfAZoneThatGoesOutDialAgainAtOnce(t *testing.T) {
	w := newWorld(t)
	balancers, agents := w.startService(2)
	flows, names := w.startFlows(12)
	out := w.setRecord(wire.Record_KIND_ZONE, "a", 100, &wire.Zone{Number: 1, Name: "a", Out: true})
	tell(balancers, out)
	tell(agents, out)

	moved := 0
	for i, f := range flows {
		if names[i] != "order-desk-agent-0" {
			continue
		}
		moved++
		w.g.Eventually(f.conn.Load().Context().Done(), 2*time.Second).Should(BeClosed())
		w.g.Expect(f.name(w.g)).NotTo(Equal(names[i]))
	}
	w.g.Expect(moved).To(BeNumerically(">", 0))
	for i, f := range flows {
		if names[i] != "order-desk-agent-0" {
			w.g.Expect(f.dials.Load()).To(Equal(int32(1)))
			w.g.Expect(f.name(w.g)).To(Equal(names[i]))
		}
	}
}
