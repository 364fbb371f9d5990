package controller

import (
	"slices"
	"time"

	"almondpick/gossiper"
	"almondpick/voter"
)

// learnerKept is how long a learner whose instance is gone stays in the log.
const learnerKept = 30 * time.Second

// storeInstance is an instance with a disk, as the electorate is chosen from.
type storeInstance struct {
	ID         voter.ID
	DataCentre string
	CaughtUp   bool // holds nearly all of the log
}

// electorate is what the choice of the next membership rests on.
type electorate struct {
	Size    int // voters wanted
	Present voter.Membership
	Live    []storeInstance // that can be reached, the leader included
	Leader  voter.ID
	Expired []voter.ID // learners whose instances have been gone for long
}

// next returns the membership that comes one step closer to Size live voters, spread
// over the data centres, and whether there is a step to take.
//
// A voter is lost when its instance cannot be reached, or has come back with an empty
// disk and so under another identity. A replacement is added before the lost one is
// taken out: while voters are short, one more loss must not leave a minority of the
// disks that the last acknowledgement rests on.
func (e electorate) next() (voter.Membership, bool) {
	m := e.Present
	if id, ok := e.obsoleteLearner(); ok {
		return m.Without(id), true
	}
	for _, s := range e.Live {
		if !m.Has(s.ID) {
			return m.WithLearner(s.ID), true
		}
	}
	live := e.liveVoters()
	if len(live) < e.Size {
		if id, ok := e.candidate(live); ok {
			return m.WithVoter(id), true
		}
	}
	if len(m.Voters) <= e.Size {
		return m, false
	}
	if id, ok := e.lostVoter(); ok {
		return m.Without(id), true
	}
	return m.WithLearner(e.surplus(live)), true
}

// obsoleteLearner returns a learner that has come back under another identity, or has
// been gone for long.
func (e electorate) obsoleteLearner() (voter.ID, bool) {
	for _, id := range e.Present.Learners {
		replaced := slices.ContainsFunc(e.Live, func(s storeInstance) bool {
			return s.ID != id && instanceOf(s.ID) == instanceOf(id)
		})
		if replaced || slices.Contains(e.Expired, id) {
			return id, true
		}
	}
	return "", false
}

func (e electorate) liveVoters() []storeInstance {
	var out []storeInstance
	for _, s := range e.Live {
		if e.Present.Votes(s.ID) {
			out = append(out, s)
		}
	}
	return out
}

// candidate returns the caught-up learner whose data centre has the fewest voters.
func (e electorate) candidate(live []storeInstance) (voter.ID, bool) {
	var best voter.ID
	fewest := 0
	for _, s := range e.Live {
		if e.Present.Votes(s.ID) || !s.CaughtUp {
			continue
		}
		n := votersIn(live, s.DataCentre)
		if best == "" || n < fewest {
			best, fewest = s.ID, n
		}
	}
	return best, best != ""
}

