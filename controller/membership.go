package controller

import (
	"slices"
	"time"

	"almondpick/gossiper"
	"almondpick/voter"
)

// learnerRetention is how long a learner stays a member of the log after its instance has
// died.
const learnerRetention = 30 * time.Second

// storageInstance is an instance with a disk, and so a possible voter.
type storageInstance struct {
	ID         voter.ID
	DataCentre string
	CaughtUp   bool // holds nearly all of the log
}

// membershipPolicy holds the state from which the next membership is chosen.
type membershipPolicy struct {
	WantedVoters    int // target number of voters
	Current         voter.Membership
	Live            []storageInstance // reachable, the leader included
	Leader          voter.ID
	ExpiredLearners []voter.ID // learners whose instances are unknown or have been dead for longer than learnerRetention
}

// nextMembership returns the membership one step closer to WantedVoters live voters, spread
// over the data centres. It returns false if no step is needed.
//
// A voter is lost if its instance cannot be reached, or has restarted with an empty disk and
// therefore under a new identity. A replacement is added before the lost voter is removed:
// while there are too few voters, one more loss must not leave only a minority of the disks
// that hold the latest acknowledged entry.
func (p membershipPolicy) nextMembership() (voter.Membership, bool) {
	m := p.Current
	if id, ok := p.obsoleteLearner(); ok {
		return m.Without(id), true
	}
	for _, s := range p.Live {
		if !m.IsMember(s.ID) {
			return m.WithLearner(s.ID), true
		}
	}
	live := p.liveVoters()
	if len(live) < p.WantedVoters {
		if id, ok := p.promotionCandidate(live); ok {
			return m.WithVoter(id), true
		}
	}
	if len(m.Voters) <= p.WantedVoters {
		return m, false
	}
	if id, ok := p.unreachableVoter(); ok {
		return m.Without(id), true
	}
	return m.WithLearner(p.surplusVoter(live)), true
}

// obsoleteLearner returns a learner whose instance has restarted under another identity or has
// been dead for longer than learnerRetention.
func (p membershipPolicy) obsoleteLearner() (voter.ID, bool) {
	for _, id := range p.Current.Learners {
		replaced := slices.ContainsFunc(p.Live, func(s storageInstance) bool {
			return s.ID != id && instanceNameOf(s.ID) == instanceNameOf(id)
		})
		if replaced || slices.Contains(p.ExpiredLearners, id) {
			return id, true
		}
	}
	return "", false
}

func (p membershipPolicy) liveVoters() []storageInstance {
	var out []storageInstance
	for _, s := range p.Live {
		if p.Current.IsVoter(s.ID) {
			out = append(out, s)
		}
	}
	return out
}

