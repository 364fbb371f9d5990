package controller

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"almondpick/announcer"
	"almondpick/gossiper"
	"almondpick/issuer"
	"almondpick/messenger"
	"almondpick/planner"
	"almondpick/voter"
)

// ClosedError is returned by calls to a controller that is closed, and by calls whose context
// ends first.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string {
	return "the instance is stopping or did not answer in time"
}

// Announce processes an announcement of a target. If the target leaves and Announce returns
// nil, the departure is durable. The error is an *announcer.FieldError, an
// *announcer.UnnamedJobError, a *DepartureIgnoredError, a *DepartureNotDurableError or a
// *ClosedError.
func (c *Controller) Announce(ctx context.Context, a announcer.Announcement) error {
	var err error
	var committed <-chan bool
	ok := c.runInLoop(ctx, func() {
		err = c.registry.HandleAnnouncement(c.now(), a, c.gossip)
		if err == nil && a.Leaves() {
			committed, err = c.commitDeparture(a.Endpoint, a.Identity)
		}
	})
	if !ok {
		return &ClosedError{}
	}
	if err != nil {
		return err
	}
	return c.awaitDepartureCommit(ctx, committed)
}

// namesJob reports whether the ruleset names a job. Without label steering, targets may announce
// themselves before a service refers to their job, and every job counts as named.
func (c *Controller) namesJob(job string) bool {
	if !c.settings.LabelSteering {
		return true
	}
	rules := c.stateMachine.Config().Ruleset
	return rules != nil && rules.HasPool(job)
}

// ClusterState returns the present control state. The error is a *ClosedError.
func (c *Controller) ClusterState(ctx context.Context) (ClusterState, error) {
	var s ClusterState
	if !c.runInLoop(ctx, func() { s = c.clusterState() }) {
		return s, &ClosedError{}
	}
	return s, nil
}

// SetSeeds replaces the peer addresses that are contacted while no member is known. The error
// is a *ClosedError.
func (c *Controller) SetSeeds(ctx context.Context, seeds []string) error {
	if !c.runInLoop(ctx, func() { c.gossip.SetSeeds(seeds) }) {
		return &ClosedError{}
	}
	return nil
}

// Leave makes the instance stop owning flows and announce that to the other instances. The
// error is a *ClosedError.
func (c *Controller) Leave(ctx context.Context) error {
	if !c.runInLoop(ctx, func() { c.leaving = true }) {
		return &ClosedError{}
	}
	return nil
}

// Submit proposes a command to the replicated log, here or through the leader, and waits for
// its result. The result may be a refusal: no-leader if nothing was done, outcome-unknown if
// the caller has to resend the command with the same intent or plan. The error is a
// *ClosedError.
func (c *Controller) Submit(ctx context.Context, cmd planner.Command) (planner.Result, error) {
	return c.submit(ctx, cmd, c.forwardAddress)
}

// SubmitForwarded is Submit for a command that another instance has forwarded. It is forwarded
// again only to the leader.
func (c *Controller) SubmitForwarded(ctx context.Context, cmd planner.Command) (planner.Result, error) {
	return c.submit(ctx, cmd, c.leaderAddress)
}

func (c *Controller) submit(ctx context.Context, cmd planner.Command, next addressFunc) (planner.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	result := make(chan planner.Result, 1)
	var to string
	propose := func() {
		if ctx.Err() == nil { // otherwise the caller has given up, and may have had a later command acknowledged
			to = c.proposeOrForward(cmd, next, result)
		}
	}
	if !c.runInLoop(ctx, propose) {
		return planner.Result{}, &ClosedError{}
	}
	if to != "" {
		return c.forward(ctx, to, cmd)
	}
	select {
	case a := <-result:
		return a, nil
	case <-ctx.Done():
		return planner.Result{Refusal: &planner.Refusal{Code: planner.CodeOutcomeUnknown}}, nil
	}
}

// proposeOrForward proposes the command if this instance leads. Otherwise it returns the address
// to forward the command to, or sends a refusal to result if there is none.
func (c *Controller) proposeOrForward(cmd planner.Command, next addressFunc, result chan planner.Result) string {
	if c.voter != nil && c.voterErr == nil && c.voter.HoldsLease(c.now()) {
		c.proposeWithResult(cmd, result)
		return ""
	}
	if to, ok := next(); ok {
		return to
	}
	result <- planner.Result{Refusal: &planner.Refusal{Code: planner.CodeNoLeader}}
	return ""
}

