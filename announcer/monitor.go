package announcer

import (
	"time"

	"almondpick/gossiper"
)

// localTarget is the additional state of a target that announces itself to this instance or
// that this instance monitors. After a restart of the monitor, the arrival of the record counts
// as the first heartbeat.
type localTarget struct {
	lastHeartbeat           time.Duration // when the last announcement or relayed heartbeat arrived
	publishedAt             time.Duration // when the record of the target was last published, or received as its monitor
	relayedAt               time.Duration // value of lastHeartbeat when it was last relayed to the monitor
	monitorUnreachableSince time.Duration // 0 while the monitor is reachable
	refuteUnreachable       bool          // publish that the target is reachable: another instance declared it unreachable
}

// refutesUnreachable reports whether a target that another instance has declared unreachable
// has announced itself to this one within UnreachableAfter, and later than a, the announcement
// in the record of the other instance. If so, it sets refuteUnreachable, so that the next tick
// publishes that the target is reachable.
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

// updateLocalTarget updates localTargets for a target whose record has arrived by gossip. An
// instance that monitored the target before a restart monitors it again: no other instance
// would detect that the target has ended meanwhile.
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

// HandleRelayedHeartbeat processes a heartbeat that another instance has relayed. The heartbeat
// is ignored unless this instance monitors that incarnation of the target.
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

// Tick declares targets unreachable that have stopped announcing themselves, relays the
// heartbeats of targets that other instances monitor, takes over from unreachable monitors, and
// deletes targets that have been unreachable for UnreachableRetention. alive reports whether an
// instance is alive.
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

// maintainLocalTarget handles a target that announces itself here and that another instance
// monitors or has declared unreachable. If refuteUnreachable is set, or the monitor has been
// unreachable for MonitorTakeoverDelay, this instance publishes that the target is reachable and
// becomes the monitor. Otherwise a heartbeat that has not been relayed yet is added to
// heartbeatsByMonitor, if the monitor is reachable. The result is the updated localTarget.
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

// publish makes this instance the monitor of a target and broadcasts its record.
func (r *Registry) publish(now time.Duration, a Announcement, unreachable bool, p Publisher) {
	liveness := gossiper.LivenessSelfReported
	if unreachable {
		liveness = gossiper.LivenessSuspect
	}
	r.setTarget(now, a, r.self, unreachable)
	p.Broadcast(r.newRecord(a, liveness))
}

// expireTargets marks a target as unreachable if, for UnreachableAfter and two more
// announcement intervals, it has not announced itself here and its monitor was not alive. This
// is not published. expireTargets deletes targets that have been unreachable for
// UnreachableRetention.
func (r *Registry) expireTargets(now time.Duration, alive func(instance string) bool) {
	for endpoint, t := range r.targets {
		if t.MonitorInstance == r.self || alive(t.MonitorInstance) {
			t.LastSeen = now
		}
		if !t.Unreachable && now-t.LastSeen >= UnreachableAfter+2*AnnouncementInterval {
			t.Unreachable = true
			t.StateSince = now
			r.revision++
			r.changeCallback(*t)
		}
		if t.Unreachable && now-t.StateSince >= UnreachableRetention {
			delete(r.targets, endpoint)
			r.expiredKeys = append(r.expiredKeys, TargetKey(endpoint))
			r.revision++
		}
	}
}
