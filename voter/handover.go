package voter

import "time"

// TransferLeadership has another voter lead from now on, without the wait for an election timeout.
// It returns whom, and ok false when this voter does not lead, has entries that are not
// committed yet, or knows nobody who holds all of the log.
//
// The leader resigns before it says so: its lease must have ended before others may give
// their votes to the successor. If the message is lost they elect somebody as usual.
func (v *Voter) TransferLeadership(now time.Duration) (successor ID, ok bool) {
	if v.role != Leader || v.commitIndex < v.log.lastIndex() {
		return "", false
	}
	latestContact := neverContacted
	for _, id := range v.Membership().Voters {
		p := v.memberProgress[id]
		if p == nil || p.matchIndex < v.log.lastIndex() || p.ackedSendTime <= latestContact {
			continue
		}
		successor, latestContact = id, p.ackedSendTime
	}
	if successor == "" || now-latestContact > v.electionTimeout {
		return "", false
	}
	v.becomeFollower(now, v.hardState.Term)
	v.send(Message{Kind: MessageTimeoutNow, To: successor, Index: v.log.lastIndex(), LogTerm: v.log.lastTerm()})
	return successor, true
}

// stepTimeoutNow starts an election at the wish of the leader of this term, which has resigned.
func (v *Voter) stepTimeoutNow(now time.Duration) {
	if v.role == Leader || !v.Membership().IsVoter(v.id) {
		return
	}
	v.startElection(now, MessageTransferVote)
}
