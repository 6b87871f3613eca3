package pathtest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/decisionlog"
	"sassafrasturn.example/internal/flow"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/machine/opaque"
	"sassafrasturn.example/internal/wire"
)

// logBuffer collects the log lines of all instances.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(line)
}

// count returns the number of lines that contain all texts.
func (b *logBuffer) count(texts ...string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for line := range strings.Lines(b.data.String()) {
		if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
			count++
		}
	}
	return count
}

// recordLog returns the log of the instances that start from now on.
func (tc *testCluster) recordLog() *logBuffer {
	buffer := new(logBuffer)
	tc.configure = func(instance *machine.Instance) {
		instance.Log = &log.Logger{Writer: &log.IOWriter{Writer: io.Writer(buffer)}}
	}
	return buffer
}

func (s *site) drain() {
	s.cluster.mu.Unlock()
	s.agent.Drain(context.Background())
	s.cluster.mu.Lock()
}

// expectTakenOver asserts that the newest starts of agents have got all flows of the ones before:
// a balancer that knows no owners finds each flow at its endpoint, and no other endpoint gets a
// packet of it.
func (tc *testCluster) expectTakenOver(log *logBuffer, starts int, flows []*callerFlow) {
	tc.g.Expect(log.count("flows taken over", `"found":true`)).To(Equal(starts))
	tc.sleep(2 * heartbeat)
	tc.addColdBalancer()
	tc.expectServed(flows)
	tc.expectNoForeignPackets()
}

func isHandoverKind(data []byte) bool {
	kind := opaque.Kind(data[0])
	return kind >= opaque.KindHandover && kind <= opaque.KindTakeoverAnswer
}

// All control instances but one stop just before an agent hands over its flows, whichever that is,
// and return before its next start without what they kept. The agent still takes them for live.
func TestFlowsAreHandedOverWhileControlInstancesRestart(t *testing.T) {
	for alive := range 4 {
		t.Run(fmt.Sprint(alive), func(t *testing.T) {
			runInCluster(t, false, 2, 4, func(tc *testCluster) {
				tc.addControl(3)
				log := tc.recordLog()
				s, flows := tc.openAtBusiest(40)
				restarted := slices.Delete(tc.allControl(), alive, alive+1)
				tc.restartControlAfter(drainTime-10*time.Millisecond, 700*time.Millisecond, restarted)
				s.rollAgent(800 * time.Millisecond)
				tc.sleep(time.Second)
				tc.expectTakenOver(log, 1, flows)
			})
		})
	}
}

// All control instances restart while an agent stops, for longer than a planned restart takes.
func TestFlowsAreHandedOverOnceControlReturns(t *testing.T) {
	runInCluster(t, false, 2, 4, func(tc *testCluster) {
		tc.addControl(2)
		log := tc.recordLog()
		s, flows := tc.openAtBusiest(40)
		tc.restartControlAfter(drainTime-10*time.Millisecond, 700*time.Millisecond, tc.allControl())
		s.rollAgent(500 * time.Millisecond)
		tc.sleep(time.Second)
		tc.expectTakenOver(log, 1, flows)
	})
}

// restartControlAfter stops control instances after a time, for a time.
func (tc *testCluster) restartControlAfter(begin, down time.Duration, instances []*fakeControl) {
	set := func(isDown bool) {
		tc.mu.Lock()
		defer tc.mu.Unlock()
		for _, c := range instances {
			c.isDown = isDown
			c.loseHandovers()
		}
	}
	time.AfterFunc(begin, func() { set(true) })
	time.AfterFunc(begin+down, func() { set(false) })
}

// A control instance restarts between the handover and the next start of the agent.
func TestFlowsAreTakenOverAfterAControlInstanceHasRestarted(t *testing.T) {
	for restarted := range 4 {
		t.Run(fmt.Sprint(restarted), func(t *testing.T) {
			runInCluster(t, false, 2, 4, func(tc *testCluster) {
				tc.addControl(3)
				log := tc.recordLog()
				s, flows := tc.openAtBusiest(40)
				s.drain()
				s.stop()
				tc.sleep(300 * time.Millisecond)
				tc.allControl()[restarted].loseHandovers()
				s.startAgent()
				tc.sleep(time.Second)
				tc.expectTakenOver(log, 1, flows)
			})
		})
	}
}

