package picker

import "time"

const (
	hintQueueLimit = 1024 // hints that wait for the budget
	hintAgain      = 16   // relayed packets after which a hint counts as lost
)

// AddressedHint is a hint for one instance.
type AddressedHint struct {
	To   MemberID
	Hint Hint
}

type queuedHint struct {
	to   MemberID
	hash uint64
}

// queueHint notes that an instance relays packets of a flow which it could send on
// its own if it knew the flow. Flows younger than the window are passed over: most
// end before a hint would pay. Hints share the budget with the updates of
// exceptions and come second; what the budget does not allow goes on being relayed,
// and a flow with many packets asks again more often.
func (p *Picker) queueHint(now time.Duration, in packetInfo, e *entry) {
	if in.Opening || in.Closing || now-e.opened < p.repl.window {
		return
	}
	e.asked++
	if e.hinted&memberBit(in.trail.Origin) != 0 && e.asked%hintAgain != 0 {
		return
	}
	if len(p.hints) >= hintQueueLimit {
		p.counters.HintsPassedOver++
		return
	}
	p.hints = append(p.hints, queuedHint{to: in.trail.Origin, hash: e.hash})
}

// DueHints returns at most limit hints for one instance, the one whose hint has
// waited longest.
func (p *Picker) DueHints(limit int) []AddressedHint {
	if len(p.hints) == 0 || limit <= 0 {
		return nil
	}
	to := p.hints[0].to
	var out []AddressedHint
	kept := p.hints[:0]
	for _, q := range p.hints {
		if q.to != to || len(out) >= limit {
			kept = append(kept, q)
			continue
		}
		e := p.table.get(q.hash)
		if e == nil || e.kind != kindOwned || e.has(flagClosing) {
			continue
		}
		e.hinted |= memberBit(to)
		out = append(out, AddressedHint{To: to, Hint: Hint{Hash: e.hash, Place: e.place, Sequence: e.sequence}})
	}
	p.hints = kept
	return out
}
