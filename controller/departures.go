package controller

import (
	"context"
	"net/netip"
	"time"

	"almondpick/announcer"
	"almondpick/gossiper"
	"almondpick/messenger"
	"almondpick/planner"
	"almondpick/voter"
)

// Limits of departures on their way into the log.
const (
	departTimeout = time.Second
	departMost    = 512 // in one command
)

// DepartureNotDurableError is returned for the word of a target that it leaves when no majority
// has made that durable in time. The target gets no new work from those that heard of it,
// but has to say it again before it can rely on that.
type DepartureNotDurableError struct{}

// Error implements error.
func (*DepartureNotDurableError) Error() string {
	return "no majority has recorded yet that the target leaves"
}

// NotCaughtUpError is returned for the word of a target that is not known here, by an
// instance that has just started and may yet learn of it.
type NotCaughtUpError struct{}

// Error implements error.
func (*NotCaughtUpError) Error() string {
	return "this instance has just started and does not know the targets yet"
}

// departureQueue holds what targets said of leaving until the log has it. What comes while a
// command is under way goes into the next one, so that many targets that leave at once
// cost a few syncs.
type departureQueue struct {
	waiting []departureWaiter
	sending bool
	// heard are departures that the disks of other voters hold, committed or not.
	heard map[netip.AddrPort]announcer.Departure
}

type departureWaiter struct {
	departure announcer.Departure
	recorded  chan<- bool
}

// recordDeparture has the log record that the target at an endpoint leaves. It returns nil
// where there is nothing to record. It must be called from the control goroutine.
func (c *Controller) recordDeparture(at netip.AddrPort) <-chan bool {
	rec, ok := c.gossip.Record(announcer.KeyOf(at))
	if !ok || !c.hasLog() {
		return nil
	}
	d, ok := announcer.DepartureOf(rec)
	if !ok {
		return nil
	}
	if held, ok := c.stateMachine.Departure(at); ok && held.Covers(d) {
		return nil
	}
	recorded := make(chan bool, 1)
	c.departures.waiting = append(c.departures.waiting, departureWaiter{departure: d, recorded: recorded})
	c.sendDepartures()
	return recorded
}

// hasLog tells whether the deployment has a replicated log at all.
func (c *Controller) hasLog() bool {
	return c.settings.VoterCount > 0 || len(c.stateMachine.Config().Voters) > 0
}

// sendDepartures proposes the departures that wait, one command at a time.
func (c *Controller) sendDepartures() {
	n := min(len(c.departures.waiting), departMost)
	if c.departures.sending || n == 0 {
		return
	}
	batch := c.departures.waiting[:n:n]
	c.departures.waiting = c.departures.waiting[n:]
	c.departures.sending = true
	cmd := planner.Depart{}
	for _, w := range batch {
		cmd.Departures = append(cmd.Departures, w.departure)
	}
	c.runInBackground(departTimeout, func(ctx context.Context) func() {
		a, err := c.Submit(ctx, planner.Command{Depart: &cmd})
		return func() {
			c.departures.sending = false
			ok := err == nil && a.Refusal == nil
			if !ok {
				c.log.Warn("departures-unrecorded", "targets", len(batch), "error", err, "refusal", a.Refusal)
			}
			for _, w := range batch {
				w.recorded <- ok
			}
			c.sendDepartures()
		}
	})
}

// awaitRecorded waits for the log. It returns an *UnrecordedError or a *ClosedError.
func (c *Controller) awaitRecorded(ctx context.Context, recorded <-chan bool) error {
	if recorded == nil {
		return nil
	}
	select {
	case ok := <-recorded:
		if ok {
			return nil
		}
		return &DepartureNotDurableError{}
	case <-ctx.Done():
		return &DepartureNotDurableError{}
	case <-c.done:
		return &ClosedError{}
	}
}

// takeDepartures takes in departures that the log has just brought: the store that they
// were said to may have ended before it could tell anyone.
func (c *Controller) takeDepartures(list []announcer.Departure) {
	for _, d := range list {
		if rec, ok := c.gossip.Record(announcer.KeyOf(d.Endpoint)); ok {
			c.correct(rec)
		}
		c.log.Info("departure-recorded", "endpoint", d.Endpoint, "identity", d.Identity, "incarnation", d.Incarnation,
			"sequence", d.Sequence, "gone", d.Gone, "home", d.Home)
	}
	c.applyTargetRecords(c.now())
}

// correct returns a target's record as it has to be after what the log holds of the
// target, and passes it on where that is another one: rec comes from a disk or an
// instance that missed the departure.
func (c *Controller) correct(rec gossiper.Record) gossiper.Record {
	at, ok := announcer.EndpointOf(rec.Key)
	if !ok {
		return rec
	}
	for _, known := range []func(netip.AddrPort) (announcer.Departure, bool){c.stateMachine.Departure, c.heardDeparture} {
		d, ok := known(at)
		if !ok {
			continue
		}
		next, changed := d.Correct(rec)
		if changed && c.gossip.Publish(next) {
			c.log.Info("target-record-outdated", "endpoint", at, "incarnation", rec.Incarnation, "sequence", rec.Sequence,
				"departed", d.Sequence, "gone", d.Gone)
			rec = next
		}
	}
	return rec
}

func (c *Controller) heardDeparture(at netip.AddrPort) (announcer.Departure, bool) {
	d, ok := c.departures.heard[at]
	return d, ok
}

// Departures returns all departures that this instance's disk holds, those included that
// may never be committed. It returns a *NoDiskError or a *ClosedError.
func (c *Controller) Departures(ctx context.Context) (*messenger.DeparturesReply, error) {
	reply := &messenger.DeparturesReply{}
	var err error
	ok := c.runInLoop(ctx, func() {
		if c.voter == nil || c.voterErr != nil {
			err = &NoLogError{}
			return
		}
		reply.Voter = string(c.voter.ID())
		reply.Departures = c.heldDepartures()
	})
	if !ok {
		return nil, &ClosedError{}
	}
	return reply, err
}

// NoLogError is returned by an instance whose disk holds nothing that can be read.
type NoLogError struct{}

// Error implements error.
func (*NoLogError) Error() string {
	return "this instance has no readable log"
}

func (c *Controller) heldDepartures() []announcer.Departure {
	list := c.stateMachine.Departures()
	for _, e := range c.voter.EntriesAfter(c.stateMachine.Index()) {
		if e.Kind != voter.EntryCommand {
			continue
		}
		cmd, err := messenger.DecodeCommand(e.Data)
		if err != nil {
			c.log.Error("command-unreadable", "index", e.Index, "error", err)
			continue
		}
		if cmd.Depart != nil {
			list = append(list, cmd.Depart.Departures...)
		}
	}
	return list
}

// hearDepartures notes what the disk of a voter holds.
func (c *Controller) hearDepartures(list []announcer.Departure) {
	if c.departures.heard == nil {
		c.departures.heard = make(map[netip.AddrPort]announcer.Departure)
	}
	for _, d := range list {
		if held, ok := c.departures.heard[d.Endpoint]; !ok || !held.Covers(d) {
			c.departures.heard[d.Endpoint] = d
		}
	}
}
