package grants

import (
	"context"
	"sync"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/errkind"

	"golang.org/x/time/rate"
)

// Tolerance is what accounts may get beyond their grants, all VMs together, over any
// Window: Over of what the grant gives in it, and Slack tokens.
type Tolerance struct {
	Overshoot float64
	Slack     float64
	Window    time.Duration
}

// spareSafety is the part of the tolerance that is used: a VM that is cut off shares it
// with more VMs than it knows of.
const spareSafety = 0.8

// FallbackLimiter is a Limiter that goes on from a fixed part of the tolerance while the owner of
// the grants is out of reach. What it admits on n VMs stays within the tolerance over
// any window, whatever the owner's slices admit besides.
type FallbackLimiter struct {
	limiter   Limiter
	limit     func(account string) (Limit, bool)
	tolerance Tolerance
	vms       func() int
	now       clock.Clock

	mu      sync.Mutex
	buckets map[string]*rate.Limiter
}

// NewFallbackLimiter returns a limiter around another one; limit tells an account's grant, vms how
// many VMs share the tolerance.
func NewFallbackLimiter(l Limiter, limit func(string) (Limit, bool), t Tolerance, vms func() int, now clock.Clock) *FallbackLimiter {
	return &FallbackLimiter{limiter: l, limit: limit, tolerance: t, vms: vms, now: now, buckets: map[string]*rate.Limiter{}}
}

// Reserve implements Limiter.
func (s *FallbackLimiter) Reserve(ctx context.Context, account string, tokens int64) (Reservation, error) {
	r, err := s.limiter.Reserve(ctx, account, tokens)
	if err == nil || !outOfReach(err) {
		return r, err
	}
	if !s.take(account, tokens) {
		return nil, errkind.New(errkind.RateLimited, "the owner of the grants is out of reach and the spare tokens are used up").
			WithRetryAfter(s.tolerance.Window / 8)
	}
	return settled{}, nil
}

// outOfReach reports whether the owner gave no word, rather than refused.
func outOfReach(err error) bool {
	return errkind.Is(err, errkind.NoQuorum) || errkind.Is(err, errkind.Stale)
}

func (s *FallbackLimiter) take(account string, tokens int64) bool {
	limit, known := s.limit(account)
	if !known || s.tolerance.Window <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	window := s.tolerance.Window.Seconds()
	granted := float64(limit.Rate)*window + float64(limit.Burst)
	share := spareSafety * (s.tolerance.Overshoot*granted + s.tolerance.Slack) / float64(max(s.vms(), 1))
	// Half may be saved up and half comes in over a window, so no window gets more.
	refill, saved := rate.Limit(share/2/window), int(share/2)
	b := s.buckets[account]
	if b == nil {
		b = rate.NewLimiter(refill, saved)
		s.buckets[account] = b
	}
	b.SetBurstAt(s.now(), saved)
	b.SetLimitAt(s.now(), refill)
	return b.AllowN(s.now(), int(tokens))
}

// settled is a reservation out of the tolerance: nothing is refunded.
type settled struct{}

// Settle implements Reservation.
func (settled) Settle(int64) {}
