// Package rendezvous implements rendezvous hashing: all instances with the same names
// rank them identically for a key, and adding or removing one name changes few
// rankings.
package rendezvous

import "hash/fnv"

// Hash returns a hash of a string that is the same on every instance.
func Hash(text string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(text))
	return Mix(hash.Sum64())
}

// Mix is the finalizer of splitmix64. It spreads every input bit over the result, which
// FNV does poorly for the last bytes of its input.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Score returns the score of a name for a key, given the hashes of both.
func Score(key, name uint64) uint64 {
	return Mix(key ^ name)
}

// Rank returns the n names with the highest scores for a key, in descending order.
func Rank(key string, names []string, n int) []string {
	best := NewTopK(make([]string, n), make([]uint64, n))
	hash := Hash(key)
	for _, name := range names {
		best.Add(name, Score(hash, Hash(name)))
	}
	return best.Items()
}
