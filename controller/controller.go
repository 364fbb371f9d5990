// Package controller owns the control state of an instance: membership, targets, the
// replicated log and the configuration. One goroutine, the control loop, holds all of this
// state. Calls from other goroutines are queued to the control loop, and the code that handles
// traffic reads immutable ClusterState values.
package controller

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"almondpick/announcer"
	"almondpick/estimator"
	"almondpick/gossiper"
	"almondpick/journaler"
	"almondpick/messenger"
	"almondpick/planner"
	"almondpick/voter"
)

// Clock provides the current time and tickers. Ticker returns a channel that receives the time
// every d, and a function that stops the ticker. Uptime returns the time since a fixed moment,
// including the time for which the machine was suspended. The monotonic time that Now returns and
// the tickers may stand still during it.
type Clock interface {
	Now() time.Time
	Ticker(d time.Duration) (<-chan time.Time, func())
	Uptime() time.Duration
}

// Transport sends messages to other instances. The argument to is the PeerAddress of an instance
// for Datagram, and its RPCAddress for the other methods. Datagram and Exchange do not block. The
// rest wait for a reply and are called outside of the control loop.
type Transport interface {
	Datagram(to string, b []byte)
	Exchange(to string, m voter.Message)
	Fetch(ctx context.Context, to string, r messenger.FetchRequest) (*messenger.FetchReply, error)
	Propose(ctx context.Context, to string, c planner.Command) (*planner.Result, error)
	Read(ctx context.Context, to string) (*messenger.ReadReply, error)
	Records(ctx context.Context, to string) (*messenger.RecordsReply, error)
	Departures(ctx context.Context, to string) (*messenger.DeparturesReply, error)
}

// Settings identify an instance and configure its controller.
type Settings struct {
	Self              gossiper.Instance
	Seeds             []string      // UDP addresses that are contacted while no member is known
	DataFolder        string        // empty for an instance without a disk
	InitialVoters     []string      // instance names, used only at the first start of a deployment
	DataCentres       []string      // that an operator may evacuate; if empty, those of the known instances, targets and evacuations
	FirstStart        bool          // allows a voter of InitialVoters to start a deployment if none is known
	BaseLag           time.Duration // how long the targets that accept new work stay unchanged before the default targets follow
	HeartbeatInterval time.Duration // of the replicated log
	ElectionTimeout   time.Duration // of the replicated log
	// VoterCount is the number of voters that the leader maintains among the instances with a
	// disk. If it is 0, the voters are those that the configuration names, and instances are
	// registered in the configuration.
	VoterCount int
	// LabelSteering is set if flows are steered by label, which needs no default targets.
	LabelSteering bool
	// HandlesFlows is set if the instance handles flows by label and therefore has to know the
	// targets.
	HandlesFlows bool
	// TargetEstimates is set if the instances estimate how much load each target takes well, and
	// share what they observe. An instance with a data folder collects it.
	TargetEstimates bool
}

// Intervals, timeouts and limits of the control loop.
const (
	tickInterval      = 50 * time.Millisecond
	periodicInterval  = 250 * time.Millisecond
	bootstrapDelay    = 1500 * time.Millisecond // before an empty data folder is opened
	readyTimeout      = 3 * time.Second         // also the time for all targets to announce themselves
	peerCallTimeout   = 2 * time.Second
	submitTimeout     = 5 * time.Second
	compactEntries    = 256     // log entries
	compactBytes      = 1 << 20 // size of the log in bytes
	minRecentCommands = 256     // commands kept for instances that catch up, at least
	callQueueSize     = 4096
	bootstrapIdentity = "first" // of the data folders of the initial voters
)

