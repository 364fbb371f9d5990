package controller

import (
	"slices"

	"almondpick/messenger"
	"almondpick/planner"
)

// Limits of the rulesets that are kept to compute changes from. Operators send changes as fast as
// one in 80 ms, so eight cover more than half a second. An instance that is behind by more fetches a
// whole ruleset. The number of routes bounds the memory.
const (
	maxEarlierRulesets = 8
	maxEarlierRoutes   = planner.MaxRoutes // of all kept rulesets together
)

// rulesetHistory holds the rulesets that were in force before the present one, so that an instance
// that has one of them is sent only the change from it. The zero value is ready to use.
type rulesetHistory struct {
	inForce *planner.Ruleset
	earlier []planner.Ruleset // oldest first, without the operator's documents
	encoded map[uint64][]byte // changes to inForce, by RulesetChange.BaseVersion
}

// record keeps the ruleset in force as an earlier one, if r is another one, which is in force now.
func (h *rulesetHistory) record(r *planner.Ruleset) {
	if r == h.inForce {
		return
	}
	if h.inForce != nil {
		old := *h.inForce
		old.Source = nil
		h.earlier = append(h.earlier, old)
	}
	h.inForce, h.encoded = r, nil
	for len(h.earlier) > maxEarlierRulesets || h.earlierRoutes() > maxEarlierRoutes {
		h.earlier = slices.Delete(h.earlier, 0, 1)
	}
}

// earlierRoutes returns the number of routes of all earlier rulesets together.
func (h *rulesetHistory) earlierRoutes() int {
	n := 0
	for _, r := range h.earlier {
		n += len(r.Routes)
	}
	return n
}

// changeFrom returns the encoded change from a version to the ruleset in force. If the version is
// not kept, the change holds the whole ruleset. The error is an encoding or compression error.
func (h *rulesetHistory) changeFrom(version uint64) ([]byte, error) {
	var base planner.Ruleset
	for _, r := range h.earlier {
		if r.Version == version {
			base = r
		}
	}
	if b, ok := h.encoded[base.Version]; ok {
		return b, nil
	}
	b, err := messenger.EncodeRulesetChange(planner.ChangeBetween(base, *h.inForce))
	if err != nil {
		return nil, err
	}
	if h.encoded == nil {
		h.encoded = make(map[uint64][]byte)
	}
	h.encoded[base.Version] = b
	return b, nil
}
