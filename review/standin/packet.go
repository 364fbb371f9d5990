package main

import (
	"encoding/binary"
	"net"
)

// Flags of a packet.
const (
	flagACK = 1
	flagSYN = 2
	flagRST = 16
	flagFIN = 128
)

const headSize = 32

// packet is a packet of a flow as both ends write it.
type packet struct {
	echo         uint32
	seq, ack     uint32
	src, dst     [4]byte
	sport, dport uint16
	sum          uint32
	flags        byte
	data         []byte
}

func ip4(text string) [4]byte { return [4]byte(net.ParseIP(text).To4()) }

func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.echo)
	binary.BigEndian.PutUint16(b[4:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[6:], p.seq)
	binary.BigEndian.PutUint32(b[10:], p.ack)
	copy(b[14:], p.dst[:])
	binary.BigEndian.PutUint16(b[18:], p.sport)
	copy(b[20:], p.src[:])
	binary.BigEndian.PutUint16(b[24:], p.dport)
	binary.BigEndian.PutUint32(b[26:], p.sum)
	b[30] = p.flags
	return append(b, p.data...)
}

func decode(b []byte) (packet, bool) {
	if len(b) < headSize || len(b) != headSize+int(binary.BigEndian.Uint16(b[4:])) {
		return packet{}, false
	}
	p := packet{
		echo: binary.BigEndian.Uint32(b[0:]), seq: binary.BigEndian.Uint32(b[6:]), ack: binary.BigEndian.Uint32(b[10:]),
		dst: [4]byte(b[14:18]), sport: binary.BigEndian.Uint16(b[18:]), src: [4]byte(b[20:24]), dport: binary.BigEndian.Uint16(b[24:]),
		sum: binary.BigEndian.Uint32(b[26:]), flags: b[30], data: append([]byte(nil), b[headSize:]...),
	}
	return p, true
}

// seal is the sum that the two ends write: anything but 0, which marks a reset of the system.
const seal = 0x5ea1
