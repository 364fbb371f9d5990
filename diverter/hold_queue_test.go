package diverter

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/steerer"
)

func synPacket(n int) steerer.Packet {
	return steerer.Packet{
		Flow:  steerer.Flow{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, 1}), uint16(n+1))},
		Flags: steerer.SYN,
	}
}

func TestHeldPacketsAreRetriedNewestFirst(t *testing.T) {
	is := is.New(t)
	q := &holdQueue{}
	for n := range 3 {
		is.True(q.enqueue(time.Duration(n)*time.Millisecond, synPacket(n), []byte{byte(n)}))
	}
	due, expired := q.takeDue(5 * time.Millisecond)
	is.Equal(len(expired), 0)
	is.Equal([]byte{due[0].packet[0], due[1].packet[0], due[2].packet[0]}, []byte{2, 1, 0})
	due, _ = q.takeDue(6 * time.Millisecond)
	is.Equal(len(due), 0) // the queue is empty
}

func TestRetransmittedSYNReplacesPacketAndKeepsFirstReceiptTime(t *testing.T) {
	is := is.New(t)
	q := &holdQueue{}
	is.True(q.enqueue(0, synPacket(1), []byte{0}))
	is.True(q.enqueue(200*time.Millisecond, synPacket(1), []byte{1}))
	due, _ := q.takeDue(time.Second)
	is.Equal(len(due), 1)
	is.Equal(due[0].packet, []byte{1})
	q.requeue(due[0])
	due, expired := q.takeDue(time.Second + 2*retryInterval)
	is.Equal(len(due), 0)
	is.Equal(len(expired), 1) // held for over a second since the first transmission
}

func TestHoldQueueIsBounded(t *testing.T) {
	is := is.New(t)
	q := &holdQueue{}
	for n := range maxHeldPackets {
		is.True(q.enqueue(0, synPacket(n), []byte{0}))
	}
	is.True(!q.enqueue(0, synPacket(maxHeldPackets), []byte{0}))
	is.True(q.enqueue(0, synPacket(1), []byte{0})) // a retransmission replaces its packet
}
