package routing

// retryBudget limits retries to a share of the first attempts, with a burst.
type retryBudget struct {
	share, burst, tokens float64
}

func (b *retryBudget) earn() { b.tokens = min(b.tokens+b.share, b.burst) }

func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
