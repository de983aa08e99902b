package consensus

import (
	"maps"
	"math/rand/v2"
	"time"

	"eelgrasshollow/internal/errkind"
)

// DriftBound is the greatest part by which a replica's monotonic clock may run
// fast or slow. Leases hold while every clock keeps it.
const DriftBound = 0.05

// Config of a Core.
type Config struct {
	ID uint64
	// ElectionTimeout is how long a replica that hears its leader refuses to vote.
	ElectionTimeout time.Duration
	// HeartbeatEvery is the time between the leader's rounds.
	HeartbeatInterval time.Duration
	// MaxAppendBytes bounds the entries of one message.
	MaxAppendBytes int
	Random         *rand.Rand
}

// LeaseDuration is how long after the beginning of a confirmed round the leader may act,
// by its own clock: shorter than the followers' promise even when the leader's
// clock runs slow and theirs fast by DriftBound.
func (c Config) LeaseDuration() time.Duration {
	return time.Duration(float64(c.ElectionTimeout) * (1 - DriftBound) / (1 + DriftBound))
}

// StoredState is what a store holds when a replica starts.
type StoredState struct {
	Identity  Identity
	HardState HardState
	Snapshot  Snapshot // Index 0 holds the initial membership
	Entries   []Entry
}

// progress is the leader's knowledge of another replica.
type progress struct {
	match, next uint64
	round       uint64 // last round answered
	probe       uint64
	heard       time.Time
	inflight    bool // entries were sent and not answered yet
	sentAt      time.Time
}

type roundMark struct {
	round uint64
	at    time.Time
}

type pendingRead struct {
	id, round, index uint64
}

// Core is one replica's state machine. It is not safe for concurrent use.
type Core struct {
	cfg      Config
	id       uint64
	now      time.Time
	identity Identity
	hard     HardState
	dirty    bool // hard state changed since the last Ready
	log      memoryLog
	durable  uint64 // last index synced here
	commit   uint64
	handed   uint64 // last index given out as committed

	role         Role
	leader       uint64
	members      Membership
	membersIndex uint64
	progress     map[uint64]*progress
	votes        map[uint64]bool
	termStart    uint64

	deadline    time.Time // of the election timeout
	heartbeatAt time.Time
	heardLeader time.Time // promise: no vote until an election timeout later

	round    uint64
	rounds   []roundMark
	quorumAt time.Time // beginning of the newest confirmed round
	reads    []pendingRead
	// advanced: the commit index moved and the followers have not been told.
	advanced bool

	confirmed  map[uint64]bool // replicas that recognised this store since the start
	recognised bool            // a majority has
	helloAt    time.Time

	probe     uint64
	probes    map[uint64]time.Time
	attested  time.Time // the state up to attestedAt held everything accepted before
	attestedN uint64

	out Ready
}

// NewCore starts a replica from what its store holds.
func NewCore(cfg Config, s StoredState, now time.Time) *Core {
	c := &Core{cfg: cfg, id: cfg.ID, now: now, identity: s.Identity, hard: s.HardState,
		confirmed: map[uint64]bool{}, probes: map[uint64]time.Time{}, heardLeader: now, helloAt: now}
	if c.hard.Witnesses == nil {
		c.hard.Witnesses = map[uint64]Witness{}
	}
	c.log = memoryLog{snapIndex: s.Snapshot.Index, snapTerm: s.Snapshot.Term, base: s.Snapshot.Membership, entries: s.Entries}
	c.durable = c.log.last()
	c.commit, c.handed = s.Snapshot.Index, s.Snapshot.Index
	c.probe = s.Identity.Boot << probeBootShift
	c.findMembership()
	c.resetDeadline()
	if c.soleVoter() {
		c.campaign(false)
	}
	return c
}

func (c *Core) soleVoter() bool {
	v := c.members.voters()
	return len(v) == 1 && v[0] == c.id
}

func (c *Core) resetDeadline() {
	jitter := time.Duration(c.cfg.Random.Int64N(int64(c.cfg.ElectionTimeout / 2)))
	c.deadline = c.now.Add(c.cfg.ElectionTimeout + jitter)
}

// Tick lets time pass.
func (c *Core) Tick(now time.Time) {
	c.now = now
	c.hello()
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if !now.Before(c.deadline) {
		c.resetDeadline()
		if c.members.isVoter(c.id) && c.trusted() {
			c.preCampaign()
		}
	}
}

