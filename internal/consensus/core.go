package consensus

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"eelgrasshollow/internal/errkind"
)

// DriftBound is the largest fraction by which a replica's monotonic clock may run
// fast or slow. Leases are safe only while every clock stays within this bound.
const DriftBound = 0.05

// maxCommittedBytes limits the data of the entries in one Ready.Committed, but at least one
// entry is returned. A replica that applies a long log after a restart handles messages and
// compacts the log in between. With 4 MiB, three replicas that applied 700 documents of
// 353 kB beside other work did not serve within 30 s (one run).
const maxCommittedBytes = 1 << 20

// Config configures a Core.
type Config struct {
	ID uint64
	// ElectionTimeout is how long a replica refuses to vote after contact with a leader.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between the leader's heartbeat rounds.
	HeartbeatInterval time.Duration
	// MaxAppendBytes limits the data of the entries in one message.
	MaxAppendBytes int
	Random         *rand.Rand
}

// LeaseDuration returns how long the leader may act after the start of a confirmed
// round, by its own clock. It is shorter than the time for which the followers refuse
// to vote, even if the leader's clock runs slow and theirs run fast by DriftBound.
func (c Config) LeaseDuration() time.Duration {
	return time.Duration(float64(c.ElectionTimeout) * (1 - DriftBound) / (1 + DriftBound))
}

// StoredState is the content of a store when a replica starts.
type StoredState struct {
	Identity  Identity
	HardState HardState
	Snapshot  Snapshot // a new store has the initial membership at Index 0
	Entries   []Entry
}

// progress is what the leader tracks about another replica.
type progress struct {
	matchIndex, nextIndex uint64
	ackedRound            uint64 // last round that the replica replied to
	lastProbe             uint64
	lastContact           time.Time
	inflight              bool   // entries or a snapshot were sent and not acknowledged yet
	sentRound             uint64 // heartbeat round in which they were sent
	sentIndex             uint64 // index of the last entry that was sent, or of the snapshot
	assumeLostAt          time.Time
}

// roundStart is the start of one of the leader's heartbeat rounds.
type roundStart struct {
	round     uint64
	startedAt time.Time
}

// commitMark is the commit index at a time.
type commitMark struct {
	at    time.Time
	index uint64
}

// pendingRead is a request for a read index that waits until round is confirmed. index is
// the commit index at the time of the request.
type pendingRead struct {
	id, round, index uint64
}

// Core is one replica's state machine. It is not safe for concurrent use.
type Core struct {
	cfg            Config
	id             uint64
	now            time.Time
	identity       Identity
	hardState      HardState
	hardStateDirty bool // hard state changed since the last Ready
	log            memoryLog
	snapshotBytes  int    // size of the data of the stored snapshot
	durableIndex   uint64 // last index synced by this replica
	writing        bool   // records of a Ready are being stored, since writeStarted
	writeStarted   time.Time
	writingState   bool   // they include a change of the hard state besides Writes, or a snapshot
	durableTerm    uint64 // Term and Writes of the last synced hard state
	durableWrites  uint64
	commitIndex    uint64
	deliveredIndex uint64 // last index returned in Ready.Committed

	role           Role
	leaderID       uint64
	members        Membership
	membersIndex   uint64 // index of the entry or snapshot that members was read from
	progress       map[uint64]*progress
	votes          map[uint64]bool
	termStartIndex uint64 // on the leader: index of the no-op entry of its term

	electionDeadline  time.Time // end of the election timeout
	nextHeartbeat     time.Time
	lastLeaderContact time.Time // no vote until an election timeout later

	round               uint64
	unconfirmedRounds   []roundStart
	confirmedRoundStart time.Time // start of the newest round that a majority acknowledged
	pendingReads        []pendingRead
	// commitMarks are the leader's recent commit indexes, the oldest first. See recentCommit.
	commitMarks []commitMark
	// commitAdvanced is set while the commit index has moved and has not been sent to
	// the followers.
	commitAdvanced bool

	startTerm         uint64 // term at the start of this process
	restartReports    map[uint64]restartReport
	restartCampaignAt time.Time // time of the election of tickRestart; zero if none is planned
	restartCampaigned bool      // the election of tickRestart has been started

	verifiedBy    map[uint64]bool // replicas that accepted this store since the start
	storeVerified bool            // the leader or a majority accepted this store
	nextHello     time.Time

	lastProbe     uint64
	probeSentAt   map[uint64]time.Time
	attestedAt    time.Time // the log up to attestedIndex held everything committed before this time
	attestedIndex uint64

	ready Ready
}

