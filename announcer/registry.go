package announcer

import (
	"net/netip"
	"time"

	"almondpick/gossiper"
)

// Target is the state of a target as one instance knows it.
type Target struct {
	Announcement
	MonitorInstance  string        // the instance that detects for all others that the target is silent
	Unreachable      bool          // the target stopped announcing itself, or its monitor died and no other instance took over
	StateSince       time.Duration // when the job, state, incarnation or reachability last changed
	QuarantinedUntil time.Duration // the target gets no work before, because the job at its endpoint changed
	LastSeen         time.Duration // when it last announced itself here or its monitor was alive
	// SlowStartUntil is when the slow start has ended at the latest: what was left of it, counted
	// from when the announcement arrived. It is 0 in other states.
	SlowStartUntil time.Duration
	// publishedSequence is the sequence of the last published record of the target, which all
	// instances have. Announcement.Sequence is higher if the target has announced itself to
	// this instance since.
	publishedSequence uint64
}

// publishedAnnouncement returns the announcement with the sequence of the last published record.
func (t Target) publishedAnnouncement() Announcement {
	a := t.Announcement
	a.Sequence = t.publishedSequence
	return a
}

// Name returns the name of the target among the targets of a service: its endpoint.
func (t Target) Name() string {
	return t.Endpoint.String()
}

// Publisher sends records to other instances.
type Publisher interface {
	// Broadcast sends a record to all instances. It reports whether the record superseded the
	// stored one.
	Broadcast(r gossiper.Record) bool
	// RelayHeartbeats tells one instance that the targets with these keys still announce
	// themselves.
	RelayHeartbeats(monitor string, records []gossiper.Record)
}

// Registry holds the targets as one instance knows them. It is not safe for concurrent use:
// only the control goroutine uses it. Times are durations since a point that the caller
// chooses, such as its start.
//
// The instance that a target first announced itself to is the monitor of the target: all other
// instances rely on it to detect that the target is silent. A target may continue with another
// instance, after a lost reply or a restart of its monitor. Nothing changes for other instances
// then, so nothing is published: the instance that receives the announcements relays them to the
// monitor as heartbeats. It becomes the monitor itself only if the old one stays unreachable, or
// if it has to publish a change of the target.
type Registry struct {
	self           string // name of this instance
	targets        map[netip.AddrPort]*Target
	localTargets   map[netip.AddrPort]localTarget // by endpoint
	expiredKeys    []string                       // see TakeExpiredKeys
	revision       uint64
	changeCallback func(t Target)
	namesJob       func(job string) bool
}

// Option sets a property of a Registry.
type Option func(*Registry)

// WithChangeCallback sets a function that is called with every target that has changed.
func WithChangeCallback(f func(t Target)) Option {
	return func(r *Registry) { r.changeCallback = f }
}

// WithNamedJobs sets the function that reports whether the configuration names a job. By default
// every job counts as named.
func WithNamedJobs(names func(job string) bool) Option {
	return func(r *Registry) { r.namesJob = names }
}