func (c *Controller) proposeWithResult(cmd planner.Command, result chan planner.Result) {
	switch {
	case cmd.ConfirmPlan != nil:
		confirm := *cmd.ConfirmPlan
		confirm.LowestVersionInForce = c.lowestVersionInForce()
		cmd.ConfirmPlan = &confirm
	case cmd.StateIntent != nil:
		state := *cmd.StateIntent
		state.AffectedTargets = c.affectedTargets(state.Intent)
		cmd.StateIntent = &state
	}
	index, term, err := c.voter.Propose(c.now(), encodeCommand(cmd))
	if err != nil {
		result <- planner.Result{Refusal: &planner.Refusal{Code: planner.CodeNoLeader}}
		return
	}
	c.pendingProposals[index] = pendingProposal{term: term, result: result}
}

// affectedTargets lists the targets that an intent affects, with the work in progress on each.
func (c *Controller) affectedTargets(i planner.Intent) []planner.AffectedTarget {
	var out []planner.AffectedTarget
	cfg := c.stateMachine.Config()
	c.registry.EachTarget(func(t announcer.Target) {
		for _, s := range cfg.Services {
			affected := i.Name == t.Name() || i.Name == s.Name || (i.Service != nil && i.Service.Name == s.Name)
			if affected && slices.Contains(s.Jobs, t.Job) {
				out = append(out, planner.AffectedTarget{
					Target: t.Name(), Service: s.Name, Connections: t.Connections, RunningRequests: t.RunningRequests,
				})
			}
		}
	})
	slices.SortFunc(out, func(a, b planner.AffectedTarget) int {
		if a.Target < b.Target {
			return -1
		}
		return 1
	})
	return out
}

// addressFunc returns the RPC address of the instance to forward a call for the leader to. It
// returns false if there is none.
type addressFunc func() (string, bool)

// leaderAddress returns the address of the leader that this voter or learner follows. A call that
// is forwarded by it alone visits leaders of ever later terms, and so ends.
func (c *Controller) leaderAddress() (string, bool) {
	if c.voter == nil || c.voterErr != nil {
		return "", false
	}
	leader := c.voter.Leader()
	if leader == "" || leader == c.voter.ID() {
		return "", false
	}
	return c.rpcAddressOf(leader)
}

// forwardAddress returns the address of the leader or, if this instance is no voter and follows no
// leader, that of an instance that may know the leader. Calls that came from another instance
// must not be forwarded to the latter: two such instances would forward them to each other.
func (c *Controller) forwardAddress() (string, bool) {
	if to, ok := c.leaderAddress(); ok {
		return to, true
	}
	if c.voter != nil && c.voterErr == nil && c.voter.Membership().IsVoter(c.voter.ID()) {
		return "", false
	}
	if c.settings.VoterCount > 0 {
		return c.nearestStorageAddress("")
	}
	for _, name := range c.stateMachine.Config().Voters {
		if m, ok := c.gossip.Member(name); ok && m.Alive() {
			return m.RPCAddress, true
		}
	}
	return "", false
}

func (c *Controller) forward(ctx context.Context, to string, cmd planner.Command) (planner.Result, error) {
	a, err := c.transport.Propose(ctx, to, cmd)
	if err != nil {
		c.log.Warn("forward-failed", "to", to, "error", err)
		return planner.Result{Refusal: &planner.Refusal{Code: planner.CodeOutcomeUnknown}}, nil
	}
	return *a, nil
}

// compressedSnapshot returns the compressed state for an instance that catches up. With
// omitDocument it lacks the operator's document. The copy is reused while the state does not change,
// because all instances request one after a restart of the whole deployment.
func (c *Controller) compressedSnapshot(omitDocument bool) ([]byte, error) {
	state, snapshot := &c.compressedState, c.stateMachine.SnapshotWithoutDepartures
	if omitDocument {
		state, snapshot = &c.stateWithoutDocument, c.stateMachine.SnapshotWithoutDocument
	}
	if state.data != nil && state.index >= c.stateMachine.LastNonDepartureIndex() {
		return state.data, nil
	}
	plain, err := snapshot()
	if err != nil {
		return nil, err
	}
	data, err := messenger.CompressLarge(plain)
	if err != nil {
		return nil, err
	}
	*state = compressedState{index: c.stateMachine.AppliedIndex(), data: data}
	return data, nil
}

// Plan returns a plan that is still stored, or an unknown-plan refusal. The error is a
// *ClosedError.
func (c *Controller) Plan(ctx context.Context, id string) (planner.Result, error) {
	var a planner.Result
	ok := c.runInLoop(ctx, func() {
		if p, found := c.stateMachine.Plan(id); found {
			a.Plan = &p
			return
		}
		a.Refusal = &planner.Refusal{Code: planner.CodeUnknownPlan, Field: "plan", Value: id}
	})
	if !ok {
		return a, &ClosedError{}
	}
	return a, nil
}

// History returns the confirmed plans. The error is a *ClosedError.
func (c *Controller) History(ctx context.Context) ([]planner.Plan, error) {
	var out []planner.Plan
	if !c.runInLoop(ctx, func() { out = c.stateMachine.ConfirmedPlans() }) {
		return nil, &ClosedError{}
	}
	return out, nil
}