// Controller runs the control loop of an instance.
type Controller struct {
	settings       Settings
	clock          Clock
	startTime      time.Time
	transport      Transport
	keys           messenger.DerivedKeys
	log            *slog.Logger
	onClusterState func(ClusterState)
	journalOptions []journaler.Option
	fetchObserver  FetchObserver
	targetObserver TargetObserver

	pings            pendingPings
	gossip           *gossiper.Gossiper
	registry         *announcer.Registry
	stateMachine     *planner.StateMachine
	journal          *journaler.Journal
	voter            *voter.Voter
	voterErr         error         // why the voter is stopped, or why the data folder could not be opened
	dataFolderEmpty  bool          // the data folder was unused at the start and has not been opened yet
	nextFolderOpen   time.Duration // earliest next attempt to open the data folder after a failure
	pendingProposals map[uint64]pendingProposal
	pendingReads     map[uint64]chan messenger.ReadReply // by the read number of the voter
	applyWaiters     []applyWaiter
	loggedLeader     voter.ID      // leader in the latest log line about it
	caughtUp         bool          // records were read from a storage instance since the start or the last isolation
	catchingUp       bool          // a request for all records is in progress
	nextCatchUp      time.Duration // earliest next request after a failure or a partial reply
	catchUpFailures  int           // consecutive failures
	// allAnnouncedAt is the time by which every target has announced itself since the start or
	// the last isolation.
	allAnnouncedAt       time.Duration
	targetsKnown         chan struct{} // closed, then set to nil, once the targets are known
	partialSource        string        // RPC address of the storage instance that sent the latest partial reply
	partialReplies       int           // partial replies since the last pause
	lastTick             time.Duration
	lastUptime           time.Duration // Clock.Uptime at the last tick
	confirmingConfig     bool          // a read that confirms the configuration is in progress
	nextConfirm          time.Duration // earliest next attempt after a failure
	recentCommands       []recentCommand
	compressedState      compressedState
	stateWithoutDocument compressedState // of the same, for requests that omit the operator's document
	rulesets             rulesetHistory
	compressedRecords    compressedRecords
	targetCache          targetCache
	departures           departureQueue
	evidence             evidenceExchange
	fetch                configFetch
	relayedVersion       uint64 // last configuration version that was fetched from another data centre, or 0
	ready                bool
	configConfirmed      bool // see ClusterState
	leaving              bool
	// cutOffSince is since when this instance is cut off from the replicated log, or zero while
	// it is not. If VoterCount is set, cut off means that no storage instance is reachable,
	// otherwise that no majority of the voters is reachable.
	cutOffSince        time.Time
	stableTargets      map[string]stableTargets
	counted            instanceCount
	loggedMembers      map[string]loggedMember // by instance name
	loggedEvacuations  map[string]planner.Evacuation
	nextPeriodicRun    time.Duration
	publishedRevisions stateRevisions
	batchUntil         time.Duration // changes of targets alone are not published before this time

	calls      chan func()   // to be run by the control loop
	done       chan struct{} // closed by Close
	goroutines sync.WaitGroup
	cancel     context.CancelFunc
	ctx        context.Context
}

// compressedState is the compressed state of the state machine at a position of the log.
type compressedState struct {
	index uint64
	data  []byte
}

// recentCommand is a command that is kept for instances that catch up. Its data is nil once no
// instance needs the command any more.
type recentCommand struct {
	applied        messenger.AppliedCommand
	rulesetVersion uint64 // version of the ruleset that the command sets, or 0
}

type pendingProposal struct {
	term   uint64
	result chan planner.Result
}

// Option configures a Controller.
type Option func(*Controller)

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(c *Controller) { c.log = l }
}

// WithStateHandler sets a function that the control loop calls with every new ClusterState.
func WithStateHandler(f func(ClusterState)) Option {
	return func(c *Controller) { c.onClusterState = f }
}

// WithJournalOptions sets the options that the journal is opened with.
func WithJournalOptions(opts ...journaler.Option) Option {
	return func(c *Controller) { c.journalOptions = opts }
}

// WithFetchObserver sets the observer of the replies that bring a newer configuration.
func WithFetchObserver(o FetchObserver) Option {
	return func(c *Controller) { c.fetchObserver = o }
}

// WithTargetObserver sets the observer of targets whose observations are shared with other
// instances if Settings.TargetEstimates is set.
func WithTargetObserver(o TargetObserver) Option {
	return func(c *Controller) { c.targetObserver = o }
}

// New starts the control loop of an instance. It returns the error of opening the data folder,
// such as a *journaler.CorruptionError, unless the disk may work again later.
func New(settings Settings, clock Clock, transport Transport, keys messenger.DerivedKeys, options ...Option) (*Controller, error) {
	c := &Controller{
		settings:         settings,
		clock:            clock,
		startTime:        clock.Now(),
		transport:        transport,
		keys:             keys,
		log:              slog.New(slog.DiscardHandler),
		onClusterState:   func(ClusterState) {},
		fetchObserver:    noFetchObserver{},
		targetObserver:   noTargetObserver{},
		stateMachine:     planner.NewStateMachine(),
		pendingProposals: make(map[uint64]pendingProposal),
		pendingReads:     make(map[uint64]chan messenger.ReadReply),
		stableTargets:    make(map[string]stableTargets),
		loggedMembers:    make(map[string]loggedMember),
		calls:            make(chan func(), callQueueSize),
		done:             make(chan struct{}),

		allAnnouncedAt: readyTimeout,
	}
	for _, o := range options {
		o(c)
	}
	if settings.TargetEstimates && settings.DataFolder != "" {
		c.evidence.collector = estimator.NewCollector()
	}
	c.lastUptime = clock.Uptime()
	c.registry = announcer.NewRegistry(settings.Self.Name, announcer.WithChangeCallback(c.logTarget), announcer.WithNamedJobs(c.namesJob))
	c.ctx, c.cancel = context.WithCancel(context.Background())
	incarnation := uint64(c.startTime.UnixMilli())
	c.gossip = gossiper.New(settings.Self, incarnation, gossiper.WithSeeds(settings.Seeds...),
		gossiper.WithRandom(newRandom(settings.Self.Name, c.startTime, gossipStream)))
	if err := c.openUsedDataFolder(); err != nil {
		c.cancel()
		return nil, err
	}
	c.goroutines.Add(1)
	go c.runLoop()
	return c, nil
}