func votersIn(voters []storeInstance, dataCentre string) int {
	n := 0
	for _, v := range voters {
		if v.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// lostVoter returns a voter that cannot be reached under its identity.
func (e electorate) lostVoter() (voter.ID, bool) {
	for _, id := range e.Present.Voters {
		if !slices.ContainsFunc(e.Live, func(s storeInstance) bool { return s.ID == id }) {
			return id, true
		}
	}
	return "", false
}

// surplus returns the live voter, other than the leader, whose data centre has the
// most voters.
func (e electorate) surplus(live []storeInstance) voter.ID {
	var worst voter.ID
	most := 0
	for _, s := range live {
		if s.ID == e.Leader {
			continue
		}
		if n := votersIn(live, s.DataCentre); n >= most {
			worst, most = s.ID, n
		}
	}
	return worst
}

// keepElectorate takes the next step when this instance leads.
func (c *Controller) keepElectorate(now time.Duration) {
	if c.voter == nil || c.voterErr != nil || c.voter.Role() != voter.Leader {
		return
	}
	e := c.electorate(now)
	next, ok := e.next()
	if !ok {
		return
	}
	if err := c.voter.ChangeMembership(now, next); err != nil {
		c.log.Debug("membership-change-waits", "error", err)
		return
	}
	c.log.Info("membership-change", "voters", next.Voters, "learners", next.Learners, "index", c.voter.LastIndex())
}

func (c *Controller) electorate(now time.Duration) electorate {
	self := c.voter.ID()
	e := electorate{
		Size: c.settings.VoterCount, Present: c.voter.Membership(), Leader: self,
		Live: []storeInstance{{ID: self, DataCentre: c.settings.Self.DataCentre, CaughtUp: true}},
	}
	for _, m := range c.gossip.Members() {
		if m.Alive() && m.VoterID != "" {
			id := voter.ID(m.VoterID)
			e.Live = append(e.Live, storeInstance{ID: id, DataCentre: m.DataCentre, CaughtUp: c.voter.CaughtUp(id)})
		}
	}
	for _, id := range e.Present.Learners {
		m, ok := c.gossip.Member(instanceOf(id))
		if !ok || (m.Rank == gossiper.RankDead && now-m.Since > learnerKept) {
			e.Expired = append(e.Expired, id)
		}
	}
	return e
}

// nearestStore returns the peer door of a live instance with a disk, of this data
// centre if there is one, and not the one to avoid if there is another. Those know who
// leads.
func (c *Controller) nearestStore(avoid string) (string, bool) {
	best, bestNear := "", false
	c.gossip.Each(func(m gossiper.Member) bool {
		if !m.Alive() || m.VoterID == "" {
			return true
		}
		near := m.DataCentre == c.settings.Self.DataCentre && m.RPC != avoid
		if best == "" || best == avoid || (near && !bestNear) {
			best, bestNear = m.RPC, near
		}
		return true
	})
	return best, best != ""
}

// homeReachable returns whether the instance that a target announces itself to can be
// reached. Where no instance takes announcements any more, all count as reachable:
// targets cannot be told from silent ones then.
func (c *Controller) homeReachable() func(name string) bool {
	if c.settings.VoterCount == 0 {
		return c.instanceAlive
	}
	stores := c.settings.DataFolder != ""
	c.gossip.Each(func(m gossiper.Member) bool {
		stores = stores || (m.Alive() && m.VoterID != "")
		return !stores
	})
	if !stores {
		return func(string) bool { return true }
	}
	return c.instanceAlive
}

// inLog tells whether this instance gets the configuration as a member of the log.
func (c *Controller) inLog() bool {
	return c.voter != nil && c.voterErr == nil && c.voter.Membership().Has(c.voter.ID())
}

// noteCut logs when the last instance with a disk is lost from sight, and when one is
// in sight again.
func (c *Controller) noteCut() {
	_, reachable := c.nearestStore("")
	switch {
	case reachable && !c.cutOffSince.IsZero():
		c.log.Info("stores-regained", "lost-for", c.clock.Now().Sub(c.cutOffSince))
		c.cutOffSince = time.Time{}
	case !reachable && c.cutOffSince.IsZero() && c.stateMachine.Config().Version > 0:
		c.cutOffSince = c.clock.Now()
		c.log.Warn("stores-lost", "version", c.stateMachine.Config().Version)
	}
}

// noteLeader logs every change of the leader.
func (c *Controller) noteLeader() {
	if leader := c.voter.Leader(); leader != c.loggedLeader {
		c.loggedLeader = leader
		c.log.Info("leader", "leader", leader, "term", c.voter.Term(), "commit", c.voter.Commit())
	}
}

// reopenEvery is how often a data folder that refused a write is tried again.
const reopenEvery = 500 * time.Millisecond

// stopVoter ends the voter after a failed write: it must not speak of what may not be
// durable.
func (c *Controller) stopVoter(err error) {
	c.voterErr = err
	c.nextVoterRestart = c.now() + reopenEvery
	c.log.Error("voter-stopped", "error", err)
	c.failWaiters()
}

// reopen starts the voter again from what the disk holds, as a restart would.
func (c *Controller) reopen(now time.Duration) {
	if c.voterErr == nil || c.journal == nil || now < c.nextVoterRestart {
		return
	}
	c.nextVoterRestart = now + reopenEvery
	if err := c.journal.Close(); err != nil {
		c.log.Warn("journal-close-failed", "error", err)
	}
	if err := c.openJournal(""); err != nil {
		c.log.Warn("voter-still-stopped", "error", err)
		return
	}
	c.voterErr = nil
	c.log.Info("voter-restarted", "voter", c.voter.ID(), "commit", c.voter.Commit())
}