// Status describes the deployment as seen by this instance. The error is a *ClosedError.
func (c *Controller) Status(ctx context.Context) (*messenger.DeploymentStatus, error) {
	s := &messenger.DeploymentStatus{}
	if !c.runInLoop(ctx, func() { c.fillStatus(s) }) {
		return nil, &ClosedError{}
	}
	return s, nil
}

func (c *Controller) fillStatus(s *messenger.DeploymentStatus) {
	cfg := c.stateMachine.Config()
	s.Instance = c.settings.Self.Name
	s.ConfigVersion, s.ConfigRevision = cfg.Version, cfg.Revision
	s.Ready, s.ConfigConfirmed = c.ready, c.configConfirmed
	s.ConfigInForce = true
	s.JournalState = c.journalStatus()
	if c.voter != nil {
		s.Leader = instanceNameOf(c.voter.Leader())
	}
	self := gossiper.Member{Instance: c.gossip.Self(), LastContact: c.now()}
	for _, m := range append(c.gossip.Members(), self) {
		row := c.instanceStatus(m, cfg)
		if m.Alive() && m.ConfigVersion < cfg.Version {
			s.ConfigInForce = false
			s.InstancesBehind = append(s.InstancesBehind, m.Name)
		}
		s.Instances = append(s.Instances, row)
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(cfg.Evacuations)) {
		e := cfg.Evacuations[dataCentre]
		s.Evacuations = append(s.Evacuations, messenger.EvacuationStatus{DataCentre: dataCentre, InForce: e.InForce, LastChange: e.LastChange})
	}
	slices.SortFunc(s.Instances, func(a, b messenger.InstanceStatus) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}

func (c *Controller) journalStatus() string {
	switch {
	case c.settings.DataFolder == "":
		return "none"
	case c.voterErr != nil:
		return "stopped: " + c.voterErr.Error()
	}
	return "ok"
}

func (c *Controller) instanceStatus(m gossiper.Member, cfg planner.Config) messenger.InstanceStatus {
	row := messenger.InstanceStatus{
		Name: m.Name, DataCentre: m.DataCentre, ConfigVersion: m.ConfigVersion, Retired: cfg.RetiredInstances[m.Name],
		SinceLastContact: (c.now() - m.LastContact).Round(time.Millisecond).String(),
	}
	switch {
	case m.Liveness == gossiper.LivenessDead:
		row.State = "dead"
	case m.Liveness == gossiper.LivenessSuspect:
		row.State = "suspect"
	case m.Serving:
		row.State = "serving"
	default:
		row.State = "not-serving"
	}
	if m.VotersUnreachableSince > 0 {
		row.VotersUnreachableSince = time.Unix(m.VotersUnreachableSince, 0).UTC().Format(time.RFC3339)
	}
	switch {
	case c.voter != nil && m.VoterID != "":
		row.VoterRole = voterRoleName(c.voter, voter.ID(m.VoterID))
	case slices.Contains(cfg.Voters, m.Name):
		row.VoterRole = "voter"
	}
	return row
}

func voterRoleName(v *voter.Voter, id voter.ID) string {
	switch {
	case v.Leader() == id:
		return "leader"
	case v.Membership().IsVoter(id):
		return "voter"
	case v.Membership().IsMember(id):
		return "learner"
	}
	return ""
}

// PublishKeyTableHandover announces by gossip that the instance successor now holds the
// idempotency-key table of an issuer. The error is an encoding error or a *ClosedError.
func (c *Controller) PublishKeyTableHandover(ctx context.Context, issuerID, successor string) error {
	body, err := cbor.Marshal(successor)
	if err != nil {
		return err
	}
	published := c.runInLoop(ctx, func() {
		r := gossiper.Record{
			Key: gossiper.IssuerKeyPrefix + issuerID, Incarnation: uint64(c.clock.Now().UnixMilli()), Body: body,
		}
		c.gossip.Publish(r)
	})
	if !published {
		return &ClosedError{}
	}
	return nil
}

// keyTableHolders returns, by issuer ID, the instance that holds the idempotency-key table of
// each issuer: the published successor, or else the instance of the issuer if it is alive.
func (c *Controller) keyTableHolders() map[string]string {
	out := make(map[string]string)
	c.gossip.EachRecord(gossiper.IssuerKeyPrefix, func(r gossiper.Record) {
		var successor string
		if cbor.Unmarshal(r.Body, &successor) == nil {
			out[strings.TrimPrefix(r.Key, gossiper.IssuerKeyPrefix)] = successor
		}
	})
	for _, m := range c.gossip.Members() {
		issuerID := issuer.IdempotencyKey{Instance: m.Name, Incarnation: m.ProcessStartMillis}.IssuerID()
		if _, moved := out[issuerID]; !moved && m.Alive() {
			out[issuerID] = m.Name
		}
	}
	return out
}
