package grants

import "time"

// Limit is a client account's grant.
type Limit struct {
	Rate  int64 // tokens a second
	Burst int64 // tokens
}

// SyncRequest carries everything a holder has to say in one message. Totals count
// from the start of the holder's run within a term, so that a lost or repeated
// message does no harm.
type SyncRequest struct {
	Holder  string // VM and run
	Seq     uint64 // grows with each message of the holder
	Term    uint64 // owner's term that the totals belong to; 0 without one
	Entries []SyncEntry
}

// SyncEntry reports one account in use.
type SyncEntry struct {
	Account  string
	Gone     int64 // total of tokens spent for good, returned or forfeited
	Returned int64 // total of tokens given back, part of Gone
	Want     int64 // further tokens that demand asks for
	Refunds  []Refund
	Need     int64 // fewest further tokens that serve the first waiting request
}

// Refund is the total of tokens that requests had reserved and did not use, which the
// owner counted as gone in an epoch of the account, or later.
type Refund struct {
	Epoch int64
	Total int64
}

// SyncReply answers every entry in order.
type SyncReply struct {
	Term    uint64
	Lease   time.Duration // from the moment the request was sent
	Entries []SyncGrant
}

// SyncGrant answers one entry.
type SyncGrant struct {
	Granted    int64         // total of tokens granted
	Gone       int64         // total gone as the owner counts, at least what was reported
	Epoch      int64         // of the account, in which the report was counted
	Burst      int64         // 0 says that the account has no grant
	Unknown    bool          // the owner's configuration does not have the account, yet or any more
	RetryAfter time.Duration // when the need can be met; 0 when nothing was refused
	Waiting    bool          // a former owner's slices are waited out, so the bucket may hold more
}