// An agent is killed while it hands over, before any copy is complete or after one is. Its next
// start adopts the flows, or knows them.
func TestFlowsSurviveAKillDuringAHandover(t *testing.T) {
	for _, hasCompleteCopy := range []bool{false, true} {
		t.Run(fmt.Sprint(hasCompleteCopy), func(t *testing.T) {
			runInCluster(t, false, 2, 1, func(tc *testCluster) {
				tc.addControl(3)
				log, flows := tc.recordLog(), tc.openFlows(30)
				complete := netip.AddrPort{}
				tc.setPolicy(func(data []byte, _, to netip.AddrPort, delay time.Duration) (time.Duration, bool) {
					if opaque.Kind(data[0]) != opaque.KindHandover {
						return delay, false
					}
					if hasCompleteCopy && !complete.IsValid() {
						complete = to
					}
					return delay, to != complete && isLastPart(data)
				})
				s := tc.sites[0]
				ctx, kill := context.WithCancel(context.Background())
				time.AfterFunc(drainTime+100*time.Millisecond, kill)
				tc.mu.Unlock()
				s.agent.Drain(ctx)
				tc.mu.Lock()
				tc.setPolicy(nil)
				s.restartAgent(100 * time.Millisecond)
				tc.sleep(time.Second)
				tc.g.Expect(log.count("flows taken over", fmt.Sprintf(`"found":%t`, hasCompleteCopy))).To(Equal(1))
				tc.addColdBalancer()
				tc.expectServed(flows)
			})
		})
	}
}

// isLastPart reports whether a datagram has the last of the flows of an agent that stops.
func isLastPart(data []byte) bool {
	message := new(wire.Handover)
	if proto.Unmarshal(data[1:], message) != nil {
		return false
	}
	return message.Offset+uint32(len(message.Flows)) == message.Total
}

// Datagrams about the flows are lost, doubled and late.
func TestFlowsAreHandedOverOnABadNetwork(t *testing.T) {
	runInCluster(t, false, 2, 1, func(tc *testCluster) {
		tc.addControl(2)
		log, flows := tc.recordLog(), tc.openFlowsAtOnce(400)
		rng := rand.New(rand.NewPCG(1, 1))
		tc.setPolicy(func(data []byte, from, to netip.AddrPort, delay time.Duration) (time.Duration, bool) {
			if !isHandoverKind(data) {
				return delay, false
			}
			if rng.Float64() < 0.2 {
				late := bytes.Clone(data)
				time.AfterFunc(delay+time.Duration(rng.Int64N(int64(time.Second))), func() { tc.network.deliver(late, from, to) })
			}
			return delay, rng.Float64() < 0.15
		})
		for range 3 {
			tc.sites[0].rollAgent(500 * time.Millisecond)
			tc.sleep(time.Second)
		}
		tc.setPolicy(nil)
		tc.expectTakenOver(log, 3, flows)
	})
}

// setPolicy sets what the network does with datagrams.
func (tc *testCluster) setPolicy(policy func(data []byte, from, to netip.AddrPort, delay time.Duration) (time.Duration, bool)) {
	tc.network.mu.Lock()
	defer tc.network.mu.Unlock()
	tc.network.policy = policy
}

// Two starts ask for the same copies: a start that has taken the flows from one instance opens
// others and is killed. The next one takes no other copy, which would lack the new flows.
func TestCopiesAreForOneStart(t *testing.T) {
	for second := range 3 {
		t.Run(fmt.Sprint(second), func(t *testing.T) {
			runInCluster(t, false, 2, 3, func(tc *testCluster) {
				tc.addControl(2)
				log := tc.recordLog()
				s, flows := tc.openAtBusiest(40)
				s.drain()
				s.stop()
				tc.sleep(300 * time.Millisecond)
				// This instance hears nothing of the first start.
				unaware := tc.allControl()[second]
				unaware.isDown = true
				s.startAgent()
				tc.sleep(time.Second)
				flows = append(flows, tc.openFlows(40)...)
				unaware.isDown = false
				s.restartAgent(100 * time.Millisecond)
				tc.sleep(time.Second)
				tc.g.Expect(log.count("flows taken over", `"found":true`)).To(Equal(1))
				tc.addColdBalancer()
				tc.expectServed(flows)
				tc.expectNoResets(flows, time.Second)
			})
		})
	}
}

