package pathtest

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// inForceTime is within how long a change is in force at all nodes that any other
// node reaches: the seconds that the promise speaks of.
const inForceTime = 3 * time.Second

// cutFromControl cuts all balancers but the last and the given sites from control.
// They still reach all other nodes.
func (w *world) cutFromControl(sites ...*site) {
	for _, b := range w.balancers[:len(w.balancers)-1] {
		w.network.cutLink(b.address.Addr(), controlAddress.Addr())
	}
	for _, s := range sites {
		w.network.cutLink(s.address, controlAddress.Addr())
	}
}

// The zone goes out, and comes back, while its agents and most balancers hear no
// control.
func TestZoneChangesReachNodesThatHearNoControl(t *testing.T) {
	play(t, false, 3, 6, func(w *world) {
		out := []*site{w.sites[1], w.sites[4]}
		w.cutFromControl(out...)
		w.sleep(time.Second)
		w.control.zones, w.control.out = 1, []string{zoneOf(1)}
		w.sleep(inForceTime)
		for range 30 {
			w.g.Expect(w.isServed(orders)).To(BeTrue())
		}
		for _, s := range out {
			w.g.Expect(s.endpoint.opened).To(BeEmpty(), "endpoint of a zone that is out")
		}
		w.control.zones, w.control.out = 2, nil
		w.sleep(inForceTime)
		for range 60 {
			w.g.Expect(w.isServed(orders)).To(BeTrue())
		}
		w.g.Expect(out[0].endpoint.opened).NotTo(BeEmpty(), "the zone is back")
	})
}

// A table of more parts than one datagram holds.
func TestRoutingTablesReachNodesThatHearNoControl(t *testing.T) {
	play(t, false, 3, 4, func(w *world) {
		w.addSite("drawings")
		w.addSite("drawings")
		w.sleep(2 * time.Second)
		w.cutFromControl(w.sites[:4]...)
		w.sleep(time.Second)
		for number := range 40 {
			w.control.route(uint64(2+number), netip.AddrPortFrom(ip(7, number), 443), "orders")
		}
		w.control.route(100, orders, "drawings")
		w.sleep(inForceTime)
		for range 30 {
			w.g.Expect(w.isServed(orders)).To(BeTrue())
		}
		for _, s := range w.sites[:4] {
			w.g.Expect(s.endpoint.opened).To(BeEmpty(), "endpoint of the service before")
		}
		w.control.route(101, orders)
		w.sleep(inForceTime)
		for range 10 {
			f := w.dial(orders, anyZone)
			w.g.Expect(f.isOpen).To(BeFalse(), "a route that was dropped")
			w.g.Expect(f.isReset).To(BeTrue())
		}
	})
}
