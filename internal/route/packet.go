// Package route decides where a balancer sends a caller's datagram. It does no
// I/O and keeps no state about flows.
package route

import "sassafrasturn.example/internal/token"

// Invariant fields of QUIC packets, RFC 8999.
const (
	longHeaderBit     = 0x80
	fixedBit          = 0x40
	longHeaderIDStart = 6
	maxIDBytes        = 20

	// minInitialBytes is the least size of a datagram that opens a flow, RFC 9000 section 14.1.
	minInitialBytes = 1200
	// minNewIDBytes is the least length of an ID that a caller may choose, RFC 9000 section 7.2.
	minNewIDBytes = 8
)

// Packet is what a balancer reads of a QUIC packet.
type Packet struct {
	// IsLong tells a long header from a short one.
	IsLong bool
	// IsInitial is true for packets that may open a flow.
	IsInitial bool
	// Destination is the destination connection ID.
	Destination []byte
}

// ParsePacket reads the first packet of a datagram. It reports false for what
// cannot be QUIC.
func ParsePacket(datagram []byte) (Packet, bool) {
	if len(datagram) == 0 {
		return Packet{}, false
	}
	if datagram[0]&longHeaderBit != 0 {
		return parseLong(datagram)
	}
	if datagram[0]&fixedBit == 0 || len(datagram) < 1+token.ConnectionIDBytes {
		return Packet{}, false
	}
	return Packet{Destination: datagram[1 : 1+token.ConnectionIDBytes]}, true
}

func parseLong(datagram []byte) (Packet, bool) {
	if len(datagram) < longHeaderIDStart {
		return Packet{}, false
	}
	length := int(datagram[longHeaderIDStart-1])
	end := longHeaderIDStart + length
	if length > maxIDBytes || len(datagram) < end {
		return Packet{}, false
	}
	isInitial := len(datagram) >= minInitialBytes && length >= minNewIDBytes
	return Packet{IsLong: true, IsInitial: isInitial, Destination: datagram[longHeaderIDStart:end]}, true
}
