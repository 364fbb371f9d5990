package controller

import (
	"context"
	"maps"
	"slices"

	"almondpick/announcer"
	"almondpick/planner"
)

// SetEvacuation evacuates a data centre, or withdraws that. If it returns nil, the order is
// durable at a majority and in force, unless another order for the data centre was committed
// while this one was being processed: that one counts as the later one. The error is a
// *planner.Refusal, which says whether the outcome is known, a *NotCaughtUpError, an
// *UnconfirmedReadError or a *ClosedError.
func (c *Controller) SetEvacuation(ctx context.Context, dataCentre string, evacuated bool) error {
	if err := c.checkDataCentre(ctx, dataCentre); err != nil {
		return err
	}
	if err := c.awaitNewestConfig(ctx); err != nil {
		return err
	}
	var known planner.Evacuation
	if !c.runInLoop(ctx, func() { known = c.stateMachine.Config().Evacuations[dataCentre] }) {
		return &ClosedError{}
	}
	if known.InForce == evacuated {
		return nil
	}
	// An order that its sender has given up is not proposed: the sender may have sent a later one.
	if ctx.Err() != nil {
		return &ClosedError{}
	}
	cmd := planner.SetEvacuation{DataCentre: dataCentre, Evacuated: evacuated, LastChange: known.LastChange}
	result, err := c.Submit(ctx, planner.Command{SetEvacuation: &cmd})
	if err != nil {
		return err
	}
	if result.Refusal != nil {
		return result.Refusal
	}
	return nil
}

// checkDataCentre returns a not-found refusal unless the settings list the data centre. If they
// list none, it has to be that of a known instance, target or evacuation; the error is a
// *NotCaughtUpError while this instance may still learn of more. It is a *ClosedError if the
// control loop does not answer.
func (c *Controller) checkDataCentre(ctx context.Context, dataCentre string) error {
	var err error
	ok := c.runInLoop(ctx, func() {
		listed := slices.Contains(c.settings.DataCentres, dataCentre)
		unlisted := len(c.settings.DataCentres) == 0
		switch {
		case listed || (unlisted && c.observesDataCentre(dataCentre)):
		case unlisted && !c.knowsTargets():
			err = &NotCaughtUpError{}
		default:
			err = &planner.Refusal{Code: planner.CodeNotFound, Field: "data-centre", Value: dataCentre}
		}
	})
	if !ok {
		return &ClosedError{}
	}
	return err
}

// observesDataCentre reports whether a known instance, target or evacuation is of a data centre.
func (c *Controller) observesDataCentre(dataCentre string) bool {
	if _, ok := c.stateMachine.Config().Evacuations[dataCentre]; ok || dataCentre == c.settings.Self.DataCentre {
		return true
	}
	for _, m := range c.gossip.Members() {
		if m.DataCentre == dataCentre {
			return true
		}
	}
	found := false
	c.registry.EachTarget(func(t announcer.Target) { found = found || t.DataCentre == dataCentre })
	return found
}

// SetDataCentres replaces the data centres that an operator may evacuate. The error is a
// *ClosedError.
func (c *Controller) SetDataCentres(ctx context.Context, dataCentres []string) error {
	if !c.runInLoop(ctx, func() { c.settings.DataCentres = dataCentres }) {
		return &ClosedError{}
	}
	return nil
}

// logEvacuations logs the evacuations that have changed since the last call.
func (c *Controller) logEvacuations() {
	current := c.stateMachine.Config().Evacuations
	for _, dataCentre := range slices.Sorted(maps.Keys(current)) {
		e := current[dataCentre]
		if c.loggedEvacuations[dataCentre] == e {
			continue
		}
		c.log.Info("evacuation", "data-centre", dataCentre, "in-force", e.InForce, "index", e.LastChange)
	}
	c.loggedEvacuations = current
}
