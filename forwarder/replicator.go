package forwarder

import (
	"context"
	"net"
	"time"

	"almondpick/messenger"
	"almondpick/picker"
)

const (
	defaultBudget = 3 << 10 // bytes a second
	houseEvery    = 100 * time.Millisecond
	resendAfter   = 300 * time.Millisecond
	resendTimes   = 5
	batchOverhead = 64 // bytes of a datagram beside its records
)

// outstanding is a batch that was not acknowledged yet.
type outstanding struct {
	to    picker.MemberID
	data  []byte
	sent  time.Duration
	tries int
}

// replicator delivers exceptions to their backups: in batches, each repeated
// until it is acknowledged.
type replicator struct {
	tokens   float64
	last     time.Duration
	sequence uint64
	waiting  map[uint64]outstanding
}

func newReplicator() replicator {
	return replicator{waiting: make(map[uint64]outstanding)}
}

// setNames gives up on batches for instances that have gone.
func (r *replicator) setNames(members []Member) {
	alive := make(map[picker.MemberID]bool, len(members))
	for _, m := range members {
		alive[m.ID] = true
	}
	for n, o := range r.waiting {
		if !alive[o.to] {
			delete(r.waiting, n)
		}
	}
}

// keepHouse does the periodic work of the door.
func (f *Forwarder) keepHouse() {
	defer f.loops.Done()
	ticks, stop := f.clock.Ticker(houseEvery)
	defer stop()
	for {
		select {
		case <-f.done:
			return
		case <-ticks:
			f.replicate()
		}
	}
}

// replicate sends the exceptions that are due, within the budget, and repeats
// those that were not acknowledged.
func (f *Forwarder) replicate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.picker.Tick(now)
	r := &f.replicator
	r.tokens = min(r.tokens+f.budget*(now-r.last).Seconds(), f.budget)
	r.last = now
	limit := int((r.tokens - batchOverhead) / messenger.UpdateSize)
	if limit > 0 {
		f.sendUpdates(now, f.picker.Due(now, limit))
	}
	f.resend(now)
	f.sendHints()
}

// sendHints spends what the exceptions have left of the budget on hints for one
// instance.
func (f *Forwarder) sendHints() {
	limit := int((f.replicator.tokens - batchOverhead) / messenger.HintSize)
	hints := f.picker.DueHints(min(limit, messenger.MaxUpdates))
	if len(hints) == 0 {
		return
	}
	b, err := f.keys.Seal(messenger.DatagramHints, messenger.Hints{From: f.name, Records: messenger.PackHints(hints)})
	if err != nil {
		f.log.Error("hints-encode-failed", "error", err)
		return
	}
	f.counters.HintsOut.Add(uint64(len(hints)))
	f.transmit(hints[0].To, b)
}

// sendUpdates groups updates by receiver and sends them.
func (f *Forwarder) sendUpdates(now time.Duration, updates []picker.Update) {
	groups := make(map[picker.MemberID][]picker.Update)
	for _, u := range updates {
		groups[u.To] = append(groups[u.To], u)
	}
	for to, group := range groups {
		for len(group) > 0 {
			n := min(messenger.MaxUpdates, len(group))
			f.sendBatch(now, to, group[:n])
			group = group[n:]
		}
	}
}

func (f *Forwarder) sendBatch(now time.Duration, to picker.MemberID, updates []picker.Update) {
	r := &f.replicator
	r.sequence++
	m := messenger.Updates{From: f.name, Sequence: r.sequence, Records: messenger.PackUpdates(updates)}
	b, err := f.keys.Seal(messenger.DatagramUpdates, m)
	if err != nil {
		f.log.Error("updates-encode-failed", "error", err)
		return
	}
	f.counters.UpdatesOut.Add(uint64(len(updates)))
	r.waiting[r.sequence] = outstanding{to: to, data: b, sent: now}
	f.transmit(to, b)
}

