package grants

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/grants/urgency"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"
)

// Tolerance bounds the tokens that one account may get beyond its grant, over all VMs
// together, in any time window of length Window: Overshoot × (rate × Window + burst) + Slack.
type Tolerance struct {
	Overshoot float64 // fraction of the grant
	Slack     float64 // tokens
	Window    time.Duration
}

// fallbackBurstShare is the share of a VM's fallback allowance that it may spend at once. The
// rest is refilled over a window.
const fallbackBurstShare = 0.8

// FallbackLimiter is a Limiter that admits requests from a fixed share of the tolerance
// while the owner of the grants is unreachable. The tokens that all VMs together admit this
// way stay within the tolerance over any window. Tokens admitted from slices are not counted
// in it, because the grant covers them.
type FallbackLimiter struct {
	limiter   Limiter
	limit     func(account string) (Limit, bool)
	tolerance Tolerance
	// vmCount returns the number of VMs that share the tolerance, or false while this VM may
	// not know all of them.
	vmCount func() (int, bool)
	now     clock.Clock

	mu      sync.Mutex
	buckets map[string]*fallbackBucket // by account
	start   time.Time
	jitter  func() float64
	tokens  *prometheus.CounterVec
}

// fallbackBucket is a VM's share of the tolerance for one account, which the account's
// classes share like a grant.
type fallbackBucket struct {
	limiter *rate.Limiter
	classes urgency.Allocator
}

// setRate changes the bucket to a new refill rate, in tokens per second, and burst. What was taken and is not refilled
// yet stays taken, so an account that was quiet has the whole new burst.
func (b *fallbackBucket) setRate(now time.Time, refill rate.Limit, burst int) {
	if b.limiter != nil && b.limiter.Limit() == refill && b.limiter.Burst() == burst {
		return
	}
	next := rate.NewLimiter(refill, burst)
	if b.limiter != nil {
		taken := int(float64(b.limiter.Burst()) - b.limiter.TokensAt(now))
		next.AllowN(now, min(max(taken, 0), burst))
	}
	b.limiter = next
}

// NewFallbackLimiter returns a limiter that falls back if the given limiter can't reach the
// owner. limit returns an account's grant, or false if it is unknown. vmCount returns the
// number of VMs that share the tolerance, or false if it is unknown; the limiter then admits
// nothing.
func NewFallbackLimiter(limiter Limiter, limit func(string) (Limit, bool), tolerance Tolerance, vmCount func() (int, bool), now clock.Clock) *FallbackLimiter {
	return &FallbackLimiter{limiter: limiter, limit: limit, tolerance: tolerance, vmCount: vmCount, now: now, buckets: map[string]*fallbackBucket{},
		start: now(), jitter: rand.Float64,
		tokens: newTokensCounter("eelgrass_grant_fallback_tokens_total", "Tokens that requests asked for while the owner of the grants was away, by priority and outcome."),
	}
}

// Reserve implements Limiter.
func (f *FallbackLimiter) Reserve(ctx context.Context, account string, tokens int64, priority int) (Reservation, error) {
	r, err := f.limiter.Reserve(ctx, account, tokens, priority)
	if err == nil || !ownerUnreachable(err) {
		return r, err
	}
	if admitted, retry := f.admit(account, tokens, priority); !admitted {
		err = errkind.New(errkind.RateLimited, "the owner of the grants is unreachable and the fallback allowance is used up").
			WithRetryAfter(retry)
		countTokens(f.tokens, priority, tokens, err)
		return nil, err
	}
	countTokens(f.tokens, priority, tokens, nil)
	return fallbackReservation{}, nil
}

// Describe implements prometheus.Collector.
func (f *FallbackLimiter) Describe(descs chan<- *prometheus.Desc) { f.tokens.Describe(descs) }

// Collect implements prometheus.Collector.
func (f *FallbackLimiter) Collect(metrics chan<- prometheus.Metric) { f.tokens.Collect(metrics) }

// ownerUnreachable reports whether an error means that the owner did not decide, rather than
// that it refused.
func ownerUnreachable(err error) bool {
	return errkind.Is(err, errkind.NoQuorum) || errkind.Is(err, errkind.Stale)
}

// admit reports whether the account's fallback allowance covers the tokens, and counts them
// if so. Otherwise it returns the time after which to retry.
func (f *FallbackLimiter) admit(account string, tokens int64, priority int) (bool, time.Duration) {
	limit, known := f.limit(account)
	vms, counted := f.vmCount()
	retry := f.tolerance.Window / 8
	if !known || !counted || f.tolerance.Window <= 0 {
		return false, retry
	}
	share := fallbackShare * f.tolerance.tokens(limit) / float64(max(vms, 1))
	// The burst and the refill over a window are together the share, so no window gets more.
	burst := fallbackBurstShare * share
	refill := (share - burst) / f.tolerance.Window.Seconds()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	b := f.buckets[account]
	if b == nil {
		b = &fallbackBucket{}
		f.buckets[account] = b
	}
	b.setRate(now, rate.Limit(refill), int(burst))
	grant, sinceStart := urgency.Grant{Rate: refill, Burst: burst}, now.Sub(f.start)
	balance := int64(b.limiter.TokensAt(now))
	b.classes.Observe(sinceStart, grant, priority, tokens)
	if tokens <= b.classes.Available(sinceStart, grant, balance, priority, tokens) && b.limiter.AllowN(now, int(tokens)) {
		b.classes.Take(priority, tokens)
		return true, 0
	}
	b.classes.Short(sinceStart)
	if b.classes.Several() {
		wait := min(b.classes.Wait(sinceStart, grant, balance, priority, tokens), f.tolerance.Window)
		retry = wait + time.Duration(jitterShare*f.jitter()*float64(wait))
	}
	return false, retry
}

// fallbackReservation is a reservation from the fallback allowance, which takes no refunds.
type fallbackReservation struct{}

// Settle implements Reservation.
func (fallbackReservation) Settle(int64) {}
