// Package pacer decides when packets are sent on a link of limited rate. The link drops
// silently what exceeds its short queue, so the queue is kept here, where it is ordered: a
// token bucket limits the rate, and flows share it as in FQ-CoDel (RFC 8290), those with few
// packets first and the others by deficit round robin. A retransmission of a packet that is
// still queued, or that has just been sent, is dropped: otherwise queueing delay beyond the
// retransmission timeout of senders would fill the link with retransmissions.
//
// A Pacer has no socket, clock or goroutine, and is not safe for concurrent use. Parameters
// named now are times since any fixed moment.
package pacer

import (
	"slices"
	"time"

	"almondpick/steerer"
)

// Limits of the queue. The limit in bytes bounds the memory, the one in packets the time to find
// the longest flow.
const (
	maxQueuedBytes   = 1 << 20
	maxQueuedPackets = 2048
)

// Outcome says what became of a packet.
type Outcome uint8

// The outcomes.
const (
	Sent      Outcome = iota // the caller of Enqueue sends it now
	Queued                   // Next returns it later
	Duplicate                // its earlier transmission is still queued, or has just been sent
	Full                     // dropped, because the queue is full and its flow the longest
)

// Pacer holds the packets that wait for a link.
type Pacer struct {
	bucket   bucket
	flows    map[steerer.Flow]*flowQueue // those in newFlows and oldFlows
	newFlows []*flowQueue                // flows that have not used their first quantum
	oldFlows []*flowQueue
	bytes    int // of the queued packets, with headers
	packets  int
	onDrop   func(now time.Duration, packet Packet)
}

// Option configures a Pacer.
type Option func(*Pacer)

// WithDropCallback sets a function that is called for each packet that is dropped because
// the queue is full, whether it has just arrived or was queued.
func WithDropCallback(f func(now time.Duration, packet Packet)) Option {
	return func(p *Pacer) { p.onDrop = f }
}

