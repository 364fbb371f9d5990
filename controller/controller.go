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
	tickEvery     = 50 * time.Millisecond
	periodicEvery = 250 * time.Millisecond
	probation     = 1500 * time.Millisecond
	readyAnyway   = 3 * time.Second
	fetchTimeout  = 2 * time.Second
	callTimeout   = 5 * time.Second
	compactAfter  = 256     // entries
	compactBytes  = 1 << 20 // of the log
	keptCommands  = 256
	queuedCalls   = 4096
	firstIdentity = "first"
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
	set       Settings
	clock     Clock
	start     time.Time
	transport Transport
	keys      messenger.Keys
	log       *slog.Logger
	onWorld   func(ClusterState)
	disk      []journaler.Option

	pings    pingQueue
	gossip   *gossiper.Gossiper
	registry *announcer.Registry
	machine  *planner.Machine
	journal  *journaler.Journal
	voter    *voter.Voter
	voterErr error
	fresh    bool          // the data folder was empty
	reopenAt time.Duration // when a data folder that failed is tried again
	waiters  map[uint64]waiter
	reads    map[uint64]chan messenger.ReadReply // by the voter's number
	applied  []appliedWaiter
	leader   voter.ID // that was last logged
	synced   bool     // holds what a store knew after the start or the last isolation
	syncing  bool
	syncAt   time.Duration // not to be read again before, after a failure
	syncMiss int           // failures in a row
	// heardAllAt is when every target will have announced itself since the start or the
	// last isolation.
	heardAllAt   time.Duration
	learnt       chan struct{} // closed once the targets are known; nil while nobody waits
	learning     string        // peer door of a store that was learning itself when it was read
	partial      int           // answers of such stores since the last pause
	ticked       time.Duration
	reading      bool          // a read that confirms the configuration is under way
	readAt       time.Duration // not to be tried again before, after a failure
	commands     []keptCommand
	packed       packedState
	records      packedRecords
	cache        targetCache
	departing    departing
	fetching     bool
	ready        bool
	confirm      bool
	leaving      bool
	cutSince     time.Time
	fitSince     map[string]fitState
	ranks        map[string]memberRank // of members, as they were last logged
	nextPeriodic time.Duration
	seen         revisions
	gatherTo     time.Duration // news of targets waits until then

	calls  chan func()
	done   chan struct{}
	closed sync.WaitGroup
	cancel context.CancelFunc
	ctx    context.Context
}

// packedState is the machine's state at a position of the log, packed.
type packedState struct {
	index uint64
	data  []byte
}

// keptCommand is a command that instances which catch up may ask for. Its data is nil
// once nobody needs it.
type keptCommand struct {
	applied messenger.Applied
	ruleset uint64 // version of the ruleset that it brings, or 0
}

type waiter struct {
	term   uint64
	answer chan planner.Answer
}

// revisions are those that the last World was made from.
type revisions struct {
	gossip, registry, version uint64
	ready, confirm, leaving   bool
}

// Option sets a property of a Controller.
type Option func(*Controller)

// WithLogger sets where events are logged.
func WithLogger(l *slog.Logger) Option {
	return func(c *Controller) { c.log = l }
}

// WithStateHandler has f called in the control goroutine with every new World.
func WithStateHandler(f func(ClusterState)) Option {
	return func(c *Controller) { c.onWorld = f }
}

// WithJournalOptions sets how the data folder is opened.
func WithJournalOptions(opts ...journaler.Option) Option {
	return func(c *Controller) { c.disk = opts }
}

// New starts the control goroutine of an instance. It returns the error of the
// data folder, such as a *journaler.DamageError.
func New(set Settings, clock Clock, t Transport, keys messenger.Keys, opts ...Option) (*Controller, error) {
	c := &Controller{
		set:       set,
		clock:     clock,
		start:     clock.Now(),
		transport: t,
		keys:      keys,
		log:       slog.New(slog.DiscardHandler),
		onWorld:   func(ClusterState) {},
		machine:   planner.NewMachine(),
		waiters:   make(map[uint64]waiter),
		reads:     make(map[uint64]chan messenger.ReadReply),
		fitSince:  make(map[string]fitState),
		ranks:     make(map[string]memberRank),
		calls:     make(chan func(), queuedCalls),
		done:      make(chan struct{}),

		heardAllAt: readyAnyway,
	}
	for _, o := range opts {
		o(c)
	}
	c.registry = announcer.NewRegistry(set.Self.Name, announcer.WithChanges(c.noteTarget))
	c.ctx, c.cancel = context.WithCancel(context.Background())
	incarnation := uint64(c.start.UnixMilli())
	c.gossip = gossiper.New(set.Self, incarnation, gossiper.WithSeeds(set.Seeds...),
		gossiper.WithRandom(rand.New(rand.NewPCG(incarnation, 7))))
	c.fresh = set.DataFolder != "" && journaler.Empty(set.DataFolder)
	if set.DataFolder != "" && !c.fresh {
		if err := c.openJournal(""); err != nil {
			c.cancel()
			return nil, err
		}
		c.loadTargets()
	}
	c.closed.Add(1)
	go c.run()
	return c, nil
}

func (c *Controller) now() time.Duration {
	return c.clock.Now().Sub(c.start)
}

