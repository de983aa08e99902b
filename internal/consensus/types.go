// Package consensus agrees on one log of opaque commands among a few replicas.
//
// Core is a plain state machine: messages, proposals and the time go in; messages,
// records to store and committed entries come out. Replica holds the disk, the
// transport and the clock around it.
//
// Invariants: an entry reported committed is durable on a majority and stays in
// every later leader's log at its index; a replica answers nothing that rests on a
// record before that record is synced; a leader's lease ends, by its own clock,
// before any majority can elect another; a store that was lost, replaced or rolled
// back is refused by the replicas that knew it.
package consensus

import "time"

// EntryKind says what an entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand EntryKind = iota
	// EntryNoop is the first entry of a term.
	EntryNoop
	// EntryMembership holds an encoded Membership, in force from its appending.
	EntryMembership
)

// Entry is one record of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// Member is one replica of the group.
type Member struct {
	ID      uint64
	Address string
	// Learner replicas get the log and have no vote.
	Learner bool
}

// Membership is the group in order of replica number.
type Membership struct{ Members []Member }

// Snapshot is the applied state up to an index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// Identity names one run of a replica's store.
type Identity struct {
	// Store is drawn at random when the store is made.
	Store string
	// Boot counts the starts from this store; Nonce is drawn at each.
	Boot  uint64
	Nonce uint64
	// WritesAtBoot counts the store's synced writes up to this start.
	WritesAtBoot uint64
}

// Witness is what a replica remembers of another's store.
type Witness struct {
	Store  string
	Boot   uint64
	Nonce  uint64
	Writes uint64
}

// HardState is what must be synced before answers that rest on it.
type HardState struct {
	Term      uint64
	Vote      uint64
	Writes    uint64
	Witnesses map[uint64]Witness
}

// MessageKind says what a message asks or answers.
type MessageKind uint8

// The kinds of messages.
const (
	MsgHello MessageKind = iota
	MsgHelloReply
	MsgPreVote
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgSnapshot
	MsgTimeoutNow
)

// Message goes between two replicas.
type Message struct {
	Kind     MessageKind
	From, To uint64
	Term     uint64
	Identity Identity
	Writes   uint64
	// Index and LogTerm: the entry before Entries, the end of the sender's log in
	// votes, the matched index in replies.
	Index, LogTerm uint64
	Commit         uint64
	Entries        []Entry
	Reject         bool
	// Round counts the leader's rounds; a reply repeats it.
	Round uint64
	// Probe is the follower's own counter, repeated by the leader's next round.
	Probe uint64
	// Age is how long ago the leader's last confirmed round began.
	Age time.Duration
	// Attested says that Age and Commit may be relied on.
	Attested bool
	// Transfer marks a vote that the leader itself asked for.
	Transfer  bool
	Witnesses map[uint64]Witness
	Snapshot  *Snapshot
	// ReplyTo is the sender's address, for a receiver that knows no members yet.
	ReplyTo string
	// For names the boot that a hello reply speaks of.
	For Identity
	// Leads says that the sender of a hello reply held the lease of leadership in Term.
	Leads bool
}

// Role of a replica.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's usual name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Ready is what a step asks of the world. The order is: send SendBeforeSync, store
// InstallSnapshot, HardState and Entries in one synced write, send SendAfterSync, apply Committed.
type Ready struct {
	SendBeforeSync []Message
	HardState      *HardState
	// Entries replace the stored log from the first one's index on.
	Entries []Entry
	// Install replaces log and state.
	InstallSnapshot *Snapshot
	SendAfterSync   []Message
	Committed       []Entry
	Reads           []ReadReady
	// Fatal says why this replica must stop.
	Fatal error
}

// ReadReady answers a read barrier: apply up to Index, then read. A lost one must
// be asked anew.
type ReadReady struct {
	ID      uint64
	Index   uint64
	Aborted bool
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return len(r.SendBeforeSync) == 0 && r.HardState == nil && len(r.Entries) == 0 && r.InstallSnapshot == nil &&
		len(r.SendAfterSync) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0 && r.Fatal == nil
}
