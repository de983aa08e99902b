// Package journal keeps at-most-once records of non-idempotent requests.
package journal

import (
	"context"
	"crypto/sha256"
)

// Request identifies a non-idempotent request.
type Request struct {
	Account string // client account, or "" on a route that requires no key
	Route   string
	ID      string            // the client's Idempotency-Key
	Body    [sha256.Size]byte // hash over method, path and body
}

// Answer is a stored response.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Journal grants durable, exclusive claims.
type Journal interface {
	// Claim returns a claim to run the request, or the stored answer of an earlier
	// run. Errors have errkind InProgress, OutcomeUnknown, BodyMismatch, JournalFull or
	// RequestExpired; or Stale, NoQuorum or Timeout with outcome not-run, because
	// nothing is sent without a claim.
	Claim(ctx context.Context, r Request) (Claim, *Answer, error)
}

// Claim is the exclusive right to run a request once.
//
// Invariant: over all VMs and all time, Begin succeeds at most once per request ID.
type Claim interface {
	// Begin must be called right before the first byte is sent to an endpoint. After an
	// error nothing may be sent. The request is known not to have run only if the error
	// has the outcome not-run, as it has for an expired claim.
	Begin() error
	// Complete stores the answer.
	Complete(ctx context.Context, a Answer) error
	// Release ends the claim before Begin: the request was not run.
	Release(ctx context.Context) error
	// MarkLost records that bytes were sent and the answer was lost: outcome unknown.
	MarkLost(ctx context.Context) error
}
