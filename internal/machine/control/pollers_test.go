package control

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/journal/journaltest"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/wire"
)

// An evacuation that is withdrawn before the next poll must reach the nodes (review 9).
func TestNodesAreToldOfEachChangeOfZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c, socket := newTestControl(t, journaltest.New(rand.New(rand.NewPCG(1, 1))))
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = c.loop.run(ctx) }()
		go c.discovery.run(ctx)
		socket.awaitFresh(t, c)
		notices := func() (count int) {
			socket.mu.Lock()
			defer socket.mu.Unlock()
			for _, datagram := range socket.sent {
				if opaque.Kind(datagram[0]) == opaque.KindOwnerUpdate {
					count++
				}
			}
			return count
		}
		for changes := 1; changes <= 4; changes++ {
			g.Expect(c.SetZone(ctx, "zone-a", changes%2 == 1)).To(Succeed())
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
			g.Expect(notices()).To(Equal(changes))
			g.Expect(c.SetZone(ctx, "zone-a", changes%2 == 1)).To(Succeed())
			socket.poll(t, c, &wire.Poll{})
		}
		time.Sleep(2 * pollerTTL)
		g.Expect(c.SetZone(ctx, "zone-b", true)).To(Succeed())
		synctest.Wait()
		g.Expect(notices()).To(Equal(4), "the node no longer polls this instance")
	})
}

func TestPollersAreBounded(t *testing.T) {
	g := NewWithT(t)
	p := make(pollers)
	for port := range uint16(2 * maxPollers) {
		p.add(0, netip.AddrPortFrom(nodeAddress.Addr(), 1+port))
	}
	g.Expect(p).To(HaveLen(maxPollers))
	p.sweep(pollerTTL + 1)
	g.Expect(p).To(BeEmpty())
}
