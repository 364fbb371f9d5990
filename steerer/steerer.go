// Package steerer selects targets for flows whose two ends echo a label that the
// instance writes into the SYN, as connection IDs are used in QUIC load balancing.
// The label identifies the target, so any instance can forward a later packet by the
// label alone: no flow table, flow owner or relay between instances is needed.
//
// A Steerer has no socket, clock or goroutine, and is not safe for concurrent use.
package steerer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"almondpick/admitter"
	"almondpick/estimator"
	"almondpick/warmer"
)

// Flow identifies a flow by the addresses of its two ends.
type Flow struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
}

// Label is the value that both ends of a flow echo in every packet: the low 32 bits of
// the target's identity.
type Label uint32

// LabelOf returns the label of the target with the given identity.
func LabelOf(identity uint64) Label {
	return Label(identity)
}

// Flags are the header flags of a packet that a decision depends on.
type Flags uint8

// The flags, named after those of TCP.
const (
	SYN Flags = 1 << iota // opens a flow
	FIN                   // the sender has no more data
	RST                   // the sender aborts the flow
)

// Packet holds the fields of a caller's packet that a decision depends on.
type Packet struct {
	Flow            Flow
	Flags           Flags
	Label           Label
	Retransmissions uint32 // of a SYN: number of SYNs sent before it
	Ack             uint32 // of any other packet: acknowledgement number
	PayloadSize     int    // bytes
	// HeldFor is how long the packet has been held, counted from the first
	// transmission of a SYN that has been retransmitted.
	HeldFor time.Duration
	// ReceivedBefore is how long ago the packet was received, 0 if it has just been received.
	ReceivedBefore time.Duration
	// SentBefore is, for a retransmitted SYN, how long before it the first one was sent.
	SentBefore time.Duration
	// NextSYNAfter is, for a SYN, how long after it the caller sends the next one or gives up; 0
	// if that is not known.
	NextSYNAfter time.Duration
	Sequence     uint32 // sequence number of the first byte
}

// Action says what to do with a packet.
type Action uint8

// The actions.
const (
	Drop Action = iota
	Forward
	Reset // answer the caller with a reset: the flow is refused
	Hold  // keep the packet and decide again shortly
)

var actionNames = [...]string{"drop", "forward", "reset", "hold"}

// String returns the name of the action.
func (a Action) String() string { return actionNames[a] }

// Reason says why a decision was taken. Its text is logged and is a metric label.
type Reason string

// The reasons.
const (
	ByLabel             Reason = "label"           // forwarded to the target of the packet's label
	Placed              Reason = "placed"          // a target was selected for a new flow
	RetransmissionKept  Reason = "copy-kept"       // retransmitted SYN, same target as the one before
	RetransmissionMoved Reason = "copy-moved"      // retransmitted SYN, new target: the first does not answer or takes no new flows
	NoRoute             Reason = "no-route"        // the configuration has no route for the address
	NoTarget            Reason = "no-target"       // no target can serve the route
	HeldTooLong         Reason = "held-too-long"   // the route's targets did not become known in time
	UnknownLabel        Reason = "unknown-label"   // no known target has the label
	LabelOfOtherPool    Reason = "foreign-label"   // the label's target is in a pool that the route never used
	NotInitialized      Reason = "not-initialized" // no configuration received yet
	CallerSilent        Reason = "caller-silent"   // the caller of a held SYN has not sent the next one to this instance
	Evacuated           Reason = "evacuated"       // no target can serve the route because data centres are evacuated
	Busy                Reason = "busy"            // the pool has as many requests in progress as it can answer in time
	LinkBusy            Reason = "link-busy"       // the link of this instance carries no further flow with many bytes
	SlowStart           Reason = "slow-start"      // the only targets left are in slow start, and get no more flows of this instance now
)

// Reasons lists all values of Reason.
var Reasons = []Reason{
	ByLabel, Placed, RetransmissionKept, RetransmissionMoved, NoRoute, NoTarget, HeldTooLong, UnknownLabel, LabelOfOtherPool, NotInitialized, CallerSilent, Evacuated, Busy, LinkBusy, SlowStart,
}

// Decision says what to do with one packet, and why.
type Decision struct {
	Action Action
	Reason Reason
	Target *Target // set if Action is Forward
	Route  *Route  // nil if the address has no route
	// Load is the load that the packet waits for, or has waited for until it was refused. It is empty
	// if there is none. InProgress and Limit tell how many requests this instance has in
	// progress there and how many it may have, and Waiting how many of the route wait.
	Load       admitter.Reason
	InProgress int
	Limit      float64
	Waiting    int
	// LeftOut is, if Reason is SlowStart, how many targets in slow start were left out.
	LeftOut int
	// ToSlowStart says that the flow is placed on a target in slow start with a known rate.
	ToSlowStart bool
}

