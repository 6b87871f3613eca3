package membership

import (
	"slices"

	"sassafrasturn.example/internal/rendezvous"
	"sassafrasturn.example/internal/wire"
)

// WatchersPerMember is the number of balancers that probe each member. They are chosen
// from as many availability zones as possible.
const WatchersPerMember = 3

// Target is a member to probe.
type Target struct {
	Member
	Zone string
	// Address is the envelope address in its packed form.
	Address string
	// Major and Minor are the version of the member's record: its incarnation and
	// sequence.
	Major, Minor uint64
}

// candidate is a balancer that may be chosen as a watcher.
type candidate struct {
	name string
	// zone is the index of the candidate's availability zone, from 0 to candidates.zones-1.
	zone int
	hash uint64
}

// candidates are all balancers that may be chosen as watchers.
type candidates struct {
	list  []candidate
	zones int
}

// Targets returns the members that this instance has to probe, and the generation of the
// table from which they were computed.
func (t *Table) Targets() ([]Target, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.candidates()
	best := make([]scoredCandidate, all.zones)
	var targets []Target
	for member, state := range t.members {
		if state.isRemoved || member.Name == t.self || !slices.Contains(all.watchersOf(member, best), t.self) {
			continue
		}
		targets = append(targets, Target{Member: member, Zone: state.zone, Address: state.address, Major: state.major, Minor: state.minor})
	}
	return targets, t.generation
}

// Generation returns a number that changes whenever the result of Targets may have
// changed.
func (t *Table) Generation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.generation
}

// Version returns the newest version of a member's record, or false if the member is
// unknown.
func (t *Table) Version(member Member) (major, minor uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.members[member]
	if state == nil {
		return 0, 0, false
	}
	return state.major, state.minor, true
}

func (t *Table) candidates() *candidates {
	all := new(candidates)
	zones := make(map[string]int)
	for member, state := range t.members {
		if member.Kind != wire.Record_KIND_BALANCER || t.down[member] && member.Name != t.self {
			continue
		}
		zone, ok := zones[state.zone]
		if !ok {
			zone = len(zones)
			zones[state.zone] = zone
		}
		all.list = append(all.list, candidate{name: member.Name, zone: zone, hash: rendezvous.Hash(member.Name)})
	}
	all.zones = len(zones)
	return all
}

type scoredCandidate struct {
	*candidate
	score uint64
}

// watchersOf returns the watchers of a member. It chooses them by rendezvous hashing,
// first the best candidates of the zones, then the best of all, so that the loss of one
// balancer changes few choices. perZone is scratch space for one candidate of each zone.
func (all *candidates) watchersOf(member Member, perZone []scoredCandidate) []string {
	seed := rendezvous.Hash(member.Name)
	clear(perZone)
	var best []scoredCandidate
	for i := range all.list {
		c := &all.list[i]
		if c.name == member.Name {
			continue
		}
		scored := scoredCandidate{candidate: c, score: rendezvous.Score(seed, c.hash)}
		best = insertByScore(best, scored)
		if perZone[c.zone].candidate == nil || scored.score > perZone[c.zone].score {
			perZone[c.zone] = scored
		}
	}
	var chosen []scoredCandidate
	for _, scored := range perZone {
		if scored.candidate != nil {
			chosen = insertByScore(chosen, scored)
		}
	}
	names := make([]string, 0, WatchersPerMember)
	for _, scored := range append(chosen, best...) {
		if len(names) < WatchersPerMember && !slices.Contains(names, scored.name) {
			names = append(names, scored.name)
		}
	}
	return names
}

// insertByScore inserts a candidate into a list that is sorted by descending score and
// limited to WatchersPerMember.
func insertByScore(list []scoredCandidate, scored scoredCandidate) []scoredCandidate {
	if len(list) == WatchersPerMember && scored.score <= list[len(list)-1].score {
		return list
	}
	at := len(list)
	for at > 0 && list[at-1].score < scored.score {
		at--
	}
	list = append(list, scoredCandidate{})
	copy(list[at+1:], list[at:])
	list[at] = scored
	return list[:min(len(list), WatchersPerMember)]
}
