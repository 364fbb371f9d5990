// Package forwarder is the flow door. It reads Geneve packets from the fabric and
// from other instances in batches, has the picker decide, and sends each packet
// on: to its target, to another instance, or an answer back to the caller.
package forwarder

import (
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"

	"almondpick/messenger"
	"almondpick/picker"
)

// Sizes of the batches and buffers.
const (
	batchSize     = 64
	bufferSize    = 64 << 10 // bytes
	headroom      = 64       // bytes before the datagram, for a longer header
	socketBuffer  = 4 << 20  // bytes
	maxDefaultMTU = 65535    // bytes
)

// Clock gives the time and tickers.
type Clock interface {
	Now() time.Time
	Ticker(d time.Duration) (<-chan time.Time, func())
}

// Control takes in the datagrams that are not about flows.
type Control interface {
	Gossip(from string, body []byte) (bool, error)
}

// batchConn reads and writes several datagrams with one system call.
type batchConn interface {
	ReadBatch(ms []ipv4.Message, flags int) (int, error)
	WriteBatch(ms []ipv4.Message, flags int) (int, error)
}

// Forwarder is the flow door of one instance.
type Forwarder struct {
	name    string
	self    picker.MemberID
	clock   Clock
	start   time.Time
	keys    messenger.DerivedKeys
	control Control
	log     *slog.Logger
	mtu     int
	budget  float64 // bytes a second for exceptions

	flow     *net.UDPConn
	peer     *net.UDPConn
	flowConn batchConn
	peerConn batchConn
	pool     *ants.Pool

	mu     sync.Mutex // guards picker
	picker *picker.Picker

	peers      atomic.Pointer[peerTable]
	lastFabric atomic.Pointer[net.UDPAddr]
	counters   Counters
	done       chan struct{}
	loops      sync.WaitGroup
}

// peerTable maps members to the UDP addresses of their peer doors.
type peerTable struct {
	byID map[picker.MemberID]*net.UDPAddr
}

// Option sets a property of a new Forwarder.
type Option func(*Forwarder)

// WithLogger sets where events are logged.
func WithLogger(l *slog.Logger) Option {
	return func(f *Forwarder) { f.log = l }
}

// WithMTU sets the largest IP packet that the path to targets and instances
// carries, in bytes.
func WithMTU(n int) Option {
	return func(f *Forwarder) { f.mtu = n }
}

// WithBudget sets what the replication of exceptions may send, in bytes a second.
func WithBudget(n int) Option {
	return func(f *Forwarder) { f.budget = float64(n) }
}

// WithPicker sets the picker, for other limits than the default ones.
func WithPicker(p *picker.Picker) Option {
	return func(f *Forwarder) { f.picker = p }
}

// Listen opens the sockets of the flow and the peer door.
func Listen(flow, peer netip.AddrPort) (*net.UDPConn, *net.UDPConn, error) {
	a, err := listenUDP(flow)
	if err != nil {
		return nil, nil, eris.Wrap(err, "open flow door")
	}
	b, err := listenUDP(peer)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "open peer door (%v)", a.Close())
	}
	return a, b, nil
}

func listenUDP(at netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	// Best effort: a smaller buffer works, and loses more under bursts.
	_ = c.SetReadBuffer(socketBuffer)
	_ = c.SetWriteBuffer(socketBuffer)
	return c, nil
}

// New starts the flow door of the instance with the given name on two sockets,
// which it closes in the end.
func New(name string, flow, peer *net.UDPConn, clock Clock, keys messenger.DerivedKeys, control Control, opts ...Option) (*Forwarder, error) {
	f := &Forwarder{
		name:     name,
		self:     picker.NewMemberID(name),
		clock:    clock,
		start:    clock.Now(),
		keys:     keys,
		control:  control,
		log:      slog.New(slog.DiscardHandler),
		mtu:      maxDefaultMTU,
		budget:   defaultBudget,
		flow:     flow,
		peer:     peer,
		flowConn: batchOf(flow),
		peerConn: batchOf(peer),
		done:     make(chan struct{}),
	}
	for _, o := range opts {
		o(f)
	}
	if f.picker == nil {
		f.picker = picker.New(picker.WithSeed(keys.FlowHashSeed))
	}
	f.peers.Store(&peerTable{})
	pool, err := ants.NewPool(4, ants.WithNonblocking(true), ants.WithLogger(antsLogger{f.log}))
	if err != nil {
		return nil, eris.Wrap(err, "make pool")
	}
	f.pool = pool
	for _, loop := range []func(){f.readFlow, f.readPeer, f.keepHouse} {
		f.loops.Add(1)
		if err := pool.Submit(loop); err != nil {
			return nil, eris.Wrap(err, "start loop")
		}
	}
	return f, nil
}

