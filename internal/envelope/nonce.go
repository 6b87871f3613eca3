package envelope

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
)

// nonceSource gives nonces that never repeat under one key: 8 random bytes,
// drawn at the first use and again whenever the counter of 4 bytes is used up.
type nonceSource struct {
	mu      sync.Mutex
	prefix  [8]byte
	counter uint32
}

// next writes a nonce.
func (s *nonceSource) next(nonce []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counter == 0 {
		// Read never fails; it ends the process where the system has no randomness.
		_, _ = rand.Read(s.prefix[:])
	}
	s.counter++
	copy(nonce, s.prefix[:])
	binary.BigEndian.PutUint32(nonce[len(s.prefix):], s.counter)
}
