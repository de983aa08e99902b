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
	// densitySample is the least prompt, in bytes, whose count tells the density of
	// tokens: in shorter ones the tokens around the text weigh too much.
	densitySample = 1000
	// densityKept is what remains of the greatest density at each lower count.
	densityKept = 0.999
	// chargeTime is how long tokens beyond a reservation are tried to be charged.
	chargeTime = time.Minute
	// chargePause is the least wait between two tries.
	chargePause = 100 * time.Millisecond
)

// tokenCounter estimates prompt tokens by what engines counted before, for each model.
//
// Invariant: an estimate is never below prefix.Tokens, and follows the densest text
// seen lately, so that reservations are seldom too small.
type tokenCounter struct {
	mu      sync.Mutex
	density map[string]float64 // tokens a byte, by model
}

func newTokenCounter() *tokenCounter { return &tokenCounter{density: map[string]float64{}} }

// estimate returns the tokens of a prompt of n bytes.
func (c *tokenCounter) estimate(model string, n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(prefix.Tokens(n), int(math.Ceil(c.density[model]*float64(n))))
}

// observe learns from an engine's count of a prompt of n bytes.
func (c *tokenCounter) observe(model string, n, tokens int) {
	if n < densitySample || tokens <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.density[model] = max(float64(tokens)/float64(n), densityKept*c.density[model])
}

// charge takes what a request used beyond its reservation, as an engine counts tokens
// otherwise than the estimate, so that the account's next requests wait for it. It
// tries until the grant has them, a large amount in parts.
func (f *Front) charge(ctx context.Context, account string, tokens int64) {
	if account == "" || tokens <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, chargeTime)
	defer cancel()
	for {
		r, err := f.limiter.Reserve(ctx, account, tokens)
		if err == nil {
			r.Settle(tokens)
			return
		}
		e := errkind.Of(err)
		if e.Kind == errkind.TooLarge && tokens > 1 {
			f.charge(ctx, account, tokens/2)
			tokens -= tokens / 2
			continue
		}
		pause(ctx, max(e.RetryAfter, chargePause))
		if ctx.Err() != nil {
			f.log.Warn("tokens beyond a reservation not charged", zap.String("account", account), zap.Int64("tokens", tokens))
			return
		}
	}
}
