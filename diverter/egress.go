package diverter

import (
	"net/netip"
	"sync"
	"time"

	"almondpick/admitter"
	"almondpick/pacer"
	"almondpick/steerer"
)

const (
	// minSendWait is the shortest time between two timers of sendLoop. On fast links several
	// packets are due by then; a timer for each would cost more than sending them.
	minSendWait = 500 * time.Microsecond
	// dropLogInterval is the shortest time between two log lines about dropped packets.
	dropLogInterval = 5 * time.Second
)

// egress holds the packets that wait for the instance's link.
type egress struct {
	mu        sync.Mutex // locked before Listener.mu; held while packets are written, so that they stay in order
	pacer     *pacer.Pacer
	linkRate  int64         // bits per second
	signal    chan struct{} // a packet has been queued
	dropped   int           // since the last log line
	logDropAt time.Duration // earliest time of the next log line
}

// WithLinkRate paces the packets to targets to a little below the rate of the instance's link, in
// bits per second. The default, 0, sends all packets at once.
func WithLinkRate(bitsPerSecond int64) Option {
	return func(l *Listener) {
		l.egress = nil
		if bitsPerSecond > 0 {
			l.egress = &egress{
				linkRate: bitsPerSecond, signal: make(chan struct{}, 1),
				pacer: pacer.New(bitsPerSecond, pacer.WithDropCallback(l.handleDrop)),
			}
		}
	}
}

// QueuedBytes returns the bytes of the packets that wait for the instance's link.
func (l *Listener) QueuedBytes() int {
	if l.egress == nil {
		return 0
	}
	l.egress.mu.Lock()
	defer l.egress.mu.Unlock()
	return l.egress.pacer.QueuedBytes()
}

// sendToTarget sends a packet to a target, or queues a copy of it if the link is busy.
func (l *Listener) sendToTarget(now time.Duration, b []byte, p steerer.Packet, to netip.AddrPort) {
	if l.egress == nil {
		l.send(b, to)
		return
	}
	l.egress.mu.Lock()
	defer l.egress.mu.Unlock()
	packet := pacer.Packet{Flow: p.Flow, Flags: p.Flags, Sequence: p.Sequence, Ack: p.Ack, PayloadSize: p.PayloadSize, Data: b, To: to}
	switch l.egress.pacer.Enqueue(now, packet) {
	case pacer.Sent:
		l.send(b, to)
		return
	case pacer.Queued:
		l.counters.Queued.Add(1)
	case pacer.Duplicate:
		l.counters.Duplicates.Add(1)
	case pacer.Full: // counted by handleDrop
	}
	l.reportQueued(now, p.Flow)
	l.sendDue(now)
	select {
	case l.egress.signal <- struct{}{}:
	default: // a signal is already pending
	}
}

// sendReset refuses a flow at once. Packets to targets are sent later for it, and an earlier SYN of
// the flow that is still queued is not sent any more: its target must not open a refused flow.
func (l *Listener) sendReset(now time.Duration, b []byte, flow steerer.Flow, to netip.AddrPort) {
	if l.egress != nil {
		l.egress.mu.Lock()
		l.egress.pacer.Charge(now, len(b))
		if l.egress.pacer.RemoveSYN(flow) {
			l.reportQueued(now, flow)
		}
		l.egress.mu.Unlock()
	}
	l.send(b, to)
}

// sendLoop sends queued packets when they are due, until the Listener is closed. It is idle
// while no packet is queued.
func (l *Listener) sendLoop() {
	defer l.goroutines.Done()
	for {
		select {
		case <-l.done:
			return
		case <-l.egress.signal:
		}
		for {
			l.egress.mu.Lock()
			wait := l.sendDue(l.now())
			l.egress.mu.Unlock()
			if wait == 0 {
				break
			}
			if !l.sleep(max(wait, minSendWait)) {
				return
			}
		}
	}
}

// sleep waits for the duration. It returns false if the Listener has been closed.
func (l *Listener) sleep(d time.Duration) bool {
	ticks, stop := l.clock.Ticker(d)
	defer stop()
	select {
	case <-l.done:
		return false
	case <-ticks:
		return true
	}
}

// sendDue sends the packets that are due and returns the time until the next one will be, 0 if
// none is left. l.egress.mu must be locked.
func (l *Listener) sendDue(now time.Duration) time.Duration {
	for {
		packet, wait, ok := l.egress.pacer.Next(now)
		if !ok {
			return wait
		}
		l.send(packet.Data, packet.To)
		waited := max(0, now-packet.QueuedAt)
		if waited > admitter.RetransmissionTimeout {
			l.counters.SentLate.Add(1)
		}
		l.observer.SentFromQueue(waited)
		l.lastPacketAt.Store(int64(now))
		l.reportQueued(now, packet.Flow)
	}
}

// reportQueued tells the steerer how many packets of a flow are queued. l.egress.mu must be
// locked.
func (l *Listener) reportQueued(now time.Duration, flow steerer.Flow) {
	queued := l.egress.pacer.QueuedPackets(flow)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.steerer.SetQueued(now, flow, queued)
}

// handleDrop counts and logs a packet that was dropped because the queue is full, and tells the
// steerer. l.egress.mu must be locked.
func (l *Listener) handleDrop(now time.Duration, packet pacer.Packet) {
	l.counters.QueueFull.Add(1)
	if packet.Flags&steerer.SYN != 0 || packet.PayloadSize > 0 {
		l.mu.Lock()
		l.steerer.RecordDrop(now, packet.Flow, packet.Sequence)
		l.mu.Unlock()
	}
	l.reportQueued(now, packet.Flow)
	l.egress.dropped++
	if now < l.egress.logDropAt {
		return
	}
	l.log.Warn("egress-queue-full", "dropped", l.egress.dropped, "queued-bytes", l.egress.pacer.QueuedBytes(), "caller", packet.Flow.Caller, "service", packet.Flow.Service)
	l.egress.dropped, l.egress.logDropAt = 0, now+dropLogInterval
}