// promotionCandidate returns the caught-up learner whose data centre has the fewest voters.
func (p membershipPolicy) promotionCandidate(live []storageInstance) (voter.ID, bool) {
	var chosen voter.ID
	fewest := 0
	for _, s := range p.Live {
		if p.Current.IsVoter(s.ID) || !s.CaughtUp {
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
func (p membershipPolicy) unreachableVoter() (voter.ID, bool) {
	for _, id := range p.Current.Voters {
		if !slices.ContainsFunc(p.Live, func(s storageInstance) bool { return s.ID == id }) {
			return id, true
		}
	}
	return "", false
}

// surplusVoter returns the live voter, other than the leader, whose data centre has the most
// voters.
func (p membershipPolicy) surplusVoter(live []storageInstance) voter.ID {
	var chosen voter.ID
	most := 0
	for _, s := range live {
		if s.ID == p.Leader {
			continue
		}
		if n := countVotersIn(live, s.DataCentre); n >= most {
			chosen, most = s.ID, n
		}
	}
	return chosen
}

// adjustVoters takes the next step towards the wanted voters if this instance leads.
func (c *Controller) adjustVoters(now time.Duration) {
	if c.voter == nil || c.voterErr != nil || c.voter.Role() != voter.Leader {
		return
	}
	policy := c.membershipPolicy(now)
	next, ok := policy.nextMembership()
	if !ok {
		return
	}
	if err := c.voter.ChangeMembership(now, next); err != nil {
		c.log.Debug("membership-change-deferred", "error", err)
		return
	}
	c.log.Info("membership-change", "voters", next.Voters, "learners", next.Learners, "index", c.voter.LastIndex())
}

func (c *Controller) membershipPolicy(now time.Duration) membershipPolicy {
	self := c.voter.ID()
	policy := membershipPolicy{
		WantedVoters: c.settings.VoterCount, Current: c.voter.Membership(), Leader: self,
		Live: []storageInstance{{ID: self, DataCentre: c.settings.Self.DataCentre, CaughtUp: true}},
	}
	for _, m := range c.gossip.Members() {
		if m.Alive() && m.VoterID != "" {
			id := voter.ID(m.VoterID)
			policy.Live = append(policy.Live, storageInstance{ID: id, DataCentre: m.DataCentre, CaughtUp: c.voter.CaughtUp(id)})
		}
	}
	for _, id := range policy.Current.Learners {
		m, ok := c.gossip.Member(instanceNameOf(id))
		if !ok || (m.Liveness == gossiper.LivenessDead && now-m.LivenessSince > learnerRetention) {
			policy.ExpiredLearners = append(policy.ExpiredLearners, id)
		}
	}
	return policy
}

// nearestStorageAddress returns the RPC address of a live storage instance; such an
// instance knows the leader. It prefers this data centre, and returns the address to avoid
// only if there is no other.
func (c *Controller) nearestStorageAddress(avoid string) (string, bool) {
	best, bestNear := "", false
	c.gossip.EachMember(func(m gossiper.Member) bool {
		if !m.Alive() || m.VoterID == "" {
			return true
		}
		near := m.DataCentre == c.settings.Self.DataCentre && m.RPCAddress != avoid
		if best == "" || best == avoid || (near && !bestNear) {
			best, bestNear = m.RPCAddress, near
		}
		return true
	})
	return best, best != ""
}

// monitorReachability returns a function that reports whether the monitor instance of a target
// can be reached. If no live instance accepts announcements, every monitor counts as reachable,
// because then no target is heard and live targets cannot be told from silent ones.
func (c *Controller) monitorReachability() func(name string) bool {
	if c.settings.VoterCount == 0 {
		return c.instanceAlive
	}
	storageReachable := c.settings.DataFolder != ""
	c.gossip.EachMember(func(m gossiper.Member) bool {
		storageReachable = storageReachable || (m.Alive() && m.VoterID != "")
		return !storageReachable
	})
	if !storageReachable {
		return func(string) bool { return true }
	}
	return c.instanceAlive
}

// isLogMember reports whether this instance receives the configuration as a member of the log.
func (c *Controller) isLogMember() bool {
	return c.voter != nil && c.voterErr == nil && c.voter.Membership().IsMember(c.voter.ID())
}

// trackStorageContact records and logs when no storage instance can be reached any more, and
// when one can be reached again.
func (c *Controller) trackStorageContact() {
	_, storageReachable := c.nearestStorageAddress("")
	switch {
	case storageReachable && !c.cutOffSince.IsZero():
		c.log.Info("stores-regained", "lost-for", c.clock.Now().Sub(c.cutOffSince))
		c.cutOffSince = time.Time{}
	case !storageReachable && c.cutOffSince.IsZero() && c.stateMachine.Config().Version > 0:
		c.cutOffSince = c.clock.Now()
		c.log.Warn("stores-lost", "version", c.stateMachine.Config().Version)
	}
}

// logLeaderChange logs every change of the leader.
func (c *Controller) logLeaderChange() {
	if leader := c.voter.Leader(); leader != c.loggedLeader {
		c.loggedLeader = leader
		c.log.Info("leader", "leader", leader, "term", c.voter.Term(), "commit", c.voter.CommitIndex())
	}
}
