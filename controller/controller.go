// Package controller owns the control state of an instance: membership, targets,
// the replicated log and the configuration. One goroutine holds all of it; calls
// from elsewhere are handed to that goroutine, and traffic reads immutable Worlds.
package controller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"almondpick/announcer"
	"almondpick/gossiper"
	"almondpick/journaler"
	"almondpick/messenger"
	"almondpick/planner"
	"almondpick/voter"
)

// Clock gives the time and tickers.
type Clock interface {
	Now() time.Time
	Ticker(d time.Duration) (<-chan time.Time, func())
}

// Transport sends to other instances. Its methods do not block, but for Fetch and
// Propose, which are called from goroutines of their own.
type Transport interface {
	Datagram(to string, b []byte)
	Exchange(to string, m voter.Message)
	Fetch(ctx context.Context, to string, after uint64) (*messenger.FetchReply, error)
	Propose(ctx context.Context, to string, c planner.Command) (*planner.Answer, error)
	Read(ctx context.Context, to string) (*messenger.ReadReply, error)
	Records(ctx context.Context, to string) (*messenger.RecordsReply, error)
	Departures(ctx context.Context, to string) (*messenger.DeparturesReply, error)
}

// Settings say who the instance is and where it starts from.
type Settings struct {
	Self       gossiper.Instance
	Seeds      []string // UDP addresses
	DataFolder string   // "" for an instance without a disk
	InitialVoters     []string // names, for the first start of all
	FirstStart bool
	BaseLag    time.Duration // before the base set follows the fit targets
	HeartbeatInterval  time.Duration
	ElectionTimeout   time.Duration
	// VoterCount is how many voters the leader keeps up among the instances that have
	// a disk. With 0 the voters are those that the configuration names, and instances
	// are registered in it.
	VoterCount int
	// LabelSteering says that flows are steered by label, which needs no base sets.
	LabelSteering bool
	// HandlesFlows says that the instance takes flows by label and so has to hear of targets.
	HandlesFlows bool
}

// Times of the control goroutine.
const (
	tickInterval     = 50 * time.Millisecond
	periodicInterval = 250 * time.Millisecond
	bootstrapDelay     = 1500 * time.Millisecond
	readyTimeout   = 3 * time.Second
	peerCallTimeout  = 2 * time.Second
	submitTimeout   = 5 * time.Second
	compactEntries  = 256     // entries
	compactBytes  = 1 << 20 // of the log
	minRecentCommands  = 256
	callQueueSize   = 4096
	bootstrapIdentity = "first"
)

// ClusterState is an immutable snapshot of the control state, for traffic.
type ClusterState struct {
	Self      gossiper.Instance
	Config    planner.Config
	Members   []gossiper.Member // all that are known, without self
	Targets   []announcer.Target
	TicketHolders   map[string]string // by issuing process: the instance that holds its tickets
	Ready     bool
	ConfigConfirmed bool // read from a majority of the voters since the start
	Leaving   bool
	TakenAt        time.Duration
}

// Controller runs the control goroutine.
type Controller struct {
	settings       Settings
	clock     Clock
	startTime     time.Time
	transport Transport
	keys      messenger.Keys
	log       *slog.Logger
	onClusterState   func(ClusterState)
	journalOptions      []journaler.Option

	pings    pendingPings
	gossip   *gossiper.Gossiper
	registry *announcer.Registry
	stateMachine  *planner.Machine
	journal  *journaler.Journal
	voter    *voter.Voter
	voterErr error
	dataFolderEmpty    bool          // the data folder was empty
	nextVoterRestart time.Duration // when a data folder that failed is tried again
	pendingProposals  map[uint64]pendingProposal
	pendingReads    map[uint64]chan messenger.ReadReply // by the voter's number
	applyWaiters  []applyWaiter
	loggedLeader   voter.ID // that was last logged
	caughtUp   bool     // holds what a store knew after the start or the last isolation
	catchingUp  bool
	nextCatchUp   time.Duration // not to be read again before, after a failure
	catchUpFailures int           // failures in a row
	// allAnnouncedAt is when every target will have announced itself since the start or the
	// last isolation.
	allAnnouncedAt   time.Duration
	targetsKnown       chan struct{} // closed once the targets are known; nil while nobody waits
	partialSource     string        // peer door of a store that was learning itself when it was read
	partialReplies      int           // answers of such stores since the last pause
	lastTick       time.Duration
	confirmingConfig      bool          // a read that confirms the configuration is under way
	nextConfirm       time.Duration // not to be tried again before, after a failure
	recentCommands     []recentCommand
	packedState       packedState
	packedRecords      packedRecords
	targetCache        targetCache
	departures    departureQueue
	fetchingConfig     bool
	ready        bool
	configConfirmed      bool
	leaving      bool
	cutOffSince     time.Time
	stableFitTargets     map[string]stableFitTargets
	loggedRanks        map[string]loggedRank // of members, as they were last logged
	nextPeriodicRun time.Duration
	publishedRevisions         stateRevisions
	batchUntil     time.Duration // news of targets waits until then

	calls  chan func()
	done   chan struct{}
	goroutines sync.WaitGroup
	cancel context.CancelFunc
	ctx    context.Context
}