func (c *Controller) run() {
	defer c.closed.Done()
	ticks, stop := c.clock.Ticker(tickEvery)
	defer stop()
	c.tick()
	for {
		c.applyVoter()
		c.publish()
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
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	c.do(ctx, func() { c.send(c.gossip.Depart()) })
	close(c.done)
	c.cancel()
	c.closed.Wait()
	if c.journal == nil {
		return nil
	}
	return c.journal.Close()
}

// do runs f in the control goroutine and waits for it. It is false when the
// controller is closed or ctx ends first.
func (c *Controller) do(ctx context.Context, f func()) bool {
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

// background runs call outside of the control goroutine, until the timeout at most, and
// what it returns inside of it.
func (c *Controller) background(timeout time.Duration, call func(ctx context.Context) (finish func())) {
	c.closed.Add(1)
	go func() {
		defer c.closed.Done()
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		c.do(c.ctx, call(ctx))
	}()
}

// post has f run in the control goroutine; it is dropped when too much waits.
func (c *Controller) post(f func()) bool {
	select {
	case c.calls <- f:
		return true
	default:
		return false
	}
}

func (c *Controller) tick() {
	now := c.now()
	c.noteIsolation(now)
	c.send(c.gossip.Tick(now))
	c.learnTargets(now)
	c.settleCache(now)
	c.noteInformed()
	if c.voter != nil && c.voterErr == nil {
		c.voter.Tick(now)
	}
	if now >= c.nextPeriodic {
		c.nextPeriodic = now + periodicEvery
		c.periodic(now)
	}
}

func (c *Controller) learnTargets(now time.Duration) {
	for _, r := range c.gossip.News() {
		if strings.HasPrefix(r.Key, gossiper.TargetPrefix) {
			c.registry.Learn(now, c.correct(r))
		}
	}
	for _, r := range c.gossip.HeardOf() {
		c.registry.HeardElsewhere(now, r)
	}
	for _, key := range c.registry.Forgotten() {
		c.gossip.Forget(key)
	}
}

func (c *Controller) aliveInstance(name string) bool {
	if name == c.set.Self.Name {
		return true
	}
	m, ok := c.gossip.Member(name)
	return ok && m.Alive()
}

func (c *Controller) send(list []gossiper.Envelope) {
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
	c.post(func() {
		if c.voter == nil || c.voterErr != nil {
			return
		}
		for _, m := range messages {
			c.voter.Step(c.now(), m)
		}
		c.voter.Tick(c.now()) // what has just been committed goes out at once
	})
}

// publish makes a new World where something in it has changed.
func (c *Controller) publish() {
	r := revisions{
		gossip: c.gossip.Revision(), registry: c.registry.Revision(), version: c.machine.Config().Version,
		ready: c.ready, confirm: c.confirm, leaving: c.leaving,
	}
	if c.set.LabelSteering {
		r.gossip = 0 // who else is there makes no difference to flows that carry a label
	}
	if c.set.LabelSteering && !c.set.HandlesFlows {
		r.registry = 0
	}
	if r == c.seen || c.gathers(r) {
		return
	}
	c.gossip.SetVersion(r.version, c.watchers())
	c.gossip.Update(func(i gossiper.Instance) gossiper.Instance {
		i.Serving = c.ready && !c.leaving
		return i
	})
	if !c.set.LabelSteering {
		r.gossip = c.gossip.Revision()
	}
	c.seen = r
	c.gatherTo = c.now() + time.Duration(c.registry.Len())*gatherTime
	c.onWorld(c.world())
}

// gatherTime is how long news of targets is gathered, for each target that is known. A
// World costs time in proportion to them, and with more of them there is more news.
const gatherTime = 200 * time.Microsecond

// gathers tells whether there is news of targets only, which waits for more of it.
func (c *Controller) gathers(r revisions) bool {
	r.registry = c.seen.registry
	return c.set.LabelSteering && r == c.seen && c.now() < c.gatherTo
}

// watchers returns who is told at once which version is in force here: everybody in
// a small deployment, the voters in a large one.
func (c *Controller) watchers() []string {
	const small = 16 // instances
	if c.gossip.Len() >= small {
		return c.machine.Config().Voters
	}
	var names []string
	for _, m := range c.gossip.Members() {
		names = append(names, m.Name)
	}
	return names
}

// world returns the present state. Flows that carry a label need no members, and no order
// of targets.
func (c *Controller) world() ClusterState {
	w := ClusterState{
		Self: c.gossip.Self(), Config: c.machine.Config(),
		Ready: c.ready, ConfigConfirmed: c.confirm, Leaving: c.leaving, TakenAt: c.now(),
	}
	w.Targets = make([]announcer.Target, 0, c.registry.Len())
	c.registry.Targets(func(t announcer.Target) { w.Targets = append(w.Targets, t) })
	if c.set.LabelSteering {
		return w
	}
	w.Members = c.gossip.Members()
	w.TicketHolders = c.issuers()
	slices.SortFunc(w.Targets, func(a, b announcer.Target) int { return a.Endpoint.Compare(b.Endpoint) })
	return w
}

func encode(cmd planner.Command) []byte {
	b, err := messenger.EncodeCommand(cmd)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return b
}
