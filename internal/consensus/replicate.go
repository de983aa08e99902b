package consensus

import (
	"maps"
	"slices"
	"time"

	"eelgrasshollow/internal/errkind"
)

// tickLeader starts a round when it is time and steps down without a majority.
func (c *Core) tickLeader() {
	if !c.heardMajority() {
		c.become(Follower, c.hard.Term, 0)
		c.resetDeadline()
		return
	}
	if !c.now.Before(c.heartbeatAt) {
		c.startRound()
		c.promote()
	}
}

// heardMajority is the check-quorum rule.
func (c *Core) heardMajority() bool {
	n := 0
	for _, id := range c.members.voters() {
		p := c.progress[id]
		if id == c.id || p != nil && c.now.Before(p.heard.Add(c.cfg.ElectionTimeout)) {
			n++
		}
	}
	return n >= c.members.quorum()
}

// startRound sends a heartbeat to every replica, with entries where some lack.
func (c *Core) startRound() {
	c.round++
	c.rounds = append(c.rounds, roundMark{c.round, c.now})
	c.heartbeatAt = c.now.Add(c.cfg.HeartbeatInterval)
	for _, x := range c.members.Members {
		if x.ID != c.id {
			c.sendAppend(x.ID, true)
		}
	}
	c.confirmRounds()
}

// broadcastAppend sends new entries to the replicas that wait for some.
func (c *Core) broadcastAppend() {
	for _, x := range c.members.Members {
		if x.ID != c.id {
			c.sendAppend(x.ID, false)
		}
	}
}

// sendAppend sends the entries that a replica lacks. One message with entries is
// under way at a time, unless it seems lost; heartbeats always go.
func (c *Core) sendAppend(to uint64, heartbeat bool) {
	p := c.progress[to]
	if p == nil {
		return
	}
	wait := p.inflight && c.now.Before(p.sentAt.Add(c.cfg.ElectionTimeout/2))
	if p.next <= c.log.snapIndex {
		if !wait {
			c.askSnapshot(to, p)
		}
		return
	}
	prevTerm, _ := c.log.term(p.next - 1)
	m := Message{Kind: MsgAppend, To: to, Index: p.next - 1, LogTerm: prevTerm, Commit: c.commit,
		Round: c.round, Probe: p.probe}
	if heartbeat {
		m.Witnesses = maps.Clone(c.hard.Witnesses)
	}
	if c.commit >= c.termStart && !c.quorumAt.IsZero() {
		m.Age, m.Attested = c.now.Sub(c.quorumAt), true
	}
	if !wait {
		m.Entries = c.log.slice(p.next-1, c.log.last(), c.cfg.MaxAppendBytes)
	}
	if len(m.Entries) == 0 && !heartbeat {
		return
	}
	if len(m.Entries) > 0 {
		p.inflight, p.sentAt = true, c.now
	}
	c.sendEarly(m)
}

// askSnapshot has the replica around the core fill in the snapshot's data.
func (c *Core) askSnapshot(to uint64, p *progress) {
	p.inflight, p.sentAt = true, c.now
	c.sendEarly(Message{Kind: MsgSnapshot, To: to, Index: c.log.snapIndex, LogTerm: c.log.snapTerm, Round: c.round, Commit: c.commit})
}

// follow takes the sender as the leader of the term.
func (c *Core) follow(m Message) {
	if c.role != Follower || c.leader != m.From {
		c.become(Follower, m.Term, m.From)
	}
	c.heardLeader = c.now
	c.resetDeadline()
	c.learnWitnesses(m.Witnesses)
}

func (c *Core) handleAppend(m Message) {
	if !c.trusted() && len(c.members.Members) > 0 && c.members.isVoter(c.id) {
		return // an acknowledgement of a store that may be rolled back is worth nothing
	}
	c.follow(m)
	reply := Message{Kind: MsgAppendReply, To: m.From, Round: m.Round, Probe: c.nextProbe()}
	if m.Index < c.log.snapIndex {
		reply.Index = c.log.snapIndex
		c.send(reply)
		return
	}
	if t, ok := c.log.term(m.Index); !ok || t != m.LogTerm {
		reply.Reject, reply.Index = true, min(c.log.last(), m.Index-1)
		c.send(reply)
		return
	}
	c.appendTheirs(m.Entries)
	matched := m.Index + uint64(len(m.Entries))
	reply.Index = matched
	c.commit = max(c.commit, min(m.Commit, matched))
	c.takeAttestation(m)
	c.send(reply)
}