// openUsedDataFolder opens the data folder if there is one on which a voter has run. It returns no
// error if the disk may work again later.
func (c *Controller) openUsedDataFolder() error {
	c.dataFolderEmpty = c.settings.DataFolder != "" && isUnusedFolder(c.settings.DataFolder)
	if c.settings.DataFolder == "" || c.dataFolderEmpty {
		return nil
	}
	if err := c.openJournal(""); err != nil && !isDiskFault(err) {
		return err
	} else if err != nil {
		c.retryDataFolder(err)
	}
	c.loadTargetCache()
	return nil
}

// now returns the time since the start of the controller. Every point in time that is held as a
// time.Duration is measured from that start.
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

// Close tells the other instances that this one stops, ends the control loop, waits for it,
// and closes the journal.
func (c *Controller) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	c.runInLoop(ctx, func() { c.sendGossip(c.gossip.Leave()) })
	close(c.done)
	c.cancel()
	c.goroutines.Wait()
	if c.journal == nil {
		return nil
	}
	return c.journal.Close()
}

// runInLoop runs f in the control loop and waits until f has returned. It returns false if the
// controller is closed or ctx ends first; the control loop may still run f afterwards.
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

// runInBackground runs call in a new goroutine, with a context that ends after timeout. The
// function that call returns is then run in the control loop.
func (c *Controller) runInBackground(timeout time.Duration, call func(ctx context.Context) (finish func())) {
	c.runInBackgroundUntil(c.ctx, timeout, call)
}

// runInBackgroundUntil is runInBackground with a context that also ends with parent.
func (c *Controller) runInBackgroundUntil(parent context.Context, timeout time.Duration, call func(ctx context.Context) (finish func())) {
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		ctx, cancel := context.WithTimeout(parent, timeout)
		defer cancel()
		c.runInLoop(c.ctx, call(ctx))
	}()
}

// postToLoop queues f for the control loop and does not wait. If the queue is full, f is
// dropped and false returned.
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
	c.shareEvidence(now)
	if c.fetch.behind {
		c.fetchNewerConfig()
	}
	if c.voter != nil && c.voterErr == nil {
		c.voter.Tick(now)
	}
	if now >= c.nextPeriodicRun {
		c.nextPeriodicRun = now + periodicInterval
		c.runPeriodicTasks(now)
	}
}

func (c *Controller) applyTargetRecords(now time.Duration) {
	for _, r := range c.gossip.TakeMergedRecords() {
		if strings.HasPrefix(r.Key, gossiper.TargetKeyPrefix) {
			c.registry.HandleRecord(now, c.correctTargetRecord(r))
		}
		if strings.HasPrefix(r.Key, gossiper.EstimateKeyPrefix) {
			c.handleEstimates(r)
		}
	}
	for _, r := range c.gossip.TakeRelayedHeartbeats() {
		c.registry.HandleRelayedHeartbeat(now, r)
	}
	for _, key := range c.registry.TakeExpiredKeys() {
		c.gossip.DeleteRecord(key)
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
		if i == 0 || !e.SameBroadcast(list[i-1]) {
			var err error
			if b, err = c.keys.SignDatagram(messenger.DatagramGossip, e.Message); err != nil {
				c.log.Error("gossip-encode-failed", "error", err)
				continue
			}
		}
		c.transport.Datagram(e.To, b)
	}
}

// Step passes messages of other voters to the voter of this instance.
func (c *Controller) Step(messages []voter.Message) {
	c.postToLoop(func() {
		if c.voter == nil || c.voterErr != nil {
			return
		}
		for _, m := range messages {
			c.voter.Step(c.now(), m)
		}
		c.voter.Tick(c.now()) // sends newly committed entries without waiting for the next tick
	})
}

// versionSubscribers returns the instances that are told at once which configuration version
// this instance has: all instances of a small deployment, the voters of a large one. An instance
// that has fetched the version from another data centre also tells members of its own.
func (c *Controller) versionSubscribers() []string {
	const small = 16 // instances
	if c.gossip.MemberCount() >= small {
		voters := c.stateMachine.Config().Voters
		if c.relayedVersion > 0 && c.relayedVersion == c.stateMachine.Config().Version {
			return append(c.relaySubscribers(), voters...)
		}
		return voters
	}
	var names []string
	for _, m := range c.gossip.Members() {
		names = append(names, m.Name)
	}
	return names
}

func encodeCommand(cmd planner.Command) []byte {
	b, err := messenger.EncodeCommand(cmd)
	if err != nil {
		panic(err) // encoding a struct of plain fields cannot fail
	}
	return b
}
