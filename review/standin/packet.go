package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet.
const (
	flagSYN     = 1
	flagACK     = 4
	flagBounced = 8
	flagFIN     = 64
	flagRST     = 128
)

const headerBytes = 32

// packet is a packet of a flow as PROTOCOL.md describes it.
type packet struct {
	src, dst netip.AddrPort
	seq, ack uint32
	flags    byte
	data     []byte
	// sum is the keyed sum, 0 in a reset of the system's own.
	sum uint32
}

// flowKey identifies a flow by the client's address and the address that it dials.
type flowKey struct{ client, dialed netip.AddrPort }

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// sumKey is known only to clients and servers.
var sumKey = []byte("a key that the system does not know")

// keyedSum covers all fields except echo, pad and the bounced flag.
func keyedSum(raw []byte) uint32 {
	covered := append([]byte(nil), raw...)
	clear(covered[:8])
	covered[30] &^= flagBounced
	covered[31] = 0
	sum := crc32.ChecksumIEEE(append(covered, sumKey...))
	return max(sum, 1)
}

func (p *packet) marshal() []byte {
	raw := make([]byte, headerBytes, headerBytes+len(p.data))
	binary.BigEndian.PutUint32(raw[8:], p.seq)
	binary.BigEndian.PutUint32(raw[12:], p.ack)
	binary.BigEndian.PutUint16(raw[16:], p.dst.Port())
	binary.BigEndian.PutUint16(raw[18:], p.src.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(raw[20:], dst[:])
	copy(raw[24:], src[:])
	binary.BigEndian.PutUint16(raw[28:], uint16(len(p.data)))
	raw[30] = p.flags
	raw = append(raw, p.data...)
	binary.BigEndian.PutUint32(raw[4:], keyedSum(raw))
	return raw
}

// parse reads a packet. isGenuine is false if no client or server has written it so.
func parse(raw []byte) (p packet, isGenuine, ok bool) {
	if len(raw) < headerBytes || int(binary.BigEndian.Uint16(raw[28:])) != len(raw)-headerBytes {
		return packet{}, false, false
	}
	address := func(addr, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[addr:addr+4])), binary.BigEndian.Uint16(raw[port:]))
	}
	p = packet{
		src: address(24, 18), dst: address(20, 16),
		seq: binary.BigEndian.Uint32(raw[8:]), ack: binary.BigEndian.Uint32(raw[12:]),
		flags: raw[30], data: append([]byte(nil), raw[headerBytes:]...), sum: binary.BigEndian.Uint32(raw[4:]),
	}
	return p, p.sum == keyedSum(raw), true
}

// bounced returns a packet as a server returns it that does not accept it.
func bounced(raw []byte) []byte {
	returned := append([]byte(nil), raw...)
	returned[30] |= flagBounced
	returned[31] = 0
	return returned
}