// Agents that were killed try packets of others' flows. After a planned restart they must not try the
// same flows again (review 8).
func TestBouncedFlowsAreNotTriedAgainAfterAPlannedRestart(t *testing.T) {
	runInCluster(t, false, 2, 3, func(tc *testCluster) {
		flows := tc.openFlows(40)
		tc.restartAgents()
		tc.sleep(2 * heartbeat)
		tc.addColdBalancer()
		tc.expectServed(flows)
		tried := 0
		for _, s := range tc.sites {
			tried += len(s.endpoint.unknown)
		}
		tc.g.Expect(tried).To(BeNumerically(">", 0))
		for _, s := range tc.sites {
			s.rollAgent(100 * time.Millisecond)
			tc.sleep(heartbeat)
			tc.addColdBalancer()
			tc.expectServed(flows)
		}
		for _, s := range tc.sites {
			for key, packets := range s.endpoint.unknown {
				tc.g.Expect(packets).To(Equal(1), "flow %s at %s", key, s.endpoint.id)
			}
		}
	})
}

// An agent is restarted twice while the seeds change. Its last start must not take the flows that were
// kept for the one before, and reset those opened since (review 7).
func TestFlowsSurviveTwoRestartsWhileTheSeedsChange(t *testing.T) {
	runInCluster(t, false, 2, 3, func(tc *testCluster) {
		tc.addControl(5)
		log := tc.recordLog()
		recordLog, seeds := tc.configure, tc.controlAddresses()
		tc.configure = func(instance *machine.Instance) {
			recordLog(instance)
			instance.Settings.Cluster.Peers = seeds
		}
		s, flows := tc.openAtBusiest(12)
		roll := func(holders, nextSeeds []int, late opaque.Kind) {
			// Only the holders get the flows, and messages of one kind are overtaken by the others.
			tc.setPolicy(func(data []byte, _, to netip.AddrPort, delay time.Duration) (time.Duration, bool) {
				if opaque.Kind(data[0]) == late {
					delay += 5 * time.Millisecond
				}
				isHolder := slices.ContainsFunc(holders, func(i int) bool { return tc.allControl()[i].address == to })
				return delay, opaque.Kind(data[0]) == opaque.KindHandover && !isHolder
			})
			seeds = nil
			for _, i := range nextSeeds {
				seeds = append(seeds, tc.allControl()[i].address)
			}
			s.rollAgent(600 * time.Millisecond)
			tc.sleep(2 * heartbeat)
		}
		roll([]int{0, 1}, []int{0, 3, 4}, opaque.KindPollAnswer)
		opened := flowsAt(s, tc.openFlows(12))
		tc.g.Expect(opened).NotTo(BeEmpty())
		flows = append(flows, opened...)
		roll([]int{2, 5}, []int{1, 3, 4}, opaque.KindTakeover)
		tc.setPolicy(nil)
		tc.expectTakenOver(log, 2, flows)
		tc.expectNoResets(flows, time.Second)
	})
}

// A control instance has an old copy and has missed the start after it, which is killed; no other has
// one. It hears of that start when it is back in time. Otherwise its copy is in doubt, and the flows
// that the killed start has opened are adopted beside it.
func TestOldCopyIsRefusedOrInDoubt(t *testing.T) {
	for _, outcome := range []string{"refused", "uncertain"} {
		t.Run(outcome, func(t *testing.T) {
			runInCluster(t, false, 2, 3, func(tc *testCluster) {
				tc.addControl(2)
				log := tc.recordLog()
				s, flows := tc.openAtBusiest(40)
				unaware, last := tc.moreControl[0], tc.moreControl[1]
				// Polls overtake the requests for flows.
				tc.setPolicy(func(data []byte, _, to netip.AddrPort, delay time.Duration) (time.Duration, bool) {
					if opaque.Kind(data[0]) == opaque.KindTakeover {
						delay += 5 * time.Millisecond
					}
					return delay, opaque.Kind(data[0]) == opaque.KindHandover && to == last.address
				})
				s.drain()
				s.stop()
				tc.sleep(300 * time.Millisecond)
				unaware.isDown = true
				s.startAgent()
				tc.sleep(2 * heartbeat)
				opened := flowsAt(s, tc.openFlows(40))
				tc.g.Expect(opened).NotTo(BeEmpty())
				unaware.isDown = outcome == "uncertain"
				tc.sleep(1500 * time.Millisecond)
				s.stop()
				unaware.isDown = false
				tc.control.loseHandovers()
				tc.sleep(100 * time.Millisecond)
				s.startAgent()
				tc.sleep(time.Second)
				tc.g.Expect(log.count("flows taken over", fmt.Sprintf(`"outcome":%q`, outcome))).To(Equal(1))
				tc.addColdBalancer()
				tc.expectServed(append(flows, opened...))
				tc.expectNoResets(append(flows, opened...), time.Second)
			})
		})
	}
}

