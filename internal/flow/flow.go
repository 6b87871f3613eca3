// Package flow makes the flow decisions of the opaque mode, whose packets carry no
// connection ID: which agents a packet is offered to, which new flows an agent
// accepts, and which agent owns the flow of a later packet.
//
// All decisions are pure: time is passed in, as the time since the start of the
// process by the monotonic clock.
package flow

import (
	"net/netip"

	"sassafrasturn.example/internal/rendezvous"
	"sassafrasturn.example/internal/routing"
)

// Header holds the packet fields that routing decisions use.
type Header struct {
	Source, Destination netip.AddrPort
	// Seq is the sequence number of the first byte of data, or of the SYN.
	Seq uint32
	// Ack is the next sequence number that the sender expects from the other end.
	Ack uint32
	// Attempt numbers the transmissions of a SYN, from 0.
	Attempt int
	// Length is the size of the payload in bytes.
	Length int

	IsSYN, IsACK, IsFIN, IsRST bool
	// IsBounced is set if the endpoint has returned a caller's packet instead of
	// accepting it.
	IsBounced bool
}

// Key identifies a flow by the caller's address and the dialed address.
type Key struct {
	Caller, Dialed netip.AddrPort
}

// KeyFromCaller returns the flow of a packet sent by a caller.
func (h *Header) KeyFromCaller() Key {
	return Key{Caller: h.Source, Dialed: h.Destination}
}

// KeyFromEndpoint returns the flow of a packet sent by an endpoint.
func (h *Header) KeyFromEndpoint() Key {
	return Key{Caller: h.Destination, Dialed: h.Source}
}

// Hash returns a hash that is the same on every instance.
func (k Key) Hash() uint64 {
	caller := uint64(routing.AddressNumber(k.Caller.Addr()))<<16 | uint64(k.Caller.Port())
	dialed := uint64(routing.AddressNumber(k.Dialed.Addr()))<<16 | uint64(k.Dialed.Port())
	return rendezvous.Mix(rendezvous.Mix(caller) ^ dialed)
}

// Codec reads and writes packets in the format of a platform.
type Codec interface {
	// Parse reads a header. It returns false if the data is not a valid packet.
	Parse(packet []byte) (Header, bool)
	// ClearMarks restores a packet to the form in which its sender sent it.
	ClearMarks(packet []byte)
	// AppendReset appends a packet that resets a flow. Its source is the dialed
	// address, and seq is the next sequence number that the caller expects.
	AppendReset(to []byte, flow Key, seq uint32) []byte
}

// String returns the flow in the form used in log lines.
func (k Key) String() string {
	return k.Caller.String() + ">" + k.Dialed.String()
}
