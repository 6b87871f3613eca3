package membership

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

var testStart = time.Unix(1_700_000_000, 0)

const firstIncarnation = 1000

// simMember is a process in a simulated cluster.
type simMember struct {
	Member
	zone        string
	incarnation uint64
	sequence    uint64
	isDown      bool
	isFrozen    bool
}

// simWatcher is a balancer with its table and its prober.
type simWatcher struct {
	*simMember
	table        *Table
	prober       *Prober
	naive        *naiveWatcher
	verdicts     uint64
	lastReceived time.Time
	// targets are the targets of the table at generation.
	targets    []Target
	generation uint64
}

// cluster simulates members and watchers in simulated time. Datagrams are lost with
// probability loss. Records take one tick to every reachable watcher.
type cluster struct {
	now           time.Time
	random        *rand.Rand
	loss          float64
	members       []*simMember
	watchers      []*simWatcher
	byAddress     map[string]*simMember
	isPartitioned func(a, b *simMember) bool
	queued        []*wire.Record
	senders       []*simMember
	probes        int
	// falseAlarms counts, at each tick of each watcher, the live and reachable members that
	// it considered down, and naiveFalseAlarms those of its naiveWatcher.
	falseAlarms      int
	naiveFalseAlarms int
}

func newCluster(seed uint64, balancers, agents, zones int) *cluster {
	c := &cluster{
		now: testStart, random: rand.New(rand.NewPCG(seed, seed)), byAddress: make(map[string]*simMember),
		isPartitioned: func(*simMember, *simMember) bool { return false },
	}
	for i := range balancers + agents {
		kind, name := wire.Record_KIND_BALANCER, fmt.Sprintf("balancer-%d", i)
		if i >= balancers {
			kind, name = wire.Record_KIND_ENDPOINT, fmt.Sprintf("agent-%d", i-balancers)
		}
		m := &simMember{Member: Member{Kind: kind, Name: name}, zone: fmt.Sprintf("zone-%d", i%zones), incarnation: firstIncarnation, sequence: 1}
		c.members = append(c.members, m)
		c.byAddress[name] = m
		if kind == wire.Record_KIND_BALANCER {
			c.watchers = append(c.watchers, &simWatcher{
				simMember: m, table: NewTable(name, m.zone), prober: NewProber(m.zone, c.random.Uint64()>>1), naive: newNaiveWatcher(), lastReceived: c.now,
			})
		}
	}
	for _, m := range c.members {
		c.broadcast(m, m.record())
	}
	c.deliver()
	return c
}

// record returns the member's own record. Its address is its name.
func (m *simMember) record() *wire.Record {
	var value []byte
	if m.Kind == wire.Record_KIND_BALANCER {
		value, _ = proto.Marshal(&wire.Balancer{Instance: m.Name, Zone: m.zone, Address: []byte(m.Name)})
	} else {
		value, _ = proto.Marshal(&wire.Endpoint{Instance: m.Name, Zone: m.zone, Address: []byte(m.Name), State: wire.Endpoint_STATE_WARM})
	}
	return &wire.Record{Kind: m.Kind, Key: m.Name, Major: m.incarnation, Minor: m.sequence, Value: value}
}

func (c *cluster) broadcast(from *simMember, record *wire.Record) {
	c.queued = append(c.queued, record)
	c.senders = append(c.senders, from)
}

func (c *cluster) deliver() {
	queued, senders := c.queued, c.senders
	c.queued, c.senders = nil, nil
	for i, record := range queued {
		for _, w := range c.watchers {
			if w.isDown || w.isFrozen || c.isPartitioned(senders[i], w.simMember) {
				// A partitioned or frozen watcher receives the record later.
				if !w.isDown {
					defer c.requeue(w, senders[i], record)
				}
				continue
			}
			w.table.Apply(c.now, []*wire.Record{record})
		}
	}
}

func (c *cluster) requeue(_ *simWatcher, from *simMember, record *wire.Record) {
	if len(c.queued) == 0 || c.queued[len(c.queued)-1] != record {
		c.broadcast(from, record)
	}
}

func (c *cluster) isLost() bool { return c.random.Float64() < c.loss }

func (c *cluster) tick() {
	c.now = c.now.Add(TickInterval)
	c.deliver()
	for _, w := range c.watchers {
		if !w.isDown && !w.isFrozen {
			c.tickWatcher(w)
		}
	}
}