// packedState is the machine's state at a position of the log, packed.
type packedState struct {
	index uint64
	data  []byte
}

// recentCommand is a command that instances which catch up may ask for. Its data is nil
// once nobody needs it.
type recentCommand struct {
	applied messenger.Applied
	rulesetVersion uint64 // version of the ruleset that it brings, or 0
}

type pendingProposal struct {
	term   uint64
	answer chan planner.Answer
}

// stateRevisions are those that the last World was made from.
type stateRevisions struct {
	gossip, registry, version uint64
	ready, configConfirmed, leaving   bool
}

// Option sets a property of a Controller.
type Option func(*Controller)

// WithLogger sets where events are logged.
func WithLogger(l *slog.Logger) Option {
	return func(c *Controller) { c.log = l }
}

// WithStateHandler has f called in the control goroutine with every new World.
func WithStateHandler(f func(ClusterState)) Option {
	return func(c *Controller) { c.onClusterState = f }
}

// WithJournalOptions sets how the data folder is opened.
func WithJournalOptions(opts ...journaler.Option) Option {
	return func(c *Controller) { c.journalOptions = opts }
}

// New starts the control goroutine of an instance. It returns the error of the
// data folder, such as a *journaler.DamageError.
func New(settings Settings, clock Clock, transport Transport, keys messenger.Keys, options ...Option) (*Controller, error) {
	c := &Controller{
		settings:       settings,
		clock:     clock,
		startTime:     clock.Now(),
		transport: transport,
		keys:      keys,
		log:       slog.New(slog.DiscardHandler),
		onClusterState:   func(ClusterState) {},
		stateMachine:   planner.NewMachine(),
		pendingProposals:   make(map[uint64]pendingProposal),
		pendingReads:     make(map[uint64]chan messenger.ReadReply),
		stableFitTargets:  make(map[string]stableFitTargets),
		loggedRanks:     make(map[string]loggedRank),
		calls:     make(chan func(), callQueueSize),
		done:      make(chan struct{}),

		allAnnouncedAt: readyTimeout,
	}
	for _, o := range options {
		o(c)
	}
	c.registry = announcer.NewRegistry(settings.Self.Name, announcer.WithChanges(c.logTarget))
	c.ctx, c.cancel = context.WithCancel(context.Background())
	incarnation := uint64(c.startTime.UnixMilli())
	c.gossip = gossiper.New(settings.Self, incarnation, gossiper.WithSeeds(settings.Seeds...),
		gossiper.WithRandom(rand.New(rand.NewPCG(incarnation, 7))))
	c.dataFolderEmpty = settings.DataFolder != "" && journaler.Empty(settings.DataFolder)
	if settings.DataFolder != "" && !c.dataFolderEmpty {
		if err := c.openJournal(""); err != nil {
			c.cancel()
			return nil, err
		}
		c.loadTargetCache()
	}
	c.goroutines.Add(1)
	go c.runLoop()
	return c, nil
}

func (c *Controller) now() time.Duration {
	return c.clock.Now().Sub(c.startTime)
}

func (c *Controller) runLoop() {
	defer c.goroutines.Done()
	ticks, stop := c.clock.Ticker(tickInterval)
	defer stop()
	c.tick()
	for {
		c.processVoterOutput()
		c.publishClusterState()
		select {
		case <-c.done:
			return
		case call := <-c.calls:
			call()
		case <-ticks:
			c.tick()
		}
	}
}

// Close tells the other instances that this one stops, ends the control goroutine,
// waits for it, and closes the journal.
func (c *Controller) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	c.runInLoop(ctx, func() { c.sendGossip(c.gossip.Depart()) })
	close(c.done)
	c.cancel()
	c.goroutines.Wait()
	if c.journal == nil {
		return nil
	}
	return c.journal.Close()
}

