package journal

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"

	"github.com/cockroachdb/errors"
)

// Operation of a command.
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
	Claim   string // chosen by the claim's holder, never used twice
	Body    [sha256.Size]byte
	Answer  Answer
}

// batch is one entry of the log.
type batch struct {
	Now    int64 // the leader's clock in Unix milliseconds; the journal's never goes back
	Limits Limits
	Ops    []op
}

// Verdict on an op.
type verdict uint8

const (
	granted  verdict = iota + 1 // the claim is the caller's
	stored                      // there is an answer
	tooLarge                    // it ran; its answer was too large to be stored
	inProgress
	outcomeUnknown
	bodyMismatch
	expired
	idAhead // the ID carries a time in the future
	full
	settled // Complete, Release or Lost was recorded
	notHeld // the claim is not the caller's any more
)

// result answers an op.
type result struct {
	Verdict verdict
	Answer  *Answer
	RetryMS int64
}

func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(v)
	return b.Bytes(), errors.Wrap(err, "encode journal message")
}

func decode(data []byte, v any) error {
	return errors.Wrap(gob.NewDecoder(bytes.NewReader(data)).Decode(v), "decode journal message")
}
