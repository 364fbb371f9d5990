package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Sizes and offsets of a packet, in bytes, as the users' protocol page gives them.
const (
	headerSize   = 32
	identitySize = 8 // before a packet to a server
)

// Bits of the flags byte.
const (
	flagACK = 1
	flagSYN = 2
	flagRST = 16
	flagFIN = 128
)

// packet is one packet of a flow.
type packet struct {
	echo     uint32
	seq, ack uint32
	src, dst netip.AddrPort
	flags    byte
	data     []byte
	sum      uint32
}

// sumKey is the secret that clients and servers share. The system does not know it.
const sumKey = "the two ends only"

// sumOf returns the keyed sum over all fields but the echo and the pad.
func (p packet) sumOf() uint32 {
	h := fnv.New32a()
	h.Write([]byte(sumKey))
	b := p.encodeWith(0)
	h.Write(b[4:26])
	h.Write(b[30:31])
	h.Write(p.data)
	return h.Sum32()
}

// encode returns the packet with its keyed sum.
func (p packet) encode() []byte { return p.encodeWith(p.sumOf()) }

func (p packet) encodeWith(sum uint32) []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.echo)
	binary.BigEndian.PutUint16(b[4:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[6:], p.seq)
	binary.BigEndian.PutUint32(b[10:], p.ack)
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[14:], dst[:])
	binary.BigEndian.PutUint16(b[18:], p.src.Port())
	copy(b[20:], src[:])
	binary.BigEndian.PutUint16(b[24:], p.dst.Port())
	binary.BigEndian.PutUint32(b[26:], sum)
	b[30] = p.flags
	return append(b, p.data...)
}

// decode returns the packet in b, or false if b is no packet.
func decode(b []byte) (packet, bool) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.BigEndian.Uint16(b[4:])) {
		return packet{}, false
	}
	return packet{
		echo: binary.BigEndian.Uint32(b[0:]),
		seq:  binary.BigEndian.Uint32(b[6:]), ack: binary.BigEndian.Uint32(b[10:]),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[14:18])), binary.BigEndian.Uint16(b[24:])),
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[20:24])), binary.BigEndian.Uint16(b[18:])),
		flags: b[30], sum: binary.BigEndian.Uint32(b[26:]), data: append([]byte(nil), b[headerSize:]...),
	}, true
}

// intact reports whether the packet is as its sender wrote it.
func (p packet) intact() bool { return p.sum == p.sumOf() }
