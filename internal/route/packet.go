// Package route decides where a balancer forwards a caller's datagram. It does no I/O
// and keeps no state about flows.
package route

import "sassafrasturn.example/internal/token"

// Invariant fields of QUIC packets, RFC 8999.
const (
	longHeaderBit     = 0x80
	fixedBit          = 0x40
	longHeaderIDStart = 6
	maxIDBytes        = 20

	// minInitialBytes is the minimum size of a datagram that opens a flow, RFC 9000
	// section 14.1.
	minInitialBytes = 1200
	// minNewIDBytes is the minimum length of a connection ID chosen by a caller, RFC
	// 9000 section 7.2.
	minNewIDBytes = 8
)

// Packet holds the fields of a QUIC packet that a balancer uses.
type Packet struct {
	// IsLong is true for a long header and false for a short one.
	IsLong bool
	// IsInitial is true for packets that may open a flow.
	IsInitial bool
	// Destination is the destination connection ID.
	Destination []byte
}

// ParsePacket parses the first packet of a datagram. It returns false if the datagram
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