// runInLoop runs f in the control goroutine and waits for it. It is false when the
// controller is closed or ctx ends first.
func (c *Controller) runInLoop(ctx context.Context, f func()) bool {
	finished := make(chan struct{})
	call := func() {
		f()
		close(finished)
	}
	select {
	case c.calls <- call:
	case <-c.done:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case <-finished:
		return true
	case <-c.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// runInBackground runs call outside of the control goroutine, until the timeout at most, and
// what it returns inside of it.
func (c *Controller) runInBackground(timeout time.Duration, call func(ctx context.Context) (finish func())) {
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		c.runInLoop(c.ctx, call(ctx))
	}()
}

// postToLoop has f run in the control goroutine; it is dropped when too much waits.
func (c *Controller) postToLoop(f func()) bool {
	select {
	case c.calls <- f:
		return true
	default:
		return false
	}
}

func (c *Controller) tick() {
	now := c.now()
	c.detectIsolation(now)
	c.sendGossip(c.gossip.Tick(now))
	c.applyTargetRecords(now)
	c.restoreCachedTargets(now)
	c.updateTargetsKnown()
	if c.voter != nil && c.voterErr == nil {
		c.voter.Tick(now)
	}
	if now >= c.nextPeriodicRun {
		c.nextPeriodicRun = now + periodicInterval
		c.runPeriodicTasks(now)
	}
}

func (c *Controller) applyTargetRecords(now time.Duration) {
	for _, r := range c.gossip.News() {
		if strings.HasPrefix(r.Key, gossiper.TargetPrefix) {
			c.registry.Learn(now, c.correctTargetRecord(r))
		}
	}
	for _, r := range c.gossip.HeardOf() {
		c.registry.HeardElsewhere(now, r)
	}
	for _, key := range c.registry.Forgotten() {
		c.gossip.Forget(key)
	}
}

func (c *Controller) instanceAlive(name string) bool {
	if name == c.settings.Self.Name {
		return true
	}
	m, ok := c.gossip.Member(name)
	return ok && m.Alive()
}

func (c *Controller) sendGossip(list []gossiper.Envelope) {
	var b []byte
	for i, e := range list {
		if i == 0 || !e.Same(list[i-1]) {
			var err error
			if b, err = c.keys.Seal(messenger.DatagramGossip, e.Message); err != nil {
				c.log.Error("gossip-encode-failed", "error", err)
				continue
			}
		}
		c.transport.Datagram(e.To, b)
	}
}

// Step takes in messages of other voters.
func (c *Controller) Step(messages []voter.Message) {
	c.postToLoop(func() {
		if c.voter == nil || c.voterErr != nil {
			return
		}
		for _, m := range messages {
			c.voter.Step(c.now(), m)
		}
		c.voter.Tick(c.now()) // what has just been committed goes out at once
	})
}

// publishClusterState makes a new World where something in it has changed.
func (c *Controller) publishClusterState() {
	r := stateRevisions{
		gossip: c.gossip.Revision(), registry: c.registry.Revision(), version: c.stateMachine.Config().Version,
		ready: c.ready, configConfirmed: c.configConfirmed, leaving: c.leaving,
	}
	if c.settings.LabelSteering {
		r.gossip = 0 // who else is there makes no difference to flows that carry a label
	}
	if c.settings.LabelSteering && !c.settings.HandlesFlows {
		r.registry = 0
	}
	if r == c.publishedRevisions || c.delaysPublication(r) {
		return
	}
	c.gossip.SetVersion(r.version, c.versionWatchers())
	c.gossip.Update(func(i gossiper.Instance) gossiper.Instance {
		i.Serving = c.ready && !c.leaving
		return i
	})
	if !c.settings.LabelSteering {
		r.gossip = c.gossip.Revision()
	}
	c.publishedRevisions = r
	c.batchUntil = c.now() + time.Duration(c.registry.Len())*batchTimePerTarget
	c.onClusterState(c.clusterState())
}

// batchTimePerTarget is how long news of targets is gathered, for each target that is known. A
// World costs time in proportion to them, and with more of them there is more news.
const batchTimePerTarget = 200 * time.Microsecond

// delaysPublication tells whether there is news of targets only, which waits for more of it.
func (c *Controller) delaysPublication(r stateRevisions) bool {
	r.registry = c.publishedRevisions.registry
	return c.settings.LabelSteering && r == c.publishedRevisions && c.now() < c.batchUntil
}

// versionWatchers returns who is told at once which version is in force here: everybody in
// a small deployment, the voters in a large one.
func (c *Controller) versionWatchers() []string {
	const small = 16 // instances
	if c.gossip.Len() >= small {
		return c.stateMachine.Config().Voters
	}
	var names []string
	for _, m := range c.gossip.Members() {
		names = append(names, m.Name)
	}
	return names
}

// clusterState returns the present state. Flows that carry a label need no members, and no order
// of targets.
func (c *Controller) clusterState() ClusterState {
	w := ClusterState{
		Self: c.gossip.Self(), Config: c.stateMachine.Config(),
		Ready: c.ready, ConfigConfirmed: c.configConfirmed, Leaving: c.leaving, TakenAt: c.now(),
	}
	w.Targets = make([]announcer.Target, 0, c.registry.Len())
	c.registry.Targets(func(t announcer.Target) { w.Targets = append(w.Targets, t) })
	if c.settings.LabelSteering {
		return w
	}
	w.Members = c.gossip.Members()
	w.TicketHolders = c.ticketHolders()
	slices.SortFunc(w.Targets, func(a, b announcer.Target) int { return a.Endpoint.Compare(b.Endpoint) })
	return w
}

func encodeCommand(cmd planner.Command) []byte {
	b, err := messenger.EncodeCommand(cmd)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return b
}
