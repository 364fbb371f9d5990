// Package forwarder is the data path of an instance. It reads Geneve packets from the
// fabric and from other instances in batches, and carries out the decision of the picker
// about each: it forwards the packet to its target, relays it to another instance, or
// replies to the caller.
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
	headroom         = 64       // bytes before each received datagram, for a longer header
	socketBufferSize = 4 << 20  // bytes
	defaultMTU       = 65535    // bytes
)

// Clock returns the current time and creates tickers.
type Clock interface {
	Now() time.Time
	Ticker(d time.Duration) (<-chan time.Time, func())
}

// GossipHandler receives the gossip datagrams. Gossip returns false or an error if it
// drops the datagram.
type GossipHandler interface {
	Gossip(from string, body []byte) (bool, error)
}

// batchConn reads and writes several datagrams in one system call.
type batchConn interface {
	ReadBatch(ms []ipv4.Message, flags int) (int, error)
	WriteBatch(ms []ipv4.Message, flags int) (int, error)
}

// Forwarder is the data path of one instance. Its flow socket receives packets from the
// fabric, and its peer socket receives relayed packets, hints and signed datagrams from
// other instances.
type Forwarder struct {
	instanceName      string
	selfID            picker.MemberID
	clock             Clock
	startTime         time.Time
	keys              messenger.DerivedKeys
	gossipHandler     GossipHandler
	log               *slog.Logger
	mtu               int
	replicationBudget float64 // bytes per second, for records of non-default flows

	flowSocket    *net.UDPConn
	peerSocket    *net.UDPConn
	flowBatchConn batchConn
	peerBatchConn batchConn
	workers       *ants.Pool

	mu     sync.Mutex // guards picker
	picker *picker.Picker

	peerAddrs      atomic.Pointer[memberAddrs]
	lastFabricAddr atomic.Pointer[net.UDPAddr]
	counters       Counters
	done           chan struct{}
	runningLoops   sync.WaitGroup
}

// memberAddrs maps the other members to the UDP addresses of their peer sockets.
type memberAddrs struct {
	byID map[picker.MemberID]*net.UDPAddr
}

// Option sets a property of a new Forwarder.
type Option func(*Forwarder)

// WithLogger sets the logger. The default discards all events.
func WithLogger(l *slog.Logger) Option {
	return func(f *Forwarder) { f.log = l }
}

// WithMTU sets the largest IP packet that the path to targets and instances
// carries, in bytes.
func WithMTU(n int) Option {
	return func(f *Forwarder) { f.mtu = n }
}

// WithReplicationBudget sets the rate limit for the replication of non-default flows, in
// bytes per second over all members.
func WithReplicationBudget(n int) Option {
	return func(f *Forwarder) { f.replicationBudget = float64(n) }
}

// WithPicker sets the picker, if its options should differ from the defaults.
func WithPicker(p *picker.Picker) Option {
	return func(f *Forwarder) { f.picker = p }
}

// Listen opens the UDP sockets for packets from the fabric and from other instances.
func Listen(flow, peer netip.AddrPort) (*net.UDPConn, *net.UDPConn, error) {
	flowSocket, err := listenUDP(flow)
	if err != nil {
		return nil, nil, eris.Wrap(err, "open flow socket")
	}
	peerSocket, err := listenUDP(peer)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "open peer socket (%v)", flowSocket.Close())
	}
	return flowSocket, peerSocket, nil
}

// listenUDP opens a UDP socket with large buffers.
func listenUDP(at netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	// Errors are ignored: a smaller buffer works, but loses more datagrams in bursts.
	_ = c.SetReadBuffer(socketBufferSize)
	_ = c.SetWriteBuffer(socketBufferSize)
	return c, nil
}

