// Package steerer decides where the packets of flows go whose two ends return a
// label that the instance writes into the opening packet, as connection identifiers
// do in QUIC load balancing. The label names the target, so any instance forwards a
// later packet by the label alone: no flow table, owner or relay is needed.
//
// A Steerer has no socket, clock or goroutine. It belongs to one caller at a time.
package steerer

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Flow names a flow by both of its ends.
type Flow struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
}

// Label is what both ends of a flow return: the low half of the target's identity.
type Label uint32

// LabelOf returns the label of a target's identity.
func LabelOf(identity uint64) Label {
	return Label(identity)
}

// Flags are the properties of a packet that decisions rest on.
type Flags uint8

// The flags.
const (
	SYN Flags = 1 << iota // asks for a new flow
	FIN                     // the sender has nothing more to send
	RST                     // the sender gives the flow up
)

// Packet is what the decision needs to know of a packet from a caller.
type Packet struct {
	Flow  Flow
	Flags Flags
	Label Label
	Retransmissions  uint32 // of an opening packet: how many went before it
	Ack   uint32 // of any other packet: what the caller has received
	PayloadSize  int    // of the data that it carries, in bytes
	// HeldFor is how long the packet, or the first of its copies, has been held.
	HeldFor time.Duration
}

// Action is what happens to a packet.
type Action uint8

// The actions.
const (
	Drop Action = iota
	Forward
	Reset // tell the caller that the flow does not open
	Hold  // decide again soon, when more is known
)

var actionNames = [...]string{"drop", "forward", "reset", "hold"}

// String returns the name of the action.
func (a Action) String() string { return actionNames[a] }

// Reason says what a verdict rests on.
type Reason string

// The reasons.
const (
	ByLabel        Reason = "label"
	Placed         Reason = "placed"
	RetransmissionKept       Reason = "copy-kept"       // same target as the packet before
	RetransmissionMoved      Reason = "copy-moved"      // the first target does not answer
	NoRoute        Reason = "no-route"        // the address is not in the configuration
	NoTarget       Reason = "no-target"       // nobody can serve the route
	HeldTooLong    Reason = "held-too-long"   // nothing was learnt of its targets in time
	UnknownLabel   Reason = "unknown-label"   // no target has it
	LabelOfOtherPool   Reason = "foreign-label"   // a target of a pool that the route never had
	NotInitialized Reason = "not-initialized" // no configuration yet
)

// Reasons lists all reasons.
var Reasons = []Reason{
	ByLabel, Placed, RetransmissionKept, RetransmissionMoved, NoRoute, NoTarget, HeldTooLong, UnknownLabel, LabelOfOtherPool, NotInitialized,
}

// Decision is the decision about one packet.
type Decision struct {
	Action Action
	Reason Reason
	Target *Target // with Forward
	Route  *Route  // nil where the address has none
}

// Times of what is remembered of flows.
const (
	openingMemory = 5 * time.Second // copies of an opening packet come within it
	sweepEvery    = 100 * time.Millisecond
	idleAfter     = 200 * time.Millisecond // without a packet, once an answer has begun
	// openWithin is how long a flow that has not opened counts as load. The caller may
	// have given up, or the target may not take it in.
	openWithin = 100 * time.Millisecond
)

// waitShare is the part of a route's timeout, as a divisor, that a caller waits here at
// most. After it the rest would hardly do for the request itself, and the caller may be
// gone: a flow placed for nobody takes a target's time from others.
const waitShare = 2

// opened is what is remembered of a flow that this instance placed.
type opened struct {
	target   *state
	route    *Route
	at       time.Duration
	busy     bool          // counts as load of its target
	until    time.Duration // it counts as load no longer than that
	heard    time.Duration // when its caller last sent a packet
	ack      uint32        // what its caller has received
	first    uint32        // the same before the first answer
	askedAt  time.Duration // when the caller last asked for something
	asked    bool          // the answer to what was last asked has not begun
	answered bool          // the target has let the flow open
	ended    bool
}