func (c *cluster) tickWatcher(w *simWatcher) {
	if w.generation != w.table.Generation() {
		w.targets, w.generation = w.table.Targets()
		slices.SortFunc(w.targets, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
		w.prober.SetTargets(c.now, w.targets)
	}
	hasRefuted := w.prober.Refresh(c.now, w.table.Version)
	if c.receivesFromAny(w) {
		w.lastReceived = c.now
	}
	probes, hasChanged := w.prober.Tick(c.now, w.lastReceived)
	// The order is the same in every run, and so are the lost datagrams.
	slices.SortFunc(probes, func(a, b Probe) int { return cmp.Compare(a.Address, b.Address) })
	for _, probe := range probes {
		c.probes++
		if m := c.answeringMember(w, probe.Address); m != nil {
			w.prober.HandleAnswer(c.now, probe.Sequence, m.incarnation)
		}
	}
	w.naive.tick(c, w, w.targets)
	if hasChanged || hasRefuted {
		w.verdicts++
		value, _ := proto.Marshal(w.prober.Verdict())
		c.broadcast(w.simMember, &wire.Record{Kind: wire.Record_KIND_VERDICT, Key: w.Name, Major: w.incarnation, Minor: w.verdicts, Value: value})
	}
	c.countFalseAlarms(w)
}

// receivesFromAny reports whether the watcher has a working link to another balancer.
func (c *cluster) receivesFromAny(w *simWatcher) bool {
	for _, other := range c.watchers {
		if other != w && !other.isDown && !other.isFrozen && !c.isPartitioned(other.simMember, w.simMember) {
			return true
		}
	}
	return false
}

func (c *cluster) answeringMember(w *simWatcher, address string) *simMember {
	m := c.byAddress[address]
	if m.isDown || m.isFrozen || c.isPartitioned(w.simMember, m) || c.isLost() || c.isLost() {
		return nil
	}
	return m
}

func (c *cluster) countFalseAlarms(w *simWatcher) {
	for _, m := range c.members {
		if m.isDown || m.isFrozen || c.isPartitioned(w.simMember, m) {
			continue
		}
		if w.table.IsDown(m.Kind, m.Name) {
			c.falseAlarms++
		}
		if w.naive.down[m.Name] {
			c.naiveFalseAlarms++
		}
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.tick()
	}
}

// timeUntil runs until the condition is met at every live watcher, for at most a minute,
// and returns how long that took.
func (c *cluster) timeUntil(isMet func(w *simWatcher) bool) time.Duration {
	started := c.now
	for c.now.Sub(started) < time.Minute {
		if c.everyWatcher(isMet) {
			break
		}
		c.tick()
	}
	return c.now.Sub(started)
}

func (c *cluster) everyWatcher(isMet func(w *simWatcher) bool) bool {
	for _, w := range c.watchers {
		if !w.isDown && !w.isFrozen && !isMet(w) {
			return false
		}
	}
	return true
}

// seesActualState reports whether a watcher considers exactly those endpoints down that
// are down, frozen or partitioned from it.
func (c *cluster) seesActualState(w *simWatcher) bool {
	for _, m := range c.members {
		isUnavailable := m.isDown || m.isFrozen || c.isPartitioned(w.simMember, m)
		if m.Kind == wire.Record_KIND_ENDPOINT && w.table.IsDown(m.Kind, m.Name) != isUnavailable {
			return false
		}
	}
	return true
}

// naiveWatcher is a failure detector for comparison that relies on its own probes alone:
// a member that has not answered three probes in a row, one per second, is down, and any
// answer from its address means that it is up.
type naiveWatcher struct {
	probedAt time.Time
	answered map[string]time.Time
	down     map[string]bool
}

func newNaiveWatcher() *naiveWatcher {
	return &naiveWatcher{answered: make(map[string]time.Time), down: make(map[string]bool)}
}

func (n *naiveWatcher) tick(c *cluster, w *simWatcher, targets []Target) {
	if c.now.Sub(n.probedAt) < probeInterval {
		return
	}
	n.probedAt = c.now
	for _, target := range targets {
		if _, ok := n.answered[target.Name]; !ok {
			n.answered[target.Name] = c.now
		}
		n.down[target.Name] = c.now.Sub(n.answered[target.Name]) >= 3*probeInterval
		if c.answeringMember(w, target.Address) != nil {
			n.answered[target.Name] = c.now
		}
	}
}

// newFleet returns the records of the agents and of one balancer for every five.
func newFleet(agents int) []*wire.Record {
	var batch []*wire.Record
	for i := range agents + agents/5 {
		m := &simMember{Member: Member{Kind: wire.Record_KIND_ENDPOINT, Name: fmt.Sprintf("agent-%d", i)}, zone: fmt.Sprintf("zone-%d", i%7), incarnation: 1}
		if i >= agents {
			m.Member = Member{Kind: wire.Record_KIND_BALANCER, Name: fmt.Sprintf("balancer-%d", i-agents)}
		}
		batch = append(batch, m.record())
	}
	return batch
}
