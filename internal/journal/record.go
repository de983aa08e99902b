package journal

import (
	"crypto/sha256"
	"time"

	"github.com/google/uuid"
)

// Limits bound the journal. Each command in the log contains them, so that all replicas
// decide alike.
type Limits struct {
	Retention  time.Duration // time for which a settled record and its answer are kept
	BeginLease time.Duration // maximum time from sending a claim to its Begin
	RunTime    time.Duration // maximum time from Begin to the settlement
	Records    int           // maximum number of records and expired IDs
	Bytes      int64         // maximum size of all stored answers, in bytes
	AnswerSize int64         // maximum size of one stored answer, in bytes
}

// key identifies a request permanently; it is a hash of client account and request ID.
type key [sha256.Size / 2]byte

// keyOf hashes account and ID. Each part is followed by a zero byte and its length, so that
// different pairs give different hash inputs.
func keyOf(account, id string) key {
	h := sha256.New()
	var separator [1]byte
	for _, part := range []string{account, id} {
		_, _ = h.Write([]byte(part)) // a hash.Hash never fails
		_, _ = h.Write(separator[:])
		_, _ = h.Write([]byte{byte(len(part) >> 8), byte(len(part))})
	}
	var k key
	copy(k[:], h.Sum(nil))
	return k
}

// recordState is the state of a record.
type recordState uint8

const (
	claimed  recordState = iota + 1 // a claim holder may run the request or is running it
	answered                        // the answer is stored
	unknown                         // the request may have run; its answer is lost
)

// record is the journal's state of one request.
type record struct {
	Key     key
	Body    [sha256.Size]byte // see Request.Body
	State   recordState
	Claim   string // unique name of the claim
	Due     int64  // Unix ms; when a claimed record becomes unknown, or any other expires
	Born    int64  // Unix ms in the request ID; 0 if the ID has no time
	Answer  Answer // set in state answered unless Dropped
	Dropped bool   // the answer was too large to be stored
}

// idTime returns the time of an ID that is a UUID of version 7, in Unix milliseconds; 0 for
// any other ID.
func idTime(id string) int64 {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return 0
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec).UnixMilli()
}
