package forwarder

import (
	"context"
	"net"
	"time"

	"almondpick/messenger"
	"almondpick/picker"
)

const (
	defaultReplicationBudget = 3 << 10 // bytes a second
	tickInterval             = 250 * time.Millisecond
	syncInterval             = 500 * time.Millisecond // to each member
	syncHeaderSize           = 64                     // bytes of a datagram beside its records
)

// keepHouse does the periodic work of the door.
func (f *Forwarder) runTicks() {
	defer f.runningLoops.Done()
	ticks, stop := f.clock.Ticker(tickInterval)
	defer stop()
	nextSync := f.now()
	for {
		select {
		case <-f.done:
			return
		case <-ticks:
		}
		f.mu.Lock()
		now := f.now()
		f.picker.Tick(now)
		if now >= nextSync {
			nextSync = now + syncInterval
			f.sendSyncs(now, f.recordLimit())
		}
		f.mu.Unlock()
	}
}

// recordLimit returns how many records a message may carry for the streams to all
// members to stay within the budget.
func (f *Forwarder) recordLimit() int {
	members := max(1, len(f.picker.OtherMembers()))
	syncBytes := f.replicationBudget*syncInterval.Seconds()/float64(members) - syncHeaderSize
	return min(messenger.MaxRecords, max(1, int(syncBytes/messenger.RecordSize)))
}

// sync sends every member the next message of the stream of exceptions. The lock is
// held.
func (f *Forwarder) sendSyncs(now time.Duration, limit int) {
	for _, to := range f.picker.OtherMembers() {
		m, ok := f.picker.NextSync(now, to, limit)
		if !ok {
			continue
		}
		b, err := f.keys.Seal(messenger.DatagramSync, messenger.PackSync(f.instanceName, m))
		if err != nil {
			f.log.Error("sync-encode-failed", "error", err)
			continue
		}
		f.counters.RecordsSent.Add(uint64(len(m.Records)))
		f.sendToMember(to, b)
	}
}

func (f *Forwarder) sendToMember(to picker.MemberID, b []byte) {
	addr := f.peerAddrs.Load().byID[to]
	if addr == nil {
		return
	}
	f.counters.ControlBytesSent.Add(uint64(len(b)))
	if _, err := f.peerSocket.WriteToUDP(b, addr); err != nil {
		f.counters.SendErrors.Add(1)
	}
}

// datagram handles a sealed datagram. The lock is held.
func (f *Forwarder) handleDatagram(now time.Duration, b []byte, from net.Addr) {
	f.counters.ControlBytesReceived.Add(uint64(len(b)))
	kind, body, err := f.keys.Open(b)
	if err != nil {
		f.counters.DatagramsForged.Add(1)
		return
	}
	if kind == messenger.DatagramSync {
		f.handleSync(now, body)
		return
	}
	copied := append([]byte(nil), body...) // the buffer is used again
	accepted, err := f.gossipHandler.Gossip(from.String(), copied)
	if err != nil || !accepted {
		f.counters.ControlDatagramsDropped.Add(1)
	}
}

func (f *Forwarder) handleSync(now time.Duration, body []byte) {
	var s messenger.Sync
	if err := messenger.Decode(body, &s); err != nil {
		f.counters.ControlDatagramsDropped.Add(1)
		return
	}
	m := s.Unpack()
	f.counters.RecordsReceived.Add(uint64(len(m.Records)))
	f.picker.ApplySync(now, picker.NewMemberID(s.From), m)
}

// HandoverError reports that a handover was not acknowledged in time.
type HandoverError struct {
	UnacknowledgedRecords int
}

// Error implements error.
func (e *HandoverError) Error() string {
	return "not all exceptions were acknowledged by the other members"
}

// HandOverFlows gives the other members all exceptions of a leaving instance, young ones
// included, and waits until they are acknowledged and all know that it leaves. The view must show the instance as
// leaving. It returns a *HandoverError when ctx ends first.
func (f *Forwarder) HandOverFlows(ctx context.Context) error {
	ticks, stop := f.clock.Ticker(tickInterval)
	defer stop()
	for {
		f.mu.Lock()
		f.picker.PublishAll()
		unacknowledged := f.picker.UnacknowledgedRecords()
		viewsAgree := f.picker.AllViewsAgree()
		if unacknowledged > 0 || !viewsAgree {
			f.sendSyncs(f.now(), messenger.MaxRecords)
		}
		f.mu.Unlock()
		if unacknowledged == 0 && viewsAgree {
			return nil
		}
		select {
		case <-ticks:
		case <-ctx.Done():
			return &HandoverError{UnacknowledgedRecords: unacknowledged}
		}
	}
}
