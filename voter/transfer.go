package voter

import "time"

// TransferLeadership steps down and makes another voter start an election at once,
// without waiting for the election timeout. It returns the successor, and false when this
// voter does not lead, has uncommitted entries, or knows no voter that stores the whole log and
// acknowledged a round sent within the last minimum election timeout.
//
// The leader steps down before it sends the message, because its lease must have ended
// before other voters may vote for the successor. If the message is lost, the voters
// elect a leader after the usual timeout.
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

// stepTimeoutNow starts an election on request of the leader of this term, which has
// stepped down.
func (v *Voter) stepTimeoutNow(now time.Duration) {
	if v.role == Leader || !v.Membership().IsVoter(v.id) {
		return
	}
	v.startElection(now, MessageTransferVote)
}
