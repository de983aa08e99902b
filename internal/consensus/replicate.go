package consensus

import (
	"maps"
	"slices"
	"time"

	"eelgrasshollow/internal/errkind"
)

// tickLeader starts a heartbeat round when one is due. It steps down if a majority has
// not replied for an election timeout.
func (c *Core) tickLeader() {
	if !c.hasQuorumContact() {
		c.stepDown()
		return
	}
	if !c.now.Before(c.nextHeartbeat) {
		c.startRound()
	}
	c.markCommit()
	c.promoteLearner() // not only with a heartbeat: reads start rounds, too, and put the next one off
}

// hasQuorumContact implements check-quorum: it reports whether a majority, this replica
// included, replied within the last election timeout.
func (c *Core) hasQuorumContact() bool {
	count := 0
	for _, id := range c.members.voters() {
		p := c.progress[id]
		if id == c.id || p != nil && c.inContact(p) {
			count++
		}
	}
	return count >= c.members.quorum()
}

// inContact reports whether a replica replied within the last election timeout.
func (c *Core) inContact(p *progress) bool {
	return c.now.Before(p.lastContact.Add(c.cfg.ElectionTimeout))
}

// startRound sends a heartbeat to every other replica, with the entries it lacks.
func (c *Core) startRound() {
	c.round++
	c.unconfirmedRounds = append(c.unconfirmedRounds, roundStart{c.round, c.now})
	c.nextHeartbeat = c.now.Add(c.cfg.HeartbeatInterval)
	for _, member := range c.members.Members {
		if member.ID != c.id {
			c.sendAppend(member.ID, true)
		}
	}
	c.confirmRounds()
}

// broadcastAppend sends new entries to the replicas that lack some.
func (c *Core) broadcastAppend() {
	for _, member := range c.members.Members {
		if member.ID != c.id {
			c.sendAppend(member.ID, false)
		}
	}
}

// assumedBytesPerSecond estimates how fast a slow replica receives and stores entries or a
// snapshot.
const assumedBytesPerSecond = 4 << 20

// replyTimeout is the time after which a message with size bytes of data is assumed lost.
func (c *Core) replyTimeout(size int) time.Duration {
	return c.cfg.ElectionTimeout/2 + time.Duration(size)*time.Second/assumedBytesPerSecond
}

// sendAppend sends the entries that a replica lacks. At most one message with entries
// is unacknowledged; after replyTimeout the message is assumed lost. Heartbeats are
// always sent.
func (c *Core) sendAppend(to uint64, heartbeat bool) {
	follower := c.progress[to]
	if follower == nil {
		return
	}
	waitForReply := follower.inflight && c.now.Before(follower.assumeLostAt)
	if follower.nextIndex <= c.log.snapshotIndex {
		if !waitForReply {
			c.sendSnapshot(to, follower)
		}
		return
	}
	previousTerm, _ := c.log.term(follower.nextIndex - 1)
	m := Message{Kind: MsgAppend, To: to, Index: follower.nextIndex - 1, LogTerm: previousTerm, Commit: c.commitIndex,
		Round: c.round, Probe: follower.lastProbe}
	if heartbeat {
		m.Witnesses = maps.Clone(c.hardState.Witnesses)
	}
	if c.commitIndex >= c.termStartIndex && !c.confirmedRoundStart.IsZero() {
		m.Age, m.Attested = c.now.Sub(c.confirmedRoundStart), true
	}
	if !waitForReply {
		m.Entries = c.log.copyEntries(follower.nextIndex-1, c.log.lastIndex(), c.cfg.MaxAppendBytes)
	}
	if len(m.Entries) == 0 && !heartbeat {
		return
	}
	if len(m.Entries) > 0 {
		c.setInflight(follower, m.Entries[len(m.Entries)-1].Index, int(m.dataBytes()))
	}
	c.sendBeforeSync(m)
}

// setInflight records that entries up to index, or a snapshot of it, with size bytes were sent in
// this heartbeat round.
func (c *Core) setInflight(follower *progress, index uint64, size int) {
	follower.inflight, follower.sentRound, follower.sentIndex = true, c.round, index
	follower.assumeLostAt = c.now.Add(c.replyTimeout(size))
}

