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
	houseEvery    = 250 * time.Millisecond
	syncEvery     = 500 * time.Millisecond // to each member
	syncOverhead  = 64                     // bytes of a datagram beside its records
)

// keepHouse does the periodic work of the door.
func (f *Forwarder) keepHouse() {
	defer f.loops.Done()
	ticks, stop := f.clock.Ticker(houseEvery)
	defer stop()
	next := f.now()
	for {
		select {
		case <-f.done:
			return
		case <-ticks:
		}
		f.mu.Lock()
		now := f.now()
		f.picker.Tick(now)
		if now >= next {
			next = now + syncEvery
			f.sync(now, f.recordLimit())
		}
		f.mu.Unlock()
	}
}

// recordLimit returns how many records a message may carry for the streams to all
// members to stay within the budget.
func (f *Forwarder) recordLimit() int {
	members := max(1, len(f.picker.Members()))
	bytes := f.budget*syncEvery.Seconds()/float64(members) - syncOverhead
	return min(messenger.MaxSyncRecords, max(1, int(bytes/messenger.SyncRecordSize)))
}

// sync sends every member the next message of the stream of exceptions. The lock is
// held.
func (f *Forwarder) sync(now time.Duration, limit int) {
	for _, to := range f.picker.Members() {
		m, ok := f.picker.Sync(now, to, limit)
		if !ok {
			continue
		}
		b, err := f.keys.SignDatagram(messenger.DatagramSync, messenger.EncodeSyncMessage(f.name, m))
		if err != nil {
			f.log.Error("sync-encode-failed", "error", err)
			continue
		}
		f.counters.RecordsOut.Add(uint64(len(m.Records)))
		f.transmit(to, b)
	}
}

func (f *Forwarder) transmit(to picker.MemberID, b []byte) {
	addr := f.peers.Load().byID[to]
	if addr == nil {
		return
	}
	f.counters.ControlOut.Add(uint64(len(b)))
	if _, err := f.peer.WriteToUDP(b, addr); err != nil {
		f.counters.SendFailed.Add(1)
	}
}

// datagram handles a sealed datagram. The lock is held.
func (f *Forwarder) datagram(now time.Duration, b []byte, from net.Addr) {
	f.counters.ControlIn.Add(uint64(len(b)))
	kind, body, err := f.keys.VerifyDatagram(b)
	if err != nil {
		f.counters.Forged.Add(1)
		return
	}
	if kind == messenger.DatagramSync {
		f.takeSync(now, body)
		return
	}
	copied := append([]byte(nil), body...) // the buffer is used again
	taken, err := f.control.Gossip(from.String(), copied)
	if err != nil || !taken {
		f.counters.ControlDropped.Add(1)
	}
}

func (f *Forwarder) takeSync(now time.Duration, body []byte) {
	var s messenger.EncodedSyncMessage
	if err := messenger.Decode(body, &s); err != nil {
		f.counters.ControlDropped.Add(1)
		return
	}
	m := s.Decode()
	f.counters.RecordsIn.Add(uint64(len(m.Records)))
	f.picker.TakeSync(now, picker.NewMemberID(s.From), m)
}

// HandoverError reports that a handover was not acknowledged in time.
type HandoverError struct {
	Records int
}

// Error implements error.
func (e *HandoverError) Error() string {
	return "not all exceptions were acknowledged by the other members"
}

// Handover gives the other members all exceptions of a leaving instance, young ones
// included, and waits until they are acknowledged and all know that it leaves. The view must show the instance as
// leaving. It returns a *HandoverError when ctx ends first.
func (f *Forwarder) Handover(ctx context.Context) error {
	ticks, stop := f.clock.Ticker(houseEvery)
	defer stop()
	for {
		f.mu.Lock()
		f.picker.Flush()
		left := f.picker.Unsynced()
		agreed := f.picker.Agreed()
		if left > 0 || !agreed {
			f.sync(f.now(), messenger.MaxSyncRecords)
		}
		f.mu.Unlock()
		if left == 0 && agreed {
			return nil
		}
		select {
		case <-ticks:
		case <-ctx.Done():
			return &HandoverError{Records: left}
		}
	}
}
