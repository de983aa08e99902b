package consensus

import "time"

// A replica normally refuses to vote for an election timeout after its start and after each
// message of a leader, because a leader may hold a lease that rests on its acknowledgement.
// A lease ends with the leader's process, so the wait is not needed if that process is known
// to have ended. Replicas therefore store the last leader that they acknowledged, and tell
// each other after a start the term that their process has started with. Once the last
// leaders of a quorum have all restarted, the quorum elects a new leader immediately.
//
// A process never leads in the term that it starts with or in an earlier one. So a start
// term at or above the term of a leadership proves that the leadership has ended, however
// late the message is.

// restartReport is what a replica has reported about itself in a hello or its reply.
type restartReport struct {
	startTerm      uint64 // term with which the replica's process has started
	lastLeader     uint64 // ID of the last leader that it followed, or its own; 0 if unknown
	lastLeaderTerm uint64
}

// leaseEnded reports whether the leases that rest on the replica's acknowledgements have
// ended. startTerms holds the known start terms of replicas.
func (r restartReport) leaseEnded(startTerms map[uint64]uint64) bool {
	if r.lastLeader == 0 {
		return r.startTerm == 0 // a new store, which has not followed a leader yet
	}
	startTerm, known := startTerms[r.lastLeader]
	return known && startTerm >= r.lastLeaderTerm
}

// recordLeader stores the leader that this replica follows, or its own leadership. It must
// be durable before a message that the leader's lease may rest on is sent.
func (c *Core) recordLeader(id uint64) {
	if c.hardState.Leader != id || c.hardState.LeaderTerm != c.hardState.Term {
		c.hardState.Leader, c.hardState.LeaderTerm, c.hardStateDirty = id, c.hardState.Term, true
		c.restartCampaigned = false
	}
}

func (c *Core) ownRestartReport() restartReport {
	return restartReport{startTerm: c.startTerm, lastLeader: c.hardState.Leader, lastLeaderTerm: c.hardState.LeaderTerm}
}

// startTerms returns the known start terms of replicas, including this one.
func (c *Core) startTerms() map[uint64]uint64 {
	terms := map[uint64]uint64{c.id: c.startTerm}
	for id, report := range c.restartReports {
		terms[id] = report.startTerm
	}
	return terms
}

// restartRank returns this replica's position, by ID, among the voters that need not wait
// for a lease to end. ok is false unless they are a quorum and include this replica.
func (c *Core) restartRank() (rank int, ok bool) {
	if !c.isStoreVerified() {
		return 0, false
	}
	startTerms, ready := c.startTerms(), 0
	for _, id := range c.members.voters() {
		report, known := c.restartReports[id]
		if id == c.id {
			report, known, ok = c.ownRestartReport(), true, true
		}
		switch {
		case !known || !report.leaseEnded(startTerms):
			ok = ok && id != c.id
		default:
			ready++
			if id < c.id {
				rank++
			}
		}
	}
	return rank, ok && ready >= c.members.quorum()
}

// tickRestart starts an election once a quorum can vote without waiting. The replica with
// the lowest ID campaigns first; each other one a heartbeat interval after the one before,
// in case its log is more up to date. A replica campaigns once for each last leader: if that
// fails, the reports are outdated.
func (c *Core) tickRestart() {
	rank, ok := c.restartRank()
	switch {
	case !ok || c.restartCampaigned:
		c.restartCampaignAt = time.Time{}
	case c.restartCampaignAt.IsZero():
		c.restartCampaignAt = c.now.Add(time.Duration(rank) * c.cfg.HeartbeatInterval)
	case !c.now.Before(c.restartCampaignAt):
		c.restartCampaigned = true
		c.campaign(Message{StartTerms: c.startTerms()})
	}
}

// leaseEndedByRestart reports whether a vote request proves that this replica need not
// wait for a lease to end.
func (c *Core) leaseEndedByRestart(m Message) bool {
	return c.role != Leader && c.ownRestartReport().leaseEnded(m.StartTerms)
}