// sendSnapshot queues a snapshot message. The caller of Ready adds the snapshot itself.
func (c *Core) sendSnapshot(to uint64, follower *progress) {
	c.setInflight(follower, c.log.snapshotIndex, c.snapshotBytes)
	c.sendBeforeSync(Message{Kind: MsgSnapshot, To: to, Index: c.log.snapshotIndex, LogTerm: c.log.snapshotTerm, Round: c.round, Commit: c.commitIndex})
}

// followLeader accepts the sender as the leader of the term.
func (c *Core) followLeader(m Message) {
	if c.role != Follower || c.leaderID != m.From {
		c.become(Follower, m.Term, m.From)
	}
	c.lastLeaderContact = c.now
	c.recordLeader(m.From)
	c.resetElectionDeadline()
	c.mergeWitnesses(m.Witnesses)
}

func (c *Core) handleAppend(m Message) {
	if !c.isStoreVerified() && len(c.members.Members) > 0 && c.members.isVoter(c.id) {
		return // a store that may be rolled back must not acknowledge entries
	}
	c.followLeader(m)
	reply := Message{Kind: MsgAppendReply, To: m.From, Round: m.Round, Probe: c.nextProbe()}
	if m.Index < c.log.snapshotIndex {
		reply.Index = c.log.snapshotIndex
		c.sendAfterSync(reply)
		return
	}
	if t, ok := c.log.term(m.Index); !ok || t != m.LogTerm {
		reply.Reject, reply.Index = true, min(c.log.lastIndex(), m.Index-1)
		c.sendAfterSync(reply)
		return
	}
	c.appendFromLeader(m.Entries)
	matchIndex := m.Index + uint64(len(m.Entries))
	reply.Index = matchIndex
	c.commitIndex = max(c.commitIndex, min(m.Commit, matchIndex))
	c.applyAttestation(m)
	if c.writing && !c.writingState && !c.hardStateDirty && matchIndex <= c.durableIndex {
		// The reply depends on synced records only.
		reply.Received, reply.ReceivedTerm = c.log.lastIndex(), c.log.lastTerm()
		c.sendBeforeSync(reply)
		return
	}
	c.sendAfterSync(reply)
}

// appendFromLeader appends the entries from the first one that is missing here or has
// another term, and drops the log from there on.
func (c *Core) appendFromLeader(entries []Entry) {
	for i, e := range entries {
		if t, ok := c.log.term(e.Index); ok && t == e.Term {
			continue
		}
		cutsMembership := e.Index <= c.membersIndex
		c.log.truncateAndAppend(entries[i:])
		c.queueEntries(entries[i:])
		c.durableIndex = min(c.durableIndex, e.Index-1)
		if cutsMembership || slices.ContainsFunc(entries[i:], func(x Entry) bool { return x.Kind == EntryMembership }) {
			c.reloadMembership()
		}
		return
	}
}

// queueEntries adds entries to those that the next Ready stores, and replaces queued
// entries from the first index on.
func (c *Core) queueEntries(entries []Entry) {
	kept := slices.IndexFunc(c.ready.Entries, func(e Entry) bool { return e.Index >= entries[0].Index })
	if kept >= 0 {
		c.ready.Entries = c.ready.Entries[:kept]
	}
	c.ready.Entries = append(c.ready.Entries, entries...)
}

func (c *Core) handleSnapshot(m Message) {
	if m.Snapshot == nil || !c.isStoreVerified() && c.members.isVoter(c.id) {
		return
	}
	c.followLeader(m)
	snapshot := m.Snapshot
	if t, ok := c.log.term(snapshot.Index); ok && t == snapshot.Term {
		c.commitIndex = max(c.commitIndex, snapshot.Index) // keep the acknowledged entries after the snapshot
	} else if snapshot.Index > c.commitIndex {
		c.log = memoryLog{snapshotIndex: snapshot.Index, snapshotTerm: snapshot.Term, snapshotMembership: snapshot.Membership}
		c.ready.Entries = nil
		c.ready.InstallSnapshot, c.snapshotBytes = snapshot, len(snapshot.Data)
		c.commitIndex, c.deliveredIndex = snapshot.Index, snapshot.Index
		c.reloadMembership()
	}
	c.sendAfterSync(Message{Kind: MsgAppendReply, To: m.From, Round: m.Round, Index: c.commitIndex, Probe: c.nextProbe()})
}