// The wall clock of an agent's machine is set back before each start, so that its incarnation is lower
// than the one before until control has answered. The polls of the agent that stops and of its next
// start must not pass for those of another start.
func TestFlowsAreHandedOverAfterTheClockWentBack(t *testing.T) {
	runInCluster(t, false, 2, 3, func(tc *testCluster) {
		tc.addControl(1)
		log := tc.recordLog()
		recordLog, offset := tc.configure, uint64(0)
		tc.configure = func(instance *machine.Instance) {
			recordLog(instance)
			offset += 10_000
			instance.Incarnation -= offset
		}
		s, flows := tc.openAtBusiest(40)
		for range 3 {
			s.rollAgent(500 * time.Millisecond)
			tc.sleep(time.Second)
		}
		tc.expectTakenOver(log, 3, flows)
	})
}

// openFlowsAtOnce opens more flows than openFlows can before the first ones are idle for too long.
func (tc *testCluster) openFlowsAtOnce(count int) []*callerFlow {
	tc.sites[0].endpoint.slots = count
	tc.sites[0].endpoint.announce()
	tc.sleep(100 * time.Millisecond)
	var flows []*callerFlow
	for range count {
		f := tc.prepare(orders, anyZone)
		f.sendSYN(0)
		flows = append(flows, f)
		tc.sleep(100 * time.Microsecond)
	}
	tc.sleep(100 * time.Millisecond)
	for _, f := range flows {
		tc.g.Expect(f.isOpen).To(BeTrue())
		f.seq++
	}
	return flows
}

// An agent with 2,000 flows stops while the instances that it asks first may be down.
func TestManyFlowsAreHandedOver(t *testing.T) {
	const count = 2000
	runInCluster(t, false, 2, 1, func(tc *testCluster) {
		tc.addControl(3)
		log := tc.recordLog()
		flows := tc.openFlowsAtOnce(count)
		tc.control.isDown, tc.moreControl[0].isDown = true, true
		begin := time.Now()
		tc.sites[0].drain()
		tc.g.Expect(time.Since(begin) - drainTime).To(BeNumerically("<", flow.HandoverTime(count, 4*time.Second)))
		tc.sites[0].restartAgent(500 * time.Millisecond)
		tc.sleep(time.Second)
		tc.expectTakenOver(log, 1, flows)
		tc.g.Expect(log.count("flows taken over", fmt.Sprintf(`"flows":%d`, count))).To(Equal(1))
	})
}

// Agents that have been killed try packets of others' flows while many new flows arrive. The log
// must show the former although the latter exceed its limit.
func TestTriedPacketsAreLoggedAmongManyNewFlows(t *testing.T) {
	runInCluster(t, false, 2, 2, func(tc *testCluster) {
		log, flows := tc.recordLog(), tc.openFlows(20)
		recordLog := tc.configure
		tc.configure = func(instance *machine.Instance) {
			recordLog(instance)
			instance.Decisions = decisionlog.New(instance.Log, 5)
		}
		tc.restartAgents()
		tc.addColdBalancer()
		tc.sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second)))
		for range 100 {
			tc.prepare(orders, anyZone).sendSYN(0)
		}
		tc.sleep(100 * time.Millisecond)
		takes := log.count(`"decision":"take"`)
		tc.expectServed(flows[:5])
		tc.g.Expect(log.count(`"decision":"take"`)).To(Equal(takes), "the common budget must be used up")
		tc.g.Expect(log.count(`"decision":"try"`)).To(BeNumerically(">", 0))
		tc.g.Expect(log.count(`"decision":"bounce"`, "returned by the endpoint")).To(BeNumerically(">", 0))
	})
}
