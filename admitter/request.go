package admitter

import "time"

// MaxHoldTime is how long a packet waits while its route or target is not known, and how long a
// SYN waits at most. It is shorter than the time for which callers wait for a flow to be
// established, so that a refusal reaches them before they give up.
const MaxHoldTime = 1300 * time.Millisecond

// RetransmissionTimeout is the shortest time after which senders retransmit a packet that has not
// been acknowledged.
const RetransmissionTimeout = 200 * time.Millisecond

// RetryInterval is the longest time after which a request that waits is asked about again. Counts
// of waiting requests are wrong if callers of Ask use a longer one.
const RetryInterval = 10 * time.Millisecond

// nextSYNTolerance is by how much the next SYN of a caller may be late.
const nextSYNTolerance = 100 * time.Millisecond

// Terms are what a route asks of its requests. They do not change.
type Terms struct {
	Name      string        // identifies the route
	Objective time.Duration // latency within which callers want a response, 0 if none is known
	Timeout   time.Duration // time after which callers give up a request
	Priority  int           // 0 is the highest
}

// ProgressTimeout returns how long a request without a response counts as in progress at its
// pool. If its response has not begun within the objective, the rest of the flow probably goes
// through another instance, or the target is gone; neither may use up the limit.
func (t *Terms) ProgressTimeout() time.Duration {
	if t.Objective <= 0 {
		return t.Timeout
	}
	return min(t.Objective, t.Timeout)
}

// Request describes a flow, or a request on an open flow, that asks to be sent to a pool.
type Request struct {
	Pool      string        // empty if the route or its targets are not known
	Route     *Terms        // nil if the route is not known
	Waited    time.Duration // since the caller first sent it, 0 if it has just been received
	CanRefuse bool          // a SYN: no byte of the request has been sent to a target
	// Asked says that it waits, because the answer was Wait before.
	Asked bool
	// Moved says that the flow was sent to a target that does not answer. It has waited before,
	// and its first request counts no more.
	Moved bool
	// SinceReceived is the time since the caller's last transmission was received.
	SinceReceived time.Duration
	// NextSYNAfter is, for a SYN, how long after it the caller sends the next one or gives up; 0
	// if that is not known.
	NextSYNAfter time.Duration
}

// CallerSilent reports whether the caller of a SYN should have sent the next one by now. It has
// given up, or its packets reach another instance, which may have opened the flow: a second
// target must not answer it.
func (r *Request) CallerSilent() bool {
	return r.NextSYNAfter > 0 && r.SinceReceived > r.NextSYNAfter+nextSYNTolerance
}

// maxWait returns how long the request waits at most.
func (r *Request) maxWait() time.Duration {
	switch {
	case r.Route == nil:
		return MaxHoldTime
	case r.CanRefuse:
		return min(r.Route.Timeout, MaxHoldTime)
	default:
		return r.Route.Timeout
	}
}

// waitedTooLong reports whether the request has waited for longer than maxWait.
func (r *Request) waitedTooLong() bool { return r.Waited > r.maxWait() }

// waitOrDiscard returns the decision about a request that cannot be sent now and that is not
// refused.
func (r *Request) waitOrDiscard() Decision {
	if r.waitedTooLong() {
		return Discard
	}
	return Wait
}
