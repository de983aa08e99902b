package grants

import "time"

// Limit is a client account's grant.
type Limit struct {
	Rate  int64 // tokens per second
	Burst int64 // tokens
}

// SyncRequest is a holder's report on all accounts in use. Counts are totals since the
// holder's first report in the term, so that a lost or repeated message does no harm.
type SyncRequest struct {
	Holder  string // unique to one incarnation of the entry VM
	Seq     uint64 // increases with each message of the holder
	Term    uint64 // owner's term that the totals belong to; 0 before the first reply
	Entries []SyncEntry
}

// SyncEntry reports one account in use.
type SyncEntry struct {
	Account  string
	Gone     int64 // total of tokens reserved, returned or forfeited
	Returned int64 // total of tokens returned to the owner, part of Gone
	Want     int64 // further tokens for the expected demand and all waiting requests
	Refunds  []Refund
	Need     int64 // further tokens that the first waiting request requires
	// Classes is the demand by priority, most urgent first. It is empty unless the account is
	// short of tokens and has requests of several priorities, and from older builds.
	Classes []ClassDemand
}

// ClassDemand is what requests of one priority ask for.
type ClassDemand struct {
	Priority  int
	Requested int64 // total of tokens requested, since the holder knows the class
	Need      int64 // further tokens that the first waiting request of the class requires
	Waiting   int64 // further tokens for all waiting requests of the class
}

// Refund is the total of tokens that requests reserved and did not use. The owner counted
// them as gone in the given epoch of the account's bucket, or later.
type Refund struct {
	Epoch int64
	Total int64
}

// SyncReply is the reply to a SyncRequest, with one entry for each of the request's, in order.
type SyncReply struct {
	Term    uint64
	Lease   time.Duration // counts from when the holder sent the request
	Entries []SyncGrant
}

// SyncGrant is the reply to one SyncEntry.
type SyncGrant struct {
	Granted    int64         // total of tokens granted
	Gone       int64         // total gone by the owner's count; above the reported one after an expiry
	Epoch      int64         // epoch of the account's bucket in which the report was counted
	Burst      int64         // tokens; 0 if the account has no grant
	Unknown    bool          // the account is not, or no longer, in the owner's configuration
	RetryAfter time.Duration // time after which the need can be met; 0 if it was not refused
	Waiting    bool          // a former owner's slices may be outstanding, so the balance may be higher
	ByClass    bool          // the holder should report Classes
	Divided    bool          // tokens are divided by priority; Classes is set for those that have a need
	Classes    []ClassGrant
	// Uncommitted is set if only a durable bound refuses the need, which a change that is not
	// committed yet would allow: the account is not over its rate. Older owners don't set it.
	Uncommitted bool
}

// ClassGrant is the part of a reply for one priority.
type ClassGrant struct {
	Priority    int
	Tokens      int64         // granted by this reply, part of the increase of Granted
	RetryAfter  time.Duration // time after which the need can be met; 0 if it was not refused
	Uncommitted bool          // see SyncGrant
}
