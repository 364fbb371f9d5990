package controller

import (
	"context"
	"time"

	"almondpick/voter"
)

// Times of a resignation.
const (
	leadershipTransferTimeout = 500 * time.Millisecond // at most, of a planned stop
	leadershipTransferPoll = 10 * time.Millisecond
)

// TransferLeadership has another store lead if this one does, before a planned stop, so that orders
// need not wait until the others notice that their leader is gone. It returns once another
// one leads, or none was found in time, which costs an election but loses nothing.
func (c *Controller) TransferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
	defer cancel()
	ticks, stop := c.clock.Ticker(leadershipTransferPoll)
	defer stop()
	transferred := false
	for {
		done := false
		if !c.runInLoop(ctx, func() { done = c.advanceLeadershipTransfer(&transferred) }) || done {
			return
		}
		select {
		case <-ticks:
		case <-ctx.Done():
			c.log.Warn("resignation-unfinished", "resigned", transferred)
			return
		}
	}
}

// advanceLeadershipTransfer takes the next step and tells whether there is none left.
func (c *Controller) advanceLeadershipTransfer(transferred *bool) bool {
	if c.voter == nil || c.voterErr != nil {
		return true
	}
	if *transferred {
		return c.voter.Leader() != ""
	}
	if c.voter.Role() != voter.Leader {
		return true
	}
	to, ok := c.voter.HandOver(c.now())
	if ok {
		*transferred = true
		c.log.Info("resigned", "successor", to, "term", c.voter.Term())
	}
	return false
}
