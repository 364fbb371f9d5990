package controller

import (
	"context"
	"time"

	"almondpick/voter"
)

// Timeout and polling interval of a leadership transfer.
const (
	leadershipTransferTimeout = 500 * time.Millisecond // upper limit, within a planned stop
	leadershipTransferPoll    = 10 * time.Millisecond
)

// TransferLeadership transfers the leadership, if this instance has it, to another voter
// before a planned stop, so that commands need not wait for an election timeout. It returns
// once another voter leads, or after leadershipTransferTimeout. Without a successor the stop
// costs an election but loses nothing.
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

// advanceLeadershipTransfer takes the next step of a transfer and reports whether the transfer
// is complete.
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
	to, ok := c.voter.TransferLeadership(c.now())
	if ok {
		*transferred = true
		c.log.Info("resigned", "successor", to, "term", c.voter.Term())
	}
	return false
}
