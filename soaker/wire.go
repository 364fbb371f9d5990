package soaker

import (
	"encoding/binary"
	"net/netip"
)

// The soak's own side of the packets that flows are made of: a header of 32 bytes, as
// the platform's ends write it, and for targets eight bytes with an identity before it.
const (
	headSize   = 32 // bytes
	prefixSize = 8  // bytes
	flagACK    = 1
	flagSYN    = 2
	flagRST    = 16
	flagFIN    = 128
)

// packet is one packet of a flow.
type packet struct {
	label    uint32
	seq, ack uint32
	src, dst netip.AddrPort
	flags    byte
	data     []byte
}

func (p packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	binary.BigEndian.PutUint32(b, p.label)
	binary.BigEndian.PutUint16(b[4:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[6:], p.seq)
	binary.BigEndian.PutUint32(b[10:], p.ack)
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[14:], dst[:])
	binary.BigEndian.PutUint16(b[18:], p.src.Port())
	copy(b[20:], src[:])
	binary.BigEndian.PutUint16(b[24:], p.dst.Port())
	b[30] = p.flags
	return append(b, p.data...)
}

func decode(b []byte) (packet, bool) {
	if len(b) < headSize || len(b) != headSize+int(binary.BigEndian.Uint16(b[4:])) {
		return packet{}, false
	}
	at := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
	}
	return packet{
		label: binary.BigEndian.Uint32(b), seq: binary.BigEndian.Uint32(b[6:]), ack: binary.BigEndian.Uint32(b[10:]),
		src: at(20, 18), dst: at(14, 24), flags: b[30], data: b[headSize:],
	}, true
}
