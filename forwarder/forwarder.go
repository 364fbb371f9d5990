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
	batchSize        = 64
	bufferSize       = 64 << 10 // bytes
	headroom         = 64       // bytes before the datagram, for a longer header
	socketBufferSize = 4 << 20  // bytes
	defaultMTU       = 65535    // bytes
)

// Clock gives the time and tickers.
type Clock interface {
	Now() time.Time
	Ticker(d time.Duration) (<-chan time.Time, func())
}

// GossipHandler takes in the datagrams that are not about flows.
type GossipHandler interface {
	Gossip(from string, body []byte) (bool, error)
}

// batchConn reads and writes several datagrams with one system call.
type batchConn interface {
	ReadBatch(ms []ipv4.Message, flags int) (int, error)
	WriteBatch(ms []ipv4.Message, flags int) (int, error)
}

// Forwarder is the flow door of one instance.
type Forwarder struct {
	instanceName      string
	selfID            picker.MemberID
	clock             Clock
	startTime         time.Time
	keys              messenger.Keys
	gossipHandler     GossipHandler
	log               *slog.Logger
	mtu               int
	replicationBudget float64 // bytes a second for exceptions

	flowSocket    *net.UDPConn
	peerSocket    *net.UDPConn
	flowBatchConn batchConn
	peerBatchConn batchConn
	workers       *ants.Pool

	mu     sync.Mutex // guards picker
	picker *picker.Picker

	peerAddrs      atomic.Pointer[peerTable]
	lastFabricAddr atomic.Pointer[net.UDPAddr]
	counters       Counters
	done           chan struct{}
	runningLoops   sync.WaitGroup
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

// WithReplicationBudget sets what the replication of exceptions may send, in bytes a second.
func WithReplicationBudget(n int) Option {
	return func(f *Forwarder) { f.replicationBudget = float64(n) }
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
	_ = c.SetReadBuffer(socketBufferSize)
	_ = c.SetWriteBuffer(socketBufferSize)
	return c, nil
}

// New starts the flow door of the instance with the given name on two sockets,
// which it closes in the end.
func New(name string, flow, peer *net.UDPConn, clock Clock, keys messenger.Keys, control GossipHandler, opts ...Option) (*Forwarder, error) {
	f := &Forwarder{
		instanceName:      name,
		selfID:            picker.NewMemberID(name),
		clock:             clock,
		startTime:         clock.Now(),
		keys:              keys,
		gossipHandler:     control,
		log:               slog.New(slog.DiscardHandler),
		mtu:               defaultMTU,
		replicationBudget: defaultReplicationBudget,
		flowSocket:        flow,
		peerSocket:        peer,
		flowBatchConn:     newBatchConn(flow),
		peerBatchConn:     newBatchConn(peer),
		done:              make(chan struct{}),
	}
	for _, o := range opts {
		o(f)
	}
	if f.picker == nil {
		f.picker = picker.New(picker.WithHashKey(keys.Flow))
	}
	f.peerAddrs.Store(&peerTable{})
	pool, err := ants.NewPool(4, ants.WithNonblocking(true), ants.WithLogger(antsLogger{f.log}))
	if err != nil {
		return nil, eris.Wrap(err, "make pool")
	}
	f.workers = pool
	for _, loop := range []func(){f.readFlowSocket, f.readPeerSocket, f.runTicks} {
		f.runningLoops.Add(1)
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

func newBatchConn(c *net.UDPConn) batchConn {
	if a, ok := c.LocalAddr().(*net.UDPAddr); ok && a.IP.To4() == nil {
		return ipv6.NewPacketConn(c)
	}
	return ipv4.NewPacketConn(c)
}

// Close ends the loops, waits for them, and closes the sockets.
func (f *Forwarder) Close() error {
	close(f.done)
	err := f.flowSocket.Close()
	err2 := f.peerSocket.Close()
	f.runningLoops.Wait()
	f.workers.Release()
	if err != nil {
		return eris.Wrap(err, "close flow door")
	}
	if err2 != nil {
		return eris.Wrap(err2, "close peer door")
	}
	return nil
}

func (f *Forwarder) now() time.Duration {
	return f.clock.Now().Sub(f.startTime)
}

// Datagram sends a sealed datagram from the peer door.
func (f *Forwarder) Datagram(to string, b []byte) {
	addr := f.parseUDPAddr(to)
	if addr == nil {
		return
	}
	f.counters.ControlBytesSent.Add(uint64(len(b)))
	if _, err := f.peerSocket.WriteToUDP(b, addr); err != nil {
		f.counters.SendErrors.Add(1)
	}
}

func (f *Forwarder) parseUDPAddr(to string) *net.UDPAddr {
	ap, err := netip.ParseAddrPort(to)
	if err != nil {
		return nil
	}
	return net.UDPAddrFromAddrPort(ap)
}

// Member is another instance with the address of its peer door.
type Member struct {
	picker.Member
	Name     string
	PeerAddr netip.AddrPort
}

// SetView puts a new view of members and services into use.
func (f *Forwarder) SetView(members []Member, serving bool, services []picker.Service) {
	table := &peerTable{byID: make(map[picker.MemberID]*net.UDPAddr)}
	var list []picker.Member
	for _, m := range members {
		if m.ID != f.selfID {
			table.byID[m.ID] = net.UDPAddrFromAddrPort(m.PeerAddr)
		}
		if m.ID == f.selfID {
			m.Draining = !serving
		}
		list = append(list, m.Member)
	}
	f.peerAddrs.Store(table)
	v := picker.NewView(f.selfID, list, services)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.picker.SetView(f.now(), v)
}

// EntryCounts returns the numbers of entries of the flow table.
func (f *Forwarder) EntryCounts() picker.EntryCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.picker.EntryCounts()
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
func (f *Forwarder) maxInnerPacket() int {
	const outerHeaders = 40 + 8 // IPv6 and UDP headers
	return f.mtu - outerHeaders - messenger.RelayOverhead
}

// OpenFlowImbalance returns the largest number of owned flows on a target over the mean,
// or 1 while there are none.
func (f *Forwarder) OpenFlowImbalance() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	maxFlows, totalFlows := 0, 0
	loads := f.picker.OpenFlowsByTarget()
	for _, n := range loads {
		maxFlows = max(maxFlows, n)
		totalFlows += n
	}
	if totalFlows == 0 {
		return 1
	}
	return float64(maxFlows) * float64(len(loads)) / float64(totalFlows)
}
