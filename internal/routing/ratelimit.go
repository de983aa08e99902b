package routing

import (
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/permits"
	"eelgrasshollow/internal/ratelimit"
)

const (
	// limitRepeatInterval is the time after which a limit that a response confirms is sent to
	// the peers again, unless one of them has sent it since.
	limitRepeatInterval = 2 * time.Second
	// maxDigestLimits bounds the limits in a regular digest, and maxRecallLimits those in a
	// digest for a VM that has just started.
	maxDigestLimits = 32
	maxRecallLimits = 256
)

// statedLimit is the rate limit that the current incarnation of an endpoint states, as its
// responses to this VM and the digests of the peers say.
type statedLimit struct {
	value   ratelimit.Limit // 0 for none
	version uint32          // counts the changes; see digest.RateLimit
	// confirmedAt is the time of the last response to this VM with the limit, or of the last
	// change.
	confirmedAt time.Time
	announcedAt time.Time // when this VM or a peer last sent it in a digest
}

// RecordLimit records the rate limit that an endpoint states, or no longer states, in a response
// to p. It returns the limit before and whether that has changed. A response without a limit ends
// an earlier one only if its request was sent later than that limit was last confirmed: other
// responses may have been made before it. For the same reason, a limit that has ended comes back
// only with a request that was sent later.
func (c *Core) RecordLimit(now time.Time, p *Pending, n Notice) (from ratelimit.Limit, changed bool) {
	if !n.Limit.Stated() && !n.Unlimited || !c.isCurrent(p, n) {
		return 0, false
	}
	s := p.state
	l := &s.selfReport.limit
	from = l.value
	if !from.Stated() && !n.Limit.Stated() {
		return from, false
	}
	beginsOrEnds := from.Stated() != n.Limit.Stated()
	if beginsOrEnds && l.version > 0 && !p.sentAt.After(l.confirmedAt) {
		return from, false
	}
	l.confirmedAt = now
	if from != n.Limit {
		c.setLimit(now, s, n.Limit, l.version+1)
		c.digestUrgent, c.relayUrgent = true, true
	} else if now.Sub(l.announcedAt) < limitRepeatInterval {
		return from, false
	}
	l.announcedAt = now
	if len(c.newLimits) < maxDigestLimits {
		c.newLimits = append(c.newLimits, s.digestLimit())
	}
	return from, from != n.Limit
}

// setLimit sets an endpoint's limit. What waits for permits under the limit before is sent if
// there is none any more, but not all at once.
func (c *Core) setLimit(now time.Time, s *State, limit ratelimit.Limit, version uint32) {
	l := &s.selfReport.limit
	ended := l.value.Stated() && !limit.Stated()
	l.value, l.version, l.confirmedAt = limit, version, now
	if ended {
		c.beginStart(now, s, startedLimit)
		if s.selfReport.pausedUntil.Before(now) {
			s.selfReport.pausedUntil = now
		}
		c.dispatch(now, s)
	}
}

// mergeLimit applies a limit from a peer. It reports whether it is newer than the one known.
func (c *Core) mergeLimit(now time.Time, received digest.RateLimit) bool {
	s := c.byRun[received.EndpointRun]
	if s == nil {
		return false
	}
	l := &s.selfReport.limit
	known := s.digestLimit()
	newer := permits.MergeLimits(known, received) != known
	if newer {
		c.setLimit(now, s, ratelimit.Limit(received.MilliPerSecond), received.Version)
	}
	if received.Version >= l.version {
		l.announcedAt = now
	}
	return newer
}

// digestLimit returns the endpoint's limit in the form of digests.
func (s *State) digestLimit() digest.RateLimit {
	l := s.selfReport.limit
	return digest.RateLimit{EndpointRun: digest.EndpointRunOf(s.id, s.run), Version: l.version, MilliPerSecond: uint32(l.value)}
}

// recallLimits returns all limits for a VM that has just started.
func (c *Core) recallLimits() []digest.RateLimit {
	var limits []digest.RateLimit
	for _, s := range c.endpoints {
		if s.selfReport.limit.version > 0 && len(limits) < maxRecallLimits {
			limits = append(limits, s.digestLimit())
		}
	}
	return limits
}

// limitedEndpoints returns the number of endpoints that state a rate limit.
func (c *Core) limitedEndpoints() int {
	n := 0
	for _, s := range c.endpoints {
		if s.limited() {
			n++
		}
	}
	return n
}

// limited reports whether the endpoint states a rate limit.
func (s *State) limited() bool { return s.selfReport.limit.value.Stated() }
