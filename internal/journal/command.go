package journal

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"

	"github.com/cockroachdb/errors"
)

// operation is the kind of an op.
type operation uint8

const (
	opClaim operation = iota + 1
	opComplete
	opRelease
	opLost
)

// op is one call to the journal.
type op struct {
	Op      operation
	Account string
	ID      string
	Claim   string            // unique name chosen by the claim holder, never reused
	Body    [sha256.Size]byte // for opClaim: see Request.Body
	Answer  Answer            // for opComplete
}

// batch is the command in one log entry.
type batch struct {
	Now    int64 // leader's clock in Unix ms; the journal's own time never decreases
	Limits Limits
	Ops    []op
}

// verdict is the result code of an op.
type verdict uint8

const (
	granted  verdict = iota + 1 // the claim is held by the sender of the op
	stored                      // the request has a stored answer
	tooLarge                    // the request ran; its answer was too large to store
	inProgress
	outcomeUnknown
	bodyMismatch
	expired
	idAhead // the time in the ID is in the future
	full
	settled // Complete, Release or MarkLost was recorded
	notHeld // the claim is no longer held by the sender of the op
)

// result is the result of an op.
type result struct {
	Verdict verdict
	Answer  *Answer // for verdict stored
	RetryMS int64   // for verdict inProgress: delay before a retry
}

func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(v)
	return b.Bytes(), errors.Wrap(err, "encode journal message")
}

func decode(data []byte, v any) error {
	return errors.Wrap(gob.NewDecoder(bytes.NewReader(data)).Decode(v), "decode journal message")
}
