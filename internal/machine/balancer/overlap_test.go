package balancer

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/wire"
)

// TestFormerAddressClosesAfterOverlap covers a balancer that was running during the change
// of address and one that was started after it.
func TestFormerAddressClosesAfterOverlap(t *testing.T) {
	const first, second = "192.0.2.1:443", "192.0.2.2:443"
	before := record(wire.Record_KIND_SERVICE, "a", 1, &wire.Service{Number: 1, Document: documentAt("a", first)})
	after := record(wire.Record_KIND_SERVICE, "a", 2, &wire.Service{Number: 1, Document: documentAt("a", second), FormerAddress: first})
	for name, records := range map[string][]*wire.Record{
		"running during the change": {before, after},
		"started after the change":  {after},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := newIdleBalancer(t)
			for _, r := range records {
				b.instance.Store.Merge([]*wire.Record{r})
				b.applyChanges(context.Background())
			}
			g.Expect(servicesByAddress(b)).To(Equal(map[string]string{first: "-a", second: "a"}))
			b.closeRetired(time.Now().Add(addressOverlap - time.Minute))
			g.Expect(servicesByAddress(b)).To(HaveLen(2))
			b.closeRetired(time.Now().Add(addressOverlap + time.Minute))
			g.Expect(servicesByAddress(b)).To(Equal(map[string]string{second: "a"}))
		})
	}
}
