package admitter

import (
	"cmp"
	"slices"
	"time"
)

// LoadState is the state of one load of this instance.
type LoadState struct {
	Reason     Reason // which load
	Pool       string // of a load that is the targets of a pool
	InProgress int
	Limit      float64 // requests, or flows, that may be in progress
}

// WaitingState is how many requests of a route to a pool wait.
type WaitingState struct {
	Pool, Route string
	Reason      Reason // the load that they wait for
	Requests    int
}

// Loads returns each load that has been used.
func (a *Admitter) Loads(now time.Duration) []LoadState {
	states := make([]LoadState, 0, len(a.pools.pools)+1)
	for _, p := range a.pools.usages(now) {
		states = append(states, LoadState{Reason: PoolFull, Pool: p.Pool, InProgress: p.InProgress, Limit: p.Limit})
	}
	if a.link != nil {
		states = append(states, LoadState{Reason: LinkFull, InProgress: a.link.flows, Limit: a.link.limit(a.link.meanWindow())})
	}
	return states
}

// Waiting returns how many requests of each route wait, for those that have any.
func (a *Admitter) Waiting(now time.Duration) []WaitingState {
	var states []WaitingState
	for name, p := range a.pools.pools {
		for _, r := range p.routes {
			if n := r.waiting.at(now); n > 0 {
				states = append(states, WaitingState{Pool: name, Route: r.terms.Name, Reason: r.waitsFor, Requests: n})
			}
		}
	}
	slices.SortFunc(states, func(x, y WaitingState) int {
		return cmp.Or(cmp.Compare(x.Pool, y.Pool), cmp.Compare(x.Route, y.Route))
	})
	return states
}
