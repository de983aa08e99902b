// Package journal keeps at-most-once records of non-idempotent requests.
package journal

import (
	"context"
	"crypto/sha256"
)

// Request names a non-idempotent request.
type Request struct {
	Account string // client account, or "" on a route open to all
	Route   string
	ID      string            // the caller's Idempotency-Key
	Body    [sha256.Size]byte // hash over method, path and body
}

// Answer is a stored answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Journal hands out durable, exclusive claims.
type Journal interface {
	// Claim returns a claim to run the request, or the stored answer of an earlier
	// run. Refusals: errkind InProgress, OutcomeUnknown, BodyMismatch, JournalFull,
	// RequestExpired; Stale, NoQuorum and Timeout with outcome not-run, as without a
	// claim nothing is sent.
	Claim(ctx context.Context, r Request) (Claim, *Answer, error)
}

// Claim is the exclusive right to run a request once.
//
// Invariant: Begin succeeds at most once per request ID over all VMs for good.
type Claim interface {
	// Begin must be called right before the first byte goes to an endpoint. An error
	// says that the claim has run out: nothing may be sent, and the answer is not-run
	// if the error says so.
	Begin() error
	// Complete stores the answer.
	Complete(ctx context.Context, a Answer) error
	// Release gives the claim back before Begin: the request was not run.
	Release(ctx context.Context) error
	// MarkLost records that bytes were sent and the answer was lost: outcome unknown.
	MarkLost(ctx context.Context) error
}
