package pathtest

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/machine/opaque"
)

// propagationTime is the target for applying a change at all nodes that any other node
// can reach.
const propagationTime = 3 * time.Second

// cutOffFromControl cuts off the given sites and all balancers but the last from
// control. They still reach all other nodes.
func (tc *testCluster) cutOffFromControl(sites ...*site) {
	for _, b := range tc.balancers[:len(tc.balancers)-1] {
		tc.network.cutLink(b.address.Addr(), controlAddress.Addr())
	}
	for _, s := range sites {
		tc.network.cutLink(s.address, controlAddress.Addr())
	}
}

// A zone is taken out of service and back while its agents and most balancers have no
// contact with control.
func TestZoneChangesReachNodesWithoutControl(t *testing.T) {
	runInCluster(t, false, 3, 6, func(tc *testCluster) {
		out := []*site{tc.sites[1], tc.sites[4]}
		tc.cutOffFromControl(out...)
		tc.sleep(time.Second)
		tc.control.zoneIndex, tc.control.zonesOut = 1, []string{zoneOf(1)}
		tc.sleep(propagationTime)
		for range 30 {
			tc.g.Expect(tc.isServed(orders)).To(BeTrue())
		}
		for _, s := range out {
			tc.g.Expect(s.endpoint.opened).To(BeEmpty(), "endpoint of a zone that is out of service")
		}
		tc.control.zoneIndex, tc.control.zonesOut = 2, nil
		tc.sleep(propagationTime)
		for range 60 {
			tc.g.Expect(tc.isServed(orders)).To(BeTrue())
		}
		tc.g.Expect(out[0].endpoint.opened).NotTo(BeEmpty(), "endpoint of a zone that is back in service")
	})
}

// The routing table is too large for one datagram and is fetched in several parts.
func TestRoutingTablesReachNodesWithoutControl(t *testing.T) {
	runInCluster(t, false, 3, 4, func(tc *testCluster) {
		tc.addSite("drawings")
		tc.addSite("drawings")
		tc.sleep(2 * time.Second)
		tc.cutOffFromControl(tc.sites[:4]...)
		tc.sleep(time.Second)
		for number := range 40 {
			tc.control.setRoute(uint64(2+number), netip.AddrPortFrom(ip(7, number), 443), "orders")
		}
		tc.control.setRoute(100, orders, "drawings")
		tc.sleep(propagationTime)
		for range 30 {
			tc.g.Expect(tc.isServed(orders)).To(BeTrue())
		}
		for _, s := range tc.sites[:4] {
			tc.g.Expect(s.endpoint.opened).To(BeEmpty(), "endpoint of the previous service")
		}
		tc.control.setRoute(101, orders)
		tc.sleep(propagationTime)
		for range 10 {
			f := tc.dial(orders, anyZone)
			tc.g.Expect(f.isOpen).To(BeFalse(), "flow to a removed route")
			tc.g.Expect(f.isReset).To(BeTrue())
		}
	})
}

// Control is back after so long that nodes poll it only twice a second. Nodes that are
// told so have its state at once, and notices of others change nothing.
func TestNodesPollControlOnceItIsReady(t *testing.T) {
	runInCluster(t, false, 3, 2, func(tc *testCluster) {
		tc.control.isBehind = true
		tc.restartBalancers()
		tc.sleep(4 * time.Second)
		notice := []byte{byte(opaque.KindReady)}
		told, other := tc.balancers[0], tc.balancers[1]
		tc.network.send(notice, netip.AddrPortFrom(ip(2, 1), linkPort), netip.AddrPortFrom(other.address.Addr(), linkPort))
		tc.sleep(30 * time.Millisecond)
		tc.control.isBehind = false
		tc.network.send(notice, controlAddress, netip.AddrPortFrom(told.address.Addr(), linkPort))
		tc.sleep(15 * time.Millisecond)
		tc.g.Expect(told.role.Health()).To(Succeed())
		tc.sleep(600 * time.Millisecond)
		tc.g.Expect(other.role.Health()).To(Succeed())
	})
}
