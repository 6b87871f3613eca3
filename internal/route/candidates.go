package route

import (
	"encoding/binary"
	"net/netip"

	"sassafrasturn.example/internal/rendezvous"
)

// MaxCandidates is the maximum number of agents to which a balancer offers a new flow.
const MaxCandidates = 4

// Endpoint describes an endpoint in a View.
type Endpoint struct {
	Instance string
	// Agent is the IPv4 address at which the endpoint's agent receives envelopes.
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

// ChooseCandidates orders the endpoints for a new flow by rendezvous hashing of its
// connection ID and returns the first MaxCandidates. All balancers with the same
// endpoints compute the same order, and adding or removing one endpoint changes the
// order little.
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

// hashID returns the FNV-1a hash of the ID. It must be the same on all balancers.
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
