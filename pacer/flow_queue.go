package pacer

import (
	"net/netip"
	"slices"
	"time"

	"almondpick/steerer"
)

// Sizes in bytes.
const (
	headerBytes    = 28                      // IPv4 and UDP headers of a datagram
	maxPacketBytes = 1200 + 40 + headerBytes // payload, header with the target's identity
	// quantum is what a flow may send before the next one has its turn.
	quantum = maxPacketBytes
)

// Packet is a datagram to be sent, with what identifies a retransmission of it.
type Packet struct {
	Flow        steerer.Flow
	Flags       steerer.Flags
	Sequence    uint32 // sequence number of the first byte
	Ack         uint32 // acknowledgement number
	PayloadSize int    // bytes
	Data        []byte
	To          netip.AddrPort
	QueuedAt    time.Duration // when it was queued; set by Enqueue
}

// size returns the bytes that the packet takes on the link.
func (p *Packet) size() int { return len(p.Data) + headerBytes }

// sameAs reports whether p and o, which are of the same flow, are transmissions of one packet. Two
// packets that only acknowledge are the same if they acknowledge the same.
func (p *Packet) sameAs(o *Packet) bool {
	if p.Sequence != o.Sequence || p.PayloadSize != o.PayloadSize || p.Flags != o.Flags {
		return false
	}
	return p.PayloadSize > 0 || p.Flags != 0 || p.Ack == o.Ack
}

// flowQueue holds the queued packets of one flow, the oldest first.
type flowQueue struct {
	flow    steerer.Flow
	packets []Packet
	bytes   int // of the packets, with headers
	deficit int // bytes that the flow may still send in this turn; negative if it sent more
	history sentHistory
}

// replace puts the data of a packet in the place of an earlier transmission. It returns false
// if none is queued. The newer transmission may have another target or acknowledge more.
func (f *flowQueue) replace(packet Packet) bool {
	for i := range f.packets {
		queued := &f.packets[i]
		if !packet.sameAs(queued) || len(packet.Data) != len(queued.Data) {
			continue
		}
		copy(queued.Data, packet.Data)
		queued.Ack, queued.To = packet.Ack, packet.To
		return true
	}
	return false
}

func (f *flowQueue) push(packet Packet) {
	if packet.Flags&steerer.SYN != 0 {
		f.history = sentHistory{} // a new flow may use the sequence numbers of the last one
	}
	f.packets = append(f.packets, packet)
	f.bytes += packet.size()
}

func (f *flowQueue) pop(now time.Duration) Packet {
	packet := f.packets[0]
	f.history.add(now, packet)
	f.packets[0] = Packet{} // releases the data
	f.packets = f.packets[1:]
	f.bytes -= packet.size()
	f.deficit -= packet.size()
	return packet
}

// remove removes the packet at an index, which is not sent, and returns it.
func (f *flowQueue) remove(index int) Packet {
	packet := f.packets[index]
	f.packets = slices.Delete(f.packets, index, index+1)
	f.bytes -= packet.size()
	return packet
}

// maySend reports whether the flow has a packet and its turn has not ended.
func (f *flowQueue) maySend() bool { return len(f.packets) > 0 && f.deficit > 0 }

// addQuantum begins the next turn of the flow.
func (f *flowQueue) addQuantum() { f.deficit = min(f.deficit+quantum, quantum) }
