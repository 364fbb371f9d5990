package gossiper

// Evidence is a record with what an instance has observed, as its receiver gets it. Such records
// are neither stored nor spread: the next one supplements it, and does not replace it.
type Evidence struct {
	From   string // name of the sender
	Record Record
}

// SendEvidence sends records of observations to the member named to. It returns false if the member
// is not alive.
func (g *Gossiper) SendEvidence(to string, records []Record) bool {
	m, ok := g.members[to]
	if !ok || !m.Alive() {
		return false
	}
	for _, batch := range batchRecords(records) {
		g.enqueue(m.PeerAddress, Message{Kind: KindEvidence, Records: batch})
	}
	return true
}

// TakeEvidence returns and clears the records that other instances have sent with SendEvidence
// since the last call.
func (g *Gossiper) TakeEvidence() []Evidence {
	evidence := g.evidence
	g.evidence = nil
	return evidence
}
