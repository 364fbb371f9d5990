package requester

import (
	"context"
	"strconv"

	"almondpick/issuer"
	"almondpick/messenger"
)

// A planned stop hands the ticket tables over: freeze, send all parts, forget. The
// successor acts on none of the tables before the final part, so a handover that breaks off
// leaves the door that stops in charge. Once the final part is under way the door that stops
// cannot know whether it has arrived, and is in charge no more.

// handoverPart bounds one message of a handover.
const handoverPart = 1 << 20 // bytes

// stagedHandovers is how many unfinished handovers are kept; older ones were given up.
const stagedHandovers = 4

// staged is a handover whose final part has not come yet.
type staged struct {
	id    string
	parts []messenger.TicketHandover
}

// Freeze keeps new work with tickets waiting, and waits until none is running. It
// returns the error of ctx when that ends first; what still runs then goes to the
// successor as unknown.
func (d *Proxy) PauseKeyedRequests(ctx context.Context) error {
	d.setFrozen(true)
	ticks, stop := d.clock.Ticker(expireEvery)
	defer stop()
	for {
		d.ticketMu.Lock()
		left := d.running
		d.ticketMu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-ticks:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *Proxy) setFrozen(on bool) {
	d.ticketMu.Lock()
	defer d.ticketMu.Unlock()
	d.frozen = on
	d.thawed.Broadcast()
}

// HandedOver forgets the ticket tables, which the door at the given address holds
// from now on, and passes the requests there that have waited since Freeze.
func (d *Proxy) CompleteHandover(to string) {
	d.ticketMu.Lock()
	clear(d.tables)
	d.ticketMu.Unlock()
	d.successor.Store(&to)
	d.setFrozen(false)
}

// Thaw lets work with tickets go on here after a handover that failed.
func (d *Proxy) ResumeKeyedRequests() {
	d.setFrozen(false)
}

// Tables returns the ticket tables in the form of handover messages, to be sent in this
// order.
func (d *Proxy) ExportHandover() []messenger.TicketHandover {
	d.ticketMu.Lock()
	defer d.ticketMu.Unlock()
	d.handovers++
	id := d.owner + "/" + strconv.Itoa(d.handovers)
	var out []messenger.TicketHandover
	for owner, table := range d.tables {
		part := messenger.TicketHandover{ID: id, Owner: owner}
		size := 0
		for _, row := range table.Export() {
			part.Records = append(part.Records, messenger.TicketRecord{
				Sequence: row.Sequence, State: uint8(row.State), Status: row.Response.StatusCode, Header: row.Response.Header,
				Body: row.Response.Body, Whole: row.Response.Retained, Fingerprint: row.RequestFingerprint,
			})
			size += len(row.Response.Body) + len(row.Response.Header)
			if size > handoverPart {
				out = append(out, part)
				part = messenger.TicketHandover{ID: id, Owner: owner}
				size = 0
			}
		}
		out = append(out, part)
	}
	if len(out) > 0 {
		out[len(out)-1].Final = true
	}
	return out
}

// TakeTables takes over a part of another instance's ticket tables. They are in use from
// the final part on.
func (d *Proxy) ImportHandover(h *messenger.TicketHandover) {
	d.ticketMu.Lock()
	defer d.ticketMu.Unlock()
	parts := append(d.unstage(h.ID), *h)
	if !h.Final {
		d.staged = append(d.staged, staged{id: h.ID, parts: parts})
		if len(d.staged) > stagedHandovers {
			d.log.Warn("handover-given-up", "id", d.staged[0].id, "parts", len(d.staged[0].parts))
			d.staged = d.staged[1:]
		}
		return
	}
	for _, part := range parts {
		d.importRows(part)
	}
	d.log.Info("tickets-taken-over", "id", h.ID, "parts", len(parts))
}

// unstage removes and returns the parts of a handover that have come so far.
func (d *Proxy) unstage(id string) []messenger.TicketHandover {
	for i, one := range d.staged {
		if one.id == id {
			d.staged = append(d.staged[:i:i], d.staged[i+1:]...)
			return one.parts
		}
	}
	return nil
}

func (d *Proxy) importRows(h messenger.TicketHandover) {
	var rows []issuer.ExportedEntry
	for _, r := range h.Records {
		rows = append(rows, issuer.ExportedEntry{
			Sequence: r.Sequence, State: issuer.RequestState(r.State), RequestFingerprint: r.Fingerprint,
			Response: issuer.Response{StatusCode: r.Status, Header: r.Header, Body: r.Body, Retained: r.Whole},
		})
	}
	table := d.tables[h.Owner]
	if table == nil {
		table = issuer.NewKeyTable()
		d.tables[h.Owner] = table
	}
	table.Import(d.now(), rows)
}