type antsLogger struct{ log *slog.Logger }

// Printf implements ants.Logger.
func (l antsLogger) Printf(string, ...any) {
	l.log.Error("worker-failed")
}

func batchOf(c *net.UDPConn) batchConn {
	if a, ok := c.LocalAddr().(*net.UDPAddr); ok && a.IP.To4() == nil {
		return ipv6.NewPacketConn(c)
	}
	return ipv4.NewPacketConn(c)
}

// Close ends the loops, waits for them, and closes the sockets.
func (f *Forwarder) Close() error {
	close(f.done)
	err := f.flow.Close()
	err2 := f.peer.Close()
	f.loops.Wait()
	f.pool.Release()
	if err != nil {
		return eris.Wrap(err, "close flow door")
	}
	if err2 != nil {
		return eris.Wrap(err2, "close peer door")
	}
	return nil
}

func (f *Forwarder) now() time.Duration {
	return f.clock.Now().Sub(f.start)
}

// Datagram sends a sealed datagram from the peer door.
func (f *Forwarder) Datagram(to string, b []byte) {
	addr := f.resolve(to)
	if addr == nil {
		return
	}
	f.counters.ControlOut.Add(uint64(len(b)))
	if _, err := f.peer.WriteToUDP(b, addr); err != nil {
		f.counters.SendFailed.Add(1)
	}
}

func (f *Forwarder) resolve(to string) *net.UDPAddr {
	ap, err := netip.ParseAddrPort(to)
	if err != nil {
		return nil
	}
	return net.UDPAddrFromAddrPort(ap)
}

// Member is another instance with the address of its peer door.
type Member struct {
	picker.Member
	Name string
	Peer netip.AddrPort
}

// SetView puts a new view of members and services into use.
func (f *Forwarder) SetView(members []Member, serving bool, services []picker.Service) {
	table := &peerTable{byID: make(map[picker.MemberID]*net.UDPAddr)}
	var list []picker.Member
	for _, m := range members {
		if m.ID != f.self {
			table.byID[m.ID] = net.UDPAddrFromAddrPort(m.Peer)
		}
		if m.ID == f.self {
			m.Leaving = !serving
		}
		list = append(list, m.Member)
	}
	f.peers.Store(table)
	v := picker.NewView(f.self, list, services)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.picker.SetView(f.now(), v)
}

// Sizes returns the numbers of entries of the flow table.
func (f *Forwarder) Sizes() picker.Sizes {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.picker.Sizes()
}

// PickerCounters returns the running totals of the picker.
func (f *Forwarder) PickerCounters() picker.Counters {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.picker.Counters()
}

// Counters returns the running totals of the door.
func (f *Forwarder) Counters() *Counters {
	return &f.counters
}

// innerLimit is the size of the largest inner packet that fits into the path even
// when it is relayed, in bytes.
func (f *Forwarder) innerLimit() int {
	const outer = 40 + 8 // IPv6 and UDP headers
	return f.mtu - outer - messenger.RelayOverhead
}

// Imbalance returns the largest number of owned flows on a target over the mean,
// or 1 while there are none.
func (f *Forwarder) Imbalance() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	most, sum := 0, 0
	loads := f.picker.Loads()
	for _, n := range loads {
		most = max(most, n)
		sum += n
	}
	if sum == 0 {
		return 1
	}
	return float64(most) * float64(len(loads)) / float64(sum)
}
