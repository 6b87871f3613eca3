package exchange

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// simLink is a link between two simulated instances, opened by dialer.
type simLink struct {
	dialer, target int
	openedAt       time.Time
}

// graph simulates the links of a cluster in simulated time.
type graph struct {
	now           time.Time
	nodes         []*topology
	plan          func(t *topology, now time.Time, links []linkState) ([]string, []int)
	isDown        map[int]bool
	isPartitioned func(a, b int) bool
	links         map[int]simLink
	nextID        int
	agents        int
	control       int
}

// newGraph returns a graph of control instances, balancers and agents. Every
// instance has the balancers as known peers and the control instances as seeds.
func newGraph(control, balancers, agents int) *graph {
	random := newTestRandom()
	g := &graph{
		now: testStart, plan: (*topology).plan, isDown: make(map[int]bool), links: make(map[int]simLink),
		isPartitioned: func(int, int) bool { return false }, control: control, agents: agents,
	}
	var known []Peer
	var seeds []string
	for i := range control + balancers {
		if i < control {
			seeds = append(seeds, simAddress(i))
		} else {
			known = append(known, Peer{Instance: nodeName(i), Address: simAddress(i)})
		}
	}
	for i := range control + balancers + agents {
		t := &topology{
			self: Peer{Instance: nodeName(i), Address: simAddress(i)}, seeds: seeds, isPartial: i >= control+balancers,
			keepsSeeds: i < control, random: random, rotatedAt: g.now,
		}
		t.setPeers(append([]Peer(nil), known...))
		g.nodes = append(g.nodes, t)
	}
	return g
}

func simAddress(i int) string { return fmt.Sprintf("10.0.0.%d:7400", i) }

func (g *graph) isUp(l simLink) bool {
	return !g.isDown[l.dialer] && !g.isDown[l.target] && !g.isPartitioned(l.dialer, l.target)
}

// states returns the links of each node from its own side.
func (g *graph) states() [][]linkState {
	states := make([][]linkState, len(g.nodes))
	for _, id := range slices.Sorted(maps.Keys(g.links)) {
		l := g.links[id]
		states[l.dialer] = append(states[l.dialer], linkState{id: id, instance: nodeName(l.target), address: simAddress(l.target), openedAt: l.openedAt})
		states[l.target] = append(states[l.target], linkState{id: id, instance: nodeName(l.dialer), isPartial: g.nodes[l.dialer].isPartial, openedAt: l.openedAt})
	}
	return states
}

func (g *graph) tick() {
	g.now = g.now.Add(planInterval)
	for id, l := range g.links {
		if !g.isUp(l) {
			delete(g.links, id)
		}
	}
	states := g.states()
	for i, node := range g.nodes {
		if g.isDown[i] {
			continue
		}
		dial, drop := g.plan(node, g.now, states[i])
		for _, id := range drop {
			delete(g.links, id)
		}
		for _, address := range dial {
			g.dial(i, address)
		}
	}
}

func (g *graph) dial(from int, address string) {
	var target int
	_, _ = fmt.Sscanf(address, "10.0.0.%d:", &target)
	l := simLink{dialer: from, target: target, openedAt: g.now}
	if !g.isUp(l) {
		g.nodes[from].recordFailure(g.now, address)
		return
	}
	g.nextID++
	g.links[g.nextID] = l
}

func (g *graph) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.tick()
	}
}

// countReachable counts the live instances, and those that a change at one live
// balancer is forwarded to. Agents forward nothing.
func (g *graph) countReachable() (reached, live int) {
	neighbours := make(map[int][]int)
	for _, l := range g.links {
		neighbours[l.dialer] = append(neighbours[l.dialer], l.target)
		neighbours[l.target] = append(neighbours[l.target], l.dialer)
	}
	start := -1
	for i := range g.nodes {
		if !g.isDown[i] {
			live++
			if start < 0 && i >= g.control {
				start = i
			}
		}
	}
	seen := map[int]bool{start: true}
	queue := []int{start}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		if g.nodes[at].isPartial {
			continue
		}
		for _, next := range neighbours[at] {
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen), live
}

func (g *graph) isConnected() bool {
	reached, live := g.countReachable()
	return reached == live
}

func (g *graph) maxLinks(from, to int) int {
	highest := 0
	for _, links := range g.states()[from:to] {
		highest = max(highest, len(links))
	}
	return highest
}

const (
	simControl   = 5
	simBalancers = 60
	simAgents    = 150
	// simZones and simRegions are the numbers of the target.
	simZones   = 7
	simRegions = 3
	// failOverTime is how long an instance may be disconnected after a fault.
	failOverTime = 2 * time.Second
)

// naiveAllToAll links every instance to all of its known peers.
func naiveAllToAll(t *topology, _ time.Time, links []linkState) (dial []string, drop []int) {
	linked := make(map[string]bool)
	for _, l := range links {
		linked[l.instance] = true
	}
	for _, peer := range t.known {
		if !linked[peer.Instance] {
			dial = append(dial, peer.Address)
		}
	}
	return dial, nil
}

// naiveSeedsOnly links every instance to the configured seeds.
func naiveSeedsOnly(t *topology, _ time.Time, links []linkState) (dial []string, drop []int) {
	p := newPlan(t, time.Time{}, links)
	for _, seed := range t.seeds {
		p.dialSeed(seed)
	}
	return p.dial, nil
}

