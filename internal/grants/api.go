// Package grants keeps every client account within its rate and burst over all VMs
// together: one owner of the bucket, slices of tokens under short leases at the
// entry VMs.
package grants

import "context"

// Limiter admits requests against a client account's grant.
type Limiter interface {
	// Reserve takes tokens (prompt plus greatest output) for the account, queueing
	// briefly when they are not at hand. A refusal is errkind RateLimited (not run)
	// with the time to come back.
	Reserve(ctx context.Context, account string, tokens int64) (Reservation, error)
}

// Reservation is what a request may use.
type Reservation interface {
	// Settle ends the reservation with the tokens really used; the rest is refunded.
	// Only the first call counts.
	Settle(used int64)
}