// New starts the forwarder of the instance with the given name on the two sockets. Close
// closes the sockets.
func New(name string, flow, peer *net.UDPConn, clock Clock, keys messenger.DerivedKeys, gossip GossipHandler, opts ...Option) (*Forwarder, error) {
	f := &Forwarder{
		instanceName:      name,
		selfID:            picker.NewMemberID(name),
		clock:             clock,
		startTime:         clock.Now(),
		keys:              keys,
		gossipHandler:     gossip,
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
		f.picker = picker.New(picker.WithHashKey(keys.FlowHashKey))
	}
	f.peerAddrs.Store(&memberAddrs{})
	pool, err := ants.NewPool(4, ants.WithNonblocking(true), ants.WithLogger(antsLogger{f.log}))
	if err != nil {
		return nil, eris.Wrap(err, "create worker pool")
	}
	f.workers = pool
	for _, loop := range []func(){f.readFlowSocket, f.readPeerSocket, f.runTicks} {
		f.runningLoops.Add(1)
		if err := pool.Submit(loop); err != nil {
			return nil, eris.Wrap(err, "start worker")
		}
	}
	return f, nil
}

// antsLogger logs that a worker has panicked, which is the only message of the pool.
type antsLogger struct{ log *slog.Logger }

// Printf implements ants.Logger.
func (l antsLogger) Printf(string, ...any) {
	l.log.Error("worker-failed")
}

// newBatchConn wraps a socket for batches, by the IP version of its local address.
func newBatchConn(c *net.UDPConn) batchConn {
	if a, ok := c.LocalAddr().(*net.UDPAddr); ok && a.IP.To4() == nil {
		return ipv6.NewPacketConn(c)
	}
	return ipv4.NewPacketConn(c)
}

// Close closes the sockets, and waits until the read loops and the ticks have ended.
func (f *Forwarder) Close() error {
	close(f.done)
	flowErr := f.flowSocket.Close()
	peerErr := f.peerSocket.Close()
	f.runningLoops.Wait()
	f.workers.Release()
	if flowErr != nil {
		return eris.Wrap(flowErr, "close flow socket")
	}
	if peerErr != nil {
		return eris.Wrap(peerErr, "close peer socket")
	}
	return nil
}

// now returns the time since the start, which is the time that the picker works with.
func (f *Forwarder) now() time.Duration {
	return f.clock.Now().Sub(f.startTime)
}

// Datagram sends a signed datagram from the peer socket. An invalid address is ignored, and
// a send error is only counted.
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

// Member is an instance of the group, as SetView gets it.
type Member struct {
	picker.Member
	Name     string
	PeerAddr netip.AddrPort // of the peer socket
}

// SetView replaces the view of members and services. If serving is false, this instance
// owns no flows.
func (f *Forwarder) SetView(members []Member, serving bool, services []picker.Service) {
	addrs := &memberAddrs{byID: make(map[picker.MemberID]*net.UDPAddr)}
	var pickerMembers []picker.Member
	for _, m := range members {
		if m.ID != f.selfID {
			addrs.byID[m.ID] = net.UDPAddrFromAddrPort(m.PeerAddr)
		}
		if m.ID == f.selfID {
			m.Draining = !serving
		}
		pickerMembers = append(pickerMembers, m.Member)
	}
	f.peerAddrs.Store(addrs)
	view := picker.NewView(f.selfID, pickerMembers, services)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.picker.SetView(f.now(), view)
}

// EntryCounts returns the numbers of entries in the flow table.
func (f *Forwarder) EntryCounts() picker.EntryCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.picker.EntryCounts()
}

// PickerCounters returns the counters of the picker.
func (f *Forwarder) PickerCounters() picker.Counters {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.picker.Counters()
}

// Counters returns the counters of the forwarder.
func (f *Forwarder) Counters() *Counters {
	return &f.counters
}

// maxInnerPacket returns the size in bytes of the largest inner packet that fits into the
// MTU even with a relay header.
func (f *Forwarder) maxInnerPacket() int {
	const outerHeaders = 40 + 8 // IPv6 and UDP headers
	return f.mtu - outerHeaders - messenger.RelayOverhead
}

// OpenFlowImbalance returns the ratio of the largest to the mean number of owned open flows
// per target, over the targets that have any, or 1 if there are no open flows.
func (f *Forwarder) OpenFlowImbalance() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	maxFlows, totalFlows := 0, 0
	flowsByTarget := f.picker.OpenFlowsByTarget()
	for _, n := range flowsByTarget {
		maxFlows = max(maxFlows, n)
		totalFlows += n
	}
	if totalFlows == 0 {
		return 1
	}
	return float64(maxFlows) * float64(len(flowsByTarget)) / float64(totalFlows)
}
