package grants

import "time"

// An owner's change must not stop accounts that are inside their rate. A new owner does not
// know which of the former owner's slices have been spent, so it counts the durable cap as
// outstanding until their leases have ended. Where the grants have a Tolerance, it may count
// less: the difference is an advance, which the tolerance covers. The tokens that the former
// owner's holders spend meanwhile then exceed the grant by the advances at most.
//
// The advances of all owners share the tolerance of a window, so they are durable, with the
// time at which they were made. Clocks of different VMs can't be compared. The time is
// therefore the sum of the times for which owners have served, by their own clocks, as far
// as it is durable: it never advances faster than real time.

// advanceShare is the share of the tolerance that is used for advances; fallbackShare is the
// share for FallbackLimiter, which may be used in the same window. The rest is a margin.
const (
	advanceShare  = 0.35
	fallbackShare = 0.45
)

// ServiceTime is the time for which owners have served, as far as it is durable.
type ServiceTime = time.Duration

// Advance is the part of an account's durable cap that a new owner did not count as
// outstanding.
type Advance struct {
	Account string
	Tokens  int64
	At      ServiceTime
}

// tokens returns the tolerance of an account with the given limit, in tokens per window.
func (t Tolerance) tokens(limit Limit) float64 {
	if t.Window <= 0 {
		return 0
	}
	granted := float64(limit.Rate)*t.Window.Seconds() + float64(limit.Burst)
	return t.Overshoot*granted + t.Slack
}

// advanceHorizon returns the service time after which an advance no longer counts: no window
// can then contain both a token that was spent before the lease ended and one granted now.
func (o OwnerOptions) advanceHorizon() ServiceTime {
	return o.Tolerance.Window + OwnerLease(o.Lease)
}

// allowedAdvance returns how many tokens a new owner may advance to an account whose earlier
// advances within the horizon are given.
func (o OwnerOptions) allowedAdvance(limit Limit, bound DurableBound, earlier int64) int64 {
	allowed := int64(advanceShare*o.Tolerance.tokens(limit)) - earlier
	return min(max(allowed, 0), bound.Cap)
}

// serviceClock continues the durable service time on the clock of one owner.
type serviceClock struct {
	durable ServiceTime   // at the owner's start
	start   time.Duration // the owner's start, by its clock
}

// at returns the service time at now.
func (c serviceClock) at(now time.Duration) ServiceTime {
	served := now - c.start
	return c.durable + served - served*DriftPPM/ppm
}
