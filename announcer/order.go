package announcer

// isOlder reports whether a is older than b. A target with an identity never accepts new work again
// in an incarnation that has said that it leaves: an announcement with an earlier state was sent
// before, whatever its sequence.
func isOlder(a, b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	if a.Identity != 0 && a.Identity == b.Identity && (a.Leaves() || b.Leaves()) {
		return stateOrder(a.State) < stateOrder(b.State)
	}
	return a.Sequence < b.Sequence
}

// stateOrder returns the place of a state in the life of an incarnation.
func stateOrder(s State) int {
	order := [stateCount]int{Draining: 1, Deregistered: 2}
	return order[s]
}
