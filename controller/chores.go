package controller

import (
	"context"
	"slices"
	"time"

	"almondpick/announcer"
	"almondpick/gossiper"
	"almondpick/messenger"
	"almondpick/planner"
	"almondpick/voter"
)

// baseSettle is how long the next base set is replicated against before it
// becomes the base set: two windows of replication and some.
const baseSettle = 5 * time.Second

// fitState is since when the fit targets of a service have been the same.
type fitState struct {
	names []string
	since time.Duration
}

// chores does what need not be done at every tick.
func (c *Controller) chores(now time.Duration) {
	c.registry.Tick(now, c.homeReachable(), c.gossip)
	c.endProbation(now)
	c.reopen(now)
	c.fetchNewer()
	c.noteFences(now)
	c.noteMembers(now)
	c.saveTargets(now)
	if c.set.Electorate > 0 {
		c.noteCut()
		c.learnOn(now)
		c.keepElectorate(now)
		return
	}
	c.noteContact()
	c.noteReady(now)
	if c.voter != nil && c.voterErr == nil && c.voter.Lease(now) {
		c.registerInstances(now)
		c.reconcileVoters(now)
		c.moveBases(now)
	}
}

// endProbation opens an empty data folder once the membership has had time to
// show whether the deployment already exists. Only where it does not is
// FirstStart followed: a voter that lost its disk must not vote as its old self.
func (c *Controller) endProbation(now time.Duration) {
	if !c.fresh || (now < probation && c.set.Electorate == 0) {
		return
	}
	c.fresh = false
	identity := ""
	if c.set.FirstStart && slices.Contains(c.set.Voters, c.set.Self.Name) && c.highestVersion() == 0 {
		identity = firstIdentity
	}
	if err := c.openJournal(identity); err != nil {
		c.voterErr = err
		c.log.Error("data-folder-unusable", "error", err)
		return
	}
	c.log.Info("data-folder-made", "voter", c.voter.ID(), "first-start", identity == firstIdentity)
}

func (c *Controller) highestVersion() uint64 {
	var top uint64
	for _, m := range c.gossip.Members() {
		if m.Alive() {
			top = max(top, m.Version)
		}
	}
	return top
}

// fetchNewer reads the configuration from a member that has a newer one. Members
// learn of versions by gossip, so a change spreads from instance to instance and
// no instance has to serve all others.
func (c *Controller) fetchNewer() {
	if c.fetching || c.inLog() {
		return
	}
	best, ok := c.gossip.Newest()
	if !ok || best.Version <= c.machine.Config().Version {
		return
	}
	c.fetching = true
	after := c.machine.Index()
	c.background(fetchTimeout, func(ctx context.Context) func() {
		reply, err := c.transport.Fetch(ctx, best.RPC, after)
		return func() {
			c.fetching = false
			if err != nil {
				c.log.Warn("fetch-failed", "from", best.Name, "error", err)
				return
			}
			c.takeFetched(best.Name, reply)
			c.learnOn(c.now())
		}
	})
}

// takeFetched takes in what another instance has sent of the configuration.
func (c *Controller) takeFetched(from string, reply *messenger.FetchReply) {
	if len(reply.Snapshot) > 0 {
		if err := c.restore(reply.Snapshot); err != nil {
			c.log.Error("fetch-unreadable", "from", from, "error", err)
			return // this position of the log has not been reached
		}
		c.commands = nil
	}
	for _, a := range reply.Commands {
		c.applyCommand(a)
	}
	c.machine.Skip(reply.Index)
}

// restore replaces the state by a packed one from another instance.
func (c *Controller) restore(packed []byte) error {
	plain, err := messenger.Unpack(packed)
	if err != nil {
		return err
	}
	before := c.machine.Config().Version
	if err := c.machine.Restore(plain); err != nil {
		return err
	}
	c.noteInForce(before)
	return nil
}

