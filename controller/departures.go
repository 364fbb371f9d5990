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

// Limits of the commands that record departures.
const (
	departureCommitTimeout  = time.Second
	maxDeparturesPerCommand = 512 // departures
)

// DepartureNotDurableError is returned when no majority has made the departure of a target
// durable in time. Instances that heard of the departure give the target no new work, but the
// target has to repeat its notification until one succeeds.
type DepartureNotDurableError struct{}

// Error implements error.
func (*DepartureNotDurableError) Error() string {
	return "no majority has recorded yet that the target leaves"
}

// DepartureIgnoredError is returned for the departure of a target that the record of its endpoint
// does not show, because a newer announcement for the endpoint is known.
type DepartureIgnoredError struct {
	Endpoint netip.AddrPort
}

// Error implements error.
func (e *DepartureIgnoredError) Error() string {
	return "a newer announcement is known for " + e.Endpoint.String()
}

// NotCaughtUpError is returned for the deregistration of an unknown target by an instance that
// has just started and may still learn of the target.
type NotCaughtUpError struct{}

// Error implements error.
func (*NotCaughtUpError) Error() string {
	return "this instance has just started and does not know the targets yet"
}

// departureQueue holds the departures of targets until they are committed to the log.
// Departures that arrive while a command is in progress go into the next command, so that many
// targets that leave at once cost only a few disk syncs.
type departureQueue struct {
	waiting   []pendingDeparture
	proposing bool // a command that records departures is in progress
	// reported holds departures on the disks of other voters, committed or not.
	reported map[netip.AddrPort]announcer.Departure
}

type pendingDeparture struct {
	departure announcer.Departure
	committed chan<- bool // receives whether the departure was committed
}

// Deregister processes the notification of a target that it has ended. If it returns nil, the end
// is durable, or the target is unknown, and this instance knows the targets. The error is a
// *announcer.NotDrainingError, a *NotCaughtUpError, an *UnconfirmedReadError, a
// *DepartureIgnoredError, a *DepartureNotDurableError or a *ClosedError.
func (c *Controller) Deregister(ctx context.Context, identity uint64) error {
	outcome, err := c.deregisterKnown(ctx, identity)
	if err == nil && outcome == announcer.NotDraining {
		// The log may hold a notice that this instance has not received yet.
		if err = c.awaitNewestLog(ctx); err == nil {
			outcome, err = c.deregisterKnown(ctx, identity)
		}
	}
	if err == nil && outcome == announcer.NotDraining {
		err = &announcer.NotDrainingError{Identity: identity}
	}
	c.log.Info("target-withdrawal", "identity", identity, "outcome", outcome.String(), "error", err)
	return err
}

// deregisterKnown processes a deregistration by what this instance knows of the target.
func (c *Controller) deregisterKnown(ctx context.Context, identity uint64) (announcer.DeregistrationOutcome, error) {
	var outcome announcer.DeregistrationOutcome
	var committed <-chan bool
	var err error
	knowsTargets := false
	ok := c.runInLoop(ctx, func() {
		var at netip.AddrPort
		at, outcome = c.registry.Deregister(c.now(), identity, c.gossip)
		if outcome == announcer.Ended {
			committed, err = c.commitDeparture(at, identity)
		}
		knowsTargets = c.knowsTargets()
	})
	if !ok { // the control loop may still set the outcome
		return announcer.UnknownTarget, &ClosedError{}
	}
	switch {
	case outcome == announcer.UnknownTarget && !knowsTargets:
		return outcome, &NotCaughtUpError{}
	case err != nil:
		return outcome, err
	}
	return outcome, c.awaitDepartureCommit(ctx, committed)
}

// commitDeparture proposes the departure of the target with the given identity at an endpoint to
// the log. The channel receives whether it was committed; it is nil if it is committed already or
// the deployment has no log. The error is a *DepartureIgnoredError. The function must be called
// from the control loop.
func (c *Controller) commitDeparture(at netip.AddrPort, identity uint64) (<-chan bool, error) {
	if !c.deploymentHasLog() {
		return nil, nil
	}
	rec, ok := c.gossip.Record(announcer.TargetKey(at))
	if !ok {
		return nil, &DepartureIgnoredError{Endpoint: at}
	}
	d, ok := announcer.DepartureFromRecord(rec)
	if !ok || d.Identity != identity {
		return nil, &DepartureIgnoredError{Endpoint: at}
	}
	if held, ok := c.stateMachine.Departure(at); ok && held.AtLeastAsNewAs(d) {
		return nil, nil
	}
	committed := make(chan bool, 1)
	c.departures.waiting = append(c.departures.waiting, pendingDeparture{departure: d, committed: committed})
	c.proposeDepartures()
	return committed, nil
}

// deploymentHasLog reports whether the deployment has a replicated log.
func (c *Controller) deploymentHasLog() bool {
	return c.settings.VoterCount > 0 || len(c.stateMachine.Config().Voters) > 0
}

