package requester

import (
	"context"
	"strconv"

	"almondpick/issuer"
	"almondpick/messenger"
)

// At shutdown an instance hands its key tables over to a successor: PauseKeyedRequests,
// send all parts of ExportHandover, CompleteHandover. The successor uses none of the tables
// before the final part arrives, so after an interrupted handover the sender still owns them
// and calls ResumeKeyedRequests. Once the final part has been sent, the sender cannot know
// whether the successor received it and must not use the tables any more.

// maxHandoverPart is the size of retained responses, in bytes, above which a part of a
// handover ends.
const maxHandoverPart = 1 << 20

// maxStagedHandovers is the number of incomplete handovers that an instance keeps. When
// there are more, the sender of the oldest has given it up.
const maxStagedHandovers = 4

// stagedHandover is a handover whose final part has not arrived yet.
type stagedHandover struct {
	id    string
	parts []messenger.KeyTableHandover
}

// PauseKeyedRequests blocks new requests with an idempotency key, and new keys, and waits
// until no request with a key is running. If ctx ends first, its error is returned; the
// outcome of the requests that are still running is then handed over as unknown.
func (px *Proxy) PauseKeyedRequests(ctx context.Context) error {
	px.setKeyedPaused(true)
	ticks, stop := px.clock.Ticker(pollInterval)
	defer stop()
	for {
		px.keyMu.Lock()
		running := px.runningKeyed
		px.keyMu.Unlock()
		if running == 0 {
			return nil
		}
		select {
		case <-ticks:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (px *Proxy) setKeyedPaused(paused bool) {
	px.keyMu.Lock()
	defer px.keyMu.Unlock()
	px.keyedPaused = paused
	px.keyedResumed.Broadcast()
}

// CompleteHandover drops the key tables, which the Proxy at the given address owns from now
// on, and forwards the requests to it that PauseKeyedRequests has blocked.
func (px *Proxy) CompleteHandover(address string) {
	px.keyMu.Lock()
	clear(px.keyTables)
	px.keyMu.Unlock()
	px.successorAddress.Store(&address)
	px.setKeyedPaused(false)
}

// ResumeKeyedRequests unblocks the requests with an idempotency key after a failed handover.
func (px *Proxy) ResumeKeyedRequests() {
	px.setKeyedPaused(false)
}

// ExportHandover returns the key tables as handover messages, to be sent in this order.
func (px *Proxy) ExportHandover() []messenger.KeyTableHandover {
	px.keyMu.Lock()
	defer px.keyMu.Unlock()
	px.handoverCount++
	id := px.issuerID + "/" + strconv.Itoa(px.handoverCount)
	var parts []messenger.KeyTableHandover
	for issuerID, table := range px.keyTables {
		part := messenger.KeyTableHandover{HandoverID: id, IssuerID: issuerID}
		partBytes := 0
		for _, entry := range table.Export() {
			part.Records = append(part.Records, messenger.IdempotencyKeyRecord{
				Sequence: entry.Sequence, State: uint8(entry.State), StatusCode: entry.Response.StatusCode, Header: entry.Response.Header,
				Body: entry.Response.Body, Retained: entry.Response.Retained, RequestFingerprint: entry.RequestFingerprint,
			})
			partBytes += len(entry.Response.Body) + len(entry.Response.Header)
			if partBytes > maxHandoverPart {
				parts = append(parts, part)
				part = messenger.KeyTableHandover{HandoverID: id, IssuerID: issuerID}
				partBytes = 0
			}
		}
		parts = append(parts, part)
	}
	if len(parts) > 0 {
		parts[len(parts)-1].FinalPart = true
	}
	return parts
}

// ImportHandover stores a part of another instance's key tables. The tables come into use
// with the final part.
func (px *Proxy) ImportHandover(h *messenger.KeyTableHandover) {
	px.keyMu.Lock()
	defer px.keyMu.Unlock()
	parts := append(px.removeStaged(h.HandoverID), *h)
	if !h.FinalPart {
		px.stagedHandovers = append(px.stagedHandovers, stagedHandover{id: h.HandoverID, parts: parts})
		if len(px.stagedHandovers) > maxStagedHandovers {
			px.log.Warn("handover-given-up", "id", px.stagedHandovers[0].id, "parts", len(px.stagedHandovers[0].parts))
			px.stagedHandovers = px.stagedHandovers[1:]
		}
		return
	}
	for _, part := range parts {
		px.importEntries(part)
	}
	px.log.Info("tickets-taken-over", "id", h.HandoverID, "parts", len(parts))
}

// removeStaged removes and returns the parts of a handover that have arrived so far. The
// caller holds keyMu.
func (px *Proxy) removeStaged(id string) []messenger.KeyTableHandover {
	for i, handover := range px.stagedHandovers {
		if handover.id == id {
			px.stagedHandovers = append(px.stagedHandovers[:i:i], px.stagedHandovers[i+1:]...)
			return handover.parts
		}
	}
	return nil
}

// importEntries adds the entries of a part to the key table of their issuer. The caller
// holds keyMu.
func (px *Proxy) importEntries(h messenger.KeyTableHandover) {
	var entries []issuer.ExportedEntry
	for _, record := range h.Records {
		entries = append(entries, issuer.ExportedEntry{
			Sequence: record.Sequence, State: issuer.RequestState(record.State), RequestFingerprint: record.RequestFingerprint,
			Response: issuer.Response{StatusCode: record.StatusCode, Header: record.Header, Body: record.Body, Retained: record.Retained},
		})
	}
	table := px.keyTables[h.IssuerID]
	if table == nil {
		table = issuer.NewKeyTable()
		px.keyTables[h.IssuerID] = table
	}
	table.Import(px.now(), entries)
}