// noteContact keeps track of since when too few voters have been in reach.
func (c *Controller) noteContact() {
	voters := c.machine.Config().Voters
	if len(voters) == 0 {
		return
	}
	n := 0
	for _, v := range voters {
		if c.aliveInstance(v) {
			n++
		}
	}
	if n > len(voters)/2 {
		c.cutSince = time.Time{}
	} else if c.cutSince.IsZero() {
		c.cutSince = c.clock.Now()
		c.log.Warn("cut-off", "voters-in-reach", n, "voters", len(voters))
	}
	var unix int64
	if !c.cutSince.IsZero() {
		unix = c.cutSince.Unix()
	}
	c.gossip.Update(func(i gossiper.Instance) gossiper.Instance {
		i.CutOffSince = unix
		return i
	})
}

// noteReady decides when the instance may serve: when a majority of the voters was
// heard since the start and nobody has a newer configuration; or, when that does
// not come about, with the newest that anyone in reach has.
func (c *Controller) noteReady(now time.Duration) {
	if c.confirm && c.ready {
		return
	}
	version := c.machine.Config().Version
	newest := version > 0 && version >= c.highestVersion()
	if newest && c.heardMajority() && c.followsLog() {
		c.confirm = true
	}
	if !c.ready && (c.confirm || (newest && now >= readyAnyway)) {
		c.ready = true
		c.log.Info("ready", "version", version, "confirmed", c.confirm)
	}
}

// heardMajority tells whether a majority of the voters was heard since the start.
func (c *Controller) heardMajority() bool {
	voters := c.machine.Config().Voters
	heard := 0
	for _, v := range voters {
		m, ok := c.gossip.Member(v)
		if v == c.set.Self.Name || (ok && m.Alive() && m.LastContact > 0) {
			heard++
		}
	}
	return heard > len(voters)/2
}

// followsLog tells whether the instance is no voter, or one that knows a leader.
func (c *Controller) followsLog() bool {
	return c.voter == nil || !c.voter.Membership().Votes(c.voter.ID()) || c.voter.Leader() != ""
}

// noteFences has a new World made when the fence of a target ends.
func (c *Controller) noteFences(now time.Duration) {
	c.registry.Targets(func(t announcer.Target) {
		if t.Fence > 0 && now >= t.Fence && now-t.Fence < 2*choresEvery {
			c.seen = revisions{}
		}
	})
}

func (c *Controller) propose(now time.Duration, cmd planner.Command) {
	if _, _, err := c.voter.Propose(now, encode(cmd)); err != nil {
		c.log.Warn("proposal-failed", "error", err)
	}
}

// registerInstances makes live instances known to the configuration, so that
// fences wait for them.
func (c *Controller) registerInstances(now time.Duration) {
	cfg := c.machine.Config()
	var names []string
	if !cfg.Instances[c.set.Self.Name] {
		names = append(names, c.set.Self.Name)
	}
	for _, m := range c.gossip.Members() {
		if m.Alive() && !cfg.Instances[m.Name] && !cfg.Retired[m.Name] {
			names = append(names, m.Name)
		}
	}
	if len(names) == 0 || c.voter.Commit() < c.voter.LastIndex() {
		return
	}
	c.propose(now, planner.Command{Register: &planner.Register{Instances: names, Voters: c.votingInstances()}})
}

func (c *Controller) votingInstances() []string {
	var names []string
	for _, id := range c.voter.Membership().Voters {
		names = append(names, instanceOf(id))
	}
	return names
}

// reconcileVoters brings the membership of the log one step closer to the voters
// that the configuration names. An instance with a new disk first learns, then its
// old identity goes, and only then does it vote.
func (c *Controller) reconcileVoters(now time.Duration) {
	cfg := c.machine.Config()
	if len(cfg.Voters) == 0 {
		return
	}
	present := c.voter.Membership()
	next, ok := c.nextMembership(present, cfg.Voters)
	if !ok {
		return
	}
	if err := c.voter.ChangeMembership(now, next); err != nil {
		c.log.Debug("membership-change-waits", "error", err)
		return
	}
	c.log.Info("membership-change", "voters", next.Voters, "learners", next.Learners)
}

