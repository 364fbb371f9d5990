package controller

import (
	"slices"
	"time"

	"almondpick/gossiper"
	"almondpick/voter"
)

// learnerRetention is how long a learner whose instance is gone stays in the log.
const learnerRetention = 30 * time.Second

// storageInstance is an instance with a disk, as the electorate is chosen from.
type storageInstance struct {
	ID         voter.ID
	DataCentre string
	CaughtUp   bool // holds nearly all of the log
}

// membershipPolicy is what the choice of the next membership rests on.
type membershipPolicy struct {
	WantedVoters    int // voters wanted
	Current voter.Membership
	Live    []storageInstance // that can be reached, the leader included
	Leader  voter.ID
	ExpiredLearners []voter.ID // learners whose instances have been gone for long
}

// nextMembership returns the membership that comes one step closer to Size live voters, spread
// over the data centres, and whether there is a step to take.
//
// A voter is lost when its instance cannot be reached, or has come back with an empty
// disk and so under another identity. A replacement is added before the lost one is
// taken out: while voters are short, one more loss must not leave a minority of the
// disks that the last acknowledgement rests on.
func (e membershipPolicy) nextMembership() (voter.Membership, bool) {
	m := e.Current
	if id, ok := e.obsoleteLearner(); ok {
		return m.Without(id), true
	}
	for _, s := range e.Live {
		if !m.Has(s.ID) {
			return m.WithLearner(s.ID), true
		}
	}
	live := e.liveVoters()
	if len(live) < e.WantedVoters {
		if id, ok := e.promotionCandidate(live); ok {
			return m.WithVoter(id), true
		}
	}
	if len(m.Voters) <= e.WantedVoters {
		return m, false
	}
	if id, ok := e.unreachableVoter(); ok {
		return m.Without(id), true
	}
	return m.WithLearner(e.surplusVoter(live)), true
}

// obsoleteLearner returns a learner that has come back under another identity, or has
// been gone for long.
func (e membershipPolicy) obsoleteLearner() (voter.ID, bool) {
	for _, id := range e.Current.Learners {
		replaced := slices.ContainsFunc(e.Live, func(s storageInstance) bool {
			return s.ID != id && instanceNameOf(s.ID) == instanceNameOf(id)
		})
		if replaced || slices.Contains(e.ExpiredLearners, id) {
			return id, true
		}
	}
	return "", false
}

func (e membershipPolicy) liveVoters() []storageInstance {
	var out []storageInstance
	for _, s := range e.Live {
		if e.Current.Votes(s.ID) {
			out = append(out, s)
		}
	}
	return out
}

// promotionCandidate returns the caught-up learner whose data centre has the fewest voters.
func (e membershipPolicy) promotionCandidate(live []storageInstance) (voter.ID, bool) {
	var chosen voter.ID
	fewest := 0
	for _, s := range e.Live {
		if e.Current.Votes(s.ID) || !s.CaughtUp {
			continue
		}
		n := countVotersIn(live, s.DataCentre)
		if chosen == "" || n < fewest {
			chosen, fewest = s.ID, n
		}
	}
	return chosen, chosen != ""
}

