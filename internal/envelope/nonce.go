package envelope

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
)

// nonceSource generates nonces that never repeat under one key. A nonce is a random
// prefix of 8 bytes and a counter of 4 bytes. The prefix is drawn at the first use
// and again each time the counter wraps.
type nonceSource struct {
	mu      sync.Mutex
	prefix  [8]byte
	counter uint32
}

// next writes the next nonce.
func (s *nonceSource) next(nonce []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counter == 0 {
		// Read never returns an error; it crashes the process if the system's random
		// source fails.
		_, _ = rand.Read(s.prefix[:])
	}
	s.counter++
	copy(nonce, s.prefix[:])
	binary.BigEndian.PutUint32(nonce[len(s.prefix):], s.counter)
}