func (f *Forwarder) transmit(to picker.MemberID, b []byte) {
	f.replicator.tokens -= float64(len(b))
	addr := f.peers.Load().byID[to]
	if addr == nil {
		return
	}
	f.counters.ControlOut.Add(uint64(len(b)))
	if _, err := f.peer.WriteToUDP(b, addr); err != nil {
		f.counters.SendFailed.Add(1)
	}
}

func (f *Forwarder) resend(now time.Duration) {
	r := &f.replicator
	for n, o := range r.waiting {
		if now-o.sent < resendAfter {
			continue
		}
		if o.tries >= resendTimes {
			f.counters.UpdatesLost.Add(1)
			delete(r.waiting, n)
			continue
		}
		o.sent = now
		o.tries++
		r.waiting[n] = o
		f.counters.UpdatesResent.Add(1)
		f.transmit(o.to, o.data)
	}
}

// datagram handles a sealed datagram. The lock is held.
func (f *Forwarder) datagram(now time.Duration, b []byte, from net.Addr) {
	f.counters.ControlIn.Add(uint64(len(b)))
	kind, body, err := f.keys.Open(b)
	if err != nil {
		f.counters.Forged.Add(1)
		return
	}
	switch kind {
	case messenger.DatagramGossip:
		copied := append([]byte(nil), body...) // the buffer is used again
		taken, err := f.control.Gossip(from.String(), copied)
		if err != nil || !taken {
			f.counters.ControlDropped.Add(1)
		}
	case messenger.DatagramUpdates:
		f.takeUpdates(now, body, from)
	case messenger.DatagramHints:
		f.takeHints(now, body)
	case messenger.DatagramUpdatesAck:
		var ack messenger.UpdatesAck
		if messenger.Decode(body, &ack) == nil {
			delete(f.replicator.waiting, ack.Sequence)
		}
	}
}

func (f *Forwarder) takeHints(now time.Duration, body []byte) {
	var h messenger.Hints
	if err := messenger.Decode(body, &h); err != nil {
		f.counters.ControlDropped.Add(1)
		return
	}
	h.Each(func(one picker.Hint) {
		f.counters.HintsIn.Add(1)
		f.picker.Learn(now, one)
	})
}

func (f *Forwarder) takeUpdates(now time.Duration, body []byte, from net.Addr) {
	var u messenger.Updates
	if err := messenger.Decode(body, &u); err != nil {
		f.counters.ControlDropped.Add(1)
		return
	}
	u.Each(func(one picker.Update) {
		f.counters.UpdatesIn.Add(1)
		f.picker.Store(now, one)
	})
	ack, err := f.keys.Seal(messenger.DatagramUpdatesAck, messenger.UpdatesAck{From: f.name, Sequence: u.Sequence})
	if err != nil {
		return
	}
	to, ok := from.(*net.UDPAddr)
	if !ok {
		return
	}
	f.counters.ControlOut.Add(uint64(len(ack)))
	if _, err := f.peer.WriteToUDP(ack, to); err != nil {
		f.counters.SendFailed.Add(1)
	}
}

// HandoverError reports that a handover was not acknowledged in time.
type HandoverError struct {
	Batches int
}

// Error implements error.
func (e *HandoverError) Error() string {
	return "not all exceptions were acknowledged by their new owners"
}

// Handover passes the exceptions of a leaving instance to their new owners and
// waits until they are acknowledged. The view must show the instance as leaving.
// It returns a *HandoverError when ctx ends first.
func (f *Forwarder) Handover(ctx context.Context) error {
	f.mu.Lock()
	f.sendUpdates(f.now(), f.picker.Handover())
	f.mu.Unlock()
	ticks, stop := f.clock.Ticker(houseEvery / 4)
	defer stop()
	for {
		f.mu.Lock()
		left := len(f.replicator.waiting)
		f.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-ticks:
		case <-ctx.Done():
			return &HandoverError{Batches: left}
		}
	}
}
