package entry

import (
	"context"
	"math"
	"sync"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/prefix"

	"go.uber.org/zap"
)

const (
	// minDensitySampleBytes is the length of the shortest prompt from which the density of
	// tokens is derived. In shorter prompts, the tokens that an engine adds around the text
	// distort the density.
	minDensitySampleBytes = 1000
	// densityDecay is the factor by which the density decreases with each sample of a lower
	// density.
	densityDecay = 0.999
	// chargeTimeout limits the attempts to charge tokens beyond a reservation.
	chargeTimeout = time.Minute
	// minChargePause is the minimum delay between two attempts.
	minChargePause = 100 * time.Millisecond
)

// tokenCounter estimates the tokens of a prompt, per model, from the counts that engines
// reported for earlier prompts.
//
// Invariant: an estimate is never below prefix.Tokens. It follows the highest recent density,
// so that reservations are rarely too small.
type tokenCounter struct {
	mu      sync.Mutex
	density map[string]float64 // tokens per byte, by model
}

func newTokenCounter() *tokenCounter { return &tokenCounter{density: map[string]float64{}} }

// estimate returns the estimated number of tokens of a prompt of n bytes.
func (c *tokenCounter) estimate(model string, n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(prefix.Tokens(n), int(math.Ceil(c.density[model]*float64(n))))
}

// observe updates the density with an engine's token count of a prompt of n bytes.
func (c *tokenCounter) observe(model string, n, tokens int) {
	if n < minDensitySampleBytes || tokens <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.density[model] = max(float64(tokens)/float64(n), densityDecay*c.density[model])
}

// charge charges the tokens that a request used beyond its reservation to the account, so that
// the account's next requests wait for them. There are such tokens if the engine counts more
// than the estimate. charge retries until the grant has enough tokens or chargeTimeout has
// passed, and splits an amount above the grant's burst.
func (f *Front) charge(ctx context.Context, account string, tokens int64, priority int) {
	if account == "" || tokens <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, chargeTimeout)
	defer cancel()
	for {
		r, err := f.limiter.Reserve(ctx, account, tokens, -priority)
		if err == nil {
			r.Settle(tokens)
			return
		}
		e := errkind.Of(err)
		if e.Kind == errkind.TooLarge && tokens > 1 {
			f.charge(ctx, account, tokens/2, priority)
			tokens -= tokens / 2
			continue
		}
		sleepContext(ctx, max(e.RetryAfter, minChargePause))
		if ctx.Err() != nil {
			f.log.Warn("charging tokens beyond a reservation failed", zap.String("account", account), zap.Int64("tokens", tokens))
			return
		}
	}
}