// NewCore returns the Core of a replica that starts from stored at time now.
func NewCore(cfg Config, stored StoredState, now time.Time) *Core {
	c := &Core{cfg: cfg, id: cfg.ID, now: now, identity: stored.Identity, hardState: stored.HardState,
		verifiedBy: map[uint64]bool{}, probeSentAt: map[uint64]time.Time{}, lastLeaderContact: now, nextHello: now,
		startTerm: stored.HardState.Term, restartReports: map[uint64]restartReport{}}
	if c.hardState.Witnesses == nil {
		c.hardState.Witnesses = map[uint64]Witness{}
	}
	c.log = memoryLog{snapshotIndex: stored.Snapshot.Index, snapshotTerm: stored.Snapshot.Term, snapshotMembership: stored.Snapshot.Membership, entries: stored.Entries}
	c.snapshotBytes = len(stored.Snapshot.Data)
	c.durableIndex = c.log.lastIndex()
	c.commitIndex, c.deliveredIndex = stored.Snapshot.Index, stored.Snapshot.Index
	c.durableTerm, c.durableWrites = stored.HardState.Term, stored.HardState.Writes
	c.lastProbe = stored.Identity.Boot << probeBootShift
	c.reloadMembership()
	c.resetElectionDeadline()
	if c.isSoleVoter() {
		c.campaign(Message{})
	}
	return c
}

func (c *Core) isSoleVoter() bool {
	voters := c.members.voters()
	return len(voters) == 1 && voters[0] == c.id
}

func (c *Core) resetElectionDeadline() {
	jitter := time.Duration(c.cfg.Random.Int64N(int64(c.cfg.ElectionTimeout / 2)))
	c.electionDeadline = c.now.Add(c.cfg.ElectionTimeout + jitter)
}

// Tick advances the clock to now and handles timeouts that have expired.
func (c *Core) Tick(now time.Time) {
	c.now = now
	c.sendHellos()
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.tickRestart()
	if !now.Before(c.electionDeadline) {
		c.resetElectionDeadline()
		if c.members.isVoter(c.id) && c.isStoreVerified() {
			c.preCampaign()
		}
	}
}

// Step handles a message from another replica.
func (c *Core) Step(now time.Time, m Message) {
	c.now = now
	if m.To != c.id || !c.checkSender(m) {
		return
	}
	switch m.Kind {
	case MsgHello:
		return // checkSender has queued the reply
	case MsgHelloReply:
		c.handleHelloReply(m)
		return
	case MsgPreVote:
		c.handlePreVote(m)
		return
	case MsgPreVoteReply:
		c.handlePreVoteReply(m)
		return
	}
	if m.Kind == MsgVote && !m.Transfer && c.leaderLeaseActive() && !c.leaseEndedByRestart(m) {
		return
	}
	if m.Term > c.hardState.Term {
		c.become(Follower, m.Term, 0)
	}
	if m.Term < c.hardState.Term {
		c.rejectStaleTerm(m)
		return
	}
	switch m.Kind {
	case MsgVote:
		c.handleVote(m)
	case MsgVoteReply:
		c.handleVoteReply(m)
	case MsgAppend:
		c.handleAppend(m)
	case MsgSnapshot:
		c.handleSnapshot(m)
	case MsgAppendReply:
		c.handleAppendReply(m)
	case MsgTimeoutNow:
		if c.members.isVoter(c.id) && c.isStoreVerified() {
			c.campaign(Message{Transfer: true})
		}
	}
}

