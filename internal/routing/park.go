package routing

import (
	"slices"
	"time"

	"eelgrasshollow/internal/errkind"
)

// defaultRetryAfter is the time to retry after if no endpoint is expected to recover.
const defaultRetryAfter = time.Second

// park makes an idempotent request wait while every endpoint that may serve it is backing
// off after a failure, if one of them will be retried within the request's wait. All other
// requests are refused immediately: a request that may run only once should be refused as
// not-run instead of being sent to an endpoint that may lose its response.
func (c *Core) park(now time.Time, p *Pending) {
	recovery, ok := c.nextRecovery(now, &p.Request)
	if ok && p.Request.Idempotent && !recovery.After(p.submittedAt.Add(c.limits.LongestWait)) && len(c.parked) < c.limits.QueuePerEndpoint {
		c.parked = append(c.parked, p)
		return
	}
	wait := defaultRetryAfter
	if ok {
		wait = max(recovery.Sub(now), 0)
	}
	c.refuse(p, errkind.New(errkind.NoEndpoint, "no endpoint can serve the request now").WithRetryAfter(wait))
}

// nextRecovery returns the earliest time at which an endpoint that is backing off is
// retried.
func (c *Core) nextRecovery(now time.Time, r *Request) (time.Time, bool) {
	var first time.Time
	for _, s := range c.endpointsFor(r) {
		if s.Leaving || s.removed || !now.Before(s.downUntil) || !s.mayServe(r.Model, r.Version, now) {
			continue
		}
		if first.IsZero() || s.downUntil.Before(first) {
			first = s.downUntil
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
