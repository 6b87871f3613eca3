package pathtest

import (
	"bytes"
	"net/netip"
	"regexp"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"sassafrasturn.example/internal/decisionlog"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/machine/opaque"
)

// zoneCluster is a cluster of three zones with three endpoints each, which serve 100 requests a
// second in each zone. Its callers are in zone 1, where balancer receives their packets.
type zoneCluster struct {
	*testCluster
	balancer *prometheus.Registry
	// logged counts the balancer's log lines about changes of shares, and loggedZone2 those in which
	// zone 2 has a share.
	logged, loggedZone2 atomic.Int32
}

var shareOfZone2 = regexp.MustCompile(`zone-2: share (0\.0[1-9]|0\.[1-9]|1)`)

// Write receives the lines of the balancer's decision log.
func (zc *zoneCluster) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(`"decision":"zone-shares"`)) && bytes.Contains(line, []byte("round trip 2ms")) {
		zc.logged.Add(1)
		if shareOfZone2.Match(line) {
			zc.loggedZone2.Add(1)
		}
	}
	return len(line), nil
}

const callersZone = 1

func runInZones(t *testing.T, hasDeadline bool, run func(zc *zoneCluster)) {
	runInCluster(t, false, 3, 9, func(tc *testCluster) {
		zc := &zoneCluster{testCluster: tc}
		tc.configure = func(instance *machine.Instance) {
			zc.balancer = instance.Metrics
			instance.Decisions = decisionlog.New(&log.Logger{Writer: &log.IOWriter{Writer: zc}}, -1)
		}
		tc.balancers[0].isReady = false
		tc.addBalancer()
		for _, s := range tc.sites {
			s.endpoint.slots, s.endpoint.work = 3, 90*time.Millisecond
			s.endpoint.announce()
		}
		if hasDeadline {
			tc.stateDeadline(2)
		}
		tc.sleep(time.Second)
		run(zc)
	})
}

// zoneLoad is what callers got.
type zoneLoad struct {
	flows, served, retransmitted int
	// opened are the flows that each zone's endpoints have opened.
	opened [3]int
}

// load opens flows at a rate for a duration, each with one request.
func (zc *zoneCluster) load(perSecond int, duration time.Duration) (l zoneLoad) {
	before := zc.opened()
	for range perSecond * int(duration) / int(time.Second) {
		l.flows++
		go func() {
			zc.mu.Lock()
			defer zc.mu.Unlock()
			start := time.Now()
			f := zc.dial(orders, callersZone)
			if time.Since(start) > firstRetransmit {
				l.retransmitted++
			}
			if f.isOpen && f.request() != "" {
				l.served++
			}
		}()
		zc.sleep(time.Second / time.Duration(perSecond))
	}
	zc.sleep(dialTimeout + requestTimeout)
	for zone, after := range zc.opened() {
		l.opened[zone] = after - before[zone]
	}
	return l
}

func (zc *zoneCluster) opened() (counts [3]int) {
	for _, s := range zc.sites {
		counts[s.number%3] += len(s.endpoint.opened)
	}
	return counts
}

// metric returns the value of a balancer's counter for a reason.
func (zc *zoneCluster) metric(name, reason string) float64 {
	families, err := zc.balancer.Gather()
	zc.g.Expect(err).NotTo(HaveOccurred())
	for _, family := range families {
		for _, m := range family.Metric {
			if family.GetName() == name && m.Label[0].GetValue() == reason {
				return m.Counter.GetValue()
			}
		}
	}
	zc.t.Fatalf("no metric %s of %s", name, reason)
	return 0
}

func (zc *zoneCluster) offered(reason string) float64 {
	return zc.metric("sassafrasturn_flows_offered_total", reason)
}

// Guards against a zone that keeps its surplus, or sends flows away for good: callers of a zone
// send twice what it serves, and then half of it. Control need not answer.
func TestShortZoneSendsFlowsAwayUntilItHasRoom(t *testing.T) {
	for name, isControlDown := range map[string]bool{"control is up": false, "control is down": true} {
		t.Run(name, func(t *testing.T) {
			runInZones(t, true, func(zc *zoneCluster) {
				zc.control.isDown = isControlDown
				calm := zc.load(50, 2*time.Second)
				zc.g.Expect(calm.served).To(Equal(calm.flows))
				zc.g.Expect(zc.offered("shortage")).To(BeZero())
				short := zc.load(200, 5*time.Second)
				left := zc.offered("shortage")
				t.Logf("calm %+v short %+v left %v", calm, short, left)
				zc.g.Expect(short.served).To(Equal(short.flows))
				zc.g.Expect(left).To(BeNumerically(">", 0.2*float64(short.flows)))
				zc.g.Expect(zc.loggedZone2.Load()).To(BeNumerically(">", 0))
				zc.g.Expect(zc.metric("sassafrasturn_zone_crossing_bytes_total", "shortage")).To(BeNumerically(">", 0))
				after := zc.load(50, 3*time.Second)
				zc.g.Expect(after.opened[callersZone]).To(Equal(after.flows))
				zc.g.Expect(zc.offered("shortage") - left).To(BeNumerically("<", 0.1*float64(after.flows)))
			})
		})
	}
}