// rejectStaleTerm rejects a message from a leader of an older term. The reply contains
// the newer term.
func (c *Core) rejectStaleTerm(m Message) {
	if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
		c.sendAfterSync(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Index: c.log.lastIndex()})
	}
}

// become changes the role, term and leader. leader is 0 if it is unknown.
func (c *Core) become(role Role, term, leader uint64) {
	if term != c.hardState.Term {
		c.hardState.Term, c.hardState.Vote, c.hardStateDirty = term, 0, true
	}
	if c.role == Leader && role != Leader {
		c.abortReads()
		c.progress, c.confirmedRoundStart = nil, time.Time{}
	}
	if leader != c.leaderID {
		c.probeSentAt = map[uint64]time.Time{}
	}
	c.role, c.leaderID, c.votes = role, leader, nil
}

func (c *Core) abortReads() {
	for _, r := range c.pendingReads {
		c.ready.Reads = append(c.ready.Reads, ReadReady{ID: r.id, Aborted: true})
	}
	c.pendingReads = nil
}

// sendAfterSync queues a message that may be sent only after the records of this step
// are synced.
func (c *Core) sendAfterSync(m Message) {
	c.ready.SendAfterSync = append(c.ready.SendAfterSync, c.withSender(m))
}

// sendBeforeSync queues a message that depends on no unsynced record.
func (c *Core) sendBeforeSync(m Message) {
	c.ready.SendBeforeSync = append(c.ready.SendBeforeSync, c.withSender(m))
}

func (c *Core) withSender(m Message) Message {
	m.From = c.id
	if m.Kind != MsgPreVote && m.Kind != MsgPreVoteReply {
		m.Term = c.hardState.Term
	}
	if m.Kind == MsgHello || m.Kind == MsgHelloReply {
		m.StartTerm, m.LastLeader, m.LastLeaderTerm = c.startTerm, c.hardState.Leader, c.hardState.LeaderTerm
	}
	m.Identity, m.Writes = c.identity, c.durableWrites
	return m
}

// Ready returns the pending work and clears it. See the type Ready for the work that waits
// during a write.
func (c *Core) Ready() Ready {
	c.broadcastCommit()
	if c.writing {
		return c.readyDuringWrite()
	}
	if c.commitIndex > c.deliveredIndex {
		c.ready.Committed = c.log.copyEntries(c.deliveredIndex, c.commitIndex, maxCommittedBytes)
		c.deliveredIndex += uint64(len(c.ready.Committed))
	}
	if len(c.ready.Entries) > 0 || c.ready.InstallSnapshot != nil || c.hardStateDirty {
		c.hardState.Writes++
		c.writing, c.writeStarted = true, c.now
		c.writingState = c.hardStateDirty || c.ready.InstallSnapshot != nil
		hardState := c.hardState
		hardState.Witnesses = maps.Clone(c.hardState.Witnesses)
		c.ready.HardState, c.hardStateDirty = &hardState, false
		for i := range c.ready.SendAfterSync {
			c.ready.SendAfterSync[i].Writes = c.hardState.Writes
		}
	}
	ready := c.ready
	c.ready = Ready{}
	return ready
}

// readyDuringWrite returns the pending work that does not wait for the end of a write: a slow
// disk must not cost the leader its followers, nor a follower its leader.
func (c *Core) readyDuringWrite() Ready {
	ready := Ready{Reads: c.ready.Reads, Fatal: c.ready.Fatal}
	c.ready.Reads, c.ready.Fatal = nil, nil
	if c.hardState.Term == c.durableTerm {
		ready.SendBeforeSync, c.ready.SendBeforeSync = c.ready.SendBeforeSync, nil
	}
	return ready
}

