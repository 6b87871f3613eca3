// Package rendezvous chooses by rendezvous hashing: every instance that knows
// the same names ranks them alike for a key, and one name more or less changes
// few choices.
package rendezvous

import "hash/fnv"

// Hash returns a hash of a text that is the same on every instance.
func Hash(text string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(text))
	return Mix(hash.Sum64())
}

// Mix is the finalizer of splitmix64; it spreads the low entropy of FNV's last bytes.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Score returns how high a name ranks for a key, from the hashes of both.
func Score(key, name uint64) uint64 {
	return Mix(key ^ name)
}

// Rank orders names by their score for a key and returns the first n.
func Rank(key string, names []string, n int) []string {
	best := NewTopK(make([]string, n), make([]uint64, n))
	hash := Hash(key)
	for _, name := range names {
		best.Add(name, Score(hash, Hash(name)))
	}
	return best.Items()
}
