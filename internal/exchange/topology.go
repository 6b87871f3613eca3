package exchange

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"sassafrasturn.example/internal/rendezvous"
)

const (
	// ringLinks is to how many successors on the ring an instance dials; the
	// ring connects all that live, whoever is gone.
	ringLinks = 1
	// randomLinks is to how many others it dials, chosen at random; they keep
	// the number of hops low and bring cut parts together again.
	randomLinks = 2
	// agentLinks is how many balancers an agent keeps links to.
	agentLinks = 2
	// enoughLinks is from how many links on the seeds are not needed.
	enoughLinks = 3
	// seedLinger is how long there must be enough links before a seed is let go.
	seedLinger = 5 * time.Second
	// rotationInterval separates exchanges of one random link for another.
	rotationInterval = time.Minute
	// retryInterval separates attempts to reach an address that failed.
	retryInterval = 5 * time.Second
	// seedRetryInterval separates attempts to reach a seed that failed.
	seedRetryInterval = 500 * time.Millisecond
)

// Peer is an instance that a link can lead to.
type Peer struct {
	Instance string
	Address  string
}

// linkState is a link as the topology sees it.
type linkState struct {
	id int
	// instance is empty until the peer has introduced itself.
	instance string
	// address was dialed; empty for an accepted link.
	address   string
	isPartial bool
	since     time.Time
}

// topology decides which links an instance dials and lets go of. It is a pure
// state machine: time and randomness are passed in.
type topology struct {
	self Peer
	// seeds are the configured addresses.
	seeds []string
	// isPartial marks an agent: it serves no other instance's records.
	isPartial bool
	// keepsSeeds marks an instance that always keeps links to its seeds.
	keepsSeeds bool
	random     *rand.Rand

	known     []Peer
	retryAt   map[string]time.Time
	enoughAt  time.Time
	rotatedAt time.Time
}

// learn sets which peers are known, without the instance itself.
func (t *topology) learn(peers []Peer) {
	t.known = slices.DeleteFunc(peers, func(p Peer) bool { return p.Instance == t.self.Instance })
	sort.Slice(t.known, func(a, b int) bool { return ringPosition(t.known[a]) < ringPosition(t.known[b]) })
}

func ringPosition(peer Peer) uint64 {
	return rendezvous.Hash(peer.Instance)
}

// fail notes that an address could not be reached.
func (t *topology) fail(now time.Time, address string) {
	wait := retryInterval
	if slices.Contains(t.seeds, address) {
		wait = seedRetryInterval
	}
	if t.retryAt == nil {
		t.retryAt = make(map[string]time.Time)
	}
	t.retryAt[address] = now.Add(wait)
}

func (t *topology) mayDial(now time.Time, address string) bool {
	return address != "" && address != t.self.Address && !now.Before(t.retryAt[address])
}

// plan returns the addresses to dial and the IDs of the links to close.
func (t *topology) plan(now time.Time, links []linkState) (dial []string, drop []int) {
	for address, at := range t.retryAt {
		if now.Sub(at) > retryInterval {
			delete(t.retryAt, address)
		}
	}
	state := newPlan(t, now, links)
	if t.isPartial {
		state.wantRanked()
	} else {
		state.wantRing()
		state.wantRandom()
	}
	state.useSeeds()
	state.dropDoubles()
	return state.dial, state.drop
}

// plan is one decision in the making.
type plan struct {
	*topology
	now   time.Time
	links []linkState
	// byInstance and byAddress hold the links that stand.
	byInstance map[string]bool
	byAddress  map[string]bool
	// wanted are the instances that links are to lead to.
	wanted map[string]bool
	dial   []string
	drop   []int
}

func newPlan(t *topology, now time.Time, links []linkState) *plan {
	p := &plan{topology: t, now: now, links: links, byInstance: make(map[string]bool), byAddress: make(map[string]bool), wanted: make(map[string]bool)}
	for _, l := range links {
		if l.instance != "" {
			p.byInstance[l.instance] = true
		}
		p.byAddress[l.address] = true
	}
	return p
}

func (p *plan) isLinked(peer Peer) bool {
	return p.byInstance[peer.Instance] || p.byAddress[peer.Address]
}

// reach wants a link to the peer and dials it where there is none.
func (p *plan) reach(peer Peer) bool {
	if !p.isLinked(peer) {
		if !p.mayDial(p.now, peer.Address) || slices.Contains(p.dial, peer.Address) {
			return false
		}
		p.dial = append(p.dial, peer.Address)
	}
	p.wanted[peer.Instance] = true
	return true
}

