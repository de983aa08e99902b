// Package consensus replicates one log of opaque commands among a few replicas with
// Raft. It has pre-vote, check-quorum, leader leases, ReadIndex, snapshots, learners
// and membership changes of one replica at a time.
//
// Core is a state machine without I/O: its inputs are messages, proposals and the
// time; its outputs are messages, records to store and committed entries. Replica
// connects a Core to its storage, transport and clock.
//
// Invariants:
//   - A committed entry is synced on a majority, and the log of every later leader
//     holds the entry at the same index.
//   - A replica sends no response that depends on a record before the record is synced.
//   - A leader's lease ends, by the leader's clock, before a majority can elect
//     another leader.
//   - If a replica's store was lost, replaced or rolled back, the replicas that hold a
//     Witness of the store refuse it.
package consensus

import "time"

// EntryKind is the type of an entry.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand EntryKind = iota
	// EntryNoop is the empty first entry of a term.
	EntryNoop
	// EntryMembership holds an encoded Membership. A replica uses the membership as
	// soon as the entry is in its log, before the entry is committed.
	EntryMembership
)

// Entry is one record of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
	// storedBytes is the size of the data if it is only in the store; Data is nil then.
	storedBytes int
}

// dataBytes returns the size of the entry's data, wherever the data is.
func (e Entry) dataBytes() int { return len(e.Data) + e.storedBytes }

// dataBytes returns the size of the entries and the snapshot in a message.
func (m Message) dataBytes() int64 {
	size := 0
	for _, e := range m.Entries {
		size += e.dataBytes()
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	return int64(size)
}

// Member is one replica of the group.
type Member struct {
	ID      uint64
	Address string
	// Learner marks a replica that receives the log but has no vote.
	Learner bool
}

// Membership lists the members of the group by ascending ID.
type Membership struct{ Members []Member }

// Snapshot is the state after applying the entries up to Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// Identity identifies one start of a replica from one store.
type Identity struct {
	// Store is the random ID that the store got when it was created.
	Store string
	// Boot counts the starts from this store. Nonce is random and new at each start.
	Boot  uint64
	Nonce uint64
	// WritesAtBoot is the number of synced writes to the store up to this start.
	WritesAtBoot uint64
}

// Witness is what a replica has recorded about another replica's store: its latest
// Identity and the highest number of synced writes received from it.
type Witness struct {
	Store  string
	Boot   uint64
	Nonce  uint64
	Writes uint64
}

// HardState is the state that must be synced before any response that depends on it
// is sent. Writes counts the synced writes to the store; Witnesses are by replica ID.
type HardState struct {
	Term      uint64
	Vote      uint64
	Writes    uint64
	Witnesses map[uint64]Witness
	// Leader is the last leader that this replica has followed or was itself, in LeaderTerm.
	// It is 0 in the store of a program that did not record it.
	Leader     uint64
	LeaderTerm uint64
}

// MessageKind is the type of a message.
type MessageKind uint8

// Kinds of messages.
const (
	// MsgHello asks the receiver to accept the sender's store.
	MsgHello MessageKind = iota
	MsgHelloReply
	MsgPreVote
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgSnapshot
	// MsgTimeoutNow asks the receiver to start an election without waiting for its timeout.
	MsgTimeoutNow
)

// Message is sent from one replica to another.
type Message struct {
	Kind     MessageKind
	From, To uint64
	Term     uint64
	// Identity and Writes are those of the sender's store: its Identity and the number of
	// synced writes to it.
	Identity Identity
	Writes   uint64
	// Index and LogTerm identify the entry before Entries in an append, and the last
	// entry of the sender's log in a vote request. In a reply, Index is the match index.
	Index, LogTerm uint64
	Commit         uint64
	Entries        []Entry
	Reject         bool
	// Round is the number of the leader's heartbeat round. A reply repeats it.
	Round uint64
	// Received and ReceivedTerm identify the last entry of a follower that replies during a write.
	// It is not synced yet.
	Received, ReceivedTerm uint64
	// Probe is the follower's own counter. The leader repeats it in its next message.
	Probe uint64
	// Age is the time since the start of the leader's newest confirmed round.
	Age time.Duration
	// Attested reports whether Age and Commit are valid.
	Attested bool
	// Transfer marks a vote request that the leader triggered with MsgTimeoutNow.
	Transfer bool
	// StartTerms is set in a vote request after a restart: the start terms of replicas, by
	// ID. See restart.go, also for the next three fields, which are the sender's restart
	// report in a hello or its reply.
	StartTerms                            map[uint64]uint64
	StartTerm, LastLeader, LastLeaderTerm uint64

	Witnesses map[uint64]Witness
	Snapshot  *Snapshot
	// ReplyTo is the sender's address, for a receiver that has no membership yet.
	ReplyTo string
	// For is the Identity from the message that a hello reply responds to.
	For Identity
	// Leads reports whether the sender of a hello reply held the leader lease in Term.
	Leads bool
}

// Role is a replica's role in its term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Ready is the work that a Core hands to its caller. The caller sends SendBeforeSync,
// stores InstallSnapshot, HardState and Entries in one synced write, calls
// Core.Persisted, sends SendAfterSync and then applies Committed. There is a write if
// HardState is set. The caller may handle messages and time during the write. Until
// Persisted, Ready returns only messages and reads that depend on no unsynced record.
//
// Entries in messages and in Committed may lack their data, which is in the store then. The
// caller reads it before it stores InstallSnapshot and Entries, or compacts the log.
type Ready struct {
	SendBeforeSync []Message
	HardState      *HardState
	// Entries replace the stored log from the index of the first one on.
	Entries []Entry
	// InstallSnapshot replaces the stored log and the applied state.
	InstallSnapshot *Snapshot
	SendAfterSync   []Message
	Committed       []Entry
	Reads           []ReadReady
	// Fatal is the reason why this replica must stop, or nil.
	Fatal error
}

// ReadReady is the result of Core.ReadIndex: the caller may read once the entry at
// Index is applied. If Aborted, the leader lost leadership and the caller must retry.
type ReadReady struct {
	ID      uint64
	Index   uint64
	Aborted bool
}

// Empty reports whether r holds no work.
func (r Ready) Empty() bool {
	return len(r.SendBeforeSync) == 0 && r.HardState == nil && len(r.Entries) == 0 && r.InstallSnapshot == nil &&
		len(r.SendAfterSync) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0 && r.Fatal == nil
}
