// Package diverter receives the packets of callers on a UDP socket, in networks where
// both ends of a flow echo a label, and forwards, refuses, holds or drops each of them as
// package steerer decides.
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

	"almondpick/admitter"
	"almondpick/steerer"
)

// Clock provides the current time and tickers.
type Clock interface {
	Now() time.Time
	Ticker(d time.Duration) (<-chan time.Time, func())
}

// Codec decodes and modifies packets in the network's format.
type Codec interface {
	// Decode decodes a packet from a caller. For a malformed packet it returns an error
	// with a type of its own, for errors.As.
	Decode(b []byte) (steerer.Packet, error)
	// PutTargetIdentity writes a header into the first Headroom bytes of b, before the
	// packet, so that only the target with this identity accepts the packet.
	PutTargetIdentity(b []byte, identity uint64)
	// Headroom returns the size of the header that PutTargetIdentity writes, in bytes.
	Headroom() int
	// PutLabel writes the label into a SYN.
	PutLabel(b []byte, l steerer.Label)
	// AppendReset appends to b a reset that refuses the flow of p, and returns the
	// extended slice.
	AppendReset(b []byte, p steerer.Packet) []byte
	// CallerAddress returns the address to which packets for the caller of p are sent.
	CallerAddress(p steerer.Packet) netip.AddrPort
}

// Observer is notified of decisions, but not when a held packet remains held.
type Observer interface {
	Decided(decision steerer.Decision)
	// Released is called besides for a packet that was held and is held no longer.
	Released(decision steerer.Decision, heldFor time.Duration)
	// SentFromQueue is called for a packet that was sent after it had waited for the
	// instance's link.
	SentFromQueue(waited time.Duration)
}

// Buffer sizes.
const (
	maxPacketSize     = 2048    // bytes
	receiveBufferSize = 4 << 20 // bytes
)

// Counters counts packets by outcome. A SYN that is refused because it was held for too
// long counts as Expired and as Refused. A packet that is forwarded while the instance's link is
// busy counts as Forwarded and as Queued or Duplicates, and then as SentLate if it waited for longer
// than its sender's retransmission timeout. A packet that is dropped because the queue is full counts
// as Forwarded and as QueueFull, and as Queued too if it had been queued before.
type Counters struct {
	Received, Forwarded, Refused, Dropped, Held, Expired, Malformed, SendFailed atomic.Uint64
	Queued, Duplicates, SentLate, QueueFull                                     atomic.Uint64
}

// Listener receives packets of callers on a UDP socket and carries out the decisions of a
// steerer.Steerer.
type Listener struct {
	conn         *net.UDPConn
	codec        Codec
	clock        Clock
	startTime    time.Time
	log          *slog.Logger
	observer     Observer
	counters     Counters
	lastPacketAt atomic.Int64  // when the last packet was received or sent from the queue, since startTime
	retrySignal  chan struct{} // a packet has been held, or a new view may decide held ones
	done         chan struct{}
	goroutines   sync.WaitGroup
	egress       *egress // nil if the rate of the link is not known

	mu            sync.Mutex
	steerer       *steerer.Steerer
	configVersion uint64
	queue         holdQueue
}

// Option configures a Listener.
type Option func(*Listener)

// WithLogger sets the logger of decisions and errors. The default discards them.
func WithLogger(logger *slog.Logger) Option {
	return func(l *Listener) { l.log = logger }
}

// WithObserver sets the observer of decisions.
func WithObserver(o Observer) Option {
	return func(l *Listener) { l.observer = o }
}

// WithSteerer sets the steerer that decides about packets. The Listener serializes its
// calls.
func WithSteerer(s *steerer.Steerer) Option {
	return func(l *Listener) { l.steerer = s }
}

type noObserver struct{}

func (noObserver) Decided(steerer.Decision)                 {}
func (noObserver) Released(steerer.Decision, time.Duration) {}
func (noObserver) SentFromQueue(time.Duration)              {}

