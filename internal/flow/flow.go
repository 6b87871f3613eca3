// Package flow decides about flows of the opaque mode, whose packets carry no
// connection ID: which agent a packet is offered to, which new flows an agent
// takes, and which agent a later packet belongs to.
//
// All decisions are pure: time is passed in, as the time since the start of the
// process by the steady clock.
package flow

import (
	"net/netip"

	"sassafrasturn.example/internal/rendezvous"
	"sassafrasturn.example/internal/routing"
)

// Header is what the system reads of a packet.
type Header struct {
	Source, Destination netip.AddrPort
	// Seq numbers the first byte of data, or the SYN, that the sender sends.
	Seq uint32
	// Ack is the next number that the sender expects from the other end.
	Ack uint32
	// Attempt counts the copies of a SYN, from 0.
	Attempt int
	// Length is the size of the data in bytes.
	Length int

	IsSYN, IsACK, IsFIN, IsRST bool
	// IsBounced: the endpoint has returned the packet of another sender.
	IsBounced bool
}

// Key is a flow: the caller's end and the dialed one.
type Key struct {
	Caller, Dialed netip.AddrPort
}

// KeyFromCaller returns the flow of a packet that a caller sent.
func (h *Header) KeyFromCaller() Key {
	return Key{Caller: h.Source, Dialed: h.Destination}
}

// KeyFromEndpoint returns the flow of a packet that an endpoint sent.
func (h *Header) KeyFromEndpoint() Key {
	return Key{Caller: h.Destination, Dialed: h.Source}
}

// Hash is the same on every instance.
func (k Key) Hash() uint64 {
	caller := uint64(routing.AddressNumber(k.Caller.Addr()))<<16 | uint64(k.Caller.Port())
	dialed := uint64(routing.AddressNumber(k.Dialed.Addr()))<<16 | uint64(k.Dialed.Port())
	return rendezvous.Mix(rendezvous.Mix(caller) ^ dialed)
}

// Codec reads and writes packets in the format of a platform.
type Codec interface {
	// Parse reads a header; it reports false for what is no packet.
	Parse(packet []byte) (Header, bool)
	// ClearMarks gives a packet back the form in which its sender sent it.
	ClearMarks(packet []byte)
	// AppendReset appends a packet that resets a flow: it seems to come from the
	// dialed end, and seq is the next number that the caller expects.
	AppendReset(to []byte, flow Key, seq uint32) []byte
}

// String gives the flow as log lines name it.
func (k Key) String() string {
	return k.Caller.String() + ">" + k.Dialed.String()
}
