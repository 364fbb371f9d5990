package diverter

import (
	"encoding/binary"
	"net/netip"
	"runtime"
	"sync"
	"testing"

	"github.com/matryer/is"

	"almondpick/steerer"
)

// portCodec decodes packets of three bytes: the caller's port, and the flags.
type portCodec struct{ oneByteCodec }

func (c portCodec) Decode(b []byte) (steerer.Packet, error) {
	flow := steerer.Flow{Caller: netip.AddrPortFrom(c.caller.Addr(), binary.BigEndian.Uint16(b)), Service: service}
	return steerer.Packet{Flow: flow, Flags: steerer.Flags(b[2]), Label: steerer.LabelOf(1)}, nil
}

// A request may end just while a held SYN is being decided about again. The SYN must be decided about
// once more at once; with the clock of the test standing still, no tick ever brings it up.
func TestRequestThatEndsDuringARetryIsNoticed(t *testing.T) {
	is := is.New(t)
	lt := newListenerTestWithCodec(t, func(caller netip.AddrPort) Codec { return portCodec{oneByteCodec{caller: caller}} })
	lt.listener.SetView(lt.view())
	l, held := lt.listener, &lt.listener.Counters().Held
	handle := func(port uint16, flags steerer.Flags) {
		l.handlePacket(l.now(), append(binary.BigEndian.AppendUint16(nil, port), byte(flags)), nil)
	}
	next := uint16(1)
	for ; held.Load() == 0; next++ { // until the pool is full
		handle(next, steerer.SYN)
	}
	inProgress := next - 2
	for range inProgress {
		readPacket(t, lt.target)
	}
	oldest := uint16(1)
	for range 3000 {
		var both sync.WaitGroup
		both.Go(func() { handle(oldest, steerer.FIN) })
		both.Go(func() {
			l.mu.Lock()
			l.queue.retryNow()
			l.mu.Unlock()
			l.retryHeldPackets(l.now())
		})
		both.Wait()
		for range 2 { // the FIN, and the SYN that was held
			readPacket(t, lt.target)
		}
		oldest++
		before := held.Load()
		handle(next, steerer.SYN)
		next++
		for held.Load() == before {
			runtime.Gosched()
		}
	}
	is.Equal(lt.listener.PoolLoads()[0].InProgress, int(inProgress))
}
