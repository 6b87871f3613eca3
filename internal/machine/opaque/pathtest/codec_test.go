// Package pathtest tests the path of packets in the opaque mode through balancers
// and agents to endpoints and back, over an in-memory network and in virtual time.
package pathtest

import (
	"encoding/binary"
	"net/netip"

	"sassafrasturn.example/internal/flow"
)

// codec is a packet format for these tests: flags, the attempt number of a SYN, the
// source and destination, the sequence and acknowledgement numbers, and the data.
type codec struct{}

const (
	flagSYN = 1 << iota
	flagACK
	flagFIN
	flagRST
	flagBounced

	codecHeaderBytes = 22
)

func encode(h *flow.Header, data []byte) []byte {
	flags := byte(0)
	for _, f := range []struct {
		isSet bool
		flag  byte
	}{{h.IsSYN, flagSYN}, {h.IsACK, flagACK}, {h.IsFIN, flagFIN}, {h.IsRST, flagRST}, {h.IsBounced, flagBounced}} {
		if f.isSet {
			flags |= f.flag
		}
	}
	packet := []byte{flags, byte(h.Attempt)}
	for _, end := range []netip.AddrPort{h.Source, h.Destination} {
		ip := end.Addr().As4()
		packet = append(packet, ip[:]...)
		packet = binary.BigEndian.AppendUint16(packet, end.Port())
	}
	packet = binary.BigEndian.AppendUint32(packet, h.Seq)
	packet = binary.BigEndian.AppendUint32(packet, h.Ack)
	return append(packet, data...)
}

// Parse decodes the header of a packet.
func (codec) Parse(packet []byte) (flow.Header, bool) {
	if len(packet) < codecHeaderBytes {
		return flow.Header{}, false
	}
	address := func(at int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(packet[at:at+4])), binary.BigEndian.Uint16(packet[at+4:]))
	}
	flags := packet[0]
	return flow.Header{
		Attempt: int(packet[1]), Source: address(2), Destination: address(8),
		Seq: binary.BigEndian.Uint32(packet[14:]), Ack: binary.BigEndian.Uint32(packet[18:]),
		Length: len(packet) - codecHeaderBytes,
		IsSYN:  flags&flagSYN != 0, IsACK: flags&flagACK != 0, IsFIN: flags&flagFIN != 0,
		IsRST: flags&flagRST != 0, IsBounced: flags&flagBounced != 0,
	}, true
}

// ClearMarks removes the mark that an endpoint bounced the packet.
func (codec) ClearMarks(packet []byte) { packet[0] &^= flagBounced }

// AppendReset appends a reset of a flow.
func (codec) AppendReset(to []byte, key flow.Key, seq uint32) []byte {
	return append(to, encode(&flow.Header{Source: key.Dialed, Destination: key.Caller, Seq: seq, IsRST: true}, nil)...)
}