// NewRegistry returns an empty registry of the instance self.
func NewRegistry(self string, opts ...Option) *Registry {
	r := &Registry{
		self:           self,
		targets:        make(map[netip.AddrPort]*Target),
		localTargets:   make(map[netip.AddrPort]localTarget),
		changeCallback: func(Target) {},
		namesJob:       func(string) bool { return true },
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Revision returns a counter that increases whenever a target changes in a way that routing
// decisions depend on.
func (r *Registry) Revision() uint64 {
	return r.revision
}

// TakeExpiredKeys returns and clears the keys of the records that the caller should delete:
// those of deleted targets, and of unreachable targets that this instance does not know.
func (r *Registry) TakeExpiredKeys() []string {
	keys := r.expiredKeys
	r.expiredKeys = nil
	return keys
}

// Len returns the number of targets, unreachable and deregistered ones included.
func (r *Registry) Len() int {
	return len(r.targets)
}

// EachTarget calls f for every target, in no order.
func (r *Registry) EachTarget(f func(Target)) {
	for _, t := range r.targets {
		f(*t)
	}
}

// HandleAnnouncement processes an announcement that a target sent to this instance. If the
// announcement changes anything for other instances, this instance publishes it and becomes the
// monitor of the target. An announcement older than the stored one is ignored. The error is a
// *FieldError for an invalid announcement, or an *UnnamedJobError.
func (r *Registry) HandleAnnouncement(now time.Duration, a Announcement, p Publisher) error {
	if err := a.Validate(); err != nil {
		return err
	}
	old := r.targets[a.Endpoint]
	a, err := r.assignRank(a, old)
	if err != nil {
		return err
	}
	if old == nil || !isOlder(a, old.Announcement) {
		r.acceptAnnouncement(now, a, old, p)
	}
	if a.Incarnation == unnamedIncarnation && a.Leaves() {
		return newUnnamedJobError(a)
	}
	return nil
}

// acceptAnnouncement stores an announcement that is no older than old, the target as known
// before, or nil.
func (r *Registry) acceptAnnouncement(now time.Duration, a Announcement, old *Target, p Publisher) {
	l := r.localTargets[a.Endpoint]
	l.lastHeartbeat = now
	if old != nil && old.Incarnation == a.Incarnation {
		a.Sequence = max(a.Sequence, old.Sequence)
	}
	if r.needsPublishing(now, a, old, l) {
		if old != nil && old.Incarnation == a.Incarnation {
			a.Sequence = max(a.Sequence, old.publishedSequence+1)
		}
		l = localTarget{lastHeartbeat: now, publishedAt: now}
		r.setTarget(now, a, r.self, false)
		p.Broadcast(r.newRecord(a, gossiper.LivenessSelfReported))
	} else {
		old.Connections, old.RunningRequests, old.Load, old.Sequence = a.Connections, a.RunningRequests, a.Load, a.Sequence
		old.SlowStartRemaining = a.SlowStartRemaining // for a record that is published later
		old.LastSeen = now
	}
	r.localTargets[a.Endpoint] = l
}

// needsPublishing reports whether an announcement changes anything for other instances. old is
// the target as known before, or nil. A change of the load alone is published only if it exceeds
// significantLoadChange, and at most every LoadRepublishInterval.
func (r *Registry) needsPublishing(now time.Duration, a Announcement, old *Target, l localTarget) bool {
	if old == nil || old.Unreachable {
		return true
	}
	if a.Job != old.Job || a.State != old.State || a.Slots != old.Slots || a.Incarnation != old.Incarnation {
		return true
	}
	const significantLoadChange = 0.25 // in units of Announcement.Load
	loadChanged := a.Load-old.Load > significantLoadChange || old.Load-a.Load > significantLoadChange
	return loadChanged && now-l.publishedAt >= LoadRepublishInterval
}

// newRecord returns the record of a target that this instance monitors.
func (r *Registry) newRecord(a Announcement, liveness gossiper.Liveness) gossiper.Record {
	return encodeRecord(a, r.self, liveness)
}

// HandleRecord processes the record of a target that arrived by gossip. Records with an invalid
// body are ignored.
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

// setTarget replaces the target at an endpoint. If its job has changed, the target is
// quarantined until every instance can have received the change, unless packets carry the
// identity of their target.
func (r *Registry) setTarget(now time.Duration, a Announcement, monitor string, unreachable bool) {
	old := r.targets[a.Endpoint]
	t := &Target{Announcement: a, MonitorInstance: monitor, Unreachable: unreachable, StateSince: now, LastSeen: now, publishedSequence: a.Sequence}
	if a.State == SlowStart {
		t.SlowStartUntil = now + a.SlowStartRemaining
	}
	if old != nil {
		if old.Incarnation == a.Incarnation {
			t.Sequence = max(a.Sequence, old.Sequence)
		}
		if old.Incarnation == a.Incarnation && old.State == a.State {
			// Each announcement gives a time that is not too early, but its record may be older.
			t.SlowStartUntil = max(t.SlowStartUntil, old.SlowStartUntil)
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
	r.changeCallback(*t)
}

// AcceptsNewWork reports whether the target may be given new flows and requests, unless the
// configuration drains it.
func (t Target) AcceptsNewWork(now time.Duration) bool {
	return !t.Unreachable && (t.State == Serving || t.State == SlowStart) && now >= t.QuarantinedUntil
}