// proposeDepartures proposes the queued departures, one command at a time.
func (c *Controller) proposeDepartures() {
	n := min(len(c.departures.waiting), maxDeparturesPerCommand)
	if c.departures.proposing || n == 0 {
		return
	}
	batch := c.departures.waiting[:n:n]
	c.departures.waiting = c.departures.waiting[n:]
	c.departures.proposing = true
	cmd := planner.RecordDepartures{}
	for _, w := range batch {
		cmd.Departures = append(cmd.Departures, w.departure)
	}
	c.runInBackground(departureCommitTimeout, func(ctx context.Context) func() {
		a, err := c.Submit(ctx, planner.Command{RecordDepartures: &cmd})
		return func() {
			c.departures.proposing = false
			ok := err == nil && a.Refusal == nil
			if !ok {
				c.log.Warn("departures-unrecorded", "targets", len(batch), "error", err, "refusal", a.Refusal)
			}
			for _, w := range batch {
				w.committed <- ok
			}
			c.proposeDepartures()
		}
	})
}

// awaitDepartureCommit waits until a departure is committed. The error is a
// *DepartureNotDurableError or a *ClosedError.
func (c *Controller) awaitDepartureCommit(ctx context.Context, committed <-chan bool) error {
	if committed == nil {
		return nil
	}
	select {
	case ok := <-committed:
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

// applyDepartures updates the records of targets whose departures were just committed. The
// storage instance that a target notified may have ended before it could tell any other
// instance.
func (c *Controller) applyDepartures(list []announcer.Departure) {
	for _, d := range list {
		if rec, ok := c.gossip.Record(announcer.TargetKey(d.Endpoint)); ok {
			c.correctTargetRecord(rec)
		}
		c.log.Info("departure-recorded", "endpoint", d.Endpoint, "identity", d.Identity, "incarnation", d.Incarnation,
			"sequence", d.Sequence, "gone", d.Deregistered, "home", d.MonitorInstance)
	}
	c.applyTargetRecords(c.now())
}

// correctTargetRecord returns the record of a target with the departures known for the target
// applied. A record that changes is published, because it came from a disk or an instance that
// missed the departure.
func (c *Controller) correctTargetRecord(rec gossiper.Record) gossiper.Record {
	at, ok := announcer.EndpointFromKey(rec.Key)
	if !ok {
		return rec
	}
	for _, known := range []func(netip.AddrPort) (announcer.Departure, bool){c.stateMachine.Departure, c.reportedDeparture} {
		d, ok := known(at)
		if !ok {
			continue
		}
		next, changed := d.ApplyTo(rec)
		if changed && c.gossip.Publish(next) {
			c.log.Info("target-record-outdated", "endpoint", at, "incarnation", rec.Incarnation, "sequence", rec.Sequence,
				"departed", d.Sequence, "gone", d.Deregistered)
			rec = next
		}
	}
	return rec
}

func (c *Controller) reportedDeparture(at netip.AddrPort) (announcer.Departure, bool) {
	d, ok := c.departures.reported[at]
	return d, ok
}

// Departures returns all departures on the disk of this instance, including those that may
// never be committed. The error is a *NoLogError or a *ClosedError.
func (c *Controller) Departures(ctx context.Context) (*messenger.DeparturesReply, error) {
	reply := &messenger.DeparturesReply{}
	var err error
	ok := c.runInLoop(ctx, func() {
		if c.voter == nil || c.voterErr != nil {
			err = &NoLogError{}
			return
		}
		reply.VoterID = string(c.voter.ID())
		reply.Departures = c.departuresOnDisk()
	})
	if !ok {
		return nil, &ClosedError{}
	}
	return reply, err
}

// NoLogError is returned by an instance that has no readable log on disk.
type NoLogError struct{}

// Error implements error.
func (*NoLogError) Error() string {
	return "this instance has no readable log"
}

// departuresOnDisk returns the departures in the applied state and those in later log entries,
// which may never be committed.
func (c *Controller) departuresOnDisk() []announcer.Departure {
	list := c.stateMachine.Departures()
	for _, e := range c.voter.EntriesAfter(c.stateMachine.AppliedIndex()) {
		if e.Kind != voter.EntryCommand {
			continue
		}
		cmd, err := messenger.DecodeCommand(e.Data)
		if err != nil {
			c.log.Error("command-decode-failed", "index", e.Index, "error", err)
			continue
		}
		if cmd.RecordDepartures != nil {
			list = append(list, cmd.RecordDepartures.Departures...)
		}
	}
	return list
}

// addReportedDepartures stores the departures that the disk of a voter holds.
func (c *Controller) addReportedDepartures(list []announcer.Departure) {
	if c.departures.reported == nil {
		c.departures.reported = make(map[netip.AddrPort]announcer.Departure)
	}
	for _, d := range list {
		if held, ok := c.departures.reported[d.Endpoint]; !ok || !held.AtLeastAsNewAs(d) {
			c.departures.reported[d.Endpoint] = d
		}
	}
}
