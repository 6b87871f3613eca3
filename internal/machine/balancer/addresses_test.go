package balancer

import (
	"context"
	"fmt"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/internal/wire"
)

func documentAt(name, address string) []byte {
	return fmt.Appendf(nil, "[service]\nname = %s\naddress = %s\n[endpoints]\nallow = 10.0.0.0/8\n", name, address)
}

// servicesByAddress returns the name of the service of each listener by its address, with
// the prefix "-" if it is a former address.
func servicesByAddress(b *Balancer) map[string]string {
	result := make(map[string]string)
	for local, l := range *b.listeners.Load() {
		name := l.service
		if l.view.Load().IsFormerAddress {
			name = "-" + name
		}
		result[local.String()] = name
	}
	return result
}

func TestServicesSwapAddresses(t *testing.T) {
	g := NewWithT(t)
	const first, second = "192.0.2.1:443", "192.0.2.2:443"
	b := newIdleBalancer(t)
	put := func(major uint64, a, b1 string) {
		b.instance.Store.Merge([]*wire.Record{
			record(wire.Record_KIND_SERVICE, "a", major, &wire.Service{Number: 1, Document: documentAt("a", a)}),
			record(wire.Record_KIND_SERVICE, "b", major, &wire.Service{Number: 2, Document: documentAt("b", b1)}),
		})
		b.applyChanges(context.Background())
	}
	for major := uint64(1); major < 40; major += 2 {
		put(major, first, second)
		g.Expect(servicesByAddress(b)).To(Equal(map[string]string{first: "a", second: "b"}), "change %d", major)
		put(major+1, second, first)
		g.Expect(servicesByAddress(b)).To(Equal(map[string]string{first: "b", second: "a"}), "change %d", major+1)
	}
}

func TestWithdrawnServiceKeepsEstablishedFlowsUntilItsAddressIsReused(t *testing.T) {
	g := NewWithT(t)
	const address = "192.0.2.1:443"
	b := newIdleBalancer(t)
	apply := func(r *wire.Record) {
		b.instance.Store.Merge([]*wire.Record{r})
		b.applyChanges(context.Background())
	}
	apply(record(wire.Record_KIND_SERVICE, "a", 1, &wire.Service{Number: 1, Document: documentAt("a", address)}))
	apply(record(wire.Record_KIND_SERVICE, "a", 2, &wire.Service{Number: 1, Document: documentAt("a", address), Withdrawn: true}))
	g.Expect(servicesByAddress(b)).To(Equal(map[string]string{address: "-a"}))
	apply(record(wire.Record_KIND_SERVICE, "b", 3, &wire.Service{Number: 2, Document: documentAt("b", address)}))
	g.Expect(servicesByAddress(b)).To(Equal(map[string]string{address: "b"}))
}

// TestServicesCannotShareDocumentPort guards against a service that replaces another one at
// its port. With delivery at the document's port, two services with the same port cannot
// be distinguished.
func TestServicesCannotShareDocumentPort(t *testing.T) {
	g := NewWithT(t)
	b := newIdleBalancer(t)
	b.instance.Settings.Balancer = settings.Balancer{Delivery: settings.DeliveryDocumentPort, Address: netip.MustParseAddr("10.9.9.9")}
	for i, name := range []string{"a", "b"} {
		document := documentAt(name, fmt.Sprintf("192.0.2.%d:443", i))
		b.instance.Store.Merge([]*wire.Record{record(wire.Record_KIND_SERVICE, name, uint64(i+1), &wire.Service{Number: uint32(i + 1), Document: document})})
		b.applyChanges(context.Background())
	}
	g.Expect(servicesByAddress(b)).To(Equal(map[string]string{"10.9.9.9:443": "a"}))
}
