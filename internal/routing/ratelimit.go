package routing

import (
	"time"

	"eelgrasshollow/internal/ratelimit"
)

// RecordLimit records the rate limit that an endpoint states, or no longer states, in a response
// to p. It returns the limit before and whether that has changed. A response without a limit ends
// an earlier one only if its request was sent later than that limit was last confirmed: other
// responses may have been made before it.
func (c *Core) RecordLimit(now time.Time, p *Pending, n Notice) (from ratelimit.Limit, changed bool) {
	if !n.Limit.Stated() && !n.Unlimited || !c.isCurrent(p, n) {
		return 0, false
	}
	r := &p.state.selfReport
	from = r.limit
	if !n.Limit.Stated() && (!from.Stated() || !p.sentAt.After(r.limitAt)) {
		return from, false
	}
	r.limit, r.limitAt = n.Limit, now
	return from, from != n.Limit
}

// limitedEndpoints returns the number of endpoints that state a rate limit.
func (c *Core) limitedEndpoints() int {
	n := 0
	for _, s := range c.endpoints {
		if s.selfReport.limit.Stated() {
			n++
		}
	}
	return n
}