// Step takes a message in.
func (c *Core) Step(now time.Time, m Message) {
	c.now = now
	if m.To != c.id || !c.recognise(m) {
		return
	}
	switch m.Kind {
	case MsgHello:
		return // recognise has answered
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
	if m.Kind == MsgVote && !m.Transfer && c.promised() {
		return
	}
	if m.Term > c.hard.Term {
		c.become(Follower, m.Term, 0)
	}
	if m.Term < c.hard.Term {
		c.answerStale(m)
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
		if c.members.isVoter(c.id) && c.trusted() {
			c.campaign(true)
		}
	}
}

// answerStale tells the sender of an older term about the newer one.
func (c *Core) answerStale(m Message) {
	if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
		c.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Index: c.log.last()})
	}
}

// become takes a role in a term. leader is 0 when it is not known.
func (c *Core) become(r Role, term, leader uint64) {
	if term != c.hard.Term {
		c.hard.Term, c.hard.Vote, c.dirty = term, 0, true
	}
	if c.role == Leader && r != Leader {
		c.loseReads()
		c.progress, c.quorumAt = nil, time.Time{}
	}
	if leader != c.leader {
		c.probes = map[uint64]time.Time{}
	}
	c.role, c.leader, c.votes = r, leader, nil
}

func (c *Core) loseReads() {
	for _, r := range c.reads {
		c.out.Reads = append(c.out.Reads, ReadReady{ID: r.id, Aborted: true})
	}
	c.reads = nil
}

// send queues a message that may go only after this step's records are synced.
func (c *Core) send(m Message) { c.out.SendAfterSync = append(c.out.SendAfterSync, c.stamp(m)) }

// sendEarly queues a message that rests on nothing unsynced.
func (c *Core) sendEarly(m Message) { c.out.SendBeforeSync = append(c.out.SendBeforeSync, c.stamp(m)) }

func (c *Core) stamp(m Message) Message {
	m.From = c.id
	if m.Kind != MsgPreVote && m.Kind != MsgPreVoteReply {
		m.Term = c.hard.Term
	}
	m.Identity, m.Writes = c.identity, c.hard.Writes
	return m
}

// Ready hands out what there is to do and forgets it.
func (c *Core) Ready() Ready {
	c.tellCommit()
	if c.commit > c.handed {
		c.out.Committed = c.log.slice(c.handed, c.commit, int(^uint(0)>>1))
		c.handed = c.commit
	}
	if len(c.out.Entries) > 0 || c.out.InstallSnapshot != nil || c.dirty {
		c.hard.Writes++
		h := c.hard
		h.Witnesses = maps.Clone(c.hard.Witnesses)
		c.out.HardState, c.dirty = &h, false
		for i := range c.out.SendAfterSync {
			c.out.SendAfterSync[i].Writes = c.hard.Writes
		}
	}
	out := c.out
	c.out = Ready{}
	return out
}

// Persisted tells that the records of the last Ready are synced.
func (c *Core) Persisted(now time.Time, r Ready) {
	c.now = now
	if r.InstallSnapshot != nil {
		c.durable = r.InstallSnapshot.Index
	}
	if n := len(r.Entries); n > 0 {
		c.durable = r.Entries[n-1].Index
		if c.role == Leader {
			c.advanceCommit()
		}
	}
}

// Compact forgets the log up to index, which a synced snapshot holds.
func (c *Core) Compact(index uint64, base Membership) {
	if index > c.log.snapIndex && index <= c.handed {
		c.log.compact(index, base)
	}
}

// MembershipAt returns the membership in force at an applied index.
func (c *Core) MembershipAt(index uint64) Membership {
	found := c.log.base
	for _, e := range c.log.entries {
		if e.Index <= index && e.Kind == EntryMembership {
			found = decodeMembership(e.Data)
		}
	}
	return found
}

// Propose appends a command. The caller waits for it to come out committed with
// the returned index and term.
func (c *Core) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	c.now = now
	if c.role != Leader || c.commit < c.termStart {
		return 0, 0, errkind.New(errkind.NotLeader, "replica %d does not lead", c.id)
	}
	return c.appendOwn(EntryCommand, data), c.hard.Term, nil
}

// Flush sends what was proposed since the last call.
func (c *Core) Flush() {
	if c.role == Leader {
		c.broadcastAppend()
	}
}

func (c *Core) appendOwn(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: c.log.last() + 1, Term: c.hard.Term, Kind: kind, Data: data}
	c.log.entries = append(c.log.entries, e)
	c.out.Entries = append(c.out.Entries, e)
	if kind == EntryMembership {
		c.adopt(decodeMembership(data), e.Index)
	}
	return e.Index
}