func (c *Controller) nextMembership(present voter.Membership, names []string) (voter.Membership, bool) {
	for _, name := range names {
		id, ok := c.voterOf(name)
		if !ok || present.Votes(id) {
			continue
		}
		if !present.Has(id) {
			return present.WithLearner(id), true
		}
		if !c.voter.CaughtUp(id) {
			continue
		}
		if old, found := voterOn(present.Voters, name); found {
			return present.Without(old), true
		}
		return present.WithVoter(id), true
	}
	for _, id := range slices.Concat(present.Voters, present.Learners) {
		if !slices.Contains(names, instanceOf(id)) {
			return present.Without(id), true
		}
	}
	return present, false
}

// voterOf returns the identity that an instance has in the log now.
func (c *Controller) voterOf(name string) (voter.ID, bool) {
	if name == c.set.Self.Name {
		return c.voter.ID(), true
	}
	m, ok := c.gossip.Member(name)
	if !ok || !m.Alive() || m.VoterID == "" {
		return "", false
	}
	return voter.ID(m.VoterID), true
}

func voterOn(ids []voter.ID, name string) (voter.ID, bool) {
	for _, id := range ids {
		if instanceOf(id) == name {
			return id, true
		}
	}
	return "", false
}

// moveBases lets the base sets follow the fit targets, lazily and in two steps.
// While a base is about to move, a flow counts as derivable only if both sets give
// the same target, so all others are replicated before the old set is dropped.
func (c *Controller) moveBases(now time.Duration) {
	cfg := c.machine.Config()
	for name, s := range cfg.Services {
		fit := c.fitTargets(now, cfg, s)
		state, ok := c.fitSince[name]
		if !ok || !slices.Equal(state.names, fit) {
			c.fitSince[name] = fitState{names: fit, since: now}
			continue
		}
		if cmd, ok := c.nextBase(now, cfg.Bases[name], name, state); ok {
			c.fitSince[name] = fitState{names: fit, since: now}
			c.propose(now, planner.Command{SetBase: &cmd})
		}
	}
}

func (c *Controller) nextBase(now time.Duration, b planner.Base, service string, fit fitState) (planner.SetBase, bool) {
	cmd := planner.SetBase{Service: service, Number: b.Number}
	age := now - fit.since
	switch {
	case len(fit.names) == 0:
		return cmd, false
	case len(b.Targets) == 0 && age >= time.Second:
		cmd.Targets = fit.names
		return cmd, true
	case len(b.Next) > 0 && age >= baseSettle && c.inForceEverywhere():
		cmd.Targets = b.Next
		return cmd, true
	case len(b.Next) == 0 && len(b.Targets) > 0 && !slices.Equal(b.Targets, fit.names) && age >= c.set.BaseLag:
		cmd.Targets, cmd.Next = b.Targets, fit.names
		return cmd, true
	}
	return cmd, false
}

func (c *Controller) fitTargets(now time.Duration, cfg planner.Config, s planner.Service) []string {
	var names []string
	c.registry.Targets(func(t announcer.Target) {
		if t.Fit(now) && !cfg.Drained[t.Name()] && slices.Contains(s.Jobs, t.Job) {
			names = append(names, t.Name())
		}
	})
	slices.Sort(names)
	return names
}

// inForceEverywhere tells whether every live instance has the configuration.
func (c *Controller) inForceEverywhere() bool {
	version := c.machine.Config().Version
	for _, m := range c.gossip.Members() {
		if m.Alive() && m.Version < version {
			return false
		}
	}
	return true
}

// lowestInForce returns the lowest version that any registered instance is known
// to have, dead ones included: only retiring them takes them out.
func (c *Controller) lowestInForce() uint64 {
	cfg := c.machine.Config()
	lowest := cfg.Version
	for name := range cfg.Instances {
		if name == c.set.Self.Name {
			continue
		}
		m, ok := c.gossip.Member(name)
		if !ok {
			return 0
		}
		lowest = min(lowest, m.Version)
	}
	return lowest
}
