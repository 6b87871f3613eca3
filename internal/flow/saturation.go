package flow

import "time"

// Saturation tells a rush from a sustained overload at an endpoint whose slots are taken.
//
// After an outage or in a short burst, a caller that is reset tries again at once, finds
// the same agents busy, and has used up its attempts within milliseconds, although slots
// become free soon. If its SYN is dropped instead, the next transmission, 200 or 400 ms
// later, probably finds one. In an overload that lasts, it would not, and the caller is
// better told at once.
type Saturation struct {
	freeAt time.Duration
}

// Observe records the requests in flight at an endpoint with a number of slots.
func (s *Saturation) Observe(now time.Duration, inFlight, slots int) {
	if inFlight < slots {
		s.freeAt = now
	}
}

// IsSustained reports whether no slot has been free for longer than a caller's attempt,
// in which it sends its SYN three times.
func (s *Saturation) IsSustained(now time.Duration) bool {
	return now-s.freeAt > handshakeTimeout
}
