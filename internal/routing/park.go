package routing

import (
	"slices"
	"time"

	"eelgrasshollow/internal/errkind"
)

// defaultComeBack is told when nothing says when an endpoint will be there.
const defaultComeBack = time.Second

// park lets an idempotent request wait while every endpoint that may serve it has just
// failed and will be tried again within the request's wait. Every other one is refused at
// once: a call that may run once only had better be told not-run than meet an endpoint
// that may lose its answer.
func (c *Core) park(now time.Time, p *Pending) {
	back, ok := c.nextBack(now, &p.Request)
	if ok && p.Request.Idempotent && !back.After(p.submitted.Add(c.limits.LongestWait)) && len(c.parked) < c.limits.QueuePerEndpoint {
		c.parked = append(c.parked, p)
		return
	}
	wait := defaultComeBack
	if ok {
		wait = max(back.Sub(now), 0)
	}
	c.refuse(p, errkind.New(errkind.NoEndpoint, "no endpoint can serve the request now").WithRetryAfter(wait))
}

// nextBack finds when the first endpoint that has failed is tried again.
func (c *Core) nextBack(now time.Time, r *Request) (time.Time, bool) {
	var first time.Time
	for _, s := range c.group(r) {
		if s.Leaving || s.gone || !now.Before(s.downUntil) || !s.runs(r.Model, r.Version, now) {
			continue
		}
		if first.IsZero() || s.downUntil.Before(first) {
			first = s.downUntil
		}
	}
	return first, !first.IsZero()
}

// unpark places parked requests anew.
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
