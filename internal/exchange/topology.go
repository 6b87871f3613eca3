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
	// minLinksWithoutSeeds is from how many links on the seeds are not needed.
	minLinksWithoutSeeds = 3
	// seedGracePeriod is how long there must be enough links before a seed is let go.
	seedGracePeriod = 5 * time.Second
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
	openedAt  time.Time
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

	known       []Peer
	retryAt     map[string]time.Time
	enoughSince time.Time
	rotatedAt   time.Time
}

// setPeers sets which peers are known, without the instance itself.
func (t *topology) setPeers(peers []Peer) {
	t.known = slices.DeleteFunc(peers, func(p Peer) bool { return p.Instance == t.self.Instance })
	sort.Slice(t.known, func(a, b int) bool { return ringPosition(t.known[a]) < ringPosition(t.known[b]) })
}

func ringPosition(peer Peer) uint64 {
	return rendezvous.Hash(peer.Instance)
}

// recordFailure notes that an address could not be reached.
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

// plan is one decision in the making.
type plan struct {
	*topology
	now   time.Time
	links []linkState
	// byInstance and byAddress hold the links that stand.
	byInstance map[string]bool
	byAddress  map[string]bool
	// selected are the instances that links are to lead to.
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

// addPeer wants a link to the peer and dials it where there is none.
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

// selectRankedPeers reaches the first balancers in the agent's own order that answer.
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

// selectRingSuccessors reaches the next instances on the ring that answer.
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

// selectRandomPeers keeps the random links that stand and adds what is missing. Once
// every rotationInterval it takes one more and lets go of the oldest.
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

// addRandomPeer dials a random known instance that there is no link to. Those
// believed dead are among them: a part that was cut off is found again so.
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

// planSeeds dials a seed while links are few, and lets go of it after there
// have been enough for a while.
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

// hasEnoughLinks counts the links that stand and do not lead to a seed.
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

func (p *plan) dialSeed(seed string) {
	if !p.byAddress[seed] && p.canDial(p.now, seed) && !slices.Contains(p.dial, seed) {
		p.dial = append(p.dial, seed)
	}
}

// dialRandomSeed dials one seed at a time, chosen at random.
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

// dropDuplicates closes the second of two links that both ends dialed: of the two
// names the higher one lets go of its own.
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