// Steerer decides about packets.
type Steerer struct {
	view      *View
	random    *rand.Rand
	flows     map[Flow]*opened
	states    map[uint64]*state   // by identity
	centres   map[string]*contact // by data centre, other than this instance's own
	allowed   map[poolUse]bool
	usual     usual
	nextSweep time.Duration
	ended     func(r *Route, lasted time.Duration)
}

// poolUse says that a route sends, or once sent, flows to a pool.
type poolUse struct {
	address netip.AddrPort
	pool    string
}

// Option sets a property of a Steerer.
type Option func(*Steerer)

// WithRandomSource sets the source of random choices.
func WithRandomSource(r *rand.Rand) Option {
	return func(s *Steerer) { s.random = r }
}

// WithFlowEndHook has f called at the end of every flow that was placed here.
func WithFlowEndHook(f func(r *Route, lasted time.Duration)) Option {
	return func(s *Steerer) { s.ended = f }
}

// New returns a Steerer that knows no configuration yet.
func New(opts ...Option) *Steerer {
	s := &Steerer{
		view:    NewView(0, "", nil, nil),
		flows:   make(map[Flow]*opened),
		states:  make(map[uint64]*state),
		centres: make(map[string]*contact),
		allowed: make(map[poolUse]bool),
		usual:   newUsual(),
		ended:   func(*Route, time.Duration) {},
	}
	for _, o := range opts {
		o(s)
	}
	if s.random == nil {
		s.random = rand.New(rand.NewPCG(1, 2))
	}
	return s
}

// SetView puts a new view into use. Views must come with versions that never fall.
func (s *Steerer) SetView(v *View) {
	if v.ConfigVersion < s.view.ConfigVersion {
		return
	}
	s.view = v
	live := make(map[uint64]*state, len(v.targets))
	for _, t := range v.targets {
		st := s.states[t.Identity]
		if st == nil || st.target.Incarnation != t.Incarnation {
			st = &state{}
		}
		st.target = t
		live[t.Identity] = st
	}
	s.states = live
	for address, r := range v.routes {
		for _, share := range r.Shares {
			s.allowed[poolUse{address, share.Pool}] = true
		}
	}
}

// Decide decides about a packet from a caller.
func (s *Steerer) Decide(now time.Duration, p Packet) Decision {
	if now >= s.nextSweep {
		s.sweep(now)
	}
	if p.Flags&SYN != 0 {
		return s.open(now, p)
	}
	target := s.view.byLabel[p.Label]
	if target == nil {
		return Decision{Action: s.unknown(Drop), Reason: UnknownLabel, Route: s.view.routes[p.Flow.Service]}
	}
	route := s.view.routes[p.Flow.Service]
	if route != nil && !route.has(target.Pool) && !s.allowed[poolUse{p.Flow.Service, target.Pool}] {
		return Decision{Action: Drop, Reason: LabelOfOtherPool, Route: route}
	}
	s.note(now, p)
	return Decision{Action: Forward, Reason: ByLabel, Target: target, Route: route}
}

// note keeps the picture of a flow that was placed here up to date. Answers do not come
// by here; that one has begun shows in what the caller acknowledges.
func (s *Steerer) note(now time.Duration, p Packet) {
	f := s.flows[p.Flow]
	if f == nil {
		return
	}
	f.heard = now
	if !f.answered {
		f.answered = true
		f.ack, f.first = p.Ack, p.Ack
		f.until = now + f.route.Timeout
		f.setBusy(true)
		s.answered(now, f)
	}
	if f.asked && p.Ack != f.ack && f.askedAt > 0 {
		s.began(now, f.target, now-f.askedAt)
		f.asked = false
	}
	switch {
	case p.Flags&(FIN|RST) != 0 && !f.ended:
		f.ended = true
		f.setBusy(false)
		s.finished(now, f.target, p.Flow.Service, p.Ack-f.first)
		s.ended(f.route, now-f.at)
	case p.PayloadSize > 0 && !f.ended:
		f.asked, f.askedAt = true, now
		f.ack = p.Ack
		f.until = now + f.route.Timeout
		f.setBusy(true)
	case p.Ack != f.ack:
		f.asked = false
		f.ack = p.Ack
	}
}

