package diverter

import (
	"time"

	"almondpick/steerer"
)

// signalRetry wakes retryLoop.
func (l *Listener) signalRetry() {
	select {
	case l.retrySignal <- struct{}{}:
	default: // a signal is already pending
	}
}

// retryLoop retries held packets until the Listener is closed. It is idle while no packet
// is held.
func (l *Listener) retryLoop() {
	defer l.goroutines.Done()
	for {
		select {
		case <-l.done:
			return
		case <-l.retrySignal:
		}
		if l.hasHeldPackets() && !l.retryUntilEmpty() {
			return
		}
	}
}

// retryUntilEmpty retries held packets until none is left. It returns false if the Listener
// has been closed.
func (l *Listener) retryUntilEmpty() bool {
	ticks, stop := l.clock.Ticker(retryInterval)
	defer stop()
	for l.hasHeldPackets() {
		l.retryHeldPackets(l.now())
		select {
		case <-l.done:
			return false
		case <-l.retrySignal:
		case <-ticks:
		}
	}
	return true
}

func (l *Listener) hasHeldPackets() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue.packets) > 0
}

// retryHeldPackets decides again about the held packets that are due. Once a load is found to
// have no room, the other packets of the same route are decided about only every retryInterval,
// which shows when they have been held for too long.
func (l *Listener) retryHeldPackets(now time.Duration) {
	l.mu.Lock()
	due := l.queue.takeDue(now)
	l.mu.Unlock()
	busy := make(map[*steerer.Route]bool)
	for _, held := range due {
		if busy[held.route] && now-held.decidedAt < retryInterval {
			l.requeue(held)
			continue
		}
		decision := l.handlePacket(now, held.packet, &held)
		if decision.Action == steerer.Hold && (decision.Load != "" || decision.Reason == steerer.SlowStart) {
			busy[held.route] = true
		}
	}
}

func (l *Listener) requeue(held heldPacket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.requeue(held)
}