// YieldOnSlowDisk ends the leadership of a replica that has been writing for an election timeout,
// while a majority has synced newer entries: it applies nothing before the end of the write. It
// transfers the leadership if another replica holds the whole log.
func (c *Core) YieldOnSlowDisk(now time.Time) (yielded, transferred bool) {
	c.now = now
	if c.role != Leader || !c.writing || c.commitIndex <= c.durableIndex || c.now.Before(c.writeStarted.Add(c.cfg.ElectionTimeout)) {
		return false, false
	}
	if c.Transfer(now, c.Successor()) == nil {
		return true, true
	}
	c.stepDown()
	return true, false
}

// stepDown ends the leadership of this replica. The others elect a leader once its lease has ended.
func (c *Core) stepDown() {
	c.become(Follower, c.hardState.Term, 0)
	c.resetElectionDeadline()
}

// Persisted records that the records of ready are synced.
func (c *Core) Persisted(now time.Time, ready Ready) {
	c.now = now
	c.writing, c.writingState = false, false
	c.durableTerm, c.durableWrites = ready.HardState.Term, ready.HardState.Writes
	if ready.InstallSnapshot != nil {
		c.durableIndex = ready.InstallSnapshot.Index
	}
	// Entries that were replaced during the write are stored again by the next one.
	for _, e := range slices.Backward(ready.Entries) {
		if term, ok := c.log.term(e.Index); ok && term == e.Term {
			c.durableIndex = e.Index
			break
		}
	}
	if c.role == Leader && len(ready.Entries) > 0 {
		c.advanceCommit()
	}
}

// Compact discards the log up to index, which a synced snapshot with snapshotBytes of data
// covers. membership is the one in force at index.
func (c *Core) Compact(index uint64, membership Membership, snapshotBytes int) {
	c.snapshotBytes = snapshotBytes
	if index > c.log.snapshotIndex && index <= c.deliveredIndex {
		c.log.compact(index, membership)
	}
}

// EvictData drops data of stored entries from memory, the oldest first, until maxBytes are left.
func (c *Core) EvictData(maxBytes int) {
	if c.durableIndex > c.log.snapshotIndex {
		evictData(c.log.entries[:min(c.durableIndex-c.log.snapshotIndex, uint64(len(c.log.entries)))], maxBytes)
	}
}

// RetainFrom returns the index up to which the log may be compacted so that it keeps at most
// maxEntries entries with at most maxBytes of data before index.
func (c *Core) RetainFrom(index, maxEntries uint64, maxBytes int) uint64 {
	return c.log.retainFrom(index, maxEntries, maxBytes)
}

// hasCommitted reports whether the next Ready returns committed entries.
func (c *Core) hasCommitted() bool { return !c.writing && c.commitIndex > c.deliveredIndex }

// MembershipAt returns the membership as of the applied entry at index.
func (c *Core) MembershipAt(index uint64) Membership {
	membership := c.log.snapshotMembership
	for _, e := range c.log.entries {
		if e.Index <= index && e.Kind == EntryMembership {
			membership = decodeMembership(e.Data)
		}
	}
	return membership
}

// Propose appends a command. The command is accepted once Ready.Committed holds an
// entry with the returned index and term.
func (c *Core) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	c.now = now
	if c.role != Leader || c.commitIndex < c.termStartIndex {
		return 0, 0, errkind.New(errkind.NotLeader, "replica %d is not the leader", c.id)
	}
	return c.appendEntry(EntryCommand, data), c.hardState.Term, nil
}

// Flush sends the entries that were proposed since the last call.
func (c *Core) Flush() {
	if c.role == Leader {
		c.broadcastAppend()
	}
}

func (c *Core) appendEntry(kind EntryKind, data []byte) uint64 {
	entry := Entry{Index: c.log.lastIndex() + 1, Term: c.hardState.Term, Kind: kind, Data: data}
	c.log.entries = append(c.log.entries, entry)
	c.ready.Entries = append(c.ready.Entries, entry)
	if kind == EntryMembership {
		c.setMembership(decodeMembership(data), entry.Index)
	}
	return entry.Index
}
