package announcer

import (
	"net/netip"
	"time"

	"almondpick/gossiper"
)

// Target is what an instance believes of a target.
type Target struct {
	Announcement
	MonitorInstance  string        // instance that watches it for all others
	Unreachable      bool          // it stopped announcing itself
	StateSince       time.Duration // of its present job and state
	QuarantinedUntil time.Duration // until then it takes no work: the endpoint changed its job
	LastSeen         time.Duration // when this was last heard of
	// spread is the sequence of the record that all others know. Sequence is later where the
	// target has announced itself here since.
	publishedSequence uint64
}

// spreadAnnouncement returns the announcement that all others know.
func (t Target) publishedAnnouncement() Announcement {
	a := t.Announcement
	a.Sequence = t.publishedSequence
	return a
}

// Name returns the identity of the target among the targets of a service.
func (t Target) Name() string {
	return t.Endpoint.String()
}

// Publisher spreads records.
type Publisher interface {
	// Announce tells everybody.
	Broadcast(r gossiper.Record) bool
	// Relay tells one instance that the targets with these keys go on.
	RelayHeartbeats(monitor string, records []gossiper.Record)
}

// Registry holds the targets as one instance knows them. It belongs to the
// control goroutine.
//
// The instance that a target first announced itself to is its home: all others rely on it
// to notice that the target falls silent. A target is free to go on announcing itself to
// another instance, after a lost answer or a restart of its home. That changes nothing for
// anybody else, so it is no news: the other instance lets the home know that it hears the
// target, and becomes its home only when the old one stays out of reach.
type Registry struct {
	self         string
	targets      map[netip.AddrPort]*Target
	localTargets map[netip.AddrPort]localTarget // targets that announce themselves here, or are watched here
	expiredKeys  []string
	revision     uint64
	onChange     func(t Target)
}

// local is what an instance keeps of a target that announces itself to it, or whose home
// it is.
type localTarget struct {
	lastHeartbeat           time.Duration
	publishedAt             time.Duration
	relayedAt               time.Duration // when the home was last told that the target goes on
	monitorUnreachableSince time.Duration // since when the home is out of reach; 0 while it is not
	refuteUnreachable       bool          // it was declared lost by an instance that did not hear it
}

// Option sets a property of a Registry.
type Option func(*Registry)

// WithChanges has f called with every change of what is believed of a target.
func WithOnChange(f func(t Target)) Option {
	return func(r *Registry) { r.onChange = f }
}