// wantRanked reaches the first balancers in the agent's own order that answer.
func (p *plan) wantRanked() {
	byName := make(map[string]Peer, len(p.known))
	names := make([]string, len(p.known))
	for i, peer := range p.known {
		byName[peer.Instance] = peer
		names[i] = peer.Instance
	}
	for _, name := range rendezvous.Rank(p.self.Instance, names, len(names)) {
		if len(p.wanted) == agentLinks {
			return
		}
		p.reach(byName[name])
	}
}

// wantRing reaches the next instances on the ring that answer.
func (p *plan) wantRing() {
	position := ringPosition(p.self)
	start := sort.Search(len(p.known), func(i int) bool { return ringPosition(p.known[i]) > position })
	for i := range p.known {
		if len(p.wanted) == ringLinks {
			return
		}
		p.reach(p.known[(start+i)%len(p.known)])
	}
}

// wantRandom keeps the random links that stand and adds what is missing. Once
// every rotationInterval it takes one more and lets go of the oldest.
func (p *plan) wantRandom() {
	var standing []linkState
	for _, l := range p.links {
		if l.address != "" && l.instance != "" && !p.wanted[l.instance] && p.isKnown(l.instance) {
			standing = append(standing, l)
		}
	}
	sort.Slice(standing, func(a, b int) bool { return standing[a].since.After(standing[b].since) })
	for i, l := range standing {
		if i < randomLinks {
			p.wanted[l.instance] = true
		} else {
			p.drop = append(p.drop, l.id)
		}
	}
	missing := randomLinks - len(standing)
	if p.isRotationDue() {
		missing = max(missing, 1)
	}
	for range missing {
		p.reachAny()
	}
}

func (p *plan) isRotationDue() bool {
	if p.now.Sub(p.rotatedAt) < rotationInterval {
		return false
	}
	p.rotatedAt = p.now
	return true
}

func (p *plan) isKnown(instance string) bool {
	return slices.ContainsFunc(p.known, func(peer Peer) bool { return peer.Instance == instance })
}

// reachAny dials a random known instance that there is no link to. Those
// believed dead are among them: a part that was cut off is found again so.
func (p *plan) reachAny() {
	var free []Peer
	for _, peer := range p.known {
		if !p.isLinked(peer) && p.mayDial(p.now, peer.Address) && !slices.Contains(p.dial, peer.Address) {
			free = append(free, peer)
		}
	}
	if len(free) > 0 {
		p.reach(free[p.random.IntN(len(free))])
	}
}

// useSeeds dials a seed while links are few, and lets go of it after there
// have been enough for a while.
func (p *plan) useSeeds() {
	if p.keepsSeeds {
		for _, seed := range p.seeds {
			p.reachSeed(seed)
		}
		return
	}
	if !p.hasEnough() {
		p.enoughAt = time.Time{}
		p.reachAnySeed()
		return
	}
	if p.enoughAt.IsZero() {
		p.enoughAt = p.now
	}
	if p.now.Sub(p.enoughAt) < seedLinger {
		return
	}
	for _, l := range p.links {
		if slices.Contains(p.seeds, l.address) && !p.wanted[l.instance] {
			p.drop = append(p.drop, l.id)
		}
	}
}

// hasEnough counts the links that stand and do not lead to a seed.
func (p *plan) hasEnough() bool {
	count := 0
	for _, l := range p.links {
		isSeed := slices.Contains(p.seeds, l.address) && !p.wanted[l.instance]
		if l.instance != "" && !l.isPartial && !isSeed {
			count++
		}
	}
	if p.isPartial {
		return count >= agentLinks
	}
	return count >= enoughLinks
}

func (p *plan) reachSeed(seed string) {
	if !p.byAddress[seed] && p.mayDial(p.now, seed) && !slices.Contains(p.dial, seed) {
		p.dial = append(p.dial, seed)
	}
}

// reachAnySeed dials one seed at a time, chosen at random.
func (p *plan) reachAnySeed() {
	var free []string
	for _, seed := range p.seeds {
		if p.byAddress[seed] && !p.isPartial && len(p.seeds) > 1 {
			continue
		}
		if p.byAddress[seed] {
			return
		}
		if p.mayDial(p.now, seed) {
			free = append(free, seed)
		}
	}
	if len(free) > 0 {
		p.reachSeed(free[p.random.IntN(len(free))])
	}
}

// dropDoubles closes the second of two links that both ends dialed: of the two
// names the higher one lets go of its own.
func (p *plan) dropDoubles() {
	accepted := make(map[string]bool)
	for _, l := range p.links {
		if l.address == "" {
			accepted[l.instance] = true
		}
	}
	for _, l := range p.links {
		if l.address != "" && l.instance != "" && accepted[l.instance] && p.self.Instance > l.instance {
			p.drop = append(p.drop, l.id)
		}
	}
}