// New returns a Pacer without packets for a link with the rate, in bits per second.
func New(rate int64, opts ...Option) *Pacer {
	p := &Pacer{bucket: newBucket(rate), flows: make(map[steerer.Flow]*flowQueue), onDrop: func(time.Duration, Packet) {}}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Enqueue decides about a packet. If the packet is queued the Pacer keeps a copy of its data.
func (p *Pacer) Enqueue(now time.Duration, packet Packet) Outcome {
	p.bucket.refill(now)
	if p.packets == 0 && p.bucket.wait(packet.size()) == 0 {
		p.bucket.take(packet.size())
		return Sent
	}
	f := p.flows[packet.Flow]
	if f == nil {
		f = &flowQueue{flow: packet.Flow, deficit: quantum}
		p.flows[packet.Flow] = f
		p.newFlows = append(p.newFlows, f)
	}
	if f.replace(packet) || f.history.takeRetransmission(now, packet) {
		return Duplicate
	}
	packet.Data, packet.QueuedAt = slices.Clone(packet.Data), now
	f.push(packet)
	p.packets++
	p.bytes += packet.size()
	return p.dropExcess(now, f)
}

// dropExcess drops packets until the queue is within its limits: each time the newest one of
// the flow with the most bytes. It returns Full if that was the last packet of newest, the flow
// to which a packet has just been added, and otherwise Queued.
func (p *Pacer) dropExcess(now time.Duration, newest *flowQueue) Outcome {
	outcome := Queued
	for p.packets > maxQueuedPackets || p.bytes > maxQueuedBytes {
		longest := p.longestFlow(newest)
		if longest == newest {
			outcome = Full
		}
		dropped := longest.remove(len(longest.packets) - 1)
		p.recordRemoval(longest, dropped)
		p.onDrop(now, dropped)
	}
	return outcome
}

// recordRemoval counts a packet that was removed from a flow without being sent, and removes the flow
// if it has no other.
func (p *Pacer) recordRemoval(f *flowQueue, packet Packet) {
	p.packets--
	p.bytes -= packet.size()
	if len(f.packets) == 0 {
		p.removeFlow(f)
	}
}

// longestFlow returns the flow with the most queued bytes, and first if others have as many.
func (p *Pacer) longestFlow(first *flowQueue) *flowQueue {
	longest := first
	for _, list := range [][]*flowQueue{p.newFlows, p.oldFlows} {
		for _, f := range list {
			if f.bytes > longest.bytes {
				longest = f
			}
		}
	}
	return longest
}

// Next returns the next packet if one is due. Otherwise it returns false and the time until one
// will be due, 0 if none is queued.
func (p *Pacer) Next(now time.Duration) (packet Packet, wait time.Duration, ok bool) {
	if p.packets == 0 {
		return Packet{}, 0, false
	}
	p.bucket.refill(now)
	f := p.nextFlow()
	if wait := p.bucket.wait(f.packets[0].size()); wait > 0 {
		return Packet{}, wait, false
	}
	packet = f.pop(now)
	p.bucket.take(packet.size())
	p.packets--
	p.bytes -= packet.size()
	p.clearIfEmpty()
	return packet, 0, true
}

// clearIfEmpty removes the flows if none of them has a packet.
func (p *Pacer) clearIfEmpty() {
	if p.packets == 0 {
		clear(p.flows)
		p.newFlows, p.oldFlows = nil, nil
	}
}

// nextFlow returns the flow whose packet is next. At least one packet must be queued.
func (p *Pacer) nextFlow() *flowQueue {
	for {
		if len(p.newFlows) > 0 {
			f := p.newFlows[0]
			if f.maySend() {
				return f
			}
			// An empty flow becomes an old one too, so that a flow cannot go first again and
			// again by sending each packet after the last has left. Old flows do not have their
			// turn while there are new ones, so the number of empty flows needs a limit.
			p.newFlows = p.newFlows[1:]
			if len(f.packets) == 0 && len(p.flows) > maxQueuedPackets {
				delete(p.flows, f.flow)
				continue
			}
			p.oldFlows = append(p.oldFlows, f)
			f.addQuantum()
			continue
		}
		f := p.oldFlows[0]
		if f.maySend() {
			return f
		}
		p.oldFlows = p.oldFlows[1:]
		if len(f.packets) == 0 {
			delete(p.flows, f.flow)
			continue
		}
		f.addQuantum()
		p.oldFlows = append(p.oldFlows, f)
	}
}

// removeFlow removes a flow that has no packets.
func (p *Pacer) removeFlow(f *flowQueue) {
	matches := func(o *flowQueue) bool { return o == f }
	p.newFlows = slices.DeleteFunc(p.newFlows, matches)
	p.oldFlows = slices.DeleteFunc(p.oldFlows, matches)
	delete(p.flows, f.flow)
}

// RemoveSYN removes the SYN of a flow if it is queued: the flow has been refused meanwhile. It
// reports whether there was one.
func (p *Pacer) RemoveSYN(flow steerer.Flow) bool {
	f := p.flows[flow]
	if f == nil {
		return false
	}
	i := slices.IndexFunc(f.packets, func(packet Packet) bool { return packet.Flags&steerer.SYN != 0 })
	if i < 0 {
		return false
	}
	p.recordRemoval(f, f.remove(i))
	p.clearIfEmpty()
	return true
}

// Charge counts a datagram of size bytes that is sent on the link without being paced. Packets
// are sent later for it.
func (p *Pacer) Charge(now time.Duration, size int) {
	p.bucket.refill(now)
	p.bucket.take(size + headerBytes)
}

// QueuedPackets returns the number of packets of the flow that are queued.
func (p *Pacer) QueuedPackets(flow steerer.Flow) int {
	if f := p.flows[flow]; f != nil {
		return len(f.packets)
	}
	return 0
}

// QueuedBytes returns the bytes of all queued packets, with their IP and UDP headers.
func (p *Pacer) QueuedBytes() int { return p.bytes }
