package voter

import "time"

// TransferLeadership has another voter lead from now on, without the wait for an election timeout.
// It returns whom, and ok false when this voter does not lead, has entries that are not
// committed yet, or knows nobody who holds all of the log.
//
// The leader resigns before it says so: its lease must have ended before others may give
// their votes to the successor. If the message is lost they elect somebody as usual.
func (v *Voter) TransferLeadership(now time.Duration) (to ID, ok bool) {
	if v.role != Leader || v.commit < v.log.last() {
		return "", false
	}
	best := never
	for _, id := range v.Membership().Voters {
		p := v.members[id]
		if p == nil || p.match < v.log.last() || p.heard <= best {
			continue
		}
		to, best = id, p.heard
	}
	if to == "" || now-best > v.election {
		return "", false
	}
	v.follow(now, v.hard.Term)
	v.send(Message{Kind: MessageTimeoutNow, To: to, Index: v.log.last(), LogTerm: v.log.lastTerm()})
	return to, true
}

// stepLead starts an election at the wish of the leader of this term, which has resigned.
func (v *Voter) stepLead(now time.Duration) {
	if v.role == Leader || !v.Membership().IsVoter(v.id) {
		return
	}
	v.campaign(now, MessageTransferVote)
}
