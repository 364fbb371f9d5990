package admitter

import "time"

// waitCount counts the requests of a route that wait. Ask is called for each of them within each
// RetryInterval, and once at a time. So requests for which it is called no more, because their
// callers are silent or have given up, are forgotten.
type waitCount struct {
	askedAt  time.Duration
	asked    int // requests that were told to wait at askedAt
	windowAt time.Duration
	current  int // most of them at one time since windowAt
	previous int // the same in the window before
}

// add counts a request that is told to wait.
func (w *waitCount) add(now time.Duration) {
	if w.askedAt != now {
		w.askedAt, w.asked = now, 0
	}
	w.asked++
	if now-w.windowAt >= RetryInterval {
		w.previous, w.current, w.windowAt = w.inWindow(now), 0, now
	}
	w.current = max(w.current, w.asked)
}

// remove counts a request that waits no longer.
func (w *waitCount) remove() {
	w.current, w.previous = max(w.current-1, 0), max(w.previous-1, 0)
}

// at returns how many requests wait.
func (w *waitCount) at(now time.Duration) int {
	if now-w.windowAt < RetryInterval {
		return max(w.current, w.previous)
	}
	return w.inWindow(now)
}

// inWindow returns how many requests waited in the window that has ended last, 0 if it ended long
// ago.
func (w *waitCount) inWindow(now time.Duration) int {
	if now-w.windowAt >= 2*RetryInterval {
		return 0
	}
	return w.current
}
