// Package grants keeps every client account within its rate and burst over all VMs
// together. One owner keeps the bucket of each account. It grants slices of tokens to
// the entry VMs under short leases.
package grants

import "context"

// Limiter admits requests against a client account's grant.
type Limiter interface {
	// Reserve reserves tokens (prompt plus the largest possible output) for a request of
	// the account. Priority 0 is the most urgent. While an account asks for more than its
	// rate, its more urgent requests get tokens first. Reserve waits for a short time if the
	// VM does not hold enough, but not if that would pass the deadline of ctx. The error
	// for an account over its rate is errkind.RateLimited, with outcome NotRun and the
	// time after which to retry.
	Reserve(ctx context.Context, account string, tokens int64, priority int) (Reservation, error)
}

// Reservation holds the tokens that one request may use.
type Reservation interface {
	// Settle ends the reservation with the number of tokens used and refunds the rest.
	// Only the first call has an effect.
	Settle(used int64)
}