func countVotersIn(voters []storageInstance, dataCentre string) int {
	n := 0
	for _, v := range voters {
		if v.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// unreachableVoter returns a voter that cannot be reached under its identity.
func (e membershipPolicy) unreachableVoter() (voter.ID, bool) {
	for _, id := range e.Current.Voters {
		if !slices.ContainsFunc(e.Live, func(s storageInstance) bool { return s.ID == id }) {
			return id, true
		}
	}
	return "", false
}

// surplusVoter returns the live voter, other than the leader, whose data centre has the
// most voters.
func (e membershipPolicy) surplusVoter(live []storageInstance) voter.ID {
	var chosen voter.ID
	most := 0
	for _, s := range live {
		if s.ID == e.Leader {
			continue
		}
		if n := countVotersIn(live, s.DataCentre); n >= most {
			chosen, most = s.ID, n
		}
	}
	return chosen
}

// adjustVoters takes the next step when this instance leads.
func (c *Controller) adjustVoters(now time.Duration) {
	if c.voter == nil || c.voterErr != nil || c.voter.Role() != voter.Leader {
		return
	}
	e := c.membershipPolicy(now)
	next, ok := e.nextMembership()
	if !ok {
		return
	}
	if err := c.voter.ChangeMembership(now, next); err != nil {
		c.log.Debug("membership-change-waits", "error", err)
		return
	}
	c.log.Info("membership-change", "voters", next.Voters, "learners", next.Learners, "index", c.voter.LastIndex())
}

func (c *Controller) membershipPolicy(now time.Duration) membershipPolicy {
	self := c.voter.ID()
	e := membershipPolicy{
		WantedVoters: c.settings.VoterCount, Current: c.voter.Membership(), Leader: self,
		Live: []storageInstance{{ID: self, DataCentre: c.settings.Self.DataCentre, CaughtUp: true}},
	}
	for _, m := range c.gossip.Members() {
		if m.Alive() && m.VoterID != "" {
			id := voter.ID(m.VoterID)
			e.Live = append(e.Live, storageInstance{ID: id, DataCentre: m.DataCentre, CaughtUp: c.voter.CaughtUp(id)})
		}
	}
	for _, id := range e.Current.Learners {
		m, ok := c.gossip.Member(instanceNameOf(id))
		if !ok || (m.Rank == gossiper.RankDead && now-m.Since > learnerRetention) {
			e.ExpiredLearners = append(e.ExpiredLearners, id)
		}
	}
	return e
}

// nearestStorageAddress returns the peer door of a live instance with a disk, of this data
// centre if there is one, and not the one to avoid if there is another. Those know who
// leads.
func (c *Controller) nearestStorageAddress(avoid string) (string, bool) {
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

// homeReachability returns whether the instance that a target announces itself to can be
// reached. Where no instance takes announcements any more, all count as reachable:
// targets cannot be told from silent ones then.
func (c *Controller) homeReachability() func(name string) bool {
	if c.settings.VoterCount == 0 {
		return c.instanceAlive
	}
	storageReachable := c.settings.DataFolder != ""
	c.gossip.Each(func(m gossiper.Member) bool {
		storageReachable = storageReachable || (m.Alive() && m.VoterID != "")
		return !storageReachable
	})
	if !storageReachable {
		return func(string) bool { return true }
	}
	return c.instanceAlive
}

// isLogMember tells whether this instance gets the configuration as a member of the log.
func (c *Controller) isLogMember() bool {
	return c.voter != nil && c.voterErr == nil && c.voter.Membership().Has(c.voter.ID())
}

// trackStorageContact logs when the last instance with a disk is lost from sight, and when one is
// in sight again.
func (c *Controller) trackStorageContact() {
	_, reachable := c.nearestStorageAddress("")
	switch {
	case reachable && !c.cutOffSince.IsZero():
		c.log.Info("stores-regained", "lost-for", c.clock.Now().Sub(c.cutOffSince))
		c.cutOffSince = time.Time{}
	case !reachable && c.cutOffSince.IsZero() && c.stateMachine.Config().Version > 0:
		c.cutOffSince = c.clock.Now()
		c.log.Warn("stores-lost", "version", c.stateMachine.Config().Version)
	}
}

// logLeaderChange logs every change of the leader.
func (c *Controller) logLeaderChange() {
	if leader := c.voter.Leader(); leader != c.loggedLeader {
		c.loggedLeader = leader
		c.log.Info("leader", "leader", leader, "term", c.voter.Term(), "commit", c.voter.Commit())
	}
}

// voterRestartInterval is how often a data folder that refused a write is tried again.
const voterRestartInterval = 500 * time.Millisecond

// stopVoter ends the voter after a failed write: it must not speak of what may not be
// durable.
func (c *Controller) stopVoter(err error) {
	c.voterErr = err
	c.nextVoterRestart = c.now() + voterRestartInterval
	c.log.Error("voter-stopped", "error", err)
	c.failPendingCalls()
}

// restartVoter starts the voter again from what the disk holds, as a restart would.
func (c *Controller) restartVoter(now time.Duration) {
	if c.voterErr == nil || c.journal == nil || now < c.nextVoterRestart {
		return
	}
	c.nextVoterRestart = now + voterRestartInterval
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
