package announcer

import "net/netip"

// unnamedIncarnation is the incarnation of a target whose job the configuration of the instance
// that received its announcement does not name. It is below that of any other target, so that
// such a target replaces no other, neither in a registry nor in the records of other instances
// nor in a departure.
const unnamedIncarnation = 0

// JobUnnamed reports whether the configuration did not name the job of the target when the target
// last announced itself.
func (t Target) JobUnnamed() bool {
	return t.Incarnation == unnamedIncarnation
}

// UnnamedJobError reports an announcement for a job that the configuration does not name. It
// names no target to use: it is not stored if another target has the endpoint, and a notice that
// the target drains binds no instance whose configuration does name the job.
type UnnamedJobError struct {
	Job      string
	Endpoint netip.AddrPort
}

// Error implements error.
func (e *UnnamedJobError) Error() string {
	return "no configuration names the job " + e.Job + " of the target at " + e.Endpoint.String()
}

func newUnnamedJobError(a Announcement) error {
	return &UnnamedJobError{Job: a.Job, Endpoint: a.Endpoint}
}

// assignRank returns an announcement with the incarnation that it is stored with. If the
// configuration does not name the job, that is unnamedIncarnation, unless the announcement is of
// the target that has the endpoint already: a job may be named again. The target ranks by its own
// incarnation as soon as it announces itself while its job is named.
//
// The error is an *UnnamedJobError if the announcement would have to replace a target whose job
// is or was named. old is the target at the endpoint, or nil.
func (r *Registry) assignRank(a Announcement, old *Target) (Announcement, error) {
	a.Incarnation = max(a.Incarnation, unnamedIncarnation+1)
	sameTarget := old != nil && old.Identity == a.Identity && old.Job == a.Job
	if (sameTarget && old.Incarnation == a.Incarnation) || r.namesJob(a.Job) {
		return a, nil
	}
	a.Incarnation = unnamedIncarnation
	if old != nil && (old.Incarnation != unnamedIncarnation || (!sameTarget && r.namesJob(old.Job))) {
		return a, newUnnamedJobError(a)
	}
	return a, nil
}
