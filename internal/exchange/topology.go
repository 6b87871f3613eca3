package exchange

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"sassafrasturn.example/internal/rendezvous"
)

const (
	// ringLinks is the number of successors on the ring that an instance dials.
	// The ring connects all live instances, whichever others have failed.
	ringLinks = 1
	// randomLinks is the number of further instances that it dials at random.
	// These links keep the number of hops low and reconnect the parts of a
	// partitioned network.
	randomLinks = 2
	// agentLinks is the number of balancers that an agent keeps links to.
	agentLinks = 2
	// minLinksWithoutSeeds is the number of other links from which links to
	// seeds are unnecessary.
	minLinksWithoutSeeds = 3
	// seedGracePeriod is how long there must be enough other links before links
	// to seeds are closed.
	seedGracePeriod = 5 * time.Second
	// rotationInterval is the time between replacements of a random link by another.
	rotationInterval = time.Minute
	// retryInterval is the time between attempts to dial an address that failed.
	retryInterval = 5 * time.Second
	// seedRetryInterval is the time between attempts to dial a seed that failed.
	seedRetryInterval = 500 * time.Millisecond
)

// Peer is an instance that can be dialed.
type Peer struct {
	// Instance is the name of the instance.
	Instance string
	// Address is its link address, host and port.
	Address string
}

// linkState is the state of a link that the topology decides on.
type linkState struct {
	id int
	// instance is empty until the hello of the peer was received.
	instance string
	// address is the address that was dialed; empty for an accepted link.
	address   string
	isPartial bool
	openedAt  time.Time
}

// topology decides which links an instance opens and closes. It is a pure state
// machine: the caller supplies time and randomness.
type topology struct {
	self Peer
	// seeds are the configured addresses.
	seeds []string
	// isPartial is true for an agent, which forwards no records of other instances.
	isPartial bool
	// keepsSeeds is true for an instance that keeps links to its seeds permanently.
	keepsSeeds bool
	random     *rand.Rand

	// known are the peers in ring order.
	known []Peer
	// retryAt is when an address that failed may be dialed again.
	retryAt map[string]time.Time
	// enoughSince is when there began to be enough links without seeds, or zero
	// while there are not enough.
	enoughSince time.Time
	// rotatedAt is when a random link was last replaced.
	rotatedAt time.Time
}

// setPeers replaces the known peers. The instance itself is removed from them.
func (t *topology) setPeers(peers []Peer) {
	t.known = slices.DeleteFunc(peers, func(p Peer) bool { return p.Instance == t.self.Instance })
	sort.Slice(t.known, func(a, b int) bool { return ringPosition(t.known[a]) < ringPosition(t.known[b]) })
}

func ringPosition(peer Peer) uint64 {
	return rendezvous.Hash(peer.Instance)
}

// recordFailure delays the next attempt to dial an address after a failed
// attempt or the end of a link.
func (t *topology) recordFailure(now time.Time, address string) {
	wait := retryInterval
	if slices.Contains(t.seeds, address) {
		wait = seedRetryInterval
	}
	if t.retryAt == nil {
		t.retryAt = make(map[string]time.Time)
	}
	t.retryAt[address] = now.Add(wait)
}

func (t *topology) canDial(now time.Time, address string) bool {
	return address != "" && address != t.self.Address && !now.Before(t.retryAt[address])
}

// plan returns the addresses to dial and the IDs of the links to close.
func (t *topology) plan(now time.Time, links []linkState) (dial []string, drop []int) {
	for address, at := range t.retryAt {
		if now.Sub(at) > retryInterval {
			delete(t.retryAt, address)
		}
	}
	p := newPlan(t, now, links)
	if t.isPartial {
		p.selectRankedPeers()
	} else {
		p.selectRingSuccessors()
		p.selectRandomPeers()
	}
	p.planSeeds()
	p.dropDuplicates()
	return p.dial, p.drop
}

// plan is the state of a single topology decision.
type plan struct {
	*topology
	now   time.Time
	links []linkState
	// byInstance and byAddress contain the peers and the dialed addresses of the
	// current links.
	byInstance map[string]bool
	byAddress  map[string]bool
	// selected are the instances to be linked to.
	selected map[string]bool
	dial     []string
	drop     []int
}

