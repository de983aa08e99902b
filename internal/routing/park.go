package routing

import (
	"slices"
	"time"

	"eelgrasshollow/internal/errkind"
)

// defaultRetryAfter is the time to retry after if no endpoint is expected to recover.
const defaultRetryAfter = time.Second

// park makes a request wait while no endpoint may serve it, if one returns within the
// request's wait: any request while endpoints pause on their own request, and an idempotent
// request while they back off after a failure. A request that may run only once should be
// refused as not-run instead of being sent to an endpoint that may lose its response. All
// other requests are refused immediately.
func (c *Core) park(now time.Time, p *Pending) {
	r := &p.Request
	returnAt, pausing := c.nextReturn(now, r)
	recovery, failing := c.nextRecovery(now, r)
	waits := pausing && !returnAt.After(p.submittedAt.Add(c.maxWait(r))) ||
		failing && r.Idempotent && !recovery.After(p.submittedAt.Add(c.limits.LongestWait))
	switch {
	case waits && len(c.parked) < c.limits.QueuePerEndpoint:
		c.parked = append(c.parked, p)
	case pausing && (!failing || returnAt.Before(recovery)):
		c.refuse(p, pausedRefusal(r, returnAt.Sub(now)))
	default:
		wait := defaultRetryAfter
		if failing {
			wait = max(recovery.Sub(now), 0)
		}
		c.refuse(p, errkind.New(errkind.NoEndpoint, "no endpoint can serve the request now").WithRetryAfter(wait))
	}
}

// nextRecovery returns the earliest time at which an endpoint that is backing off after a
// failure is retried.
func (c *Core) nextRecovery(now time.Time, r *Request) (time.Time, bool) {
	return c.earliest(r, now, func(s *State) time.Time {
		if s.downUntil.Before(s.selfReport.pausedUntil) {
			return now // only its pause keeps it from serving
		}
		return s.downUntil
	})
}

// nextReturn returns the earliest end of a pause among the endpoints that only their pause
// keeps from serving.
func (c *Core) nextReturn(now time.Time, r *Request) (time.Time, bool) {
	return c.earliest(r, now, func(s *State) time.Time {
		if s.selfReport.pausedUntil.Before(s.downUntil) {
			return now
		}
		return s.selfReport.pausedUntil
	})
}

// earliest returns the earliest time after now that availableAt gives for an endpoint that
// may serve the request and does not leave.
func (c *Core) earliest(r *Request, now time.Time, availableAt func(*State) time.Time) (time.Time, bool) {
	var first time.Time
	for _, s := range c.endpointsFor(r) {
		if s.Leaving || s.removed || s.selfReport.leaving || !s.mayServe(r.Model, r.Version, now) || r.tierOf(s) < 0 {
			continue
		}
		if at := availableAt(s); at.After(now) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// unpark places the parked requests again.
func (c *Core) unpark(now time.Time) {
	parked := c.parked
	c.parked = nil
	for _, p := range parked {
		c.place(now, p)
	}
}

func (c *Core) dropParked(p *Pending) {
	c.parked = slices.DeleteFunc(c.parked, func(o *Pending) bool { return o == p })
}
