package consensus

import (
	"time"

	"eelgrasshollow/internal/errkind"
)

// promised reports whether this replica heard a leader, or started, less than an
// election timeout ago. It then votes for nobody.
func (c *Core) promised() bool {
	if c.role == Leader {
		return c.now.Before(c.leaseEnd())
	}
	return c.now.Before(c.heardLeader.Add(c.cfg.ElectionTimeout))
}

func (c *Core) preCampaign() {
	if c.soleVoter() {
		c.campaign(false)
		return
	}
	c.become(PreCandidate, c.hard.Term, 0)
	c.votes = map[uint64]bool{c.id: true}
	c.askVotes(MsgPreVote, c.hard.Term+1, false)
}

// campaign asks for votes in a new term.
func (c *Core) campaign(transfer bool) {
	c.become(Candidate, c.hard.Term+1, 0)
	c.hard.Vote, c.dirty = c.id, true
	c.votes = map[uint64]bool{c.id: true}
	c.resetDeadline()
	if c.soleVoter() {
		c.lead()
		return
	}
	c.askVotes(MsgVote, c.hard.Term, transfer)
}

func (c *Core) askVotes(kind MessageKind, term uint64, transfer bool) {
	for _, id := range c.members.voters() {
		if id != c.id {
			c.send(Message{Kind: kind, To: id, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), Transfer: transfer})
		}
	}
}

// upToDate reports whether a candidate's log holds all that this one's may hold.
func (c *Core) upToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

func (c *Core) handlePreVote(m Message) {
	grant := m.Term > c.hard.Term && !c.promised() && c.upToDate(m) && c.trusted()
	term := c.hard.Term
	if grant {
		term = m.Term
	}
	c.send(Message{Kind: MsgPreVoteReply, To: m.From, Term: term, Reject: !grant})
}

func (c *Core) handlePreVoteReply(m Message) {
	if m.Reject && m.Term > c.hard.Term {
		c.become(Follower, m.Term, 0)
		return
	}
	if c.role != PreCandidate || m.Reject || m.Term != c.hard.Term+1 {
		return
	}
	if c.won(m.From) {
		c.campaign(false)
	}
}

func (c *Core) handleVote(m Message) {
	free := c.hard.Vote == 0 || c.hard.Vote == m.From
	grant := free && c.leader == 0 && c.role != Leader && c.upToDate(m) && c.trusted()
	if grant && c.hard.Vote == 0 {
		c.hard.Vote, c.dirty = m.From, true
	}
	if grant {
		c.resetDeadline()
	}
	c.send(Message{Kind: MsgVoteReply, To: m.From, Reject: !grant})
}

func (c *Core) handleVoteReply(m Message) {
	if c.role == Candidate && !m.Reject && c.won(m.From) {
		c.lead()
	}
}

// won counts a vote and reports whether a majority of the voters is reached.
func (c *Core) won(from uint64) bool {
	c.votes[from] = true
	n := 0
	for _, id := range c.members.voters() {
		if c.votes[id] {
			n++
		}
	}
	return n >= c.members.quorum()
}

// lead begins to lead with an entry of the new term.
func (c *Core) lead() {
	c.become(Leader, c.hard.Term, c.id)
	c.progress = map[uint64]*progress{}
	c.adopt(c.members, c.membersIndex)
	c.rounds, c.quorumAt = nil, time.Time{}
	c.termStart = c.appendOwn(EntryNoop, nil)
	c.startRound()
}

// Transfer hands leadership to a voter that holds the whole log. The leader stops
// acting at once, as its successor does not wait its lease out.
func (c *Core) Transfer(now time.Time, to uint64) error {
	c.now = now
	if c.role != Leader {
		return errkind.New(errkind.NotLeader, "replica %d does not lead", c.id)
	}
	p := c.progress[to]
	if to == c.id || p == nil || !c.members.isVoter(to) || p.match != c.log.last() || c.commit != c.log.last() {
		return errkind.New(errkind.Overloaded, "replica %d does not hold the whole log yet", to).WithRetryAfter(c.cfg.HeartbeatInterval)
	}
	c.send(Message{Kind: MsgTimeoutNow, To: to})
	c.become(Follower, c.hard.Term, 0)
	c.resetDeadline()
	return nil
}

// Successor returns the voter that may be given leadership, or 0.
func (c *Core) Successor() uint64 {
	var best uint64
	var heard time.Time
	for _, id := range c.members.voters() {
		p := c.progress[id]
		if id != c.id && p != nil && p.match == c.log.last() && p.heard.After(heard) {
			best, heard = id, p.heard
		}
	}
	return best
}
