package admitter

import (
	"cmp"
	"time"
)

// ageStep is the resolution with which the ages of late requests are compared. Within a step the
// priority decides.
const ageStep = 30 * time.Millisecond

// Order returns a negative number if x is to be asked about before y, and a positive one in the
// opposite case.
//
// Requests that can still be answered within the latency objective come first, and among those the
// ones of the route with the higher priority. Of the same priority the newest come first: if more
// callers wait than the targets can serve, the latest are served in time, rather than all of them
// too late. Among late requests priority decides only between those that are about equally old.
func Order(x, y Request) int {
	if x.late() != y.late() {
		if y.late() {
			return -1
		}
		return 1
	}
	if !x.late() {
		return cmp.Or(cmp.Compare(x.priority(), y.priority()), cmp.Compare(x.Waited, y.Waited))
	}
	return cmp.Or(
		cmp.Compare(x.Waited/ageStep, y.Waited/ageStep),
		cmp.Compare(x.priority(), y.priority()),
		cmp.Compare(x.Waited, y.Waited))
}

// late reports whether the response would probably begin after the latency objective. Half of
// the objective is left for the target.
func (r *Request) late() bool {
	return r.Route != nil && r.Route.Objective > 0 && r.Waited > r.Route.Objective/2
}

// priority returns the priority of the route, 0 being the highest.
func (r *Request) priority() int {
	if r.Route == nil {
		return 0
	}
	return r.Route.Priority
}