// Steerer decides what to do with each packet of callers.
type Steerer struct {
	view                *View
	random              *rand.Rand
	flows               map[Flow]*flowState
	targetStates        map[uint64]*targetState   // by identity
	dataCentreEjections map[string]*ejectionState // by name of the data centre; the local one has none
	formerPools         map[routePool]bool
	admitter            *admitter.Admitter
	freed               bool // a request has ended since the last call of TakeFreed
	warmer              *warmer.Warmer
	exhausted           map[string]exhaustedPool // by pool
	baselines           baselines
	nextExpiry          time.Duration
	onFlowEnd           func(class, route string, lasted time.Duration)
	estimator           *estimator.Estimator // nil if targets are not estimated
	estimatedAt         time.Duration        // when the estimates were last recomputed
	estimateChanges     []EstimateChange     // since the last call of TakeEstimateChanges
}

// routePool is a service address and a pool to which its route used to send new flows.
type routePool struct {
	address netip.AddrPort
	pool    string
}

// Option configures a Steerer.
type Option func(*Steerer)

// WithRandomSource sets the source of random numbers. The default has a fixed seed.
func WithRandomSource(r *rand.Rand) Option {
	return func(s *Steerer) { s.random = r }
}

// WithFlowEndCallback sets a function that is called when a flow ends for which this
// Steerer selected the target. The function gets the class and the name of the flow's route, and the
// time since the selection.
func WithFlowEndCallback(f func(class, route string, lasted time.Duration)) Option {
	return func(s *Steerer) { s.onFlowEnd = f }
}

// WithAdmitter sets the admitter that decides which requests are sent. The default limits the
// requests in progress at each pool.
func WithAdmitter(a *admitter.Admitter) Option {
	return func(s *Steerer) { s.admitter = a }
}

// WithWarmer sets the Warmer that decides which flows targets in slow start get. The default
// admits none to targets with a known rate.
func WithWarmer(w *warmer.Warmer) Option {
	return func(s *Steerer) { s.warmer = w }
}

// New returns a Steerer without a configuration. It holds all packets until SetView
// provides one.
func New(opts ...Option) *Steerer {
	s := &Steerer{
		view:                NewView(0, "", nil, nil),
		flows:               make(map[Flow]*flowState),
		targetStates:        make(map[uint64]*targetState),
		dataCentreEjections: make(map[string]*ejectionState),
		formerPools:         make(map[routePool]bool),
		admitter:            admitter.New(),
		warmer:              warmer.New(""),
		exhausted:           make(map[string]exhaustedPool),
		baselines:           newBaselines(),
		onFlowEnd:           func(string, string, time.Duration) {},
	}
	for _, o := range opts {
		o(s)
	}
	if s.random == nil {
		s.random = rand.New(rand.NewPCG(1, 2))
	}
	return s
}

// SetView replaces the view. A view with an older configuration version than the
// current one is ignored.
func (s *Steerer) SetView(v *View) {
	if v.ConfigVersion < s.view.ConfigVersion {
		return
	}
	if v.table != s.view.table {
		s.recordFormerPools(v.table)
	}
	s.view = v
	current := make(map[uint64]*targetState, len(v.targets))
	for _, t := range v.targets {
		st := s.targetStates[t.Identity]
		if st == nil || st.target.Incarnation != t.Incarnation {
			st = &targetState{}
		}
		st.target = t
		current[t.Identity] = st
	}
	s.targetStates = current
	s.setEstimatedTargets()
	s.updateForwarders()
}

// recordFormerPools records, before the next table comes into force, the pools to which its routes send
// no new flows any more. The flows that are open there go on.
func (s *Steerer) recordFormerPools(next *RouteTable) {
	for address, r := range s.view.table.routes {
		successor := next.routes[address]
		if successor == r {
			continue
		}
		for _, share := range r.Shares {
			if successor == nil || !successor.usesPool(share.Pool) {
				s.formerPools[routePool{address, share.Pool}] = true
			}
		}
	}
}

// Decide returns the decision about a packet from a caller.
func (s *Steerer) Decide(now time.Duration, p Packet) Decision {
	if now >= s.nextExpiry {
		s.expireFlows(now)
		s.refreshEstimates(now)
	}
	if p.Flags&SYN != 0 {
		return s.handleSYN(now, p)
	}
	return s.handleLabel(now, p)
}

// handleLabel decides about a packet of a flow that has been opened, by its label.
func (s *Steerer) handleLabel(now time.Duration, p Packet) Decision {
	route := s.view.route(p.Flow.Service)
	target := s.view.targetsByLabel[p.Label]
	if target == nil {
		return Decision{Action: s.holdUntilSynced(now, p, Drop), Reason: UnknownLabel, Route: route}
	}
	if route != nil && !route.usesPool(target.Pool) && !s.formerPools[routePool{p.Flow.Service, target.Pool}] {
		return Decision{Action: Drop, Reason: LabelOfOtherPool, Route: route}
	}
	f := s.flows[p.Flow]
	if f == nil && p.PayloadSize > 0 && route != nil {
		f = s.adoptFlow(now, p, route, target)
	}
	if f == nil {
		return Decision{Action: Forward, Reason: ByLabel, Target: target, Route: route}
	}
	if p.PayloadSize > 0 && !f.inProgress && !f.closed {
		if v := s.admitter.Ask(now, p.request(f.terms, target.admissionPool())); v.Decision != admitter.Admit {
			return notAdmitted(v, target, route)
		}
	}
	s.updateFlow(now, f, p)
	return Decision{Action: Forward, Reason: ByLabel, Target: target, Route: route}
}

