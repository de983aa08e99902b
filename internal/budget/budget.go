// Package budget limits retries to a share of the first attempts, so that a failing endpoint or
// failure domain does not cause a retry storm.
package budget

import "sync"

// unitsPerRetry is the cost of one retry in the integer units in which a Budget counts.
const unitsPerRetry = 1000

// Budget allows retries up to a share of the first attempts. Its reserve allows retries at a low
// request rate as well. It is safe for concurrent use.
//
// Invariant: over any interval, retries ≤ reserve + share × first attempts.
type Budget struct {
	mu      sync.Mutex
	deposit int64 // units added by one first attempt
	reserve int64 // maximum of balance, in units
	balance int64 // units left
}

// New returns a full budget. share is the number of retries allowed per first attempt, between
// 0 and 1; reserve is the number of retries that can accumulate.
func New(share float64, reserve int) *Budget {
	reserveUnits := int64(max(0, reserve)) * unitsPerRetry
	return &Budget{deposit: int64(share * unitsPerRetry), reserve: reserveUnits, balance: reserveUnits}
}

// SetReserve changes the number of retries that can accumulate. A higher reserve fills up by
// first attempts.
func (b *Budget) SetReserve(reserve int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserve = int64(max(0, reserve)) * unitsPerRetry
	b.balance = min(b.balance, b.reserve)
}

// Deposit counts a first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.reserve, b.balance+b.deposit)
}

// TryWithdraw reports whether a retry is allowed, and if so deducts it from the budget.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < unitsPerRetry {
		return false
	}
	b.balance -= unitsPerRetry
	return true
}

// Remaining returns the number of retries left, including fractions.
func (b *Budget) Remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.balance) / unitsPerRetry
}
