package route

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
	"sort"
)

// MaxCandidates is how many agents a new flow may be offered to.
const MaxCandidates = 4

// Endpoint is an endpoint as a balancer sees it.
type Endpoint struct {
	Instance string
	// Agent is the envelope address of the agent beside it.
	Agent netip.AddrPort
	Zone  uint8
}

type scored struct {
	score    uint64
	endpoint *Endpoint
}

// Candidates orders the endpoints for a new flow by rendezvous hashing of its
// connection ID and returns the first few. Every balancer with the same
// endpoints gets the same order, and one that knows of one endpoint more or
// less gets nearly the same.
func Candidates(id []byte, endpoints []Endpoint) []*Endpoint {
	best := make([]scored, 0, MaxCandidates+1)
	for i := range endpoints {
		score := rendezvousScore(id, endpoints[i].Agent)
		if len(best) == MaxCandidates && score <= best[MaxCandidates-1].score {
			continue
		}
		best = append(best, scored{score: score, endpoint: &endpoints[i]})
		sort.SliceStable(best, func(a, b int) bool { return best[a].score > best[b].score })
		if len(best) > MaxCandidates {
			best = best[:MaxCandidates]
		}
	}
	result := make([]*Endpoint, len(best))
	for i := range best {
		result[i] = best[i].endpoint
	}
	return result
}

func rendezvousScore(id []byte, agent netip.AddrPort) uint64 {
	hash := fnv.New64a()
	hash.Write(id)
	address := agent.Addr().As4()
	hash.Write(address[:])
	var port [2]byte
	binary.BigEndian.PutUint16(port[:], agent.Port())
	hash.Write(port[:])
	return mix(hash.Sum64())
}

// mix is the finalizer of splitmix64; it spreads the low entropy of FNV's last bytes.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