func (f *opened) setBusy(busy bool) {
	if busy == f.busy {
		return
	}
	f.busy = busy
	if busy {
		f.target.open++
	} else {
		f.target.open--
	}
}

// wasRefused tells whether the flow did not open in time and its caller has not asked for
// it again.
func (f *opened) wasRefused(now time.Duration) bool {
	return f.busy && !f.answered && f.heard == f.at && now >= f.until
}

// sweep forgets flows that have ended, and no longer counts as load those that pause
// between requests or whose callers must have given up.
func (s *Steerer) sweep(now time.Duration) {
	s.nextSweep = now + sweepEvery
	for flow, f := range s.flows {
		if s.view.Synced && f.wasRefused(now) {
			s.refused(now, f.target)
		}
		pauses := f.answered && !f.asked && now-f.heard >= idleAfter
		if f.busy && f.answered && f.asked && now >= f.until {
			s.began(now, f.target, now-f.askedAt) // no answer at all
			f.asked = false
		}
		if pauses || now >= f.until {
			f.setBusy(false)
		}
		if !f.busy && now-f.heard >= openingMemory {
			delete(s.flows, flow)
		}
	}
}

// open decides about an opening packet. The copies of one follow it to the same
// target, because a second target would answer too and confuse the ends about the
// label, unless the first cannot have answered.
func (s *Steerer) open(now time.Duration, p Packet) Decision {
	if s.view.ConfigVersion == 0 {
		return Decision{Action: Hold, Reason: NotInitialized}
	}
	route := s.view.routes[p.Flow.Service]
	if route == nil {
		return Decision{Action: s.unknown(Reset), Reason: NoRoute}
	}
	before := s.flows[p.Flow]
	if before != nil && now-before.at < openingMemory && !s.silent(now, before) {
		return Decision{Action: Forward, Reason: RetransmissionKept, Target: before.target.target, Route: route}
	}
	reason := Placed
	if before != nil && now-before.at < openingMemory {
		reason = RetransmissionMoved
		s.unanswered(now, before)
	}
	if before != nil {
		before.setBusy(false)
		delete(s.flows, p.Flow)
	}
	if p.HeldFor > route.Timeout/waitShare {
		return Decision{Action: Reset, Reason: HeldTooLong, Route: route}
	}
	st := s.place(now, route)
	if st == nil {
		return Decision{Action: s.unknown(Reset), Reason: NoTarget, Route: route}
	}
	f := &opened{target: st, route: route, at: now, heard: now, asked: true, until: now + openWithin}
	f.setBusy(true)
	s.flows[p.Flow] = f
	return Decision{Action: Forward, Reason: reason, Target: st.target, Route: route}
}

// unknown is what becomes of a packet that the view has no place for. Once the view is
// complete that is final. While this instance is still learning after a start the
// packet waits: a reset would end the caller's attempt, and a drop cost it the time
// until its next copy.
func (s *Steerer) unknown(final Action) Action {
	if s.view.Synced {
		return final
	}
	return Hold
}

// silent tells whether the target of a flow that is asked for again cannot be the
// one that will answer: it has left, or it has answered nobody since the flow was
// asked for.
func (s *Steerer) silent(now time.Duration, f *opened) bool {
	if f.answered {
		return false
	}
	if s.states[f.target.target.Identity] != f.target || !f.target.target.AcceptsNewFlows {
		return true
	}
	return f.target.lastAnswer <= f.at && now-f.at >= copyInterval
}

// copyInterval is the time after which callers repeat an opening packet, less the
// jitter of the path.
const copyInterval = 150 * time.Millisecond