// Listen opens a UDP socket at the address and starts to handle packets. The steerer gets
// times as durations since start.
func Listen(address netip.AddrPort, codec Codec, clock Clock, start time.Time, opts ...Option) (*Listener, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, eris.Wrap(err, "listen for flow packets")
	}
	l := &Listener{
		conn: conn, codec: codec, clock: clock, startTime: start,
		log: slog.New(slog.DiscardHandler), observer: noObserver{},
		retrySignal: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for _, o := range opts {
		o(l)
	}
	if l.steerer == nil {
		l.steerer = steerer.New()
	}
	if err := conn.SetReadBuffer(receiveBufferSize); err != nil {
		l.log.Warn("receive-buffer-unchanged", "error", err)
	}
	l.goroutines.Add(2)
	go l.receiveLoop()
	go l.retryLoop()
	if l.egress != nil {
		l.log.Info("egress-paced", "link-rate", l.egress.linkRate)
		l.goroutines.Add(1)
		go l.sendLoop()
	}
	return l, nil
}

// SetView replaces the view of the configuration and the targets, and has held packets
// decided again by it.
func (l *Listener) SetView(v *steerer.View) {
	l.mu.Lock()
	l.steerer.SetView(v)
	l.configVersion = v.ConfigVersion
	l.queue.retryNow()
	l.mu.Unlock()
	l.signalRetry() // also for a packet that is being decided by the previous view
}

// Counters returns the live counters of the Listener.
func (l *Listener) Counters() *Counters {
	return &l.counters
}

// PoolLoads returns the load of every pool by this instance.
func (l *Listener) PoolLoads() []admitter.PoolLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.steerer.PoolLoads(l.now())
}

// Loads returns each load of this instance that has been used.
func (l *Listener) Loads() []admitter.LoadState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.steerer.Loads(l.now())
}

// Waiting returns how many requests of each route wait.
func (l *Listener) Waiting() []admitter.WaitingState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.steerer.Waiting(l.now())
}

// Addr returns the local address of the socket.
func (l *Listener) Addr() net.Addr {
	return l.conn.LocalAddr()
}

// TimeSinceLastPacket returns the time since the last packet was received, or sent after it had
// waited for the instance's link, or since the start if there was none.
func (l *Listener) TimeSinceLastPacket() time.Duration {
	return l.now() - time.Duration(l.lastPacketAt.Load())
}

// Close closes the socket, stops the goroutines and waits for them.
func (l *Listener) Close() error {
	err := l.conn.Close()
	close(l.done)
	l.goroutines.Wait()
	return err
}

// receiveLoop handles received packets until the socket is closed.
func (l *Listener) receiveLoop() {
	defer l.goroutines.Done()
	headroom := l.codec.Headroom()
	buffer := make([]byte, headroom+maxPacketSize)
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(buffer[headroom:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// For example an ICMP error caused by a datagram sent earlier.
			l.log.Debug("flow-read-failed", "error", err)
			continue
		}
		l.counters.Received.Add(1)
		now := l.now()
		l.lastPacketAt.Store(int64(now))
		l.handlePacket(now, buffer[:headroom+n], nil)
	}
}

func (l *Listener) now() time.Duration {
	return l.clock.Now().Sub(l.startTime)
}

// handlePacket decides about the packet that begins after the headroom of b and applies the
// decision. held is the packet's entry in the queue, nil for a packet that has just been
// received. If the decision is Hold, the packet is in the queue afterwards.
func (l *Listener) handlePacket(now time.Duration, b []byte, held *heldPacket) steerer.Decision {
	headroom := l.codec.Headroom()
	p, err := l.codec.Decode(b[headroom:])
	if err != nil {
		l.counters.Malformed.Add(1)
		l.log.Debug("packet-malformed", "error", err)
		return steerer.Decision{Action: steerer.Drop}
	}
	if held != nil {
		p.HeldFor, p.ReceivedBefore = max(now-held.sentAt, 1), now-held.receivedAt
	}
	decision, configVersion := l.decide(now, p, b, held)
	if held != nil && decision.Action == steerer.Hold {
		return decision
	}
	l.observer.Decided(decision)
	if held != nil {
		l.observer.Released(decision, p.HeldFor)
	}
	l.apply(now, b, p, decision)
	if decision.Reason != steerer.ByLabel || held != nil {
		l.logDecision(now, p, decision, configVersion)
	}
	return decision
}

