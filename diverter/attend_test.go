package diverter

import (
	"net"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/steerer"
)

// handClock stands still until it is moved.
type handClock struct {
	mu    sync.Mutex
	now   time.Time
	ticks chan time.Time
}

func (c *handClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *handClock) Ticker(time.Duration) (<-chan time.Time, func()) {
	return c.ticks, func() {}
}

// move puts the clock forward and lets the door's ticker tick once.
func (c *handClock) move(d time.Duration) {
	c.mu.Lock()
	c.now = c.now.Add(d)
	c.mu.Unlock()
	select {
	case c.ticks <- c.Now():
	default: // the tick before has not been taken yet
	}
}

// byteCodec has packets of one byte, the caller's port; answers are "refused".
type byteCodec struct{ caller netip.AddrPort }

var service = netip.MustParseAddrPort("198.18.0.1:443")

func (c byteCodec) Decode(b []byte) (steerer.Packet, error) {
	flow := steerer.Flow{Caller: netip.AddrPortFrom(c.caller.Addr(), uint16(b[0])), Service: service}
	return steerer.Packet{Flow: flow, Flags: steerer.SYN}, nil
}
func (byteCodec) PutTargetIdentity([]byte, uint64)                        {}
func (byteCodec) Headroom() int                                 { return 0 }
func (byteCodec) PutLabel([]byte, steerer.Label)                   {}
func (byteCodec) AppendReset(b []byte, _ steerer.Packet) []byte      { return append(b, "refused"...) }
func (c byteCodec) CallerAddress(steerer.Packet) netip.AddrPort { return c.caller }

type doorTest struct {
	clock  *handClock
	door   *Listener
	caller *net.UDPConn
	target *net.UDPConn
}

func loopback(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func newDoorTest(t *testing.T) *doorTest {
	t.Helper()
	d := &doorTest{clock: &handClock{now: time.Unix(0, 0), ticks: make(chan time.Time, 1)}, caller: loopback(t), target: loopback(t)}
	codec := byteCodec{caller: d.caller.LocalAddr().(*net.UDPAddr).AddrPort()}
	var err error
	d.door, err = Listen(netip.MustParseAddrPort("127.0.0.1:0"), codec, d.clock, d.clock.now)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.door.Close() })
	return d
}

func (d *doorTest) ask(t *testing.T) {
	t.Helper()
	if _, err := d.caller.WriteTo([]byte{7}, d.door.Addr()); err != nil {
		t.Fatal(err)
	}
	for d.door.Counters().Held.Load() == 0 {
		runtime.Gosched()
	}
}

func (d *doorTest) view() *steerer.View {
	routes := []steerer.Route{{Address: service, Timeout: 10 * time.Second, Shares: []steerer.Share{{Pool: "p", Weight: 1}}}}
	at := d.target.LocalAddr().(*net.UDPAddr).AddrPort()
	targets := []steerer.Target{{Identity: 1, Incarnation: 1, Endpoint: at, Pool: "p", Slots: 1, AcceptsNewFlows: true}}
	return steerer.NewView(1, "dc1", routes, targets)
}

func read(t *testing.T, conn *net.UDPConn) string {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 100)
	n, err := conn.Read(b)
	if err != nil {
		t.Fatal(err)
	}
	return string(b[:n])
}

// The only caller waits while the instance learns; nobody else's packet comes by to have
// its packet looked at again.
func TestWhatWaitsGoesOutWithTheViewThatItWaitedFor(t *testing.T) {
	is := is.New(t)
	d := newDoorTest(t)
	d.ask(t)
	d.door.SetView(d.view())
	is.Equal(read(t, d.target), "\x07")
}

func TestWhatWaitsTooLongIsRefusedWithoutFurtherTraffic(t *testing.T) {
	is := is.New(t)
	d := newDoorTest(t)
	d.ask(t)
	d.clock.move(holdFor / 2)
	is.Equal(d.door.Counters().Refused.Load(), uint64(0))
	d.clock.move(holdFor)
	is.Equal(read(t, d.caller), "refused")
}
