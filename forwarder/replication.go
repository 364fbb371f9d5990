package forwarder

import (
	"context"
	"net"
	"time"

	"almondpick/messenger"
	"almondpick/picker"
)

const (
	defaultReplicationBudget = 3 << 10 // bytes per second
	tickInterval             = 250 * time.Millisecond
	syncInterval             = 500 * time.Millisecond // to each member
	syncHeaderSize           = 64                     // bytes of a datagram apart from its records
)

// runTicks does the periodic work of the picker, and sends the sync messages, until the
// forwarder is closed.
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

// recordLimit returns the maximum number of records in one sync message, with which the
// messages to all members stay within the replication budget. The limit is at least 1.
func (f *Forwarder) recordLimit() int {
	members := max(1, len(f.picker.OtherMembers()))
	syncBytes := f.replicationBudget*syncInterval.Seconds()/float64(members) - syncHeaderSize
	return min(messenger.MaxSyncRecords, max(1, int(syncBytes/messenger.SyncRecordSize)))
}

// sendSyncs sends the next sync message to every member. The lock is held.
func (f *Forwarder) sendSyncs(now time.Duration, limit int) {
	for _, to := range f.picker.OtherMembers() {
		m, ok := f.picker.NextSync(now, to, limit)
		if !ok {
			continue
		}
		b, err := f.keys.SignDatagram(messenger.DatagramSync, messenger.EncodeSyncMessage(f.instanceName, m))
		if err != nil {
			f.log.Error("sync-encode-failed", "error", err)
			continue
		}
		f.counters.RecordsSent.Add(uint64(len(m.Records)))
		f.sendToMember(to, b)
	}
}

// sendToMember sends a signed datagram to a member. A member without a known address is
// skipped, and a send error is only counted.
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

// handleDatagram handles a signed datagram: a sync message, or gossip. The lock is held.
func (f *Forwarder) handleDatagram(now time.Duration, b []byte, from net.Addr) {
	f.counters.ControlBytesReceived.Add(uint64(len(b)))
	kind, body, err := f.keys.VerifyDatagram(b)
	if err != nil {
		f.counters.DatagramsForged.Add(1)
		return
	}
	if kind == messenger.DatagramSync {
		f.handleSync(now, body)
		return
	}
	copied := append([]byte(nil), body...) // the read buffer is reused
	accepted, err := f.gossipHandler.Gossip(from.String(), copied)
	if err != nil || !accepted {
		f.counters.ControlDatagramsDropped.Add(1)
	}
}

// handleSync decodes a sync message and applies it to the picker. The lock is held.
func (f *Forwarder) handleSync(now time.Duration, body []byte) {
	var sync messenger.EncodedSyncMessage
	if err := messenger.Decode(body, &sync); err != nil {
		f.counters.ControlDatagramsDropped.Add(1)
		return
	}
	message := sync.Decode()
	f.counters.RecordsReceived.Add(uint64(len(message.Records)))
	f.picker.ApplySync(now, picker.NewMemberID(sync.From), message)
}

// HandoverError reports a handover that ended before it was complete, with the number of
// records that other members had not acknowledged.
type HandoverError struct {
	UnacknowledgedRecords int
}

// Error implements error.
func (e *HandoverError) Error() string {
	return "not all members acknowledged the flow handover in time"
}

// HandOverFlows sends the records of all non-default flows to the other members, also of
// flows younger than the replication window, and waits until all records are acknowledged
// and all members know that this instance is draining. The view must show this instance as
// draining. HandOverFlows returns a *HandoverError if ctx ends first.
func (f *Forwarder) HandOverFlows(ctx context.Context) error {
	ticks, stop := f.clock.Ticker(tickInterval)
	defer stop()
	for {
		f.mu.Lock()
		f.picker.PublishAll()
		unacknowledged := f.picker.UnacknowledgedRecords()
		viewsAgree := f.picker.AllViewsAgree()
		if unacknowledged > 0 || !viewsAgree {
			f.sendSyncs(f.now(), messenger.MaxSyncRecords)
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