// handleSYN decides about a SYN. A retransmitted SYN goes to the same target as the
// first one unless that target cannot have answered: a second target would answer too,
// and the two ends of the flow would disagree on the label.
func (s *Steerer) handleSYN(now time.Duration, p Packet) Decision {
	if r := p.request(nil, ""); r.CallerSilent() {
		return Decision{Action: Drop, Reason: CallerSilent, Route: s.view.route(p.Flow.Service)}
	}
	if s.view.ConfigVersion == 0 {
		return Decision{Action: s.holdWhileUnknown(now, p), Reason: NotInitialized}
	}
	route := s.view.route(p.Flow.Service)
	if route == nil {
		return Decision{Action: s.holdUntilSynced(now, p, Reset), Reason: NoRoute}
	}
	previous := s.flows[p.Flow]
	if previous != nil {
		previous.recordRetransmission(now, p)
	}
	if previous != nil && now-previous.placedAt < synRetransmitWindow && !s.cannotAnswer(now, previous) {
		return Decision{Action: Forward, Reason: RetransmissionKept, Target: previous.targetState.target, Route: route}
	}
	reason := Placed
	if previous != nil && now-previous.placedAt < synRetransmitWindow {
		reason = RetransmissionMoved
		if !previous.targetState.target.Evacuated { // an evacuated target may have answered
			s.recordUnanswered(now, previous)
		}
	}
	if previous != nil {
		previous.setCountsAsLoad(now, false)
		delete(s.flows, p.Flow)
	}
	decision := s.placeFlow(now, p, route, reason)
	if reason == RetransmissionMoved && decision.Reason == SlowStart {
		// The first target may still answer, perhaps through another instance: the flow must then
		// not open at a second target or be refused later. The caller's next SYN shows otherwise.
		s.flows[p.Flow] = previous
		decision.Action = Drop
	}
	return decision
}

// placeFlow selects a target for a flow. A new flow waits while its pool is busy; one that moves
// away from a target that does not answer has waited before.
func (s *Steerer) placeFlow(now time.Duration, p Packet, route *Route, reason Reason) Decision {
	v := s.admitter.Ask(now, p.request(route.Terms(), ""))
	if v.Decision != admitter.Wait {
		return notAdmitted(v, nil, route)
	}
	st, leftOut := s.selectTarget(now, route)
	if st == nil && leftOut > 0 {
		return Decision{Action: Hold, Reason: SlowStart, Route: route, LeftOut: leftOut}
	}
	if st == nil {
		return s.withoutTarget(v, route)
	}
	request := p.request(route.Terms(), st.target.Pool)
	request.Moved = reason == RetransmissionMoved
	if v := s.admitter.Ask(now, request); v.Decision != admitter.Admit {
		return notAdmitted(v, nil, route)
	}
	f := &flowState{
		targetState: st, terms: route.Terms(), class: route.Class, steerer: s, placedAt: now, lastPacketAt: now,
		responsePending: true, loadExpiresAt: now + handshakeLoadTimeout, progressExpiresAt: now + handshakeLoadTimeout,
	}
	f.setCountsAsLoad(now, true)
	s.flows[p.Flow] = f
	return Decision{Action: Forward, Reason: reason, Target: st.target, Route: route, ToSlowStart: s.commitSlowStart(now, st.target)}
}

// missingTargetReason returns the reason why a route has no target for a new flow: Evacuated if one
// of its pools would have a target otherwise, and none has one.
func (s *Steerer) missingTargetReason(route *Route) Reason {
	reason := NoTarget
	for _, share := range route.Shares {
		if share.Weight > 0 && s.view.acceptingSlots[share.Pool] > 0 {
			return NoTarget
		}
		if share.Weight > 0 && s.view.poolEvacuated(share.Pool) {
			reason = Evacuated
		}
	}
	return reason
}

// cannotAnswer reports whether the target of a flow whose SYN is retransmitted is not
// expected to answer: the target has left the view, has restarted, or accepts no new
// flows, or it has answered no caller since the SYN was sent to it and
// synRetransmitInterval has passed.
func (s *Steerer) cannotAnswer(now time.Duration, f *flowState) bool {
	if f.established {
		return false
	}
	if s.targetStates[f.targetState.target.Identity] != f.targetState || !f.targetState.target.AcceptsNewFlows {
		return true
	}
	sentAt := f.sentAt(now)
	return f.targetState.lastResponseAt <= sentAt && now-sentAt >= synRetransmitInterval
}

// synRetransmitInterval is the time after which callers retransmit a SYN, less the jitter
// of the network path.
const synRetransmitInterval = 150 * time.Millisecond
