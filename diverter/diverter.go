// Package diverter is the flow door of a fabric whose ends return a label: it reads
// packets from a UDP socket, asks the steerer, and sends them on or refuses them.
package diverter

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"almondpick/steerer"
)

// Clock gives the time and tickers.
type Clock interface {
	Now() time.Time
	Ticker(d time.Duration) (<-chan time.Time, func())
}

// Codec reads and writes the packets of the fabric.
type Codec interface {
	// Decode decodes a packet from a caller. The error is a typed one.
	Decode(b []byte) (steerer.Packet, error)
	// PutTargetIdentity writes, into the Headroom bytes before the packet that begins at
	// b[Headroom], what makes identity the only target that takes the packet in.
	PutTargetIdentity(b []byte, identity uint64)
	// Headroom is the size of what Address writes, in bytes.
	Headroom() int
	// PutLabel writes the label into an opening packet.
	PutLabel(b []byte, l steerer.Label)
	// AppendReset appends the packet that tells the caller that the flow is refused.
	AppendReset(b []byte, p steerer.Packet) []byte
	// CallerAddress returns where packets for a caller are sent.
	CallerAddress(p steerer.Packet) netip.AddrPort
}

// Observer counts and times what the door does.
type Observer interface {
	Decided(r steerer.Decision)
}

// Sizes and times of the door.
const (
	packetSize    = 2048    // bytes
	receiveBuffer = 4 << 20 // bytes
)

// Counters of the door.
type Counters struct {
	Received, Forwarded, Refused, Dropped, Held, Expired, Malformed, SendFailed atomic.Uint64
}

// Listener is a running door.
type Listener struct {
	conn     *net.UDPConn
	codec    Codec
	clock    Clock
	start    time.Time
	log      *slog.Logger
	observer Observer
	counters Counters
	heard    atomic.Int64  // when the last packet came, since start
	wake     chan struct{} // something waits, or there is a new view for what waits
	done     chan struct{}
	loops    sync.WaitGroup

	mu      sync.Mutex
	steerer *steerer.Steerer
	version uint64
	holder  holder
}

// Option sets a property of a Diverter.
type Option func(*Listener)

// WithLogger sets where decisions are logged.
func WithLogger(l *slog.Logger) Option {
	return func(d *Listener) { d.log = l }
}

// WithObserver sets who is told of every decision.
func WithObserver(o Observer) Option {
	return func(d *Listener) { d.observer = o }
}

// WithSteerer sets who decides.
func WithSteerer(s *steerer.Steerer) Option {
	return func(d *Listener) { d.steerer = s }
}

type noObserver struct{}

func (noObserver) Decided(steerer.Decision) {}

// Listen opens the door at an address and starts its loop. Times of verdicts are
// counted from start.
func Listen(at netip.AddrPort, codec Codec, clock Clock, start time.Time, opts ...Option) (*Listener, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, eris.Wrap(err, "open flow door")
	}
	d := &Listener{
		conn: conn, codec: codec, clock: clock, start: start,
		log: slog.New(slog.DiscardHandler), observer: noObserver{},
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for _, o := range opts {
		o(d)
	}
	if d.steerer == nil {
		d.steerer = steerer.New()
	}
	if err := conn.SetReadBuffer(receiveBuffer); err != nil {
		d.log.Warn("receive-buffer-unchanged", "error", err)
	}
	d.loops.Add(2)
	go d.run()
	go d.attend()
	return d, nil
}

// SetView puts a new picture of configuration and targets into use.
func (d *Listener) SetView(v *steerer.View) {
	d.mu.Lock()
	d.steerer.SetView(v)
	d.version = v.ConfigVersion
	d.holder.hurry()
	d.mu.Unlock()
	d.rouse() // also what is being decided about right now by the view before
}

// Counters returns the counters of the door.
func (d *Listener) Counters() *Counters {
	return &d.counters
}

// Addr returns the address of the door.
func (d *Listener) Addr() net.Addr {
	return d.conn.LocalAddr()
}

// TimeSinceLastPacket returns how long no packet has come.
func (d *Listener) TimeSinceLastPacket() time.Duration {
	return d.now() - time.Duration(d.heard.Load())
}

// Close ends the loop and waits for it.
func (d *Listener) Close() error {
	err := d.conn.Close()
	close(d.done)
	d.loops.Wait()
	return err
}

