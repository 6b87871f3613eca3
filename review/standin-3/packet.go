package main

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// The header of a packet, as PROTOCOL.md states it.
const (
	headerBytes = 32

	flagSYN     = 1
	flagACK     = 4
	flagBounced = 8
	flagFIN     = 64
	flagRST     = 128
)

// sumKey is the key of the checksum, which the system does not know.
const sumKey = "stand-in"

// packet is a packet of a flow.
type packet struct {
	src, dst netip.AddrPort
	seq, ack uint32
	flags    byte
	sum      uint32
	data     []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode returns the packet as its sender writes it, with its checksum.
func (p *packet) encode() []byte {
	b := make([]byte, headerBytes+len(p.data))
	binary.BigEndian.PutUint32(b[8:], p.seq)
	binary.BigEndian.PutUint32(b[12:], p.ack)
	binary.BigEndian.PutUint16(b[16:], p.dst.Port())
	binary.BigEndian.PutUint16(b[18:], p.src.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[20:], dst[:])
	copy(b[24:], src[:])
	binary.BigEndian.PutUint16(b[28:], uint16(len(p.data)))
	b[30] = p.flags
	copy(b[headerBytes:], p.data)
	binary.BigEndian.PutUint32(b[4:], checksum(b))
	return b
}

// checksum covers all but echo, sum, pad and the bounced flag.
func checksum(b []byte) uint32 {
	h := fnv.New32a()
	h.Write([]byte(sumKey))
	h.Write(b[8:30])
	h.Write([]byte{b[30] &^ flagBounced})
	h.Write(b[headerBytes:])
	return h.Sum32()
}

// decode reads a packet. isGenuine reports whether its checksum is right.
func decode(b []byte) (p packet, isGenuine bool, err error) {
	if len(b) < headerBytes || int(binary.BigEndian.Uint16(b[28:])) != len(b)-headerBytes {
		return packet{}, false, fmt.Errorf("found %d bytes that are no packet", len(b))
	}
	p = packet{
		dst: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[20:24])), binary.BigEndian.Uint16(b[16:])),
		src: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[24:28])), binary.BigEndian.Uint16(b[18:])),
		seq: binary.BigEndian.Uint32(b[8:]), ack: binary.BigEndian.Uint32(b[12:]),
		flags: b[30], sum: binary.BigEndian.Uint32(b[4:]), data: append([]byte(nil), b[headerBytes:]...),
	}
	return p, p.sum == checksum(b), nil
}

// asBounced returns the bytes of a packet that a server returns to the system.
func asBounced(b []byte) []byte {
	bounced := append([]byte(nil), b...)
	bounced[30] |= flagBounced
	bounced[31] = 0
	return bounced
}
