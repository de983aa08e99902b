package entry

import "sync"

// retryBudget bounds retries to a share of the requests, so that failing endpoints
// do not meet a multiple of the load.
type retryBudget struct {
	mu    sync.Mutex
	share float64
	burst float64
	level float64
}

func newRetryBudget(share, burst float64) *retryBudget {
	return &retryBudget{share: share, burst: burst, level: burst}
}

// request counts a first attempt.
func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+b.share, b.burst)
}

// retry takes one retry, or reports that none is left.
func (b *retryBudget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
