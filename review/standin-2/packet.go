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

	headerBytes = 32
)

// packet is a packet as PROTOCOL.md describes it.
type packet struct {
	src, dst netip.AddrPort
	seq, ack uint32
	sum      uint32
	flags    byte
	data     []byte
}

// sumKey is the key of the sum over the fields, which the system does not know.
const sumKey = "key of the stand-ins"

func (p *packet) marshal() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	binary.BigEndian.PutUint32(b[8:], p.seq)
	binary.BigEndian.PutUint32(b[12:], p.ack)
	binary.BigEndian.PutUint16(b[16:], p.dst.Port())
	binary.BigEndian.PutUint16(b[18:], p.src.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[20:], dst[:])
	copy(b[24:], src[:])
	binary.BigEndian.PutUint16(b[28:], uint16(len(p.data)))
	b[30] = p.flags
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[4:], sumOf(b))
	return b
}

// sumOf returns the sum over all fields but echo, sum, pad and the bounced flag.
func sumOf(b []byte) uint32 {
	hash := crc32.NewIEEE()
	hash.Write([]byte(sumKey))
	hash.Write(b[8:30])
	hash.Write([]byte{b[30] &^ flagBounced})
	hash.Write(b[headerBytes:])
	return hash.Sum32() | 1
}

// parse returns a packet and whether its sender wrote it so. A reset of the system has sum 0.
func parse(b []byte) (p packet, isSound bool) {
	if len(b) < headerBytes || int(binary.BigEndian.Uint16(b[28:])) != len(b)-headerBytes {
		return p, false
	}
	p = packet{
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[24:28])), binary.BigEndian.Uint16(b[18:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[20:24])), binary.BigEndian.Uint16(b[16:])),
		seq:   binary.BigEndian.Uint32(b[8:]),
		ack:   binary.BigEndian.Uint32(b[12:]),
		sum:   binary.BigEndian.Uint32(b[4:]),
		flags: b[30],
		data:  append([]byte(nil), b[headerBytes:]...),
	}
	return p, p.sum == sumOf(b)
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// flowKey identifies a flow by the caller's end and the address of the route.
type flowKey struct{ client, route netip.AddrPort }