func (c *Core) handleAppendReply(m Message) {
	follower := c.progress[m.From]
	if c.role != Leader || follower == nil {
		return
	}
	follower.lastContact, follower.lastProbe = c.now, max(follower.lastProbe, m.Probe)
	follower.ackedRound = max(follower.ackedRound, m.Round)
	c.confirmRounds()
	if m.Reject {
		follower.inflight = false
		follower.nextIndex = max(follower.matchIndex+1, min(follower.nextIndex-1, m.Index+1))
		c.sendAppend(m.From, true)
		return
	}
	switch {
	case m.Index > follower.matchIndex:
		follower.matchIndex, follower.inflight = m.Index, false
		c.advanceCommit()
	case c.isWriting(follower, m):
		follower.assumeLostAt = c.now.Add(c.replyTimeout(0))
	case m.Round > follower.sentRound:
		follower.inflight = false // messages arrive in order as a rule, so the entries before this one were lost
	}
	follower.nextIndex = max(follower.nextIndex, follower.matchIndex+1)
	if follower.nextIndex <= c.log.lastIndex() {
		c.sendAppend(m.From, false)
	}
}

// isWriting reports whether a reply shows that the follower has received the entries in flight
// and is storing them.
func (c *Core) isWriting(follower *progress, reply Message) bool {
	term, ok := c.log.term(reply.Received)
	return follower.inflight && reply.Received >= follower.sentIndex && ok && term == reply.ReceivedTerm
}

// advanceCommit moves the commit index to the last entry that a majority has synced, if
// that entry is of the current term.
func (c *Core) advanceCommit() {
	var durable []uint64
	for _, id := range c.members.voters() {
		switch p := c.progress[id]; {
		case id == c.id:
			durable = append(durable, c.durableIndex)
		case p != nil:
			durable = append(durable, p.matchIndex)
		}
	}
	slices.Sort(durable)
	index := durable[len(durable)-c.members.quorum()]
	if t, ok := c.log.term(index); ok && index > c.commitIndex && t == c.hardState.Term {
		c.commitIndex, c.commitAdvanced = index, true
	}
}

// broadcastCommit sends a new commit index to the followers without waiting for the next
// heartbeat.
func (c *Core) broadcastCommit() {
	if !c.commitAdvanced || c.role != Leader {
		return
	}
	c.commitAdvanced = false
	for _, member := range c.members.Members {
		if member.ID != c.id {
			c.sendAppend(member.ID, true)
		}
	}
}

// confirmRounds finds the newest round that a majority replied to, renews the lease from
// its start and completes the reads that waited for it.
func (c *Core) confirmRounds() {
	var acked []uint64
	for _, id := range c.members.voters() {
		switch p := c.progress[id]; {
		case id == c.id:
			acked = append(acked, c.round)
		case p != nil:
			acked = append(acked, p.ackedRound)
		}
	}
	slices.Sort(acked)
	confirmed := acked[len(acked)-c.members.quorum()]
	for len(c.unconfirmedRounds) > 0 && c.unconfirmedRounds[0].round <= confirmed {
		c.confirmedRoundStart, c.unconfirmedRounds = c.unconfirmedRounds[0].startedAt, c.unconfirmedRounds[1:]
	}
	c.completeReads(confirmed)
}

func (c *Core) completeReads(confirmed uint64) {
	waiting := c.pendingReads[:0]
	for _, read := range c.pendingReads {
		if read.round > confirmed || c.commitIndex < c.termStartIndex {
			waiting = append(waiting, read)
			continue
		}
		c.ready.Reads = append(c.ready.Reads, ReadReady{ID: read.id, Index: max(read.index, c.termStartIndex)})
	}
	c.pendingReads = waiting
}

// ReadIndex requests a read index. Ready.Reads returns it under id, once a round that
// starts after this call is confirmed.
func (c *Core) ReadIndex(now time.Time, id uint64) error {
	c.now = now
	if c.role != Leader {
		return errkind.New(errkind.NotLeader, "replica %d is not the leader", c.id)
	}
	c.pendingReads = append(c.pendingReads, pendingRead{id: id, round: c.round + 1, index: c.commitIndex})
	return nil
}

// FlushReads starts the round that the reads requested since the last call wait for.
func (c *Core) FlushReads() {
	if c.role == Leader && len(c.pendingReads) > 0 && c.pendingReads[len(c.pendingReads)-1].round > c.round {
		c.startRound()
	}
}
