package diverter

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/steerer"
)

func opening(n int) steerer.Packet {
	return steerer.Packet{
		Flow:  steerer.Flow{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, 1}), uint16(n+1))},
		Flags: steerer.SYN,
	}
}

func TestHeldPacketsComeBackNewestFirst(t *testing.T) {
	is := is.New(t)
	h := &holder{}
	for n := range 3 {
		is.True(h.hold(time.Duration(n)*time.Millisecond, opening(n), []byte{byte(n)}))
	}
	due, expired := h.take(5 * time.Millisecond)
	is.Equal(len(expired), 0)
	is.Equal([]byte{due[0].packet[0], due[1].packet[0], due[2].packet[0]}, []byte{2, 1, 0})
	due, _ = h.take(6 * time.Millisecond)
	is.Equal(len(due), 0) // nothing waits any more
}

func TestCopiesKeepTheirPlaceAndTheLastOneIsSent(t *testing.T) {
	is := is.New(t)
	h := &holder{}
	is.True(h.hold(0, opening(1), []byte{0}))
	is.True(h.hold(200*time.Millisecond, opening(1), []byte{1}))
	due, _ := h.take(time.Second)
	is.Equal(len(due), 1)
	is.Equal(due[0].packet, []byte{1})
	h.keep(due[0])
	due, expired := h.take(time.Second + 2*replayEvery)
	is.Equal(len(due), 0)
	is.Equal(len(expired), 1) // a second after the first copy
}

func TestHeldPacketsAreBounded(t *testing.T) {
	is := is.New(t)
	h := &holder{}
	for n := range heldPackets {
		is.True(h.hold(0, opening(n), []byte{0}))
	}
	is.True(!h.hold(0, opening(heldPackets), []byte{0}))
	is.True(h.hold(0, opening(1), []byte{0})) // a copy takes no room
}