func (d *Listener) run() {
	defer d.loops.Done()
	room := d.codec.Headroom()
	buffer := make([]byte, room+packetSize)
	for {
		n, _, err := d.conn.ReadFromUDPAddrPort(buffer[room:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Such as an ICMP error that an earlier datagram brought.
			d.log.Debug("flow-read-failed", "error", err)
			continue
		}
		d.counters.Received.Add(1)
		now := d.now()
		d.heard.Store(int64(now))
		d.packet(now, buffer[:room+n], 0)
	}
}

func (d *Listener) now() time.Duration {
	return d.clock.Now().Sub(d.start)
}

// rouse has what waits decided about again.
func (d *Listener) rouse() {
	select {
	case d.wake <- struct{}{}:
	default: // it will be anyway
	}
}

// attend looks after packets that wait: it sleeps until there are any.
func (d *Listener) attend() {
	defer d.loops.Done()
	for {
		select {
		case <-d.done:
			return
		case <-d.wake:
		}
		if d.waits() && !d.replayAll() {
			return
		}
	}
}

// replayAll decides about packets that wait until none does. It is false when the door
// has closed.
func (d *Listener) replayAll() bool {
	ticks, stop := d.clock.Ticker(replayEvery)
	defer stop()
	for d.waits() {
		d.replay(d.now())
		select {
		case <-d.done:
			return false
		case <-d.wake:
		case <-ticks:
		}
	}
	return true
}

func (d *Listener) waits() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.holder.waiting) > 0
}

// replay decides again about packets that wait.
func (d *Listener) replay(now time.Duration) {
	d.mu.Lock()
	due, expired := d.holder.take(now)
	d.mu.Unlock()
	for _, o := range due {
		if d.packet(now, o.packet, max(now-o.first, 1)) == steerer.Hold {
			d.mu.Lock()
			d.holder.keep(o)
			d.mu.Unlock()
		}
	}
	for _, o := range expired {
		d.expire(now, o)
	}
}

// expire gives up a packet that has waited too long. The caller of a flow that did not
// open is told at once; no target has seen it.
func (d *Listener) expire(now time.Duration, o held) {
	d.counters.Expired.Add(1)
	p, err := d.codec.Decode(o.packet[d.codec.Headroom():])
	if err != nil || !o.opens {
		return
	}
	v := steerer.Decision{Action: steerer.Reset, Reason: steerer.HeldTooLong}
	d.observer.Decided(v)
	d.carryOut(o.packet, p, v)
	d.report(now, p, v, d.currentVersion())
}

func (d *Listener) currentVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// packet decides about the packet that begins after the headroom of b and carries the
// decision out. waited is how long it has been held, 0 for one that has just come; that
// one is kept if it has to wait.
func (d *Listener) packet(now time.Duration, b []byte, waited time.Duration) steerer.Action {
	room := d.codec.Headroom()
	p, err := d.codec.Decode(b[room:])
	if err != nil {
		d.counters.Malformed.Add(1)
		d.log.Debug("packet-malformed", "error", err)
		return steerer.Drop
	}
	p.HeldFor = waited
	fresh := waited == 0
	d.mu.Lock()
	v := d.steerer.Decide(now, p)
	version := d.version
	full := v.Action == steerer.Hold && fresh && !d.holder.hold(now, p, b)
	d.mu.Unlock()
	if full {
		v.Action = steerer.Drop
	}
	if v.Action == steerer.Hold && !fresh {
		return steerer.Hold
	}
	if v.Action == steerer.Hold {
		d.rouse()
	}
	d.observer.Decided(v)
	d.carryOut(b, p, v)
	if v.Reason != steerer.ByLabel {
		d.report(now, p, v, version)
	}
	return v.Action
}

func (d *Listener) carryOut(b []byte, p steerer.Packet, v steerer.Decision) {
	room := d.codec.Headroom()
	switch v.Action {
	case steerer.Forward:
		if p.Flags&steerer.SYN != 0 {
			d.codec.PutLabel(b[room:], v.Target.Label())
		}
		d.codec.PutTargetIdentity(b, v.Target.Identity)
		d.send(b, v.Target.Endpoint)
		d.counters.Forwarded.Add(1)
	case steerer.Reset:
		d.send(d.codec.AppendReset(nil, p), d.codec.CallerAddress(p))
		d.counters.Refused.Add(1)
	case steerer.Hold:
		d.counters.Held.Add(1)
	default:
		d.counters.Dropped.Add(1)
	}
}

func (d *Listener) send(b []byte, to netip.AddrPort) {
	if _, err := d.conn.WriteToUDPAddrPort(b, to); err != nil {
		d.counters.SendFailed.Add(1)
		d.log.Warn("flow-send-failed", "to", to, "error", err)
	}
}

// report logs one decision about a flow; packets that follow a label are counted
// only.
func (d *Listener) report(now time.Duration, p steerer.Packet, v steerer.Decision, version uint64) {
	if !d.log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	attrs := make([]slog.Attr, 0, 10)
	attrs = append(attrs,
		slog.Any("caller", p.Flow.Caller), slog.Any("service", p.Flow.Service), slog.Uint64("version", version),
		slog.String("action", v.Action.String()), slog.String("reason", string(v.Reason)), slog.Uint64("copy", uint64(p.Retransmissions)))
	if v.Target != nil {
		attrs = append(attrs, slog.Any("target", v.Target.Endpoint),
			slog.Uint64("identity", v.Target.Identity), slog.Duration("target-age", now-v.Target.LastSeen))
	}
	if v.Reason == steerer.UnknownLabel {
		attrs = append(attrs, slog.Uint64("label", uint64(p.Label)))
	}
	d.log.LogAttrs(context.Background(), slog.LevelInfo, "flow", attrs...)
}