// Routes that state no deadline are served as before.
func TestFlowsOfRoutesWithoutDeadlineDoNotLeaveByShares(t *testing.T) {
	runInZones(t, false, func(zc *zoneCluster) {
		zc.load(200, 3*time.Second)
		zc.g.Expect(zc.offered("shortage")).To(BeZero())
	})
}

// Guards against flows to an evacuated zone, and against balancers that do not learn the owner of
// a flow that leaves: its packets would pass the agents of the own zone first.
func TestZoneWithoutEndpointsSendsAllFlowsAway(t *testing.T) {
	runInZones(t, true, func(zc *zoneCluster) {
		zc.control.zoneIndex, zc.control.zonesOut = 1, []string{zoneOf(callersZone)}
		zc.sleep(time.Second)
		zc.load(50, time.Second)
		detours := 0
		zc.network.mu.Lock()
		zc.network.policy = func(data []byte, from, to netip.AddrPort, delay time.Duration) (time.Duration, bool) {
			const offerBytes, addressBytes = 34, 6
			isFromAgent := from.Addr().As4()[1] == 2 && from.Port() == linkPort
			if isFromAgent && opaque.Kind(data[0]) == opaque.KindOffer {
				if h, ok := (codec{}).Parse(data[offerBytes+addressBytes*int(data[2]):]); ok && !h.IsSYN {
					detours++
				}
			}
			return delay, false
		}
		zc.network.mu.Unlock()
		away := zc.load(50, 2*time.Second)
		zc.g.Expect(away.served).To(Equal(away.flows))
		zc.g.Expect(away.opened[callersZone]).To(BeZero())
		zc.g.Expect(detours).To(BeZero())
		zc.g.Expect(zc.offered("no-endpoint")).To(BeNumerically(">=", away.flows))

		zc.control.zoneIndex, zc.control.zonesOut = 2, nil
		zc.sleep(time.Second)
		zc.load(50, 3*time.Second)
		back := zc.load(50, time.Second)
		zc.g.Expect(back.opened[callersZone]).To(Equal(back.flows))
	})
}

// The link between the zones of the callers and zone 2 is cut while the callers' zone is short.
// With the fixed candidates, flows are offered to agents that cannot be reached.
func TestFlowsDoNotLeaveOverACutLink(t *testing.T) {
	run := func(hasDeadline bool) (l zoneLoad) {
		runInZones(t, hasDeadline, func(zc *zoneCluster) {
			const cutZone = 2
			for _, far := range zc.sites {
				if far.number%3 != cutZone {
					continue
				}
				for _, b := range zc.balancers {
					zc.network.cutLink(b.address.Addr(), far.address)
				}
				for _, near := range zc.sites {
					if near.number%3 == callersZone {
						zc.network.cutLink(near.address, far.address)
					}
				}
			}
			zc.load(150, 2*time.Second)
			left := zc.offered("shortage")
			l = zc.load(150, 4*time.Second)
			zc.g.Expect(zc.offered("shortage") > left).To(Equal(hasDeadline))
		})
		return l
	}
	got, fixed := run(true), run(false)
	t.Logf("got %+v fixed %+v", got, fixed)
	g := NewWithT(t)
	g.Expect(got.served).To(BeNumerically(">=", fixed.served))
	g.Expect(got.retransmitted).To(BeNumerically("<", fixed.retransmitted/2))
}

// Packets from zone 2 to the balancer are lost while those to it arrive: its agents do not answer
// requests for their load, so that flows leave for the other zone.
func TestFlowsDoNotLeaveForAZoneWhoseAnswersAreLost(t *testing.T) {
	runInZones(t, true, func(zc *zoneCluster) {
		const silent = 2
		for _, s := range zc.sites {
			if s.number%3 == silent {
				zc.network.cutOneWay(s.address, zc.balancers[len(zc.balancers)-1].address.Addr())
			}
		}
		l := zc.load(150, 4*time.Second)
		zc.g.Expect(l.served).To(Equal(l.flows))
		zc.g.Expect(l.opened[0]).To(BeNumerically(">", 2*l.opened[silent]))
		zc.g.Expect(zc.logged.Load()).To(BeNumerically(">", 0))
		zc.g.Expect(zc.loggedZone2.Load()).To(BeZero())
	})
}
