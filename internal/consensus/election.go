package consensus

import (
	"time"

	"eelgrasshollow/internal/errkind"
)

// leaderLeaseActive reports whether this replica must refuse votes because a leader may
// hold a lease. The leader refuses until its own lease has ended. Any other replica
// refuses for an election timeout after its start and after each message from a leader.
func (c *Core) leaderLeaseActive() bool {
	if c.role == Leader {
		return c.now.Before(c.leaseEnd())
	}
	return c.now.Before(c.lastLeaderContact.Add(c.cfg.ElectionTimeout))
}

func (c *Core) preCampaign() {
	if c.isSoleVoter() {
		c.campaign(Message{})
		return
	}
	c.become(PreCandidate, c.hardState.Term, 0)
	c.votes = map[uint64]bool{c.id: true}
	c.requestVotes(Message{Kind: MsgPreVote, Term: c.hardState.Term + 1})
}

// campaign starts an election in a new term. The request may contain the reason why voters
// need not wait for the end of a leader lease: Transfer or StartTerms.
func (c *Core) campaign(request Message) {
	c.become(Candidate, c.hardState.Term+1, 0)
	c.hardState.Vote, c.hardStateDirty = c.id, true
	c.votes = map[uint64]bool{c.id: true}
	c.resetElectionDeadline()
	if c.isSoleVoter() {
		c.becomeLeader()
		return
	}
	request.Kind = MsgVote
	c.requestVotes(request)
}

// requestVotes sends the request to all other voters, with the last entry of the log.
func (c *Core) requestVotes(request Message) {
	request.Index, request.LogTerm = c.log.lastIndex(), c.log.lastTerm()
	for _, id := range c.members.voters() {
		if id != c.id {
			request.To = id
			c.sendAfterSync(request)
		}
	}
}

// upToDate reports whether the candidate's log is at least as up to date as this
// replica's log.
func (c *Core) upToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.lastIndex()
}

func (c *Core) handlePreVote(m Message) {
	granted := m.Term > c.hardState.Term && !c.leaderLeaseActive() && c.upToDate(m) && c.isStoreVerified()
	term := c.hardState.Term
	if granted {
		term = m.Term
	}
	c.sendAfterSync(Message{Kind: MsgPreVoteReply, To: m.From, Term: term, Reject: !granted})
}

func (c *Core) handlePreVoteReply(m Message) {
	if m.Reject && m.Term > c.hardState.Term {
		c.become(Follower, m.Term, 0)
		return
	}
	if c.role != PreCandidate || m.Reject || m.Term != c.hardState.Term+1 {
		return
	}
	if c.recordVote(m.From) {
		c.campaign(Message{})
	}
}

func (c *Core) handleVote(m Message) {
	canVote := c.hardState.Vote == 0 || c.hardState.Vote == m.From
	granted := canVote && c.leaderID == 0 && c.role != Leader && c.upToDate(m) && c.isStoreVerified()
	if granted && c.hardState.Vote == 0 {
		c.hardState.Vote, c.hardStateDirty = m.From, true
	}
	if granted {
		c.resetElectionDeadline()
		c.restartCampaignAt = c.electionDeadline
	}
	c.sendAfterSync(Message{Kind: MsgVoteReply, To: m.From, Reject: !granted})
}

func (c *Core) handleVoteReply(m Message) {
	if c.role == Candidate && !m.Reject && c.recordVote(m.From) {
		c.becomeLeader()
	}
}

// recordVote records a granted vote and reports whether a majority has granted theirs.
func (c *Core) recordVote(from uint64) bool {
	c.votes[from] = true
	count := 0
	for _, id := range c.members.voters() {
		if c.votes[id] {
			count++
		}
	}
	return count >= c.members.quorum()
}

// becomeLeader starts leadership and appends the no-op entry of the new term.
func (c *Core) becomeLeader() {
	c.become(Leader, c.hardState.Term, c.id)
	c.recordLeader(c.id)
	c.progress = map[uint64]*progress{}
	c.setMembership(c.members, c.membersIndex)
	c.unconfirmedRounds, c.confirmedRoundStart, c.commitMarks = nil, time.Time{}, nil
	c.termStartIndex = c.appendEntry(EntryNoop, nil)
	c.startRound()
}

// Transfer transfers leadership to a voter that holds the whole log. The leader steps
// down immediately, because its successor does not wait for the lease to end.
func (c *Core) Transfer(now time.Time, to uint64) error {
	c.now = now
	if c.role != Leader {
		return errkind.New(errkind.NotLeader, "replica %d is not the leader", c.id)
	}
	target := c.progress[to]
	if to == c.id || target == nil || !c.members.isVoter(to) || target.matchIndex != c.log.lastIndex() || c.commitIndex != c.log.lastIndex() {
		return errkind.New(errkind.Overloaded, "replica %d does not hold the whole log yet", to).WithRetryAfter(c.cfg.HeartbeatInterval)
	}
	c.sendBeforeSync(Message{Kind: MsgTimeoutNow, To: to})
	c.stepDown()
	return nil
}

// Successor returns the voter with the latest contact among those that hold the whole
// log, or 0 if there is none.
func (c *Core) Successor() uint64 {
	var best uint64
	var bestContact time.Time
	for _, id := range c.members.voters() {
		p := c.progress[id]
		if id != c.id && p != nil && p.matchIndex == c.log.lastIndex() && p.lastContact.After(bestContact) {
			best, bestContact = id, p.lastContact
		}
	}
	return best
}
