package parser

import (
	"testing"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/matryer/is"
)

// FuzzInner compares ParseInner with gopacket: of every accepted packet in which gopacket
// finds a TCP or UDP header, both must decode the same ports, sequence number and SYN. No
// input may cause a panic.
func FuzzInner(f *testing.F) {
	tcp := []byte{0x45, 0, 0, 40, 0, 0, 0, 0, 64, 6, 0, 0, 198, 51, 100, 1, 192, 0, 2, 1, 1, 2, 3, 4, 0, 0, 0, 7, 0, 0, 0, 0, 0x50, 2, 0, 0, 0, 0, 0, 0}
	f.Add(tcp, true)
	fragment := append([]byte(nil), tcp...)
	fragment[7] = 1
	f.Add(fragment, true)
	v6 := append([]byte{0x60, 0, 0, 0, 0, 8, 17, 64}, make([]byte, 40)...)
	v6[45] = 8
	f.Add(v6, false)
	f.Fuzz(func(t *testing.T, b []byte, isIPv4 bool) {
		etherType, firstLayer := EtherTypeIPv6, layers.LayerTypeIPv6
		if isIPv4 {
			etherType, firstLayer = EtherTypeIPv4, layers.LayerTypeIPv4
		}
		p, fault := ParseInner(b, etherType)
		if fault != FaultNone {
			return
		}
		decoded := gopacket.NewPacket(b, firstLayer, gopacket.DecodeOptions{NoCopy: true})
		if tcp, ok := decoded.Layer(layers.LayerTypeTCP).(*layers.TCP); ok {
			if uint16(tcp.SrcPort) != p.Key.CallerPort || tcp.Seq != p.TCPSequence || (tcp.SYN && !tcp.ACK) != p.SYN {
				t.Fatalf("ParseInner returned %+v, gopacket decoded %+v", p, tcp)
			}
		}
		if udp, ok := decoded.Layer(layers.LayerTypeUDP).(*layers.UDP); ok && uint16(udp.DstPort) != p.Key.ServicePort {
			t.Fatalf("ParseInner returned %+v, gopacket decoded %+v", p, udp)
		}
	})
}

// FuzzGeneve checks that ParseGeneve splits every accepted datagram without losing bytes
// and that FindOption does not panic on any options.
func FuzzGeneve(f *testing.F) {
	f.Add(AppendGeneve(nil, true, EtherTypeNone, 7, GeneveOption{Class: 1, Type: 2, Data: make([]byte, 8)}))
	f.Add([]byte{0xff, 0xff, 8, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		g, fault := ParseGeneve(b)
		if fault == FaultNone && len(g.Options)+len(g.Payload)+GeneveHeaderSize != len(b) {
			t.Fatal("header, options and payload do not add up to the datagram size")
		}
		FindOption(g.Options, 0xffff, 0xff)
	})
}

func TestFaults(t *testing.T) {
	is := is.New(t)
	valid := []byte{0x45, 0, 0, 40, 0, 0, 0, 0, 64, 6, 0, 0, 198, 51, 100, 1, 192, 0, 2, 1, 1, 2, 3, 4, 0, 0, 0, 7, 0, 0, 0, 0, 0x50, 2, 0, 0, 0, 0, 0, 0}
	_, fault := ParseInner(valid, EtherTypeIPv4)
	is.Equal(fault, FaultNone)
	for n := range valid {
		_, fault := ParseInner(valid[:n], EtherTypeIPv4)
		is.True(fault != FaultNone) // a packet truncated at any byte is rejected
	}
	change := func(at int, to byte) Fault {
		b := append([]byte(nil), valid...)
		b[at] = to
		_, fault := ParseInner(b, EtherTypeIPv4)
		return fault
	}
	is.Equal(change(6, 0x20), FaultFragment)
	is.Equal(change(0, 0x41), FaultHeaderLength)
	is.Equal(change(0, 0x65), FaultAddressFamily)
	is.Equal(change(9, 50), FaultTransport)
	is.Equal(change(32, 0x10), FaultHeaderLength)
	is.Equal(change(33, 0x03), FaultTCPFlags)
	_, fault = ParseGeneve([]byte{0x01, 0x40, 8, 0, 0, 0, 0, 0, 1, 2, 0x80, 0})
	is.Equal(fault, FaultCriticalOption)
	is.Equal(fault.Name(), "critical-option")
}