func TestTopologyStaysConnectedWithFewLinks(t *testing.T) {
	g := NewWithT(t)
	allToAll := newGraph(simControl, simBalancers, simAgents)
	allToAll.plan = naiveAllToAll
	allToAll.run(time.Second)
	const linkBound = 32
	g.Expect(allToAll.maxLinks(simControl, simControl+simBalancers)).To(BeNumerically(">", linkBound))
	seedsOnly := newGraph(simControl, simBalancers, simAgents)
	seedsOnly.plan = naiveSeedsOnly
	seedsOnly.run(time.Second)
	g.Expect(seedsOnly.maxLinks(0, simControl)).To(BeNumerically(">", linkBound))

	sim := newGraph(simControl, simBalancers, simAgents)
	sim.run(30 * time.Second)
	g.Expect(sim.isConnected()).To(BeTrue())
	g.Expect(sim.maxLinks(0, simControl)).To(BeNumerically("<=", linkBound))
	g.Expect(sim.maxLinks(simControl, simControl+simBalancers)).To(BeNumerically("<=", linkBound))
	g.Expect(sim.maxLinks(simControl+simBalancers, len(sim.nodes))).To(BeNumerically("<=", agentLinks+1))
	t.Logf("most links: control %d, balancer %d, agent %d", sim.maxLinks(0, simControl),
		sim.maxLinks(simControl, simControl+simBalancers), sim.maxLinks(simControl+simBalancers, len(sim.nodes)))
}

func TestTopologyStaysConnectedAfterFaults(t *testing.T) {
	inZone := func(zone int) func(i int) bool { return func(i int) bool { return i%simZones == zone } }
	faults := map[string]func(i int) bool{
		"control": func(i int) bool { return i < simControl },
		"zone":    inZone(3),
		"control and a zone": func(i int) bool {
			return i < simControl || inZone(2)(i)
		},
		"half of the balancers": func(i int) bool { return i < simControl+simBalancers && i%2 == 0 },
	}
	for name, isDown := range faults {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sim := newGraph(simControl, simBalancers, simAgents)
			naive := newGraph(simControl, simBalancers, simAgents)
			naive.plan = naiveSeedsOnly
			for _, each := range []*graph{sim, naive} {
				each.run(10 * time.Second)
				for i := range each.nodes {
					each.isDown[i] = isDown(i)
				}
				each.run(failOverTime)
			}
			g.Expect(sim.isConnected()).To(BeTrue())
			if isDown(0) && isDown(1) {
				g.Expect(naive.isConnected()).To(BeFalse())
			}
		})
	}
}

func TestTopologyReconnectsAfterOneHourPartition(t *testing.T) {
	g := NewWithT(t)
	sim := newGraph(simControl, simBalancers, simAgents)
	sim.run(10 * time.Second)
	// Control is down as well: it would reconnect the regions by its seeds.
	for i := range simControl {
		sim.isDown[i] = true
	}
	region := func(i int) int { return i % simRegions }
	sim.isPartitioned = func(a, b int) bool { return region(a) != region(b) }
	sim.run(time.Hour / 20)
	reached, _ := sim.countReachable()
	g.Expect(reached).To(BeNumerically("<", len(sim.nodes)/2))
	// The rest of the hour in steps of rotationInterval is equivalent to ticks.
	for range 57 {
		sim.now = sim.now.Add(rotationInterval)
		sim.tick()
	}
	sim.isPartitioned = func(int, int) bool { return false }
	healed := sim.now
	for !sim.isConnected() && sim.now.Sub(healed) < time.Minute {
		sim.tick()
	}
	t.Logf("connected %v after the end of the partition", sim.now.Sub(healed))
	g.Expect(sim.now.Sub(healed)).To(BeNumerically("<=", 6*time.Second))
}

func TestRandomLinksRotate(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(testSeed, 1))
	topo := &topology{self: Peer{Instance: "self"}, random: random, rotatedAt: testStart}
	var peers []Peer
	for i := range 20 {
		peers = append(peers, Peer{Instance: nodeName(i), Address: simAddress(i)})
	}
	topo.setPeers(peers)
	first, _ := topo.plan(testStart, nil)
	g.Expect(first).To(HaveLen(ringLinks + randomLinks))
	dial, _ := topo.plan(testStart.Add(rotationInterval), []linkState{
		{id: 1, instance: peers[0].Instance, address: peers[0].Address},
		{id: 2, instance: peers[1].Instance, address: peers[1].Address},
	})
	g.Expect(dial).NotTo(BeEmpty())
	// The links are one too many: to the successor, which the first plan dialed
	// first, and to randomLinks + 1 others, of which the oldest is closed.
	successor := slices.IndexFunc(topo.known, func(p Peer) bool { return p.Address == first[0] })
	var links []linkState
	for i := range ringLinks + randomLinks + 1 {
		peer := topo.known[(successor+i)%len(topo.known)]
		links = append(links, linkState{id: i, instance: peer.Instance, address: peer.Address, openedAt: testStart.Add(time.Duration(i))})
	}
	_, drop := topo.plan(testStart.Add(rotationInterval), links)
	g.Expect(drop).To(Equal([]int{ringLinks}))
}