// appendTheirs takes the entries that are new or differ.
func (c *Core) appendTheirs(es []Entry) {
	for i, e := range es {
		if t, ok := c.log.term(e.Index); ok && t == e.Term {
			continue
		}
		cut := e.Index <= c.membersIndex
		c.log.replaceFrom(es[i:])
		c.queueEntries(es[i:])
		c.durable = min(c.durable, e.Index-1)
		if cut || slices.ContainsFunc(es[i:], func(x Entry) bool { return x.Kind == EntryMembership }) {
			c.findMembership()
		}
		return
	}
}

// queueEntries joins entries to those of this Ready that are not stored yet.
func (c *Core) queueEntries(es []Entry) {
	keep := slices.IndexFunc(c.out.Entries, func(e Entry) bool { return e.Index >= es[0].Index })
	if keep >= 0 {
		c.out.Entries = c.out.Entries[:keep]
	}
	c.out.Entries = append(c.out.Entries, es...)
}

func (c *Core) handleSnapshot(m Message) {
	if m.Snapshot == nil || !c.trusted() && c.members.isVoter(c.id) {
		return
	}
	c.follow(m)
	s := m.Snapshot
	if t, ok := c.log.term(s.Index); ok && t == s.Term {
		c.commit = max(c.commit, s.Index) // acknowledged entries after it must stay
	} else if s.Index > c.commit {
		c.log = memoryLog{snapIndex: s.Index, snapTerm: s.Term, base: s.Membership}
		c.out.Entries = nil
		c.out.InstallSnapshot = s
		c.commit, c.handed = s.Index, s.Index
		c.findMembership()
	}
	c.send(Message{Kind: MsgAppendReply, To: m.From, Round: m.Round, Index: c.commit, Probe: c.nextProbe()})
}

func (c *Core) handleAppendReply(m Message) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.heard, p.probe = c.now, max(p.probe, m.Probe)
	p.round = max(p.round, m.Round)
	c.confirmRounds()
	if m.Reject {
		p.inflight = false
		p.next = max(p.match+1, min(p.next-1, m.Index+1))
		c.sendAppend(m.From, true)
		return
	}
	if m.Index >= p.match && m.Index+1 >= p.next {
		p.inflight = false
	}
	if m.Index > p.match {
		p.match, p.inflight = m.Index, false
		c.advanceCommit()
	}
	p.next = max(p.next, p.match+1)
	if p.next <= c.log.last() {
		c.sendAppend(m.From, false)
	}
}

// advanceCommit commits what a majority has synced, once it reaches an entry of
// this term.
func (c *Core) advanceCommit() {
	var at []uint64
	for _, id := range c.members.voters() {
		switch p := c.progress[id]; {
		case id == c.id:
			at = append(at, c.durable)
		case p != nil:
			at = append(at, p.match)
		}
	}
	slices.Sort(at)
	index := at[len(at)-c.members.quorum()]
	if t, ok := c.log.term(index); ok && index > c.commit && t == c.hard.Term {
		c.commit, c.advanced = index, true
	}
}

// tellCommit lets the followers apply at once what was committed.
func (c *Core) tellCommit() {
	if !c.advanced || c.role != Leader {
		return
	}
	c.advanced = false
	for _, x := range c.members.Members {
		if x.ID != c.id {
			c.sendAppend(x.ID, true)
		}
	}
}

// confirmRounds finds the newest round that a majority answered.
func (c *Core) confirmRounds() {
	var at []uint64
	for _, id := range c.members.voters() {
		switch p := c.progress[id]; {
		case id == c.id:
			at = append(at, c.round)
		case p != nil:
			at = append(at, p.round)
		}
	}
	slices.Sort(at)
	confirmed := at[len(at)-c.members.quorum()]
	for len(c.rounds) > 0 && c.rounds[0].round <= confirmed {
		c.quorumAt, c.rounds = c.rounds[0].at, c.rounds[1:]
	}
	c.answerReads(confirmed)
}

func (c *Core) answerReads(confirmed uint64) {
	left := c.reads[:0]
	for _, r := range c.reads {
		if r.round > confirmed || c.commit < c.termStart {
			left = append(left, r)
			continue
		}
		c.out.Reads = append(c.out.Reads, ReadReady{ID: r.id, Index: max(r.index, c.termStart)})
	}
	c.reads = left
}

// ReadIndex asks for a read barrier: a round begun now must be confirmed.
func (c *Core) ReadIndex(now time.Time, id uint64) error {
	c.now = now
	if c.role != Leader {
		return errkind.New(errkind.NotLeader, "replica %d does not lead", c.id)
	}
	c.reads = append(c.reads, pendingRead{id: id, round: c.round + 1, index: c.commit})
	return nil
}

// FlushReads starts the round that the reads since the last call wait for.
func (c *Core) FlushReads() {
	if c.role == Leader && len(c.reads) > 0 && c.reads[len(c.reads)-1].round > c.round {
		c.startRound()
	}
}
