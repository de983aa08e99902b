package journal

import (
	"crypto/sha256"
	"time"

	"github.com/google/uuid"
)

// Limits bound the journal; they are part of the log's commands, so that every
// replica decides alike.
type Limits struct {
	Retention  time.Duration // how long a settled record and its answer are kept
	BeginLease time.Duration // from the sending of a claim to its Begin
	RunTime    time.Duration // from Begin to a settlement, at most
	Records    int           // records and expired IDs, at most
	Bytes      int64         // stored answers, at most
	AnswerSize int64         // one stored answer, at most
}

// key names a request for good.
type key [sha256.Size / 2]byte

// keyOf hashes account and ID; the parts are framed, so no two pairs join alike.
func keyOf(account, id string) key {
	h := sha256.New()
	var frame [1]byte
	for _, part := range []string{account, id} {
		_, _ = h.Write([]byte(part)) // a hash.Hash never fails
		_, _ = h.Write(frame[:])
		_, _ = h.Write([]byte{byte(len(part) >> 8), byte(len(part))})
	}
	var k key
	copy(k[:], h.Sum(nil))
	return k
}

// State of a record.
type recordState uint8

const (
	claimed  recordState = iota + 1 // a holder may run it, or runs it
	answered                        // the answer is stored
	unknown                         // it may have run; the answer is lost
)

// record is what the journal knows of one request.
type record struct {
	Key     key
	Body    [sha256.Size]byte
	State   recordState
	Claim   string // names the claim's holder
	Due     int64  // claimed: when it counts as unknown; else when it expires, in ms
	Born    int64  // the time that the ID carries, in ms; 0 without one
	Answer  Answer // answered
	Dropped bool   // the answer was too large to be stored
}

// idTime returns the time in Unix milliseconds that an ID carries, for a UUID of
// version 7; 0 for any other.
func idTime(id string) int64 {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return 0
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec).UnixMilli()
}