func newPlan(t *topology, now time.Time, links []linkState) *plan {
	p := &plan{topology: t, now: now, links: links, byInstance: make(map[string]bool), byAddress: make(map[string]bool), selected: make(map[string]bool)}
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

// addPeer selects the peer and dials it unless there is a link to it. It
// reports false when the peer cannot be dialed now.
func (p *plan) addPeer(peer Peer) bool {
	if !p.isLinked(peer) {
		if !p.canDial(p.now, peer.Address) || slices.Contains(p.dial, peer.Address) {
			return false
		}
		p.dial = append(p.dial, peer.Address)
	}
	p.selected[peer.Instance] = true
	return true
}

// selectRankedPeers selects the first balancers in the rendezvous order of the
// agent that are linked or can be dialed.
func (p *plan) selectRankedPeers() {
	byName := make(map[string]Peer, len(p.known))
	names := make([]string, len(p.known))
	for i, peer := range p.known {
		byName[peer.Instance] = peer
		names[i] = peer.Instance
	}
	for _, name := range rendezvous.Rank(p.self.Instance, names, len(names)) {
		if len(p.selected) == agentLinks {
			return
		}
		p.addPeer(byName[name])
	}
}

// selectRingSuccessors selects the next instances on the ring that are linked
// or can be dialed.
func (p *plan) selectRingSuccessors() {
	position := ringPosition(p.self)
	start := sort.Search(len(p.known), func(i int) bool { return ringPosition(p.known[i]) > position })
	for i := range p.known {
		if len(p.selected) == ringLinks {
			return
		}
		p.addPeer(p.known[(start+i)%len(p.known)])
	}
}

// selectRandomPeers keeps the newest randomLinks dialed links that are not
// selected yet, closes older ones and dials random peers for missing ones. Once
// per rotationInterval it dials one more, so that the oldest link is replaced.
func (p *plan) selectRandomPeers() {
	var current []linkState
	for _, l := range p.links {
		if l.address != "" && l.instance != "" && !p.selected[l.instance] && p.isKnown(l.instance) {
			current = append(current, l)
		}
	}
	sort.Slice(current, func(a, b int) bool { return current[a].openedAt.After(current[b].openedAt) })
	for i, l := range current {
		if i < randomLinks {
			p.selected[l.instance] = true
		} else {
			p.drop = append(p.drop, l.id)
		}
	}
	missing := randomLinks - len(current)
	if p.startRotationIfDue() {
		missing = max(missing, 1)
	}
	for range missing {
		p.addRandomPeer()
	}
}

// startRotationIfDue reports whether a random link is to be replaced now, and
// if so starts the next rotationInterval.
func (p *plan) startRotationIfDue() bool {
	if p.now.Sub(p.rotatedAt) < rotationInterval {
		return false
	}
	p.rotatedAt = p.now
	return true
}

func (p *plan) isKnown(instance string) bool {
	return slices.ContainsFunc(p.known, func(peer Peer) bool { return peer.Instance == instance })
}

// addRandomPeer dials a random known instance that there is no link to.
// Instances considered failed are included, so that a part of the network that
// was partitioned off is found again.
func (p *plan) addRandomPeer() {
	var candidates []Peer
	for _, peer := range p.known {
		if !p.isLinked(peer) && p.canDial(p.now, peer.Address) && !slices.Contains(p.dial, peer.Address) {
			candidates = append(candidates, peer)
		}
	}
	if len(candidates) > 0 {
		p.addPeer(candidates[p.random.IntN(len(candidates))])
	}
}

// planSeeds dials a seed while there are too few other links. It closes the
// links to seeds after there have been enough others for seedGracePeriod.
func (p *plan) planSeeds() {
	if p.keepsSeeds {
		for _, seed := range p.seeds {
			p.dialSeed(seed)
		}
		return
	}
	if !p.hasEnoughLinks() {
		p.enoughSince = time.Time{}
		p.dialRandomSeed()
		return
	}
	if p.enoughSince.IsZero() {
		p.enoughSince = p.now
	}
	if p.now.Sub(p.enoughSince) < seedGracePeriod {
		return
	}
	for _, l := range p.links {
		if slices.Contains(p.seeds, l.address) && !p.selected[l.instance] {
			p.drop = append(p.drop, l.id)
		}
	}
}

// hasEnoughLinks reports whether links to seeds are unnecessary. It counts the
// established links that are neither to agents nor to unselected seeds.
func (p *plan) hasEnoughLinks() bool {
	count := 0
	for _, l := range p.links {
		isSeed := slices.Contains(p.seeds, l.address) && !p.selected[l.instance]
		if l.instance != "" && !l.isPartial && !isSeed {
			count++
		}
	}
	if p.isPartial {
		return count >= agentLinks
	}
	return count >= minLinksWithoutSeeds
}

// dialSeed dials a seed unless there is a link to it.
func (p *plan) dialSeed(seed string) {
	if !p.byAddress[seed] && p.canDial(p.now, seed) && !slices.Contains(p.dial, seed) {
		p.dial = append(p.dial, seed)
	}
}

// dialRandomSeed dials a random seed. An agent, or an instance with one seed,
// has at most one link to a seed.
func (p *plan) dialRandomSeed() {
	var candidates []string
	for _, seed := range p.seeds {
		if p.byAddress[seed] && !p.isPartial && len(p.seeds) > 1 {
			continue
		}
		if p.byAddress[seed] {
			return
		}
		if p.canDial(p.now, seed) {
			candidates = append(candidates, seed)
		}
	}
	if len(candidates) > 0 {
		p.dialSeed(candidates[p.random.IntN(len(candidates))])
	}
}

// dropDuplicates closes one of two links between the same instances that both
// have dialed. The instance with the higher name closes the link that it dialed.
func (p *plan) dropDuplicates() {
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