// NewRegistry returns an empty registry of the instance self.
func NewRegistry(self string, opts ...Option) *Registry {
	r := &Registry{
		self:         self,
		targets:      make(map[netip.AddrPort]*Target),
		localTargets: make(map[netip.AddrPort]localTarget),
		onChange:     func(Target) {},
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Revision rises whenever a target changes in a way that decisions rest on.
func (r *Registry) Revision() uint64 {
	return r.revision
}

// Forgotten returns the keys of records that need not be kept any more.
func (r *Registry) TakeExpiredKeys() []string {
	keys := r.expiredKeys
	r.expiredKeys = nil
	return keys
}

// Len returns the number of targets that are known.
func (r *Registry) Len() int {
	return len(r.targets)
}

// Targets calls f for every target.
func (r *Registry) EachTarget(f func(Target)) {
	for _, t := range r.targets {
		f(*t)
	}
}

// Announce takes in what a target says of itself here, and spreads it where it is
// news. It returns a *FieldError for bad content.
func (r *Registry) HandleAnnouncement(now time.Duration, a Announcement, p Publisher) error {
	if err := a.Validate(); err != nil {
		return err
	}
	old := r.targets[a.Endpoint]
	if old != nil && isOlder(a, old.Announcement) {
		return nil
	}
	l := r.localTargets[a.Endpoint]
	l.lastHeartbeat = now
	if r.needsPublishing(now, a, old, l) {
		l = localTarget{lastHeartbeat: now, publishedAt: now}
		r.setTarget(now, a, r.self, false)
		p.Broadcast(r.newRecord(a, gossiper.LivenessSelfReported))
	} else {
		old.Connections, old.RunningRequests, old.Load, old.Sequence = a.Connections, a.RunningRequests, a.Load, a.Sequence
		old.LastSeen = now
	}
	r.localTargets[a.Endpoint] = l
	return nil
}

// older tells whether a says less than b does. A target that is named by an identity
// does not come back from its end; what still arrives was sent before.
func isOlder(a, b Announcement) bool {
	if b.State == Deregistered && b.Identity != 0 && a.Incarnation == b.Incarnation && a.State != Deregistered {
		return true
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Sequence < b.Sequence
}

func (r *Registry) needsPublishing(now time.Duration, a Announcement, old *Target, l localTarget) bool {
	if old == nil || old.Unreachable {
		return true
	}
	if a.Job != old.Job || a.State != old.State || a.Slots != old.Slots || a.Incarnation != old.Incarnation {
		return true
	}
	const significantLoadChange = 0.25 // of the load scale
	loadChanged := a.Load-old.Load > significantLoadChange || old.Load-a.Load > significantLoadChange
	return loadChanged && now-l.publishedAt >= LoadRepublishInterval
}

func (r *Registry) newRecord(a Announcement, liveness gossiper.Liveness) gossiper.Record {
	return encodeRecord(a, r.self, liveness)
}

// Learn takes in a record that gossip brought. Damaged ones are left out.
func (r *Registry) HandleRecord(now time.Duration, rec gossiper.Record) {
	a, monitor, ok := decodeRecord(rec)
	if !ok {
		return
	}
	old := r.targets[a.Endpoint]
	unreachable := rec.Liveness != gossiper.LivenessSelfReported
	if old == nil && unreachable {
		r.expiredKeys = append(r.expiredKeys, rec.Key)
		return
	}
	if unreachable && r.refutesUnreachable(now, a) {
		return
	}
	if old != nil && isOlder(a, old.publishedAnnouncement()) {
		return
	}
	if old != nil && old.MonitorInstance == monitor && old.publishedSequence == a.Sequence && old.Incarnation == a.Incarnation && old.Unreachable == unreachable {
		return
	}
	r.updateLocalTarget(now, a, monitor, unreachable)
	r.setTarget(now, a, monitor, unreachable)
}

// refutes tells whether this instance has heard itself, a moment ago, from a target that
// another one takes for lost. All others are told so with the next tick.
func (r *Registry) refutesUnreachable(now time.Duration, a Announcement) bool {
	t := r.targets[a.Endpoint]
	l, ok := r.localTargets[a.Endpoint]
	if !ok || t.Unreachable || t.Incarnation != a.Incarnation || t.Sequence <= a.Sequence || now-l.lastHeartbeat >= UnreachableAfter {
		return false
	}
	l.refuteUnreachable = true
	r.localTargets[a.Endpoint] = l
	return true
}

// watch notes whether a target that gossip told of is watched here. An instance that was
// its home before a restart watches it again: nobody else would notice that it has ended
// meanwhile.
func (r *Registry) updateLocalTarget(now time.Duration, a Announcement, monitor string, unreachable bool) {
	l, ok := r.localTargets[a.Endpoint]
	old := r.targets[a.Endpoint]
	switch {
	case unreachable || a.State == Deregistered || (old != nil && old.Incarnation != a.Incarnation):
		delete(r.localTargets, a.Endpoint)
	case ok:
		l.monitorUnreachableSince = 0
		r.localTargets[a.Endpoint] = l
	}
	if monitor == r.self && !unreachable && a.State != Deregistered {
		r.localTargets[a.Endpoint] = localTarget{lastHeartbeat: now, publishedAt: now}
	}
}

// HeardElsewhere takes in the word of another instance that it hears a target whose home
// is this one.
func (r *Registry) HandleRelayedHeartbeat(now time.Duration, rec gossiper.Record) {
	endpoint, ok := EndpointFromKey(rec.Key)
	if !ok {
		return
	}
	t := r.targets[endpoint]
	l, ok := r.localTargets[endpoint]
	if ok && t.MonitorInstance == r.self && t.Incarnation == rec.Incarnation {
		l.lastHeartbeat = now
		r.localTargets[endpoint] = l
	}
}

// take makes a the present state of its endpoint. An endpoint that comes back
// under another job gets no work until every instance can have heard of it, unless
// packets name the target that they are meant for.
func (r *Registry) setTarget(now time.Duration, a Announcement, monitor string, unreachable bool) {
	old := r.targets[a.Endpoint]
	t := &Target{Announcement: a, MonitorInstance: monitor, Unreachable: unreachable, StateSince: now, LastSeen: now, publishedSequence: a.Sequence}
	if old != nil {
		if old.Incarnation == a.Incarnation {
			t.Sequence = max(a.Sequence, old.Sequence)
		}
		t.StateSince = old.StateSince
		t.QuarantinedUntil = old.QuarantinedUntil
		if old.Job != a.Job && a.Identity == 0 {
			t.QuarantinedUntil = now + JobChangeQuarantine
		}
		if old.Job != a.Job || old.State != a.State || old.Unreachable != unreachable || old.Incarnation != a.Incarnation {
			t.StateSince = now
		}
	}
	r.targets[a.Endpoint] = t
	r.revision++
	r.onChange(*t)
}

// Tick declares targets lost that have stopped announcing themselves, lets the homes of
// others know that they go on, and forgets those that have been lost for long. alive tells
// whether an instance is.
func (r *Registry) Tick(now time.Duration, alive func(instance string) bool, p Publisher) {
	heartbeatsByMonitor := make(map[string][]gossiper.Record)
	for endpoint, l := range r.localTargets {
		t := r.targets[endpoint]
		switch {
		case t == nil:
			delete(r.localTargets, endpoint)
		case now-l.lastHeartbeat >= UnreachableAfter:
			delete(r.localTargets, endpoint)
			if t.MonitorInstance == r.self {
				r.publish(now, t.Announcement, true, p)
			}
		case t.MonitorInstance != r.self || l.refuteUnreachable:
			r.localTargets[endpoint] = r.maintainLocalTarget(now, t, l, alive, heartbeatsByMonitor, p)
		}
	}
	for monitor, records := range heartbeatsByMonitor {
		p.RelayHeartbeats(monitor, records)
	}
	r.expireTargets(now, alive)
}

// attend does what is due for a target that is heard here and whose home is another
// instance, or that others take for lost.
func (r *Registry) maintainLocalTarget(now time.Duration, t *Target, l localTarget, alive func(string) bool, heartbeatsByMonitor map[string][]gossiper.Record, p Publisher) localTarget {
	reachable := alive(t.MonitorInstance)
	switch {
	case reachable:
		l.monitorUnreachableSince = 0
	case l.monitorUnreachableSince == 0:
		l.monitorUnreachableSince = max(now, 1)
	}
	if l.refuteUnreachable || (!reachable && now-l.monitorUnreachableSince >= MonitorTakeoverDelay) {
		r.publish(now, t.Announcement, false, p)
		return localTarget{lastHeartbeat: l.lastHeartbeat, publishedAt: now}
	}
	if reachable && l.lastHeartbeat > l.relayedAt {
		l.relayedAt = l.lastHeartbeat
		key := TargetKey(t.Endpoint)
		heartbeatsByMonitor[t.MonitorInstance] = append(heartbeatsByMonitor[t.MonitorInstance], gossiper.Record{Key: key, Incarnation: t.Incarnation, Sequence: t.Sequence})
	}
	return l
}

// publish makes this instance the home of a target and tells everybody what it knows.
func (r *Registry) publish(now time.Duration, a Announcement, unreachable bool, p Publisher) {
	liveness := gossiper.LivenessSelfReported
	if unreachable {
		liveness = gossiper.LivenessSuspect
	}
	r.setTarget(now, a, r.self, unreachable)
	p.Broadcast(r.newRecord(a, liveness))
}

// forget drops what has been lost for long, and takes for lost what neither this instance
// nor a home in reach has seen.
func (r *Registry) expireTargets(now time.Duration, alive func(instance string) bool) {
	for endpoint, t := range r.targets {
		if t.MonitorInstance == r.self || alive(t.MonitorInstance) {
			t.LastSeen = now
		}
		if !t.Unreachable && now-t.LastSeen >= UnreachableAfter+2*AnnouncementInterval {
			t.Unreachable = true
			t.StateSince = now
			r.revision++
			r.onChange(*t)
		}
		if t.Unreachable && now-t.StateSince >= UnreachableRetention {
			delete(r.targets, endpoint)
			r.expiredKeys = append(r.expiredKeys, TargetKey(endpoint))
			r.revision++
		}
	}
}

// Fit tells whether a target takes new work.
func (t Target) AcceptsNewWork(now time.Duration) bool {
	return !t.Unreachable && (t.State == Serving || t.State == SlowStart) && now >= t.QuarantinedUntil
}
