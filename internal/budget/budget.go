// Package budget bounds retries to a share of the first tries, so that a failing
// endpoint or failure domain draws no retry storm.
package budget

import "sync"

// unit is one retry, in the parts that the budget counts in.
const unit = 1000

// Budget allows retries up to a share of the first tries, with a reserve that lets a
// quiet VM retry as well. It is safe for concurrent use.
//
// Invariant: over any span, retries ≤ reserve + share × first tries.
type Budget struct {
	mu      sync.Mutex
	earn    int64 // parts earned by one first try
	reserve int64 // parts kept at most
	level   int64
}

// New returns a full budget. share is the retries per first try, between 0 and 1;
// reserve the retries that may be saved up.
func New(share float64, reserve int) *Budget {
	parts := int64(max(0, reserve)) * unit
	return &Budget{earn: int64(share * unit), reserve: parts, level: parts}
}

// Earn counts a first try.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.reserve, b.level+b.earn)
}

// Spend asks for a retry and reports whether there is one to be had.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < unit {
		return false
	}
	b.level -= unit
	return true
}

// Left is how many retries there are to be had, in parts as well.
func (b *Budget) Remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.level) / unit
}
