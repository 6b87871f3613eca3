package route

import (
	"encoding/binary"
	"net/netip"

	"sassafrasturn.example/internal/rendezvous"
)

// MaxCandidates is how many agents a new flow may be offered to.
const MaxCandidates = 4

// Endpoint is an endpoint as a balancer sees it.
type Endpoint struct {
	Instance string
	// Agent is the envelope address of the agent beside it; IPv4.
	Agent netip.AddrPort
	Zone  uint8
}

// Candidates is an ordered list of agents.
type Candidates struct {
	agents [MaxCandidates]netip.AddrPort
	count  int
}

// All returns the agents in order.
func (c *Candidates) All() []netip.AddrPort {
	return c.agents[:c.count]
}

// ChooseCandidates orders the endpoints for a new flow by rendezvous hashing of
// its connection ID and returns the first few. Every balancer with the same
// endpoints gets the same order, and one that knows of one endpoint more or
// less gets nearly the same.
func ChooseCandidates(id []byte, endpoints []Endpoint) Candidates {
	var chosen Candidates
	var scores [MaxCandidates]uint64
	seed := hashID(id)
	for i := range endpoints {
		score := rendezvousScore(seed, endpoints[i].Agent)
		at := chosen.count
		for at > 0 && scores[at-1] < score {
			at--
		}
		if at == MaxCandidates {
			continue
		}
		chosen.count = min(chosen.count+1, MaxCandidates)
		copy(scores[at+1:], scores[at:])
		copy(chosen.agents[at+1:], chosen.agents[at:])
		scores[at], chosen.agents[at] = score, endpoints[i].Agent
	}
	return chosen
}

// hashID is FNV-1a over the ID; every balancer must get the same value.
func hashID(id []byte) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for _, b := range id {
		hash = (hash ^ uint64(b)) * prime
	}
	return hash
}

func rendezvousScore(seed uint64, agent netip.AddrPort) uint64 {
	address := agent.Addr().As4()
	key := uint64(binary.BigEndian.Uint32(address[:]))<<16 | uint64(agent.Port())
	return rendezvous.Score(seed, rendezvous.Mix(key))
}