// decide returns the steerer's decision about a packet and the version of the configuration that
// it rests on. A packet that is held is in the queue before another one is decided about, which may
// end the request that it waits for. A packet that has just been received has the held ones decided
// about again if it ends a request.
func (l *Listener) decide(now time.Duration, p steerer.Packet, b []byte, held *heldPacket) (steerer.Decision, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	decision := l.steerer.Decide(now, p)
	if held != nil {
		if decision.Action == steerer.Hold {
			held.decidedAt = now
			l.queue.requeue(*held)
		}
		return decision, l.configVersion
	}
	if l.steerer.TakeFreed() && len(l.queue.packets) > 0 {
		l.queue.retryNow()
		l.signalRetry()
	}
	if decision.Action == steerer.Hold {
		if !l.queue.enqueue(now, p, decision.Route, b) {
			decision.Action = steerer.Drop // the queue is full
		}
		l.signalRetry()
	}
	return decision, l.configVersion
}

// apply forwards, refuses, holds or drops a packet as decided, and counts it.
func (l *Listener) apply(now time.Duration, b []byte, p steerer.Packet, decision steerer.Decision) {
	headroom := l.codec.Headroom()
	switch decision.Action {
	case steerer.Forward:
		if p.Flags&steerer.SYN != 0 {
			l.codec.PutLabel(b[headroom:], decision.Target.Label())
		}
		l.codec.PutTargetIdentity(b, decision.Target.Identity)
		l.sendToTarget(now, b, p, decision.Target.Endpoint)
		l.counters.Forwarded.Add(1)
	case steerer.Reset:
		if decision.Reason == steerer.HeldTooLong {
			l.counters.Expired.Add(1)
		}
		l.sendReset(now, l.codec.AppendReset(nil, p), p.Flow, l.codec.CallerAddress(p))
		l.counters.Refused.Add(1)
	case steerer.Hold:
		l.counters.Held.Add(1)
	default:
		l.counters.Dropped.Add(1)
	}
}

func (l *Listener) send(b []byte, to netip.AddrPort) {
	if _, err := l.conn.WriteToUDPAddrPort(b, to); err != nil {
		l.counters.SendFailed.Add(1)
		l.log.Warn("flow-send-failed", "to", to, "error", err)
	}
}

// logDecision logs the decision about a packet. It is not called for packets that are
// forwarded by their label without having been held; those are only counted.
func (l *Listener) logDecision(now time.Duration, p steerer.Packet, decision steerer.Decision, configVersion uint64) {
	if !l.log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	attrs := make([]slog.Attr, 0, 13)
	attrs = append(attrs,
		slog.Any("caller", p.Flow.Caller), slog.Any("service", p.Flow.Service), slog.Uint64("version", configVersion),
		slog.String("action", decision.Action.String()), slog.String("reason", string(decision.Reason)), slog.Uint64("copy", uint64(p.Retransmissions)))
	if decision.Target != nil {
		attrs = append(attrs, slog.Any("target", decision.Target.Endpoint),
			slog.Uint64("identity", decision.Target.Identity), slog.Duration("target-age", now-decision.Target.LastSeen))
	}
	if p.HeldFor > 0 {
		attrs = append(attrs, slog.Duration("held", p.HeldFor))
	}
	if decision.Load != "" {
		attrs = append(attrs, slog.String("load", string(decision.Load)), slog.Int("in-progress", decision.InProgress),
			slog.Float64("limit", decision.Limit), slog.Int("waiting", decision.Waiting))
	}
	if decision.Reason == steerer.SlowStart {
		attrs = append(attrs, slog.Int("left-out", decision.LeftOut))
	}
	if decision.ToSlowStart {
		attrs = append(attrs, slog.Duration("slow-start-left", decision.Target.SlowStartUntil-now))
	}
	if decision.Reason == steerer.UnknownLabel {
		attrs = append(attrs, slog.Uint64("label", uint64(p.Label)))
	}
	l.log.LogAttrs(context.Background(), slog.LevelInfo, "flow", attrs...)
}
