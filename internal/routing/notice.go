package routing

import (
	"maps"
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/ratelimit"
	"eelgrasshollow/internal/rendezvous"
)

const (
	// maxPause bounds a pause. It protects against an absurd value that would take an
	// endpoint out of use for good.
	maxPause = time.Minute
	// pauseRampUp is the time after a pause, or after the end of a rate limit, in which the number
	// of requests that may run at the endpoint grows to its usual limit.
	pauseRampUp = time.Second
	// retryAfterSpread is the share of the time to retry after by which it varies between
	// requests that are refused together.
	retryAfterSpread = 0.5
	// maxFormerNotices bounds the notices kept of endpoints that are no longer listed, and
	// formerNoticeTTL the time for which they are kept. A list may leave an endpoint out
	// and name it again.
	maxFormerNotices = 1024
	formerNoticeTTL  = 10 * time.Minute
)

// Notice is what an endpoint states about itself in a response, apart from the result of the
// request, or what this VM has found out about its connections. It binds this VM until another
// incarnation of the endpoint has started.
type Notice struct {
	Incarnation string // as stated in the response, or "" if endpoints of this kind have none
	// Leaving reports that the endpoint will stop and takes no new requests.
	Leaving bool
	// PauseFor is how long the endpoint asks to receive nothing from this VM; 0 means no
	// pause.
	PauseFor time.Duration
	// Limit is the rate of requests that the endpoint takes from all VMs together, or 0.
	Limit ratelimit.Limit
	// Unlimited reports that the endpoint states no limit, which ends an earlier one.
	Unlimited bool
	// ToleratedRejections is stated by a brittle endpoint: it goes down if it has to reject more
	// requests in a second. It is 0 if the endpoint states nothing of the kind.
	ToleratedRejections uint32
	// UnreachableFor is how long requests and imports avoid the endpoint because connections to it can't
	// be opened. What is known of its cache stays valid. It is 0 in a notice from a response.
	UnreachableFor time.Duration
}

// Empty reports whether the notice neither announces a stop, nor asks for a pause, nor says that the
// endpoint can't be reached.
func (n Notice) Empty() bool { return !n.Leaving && n.PauseFor <= 0 && n.UnreachableFor <= 0 }

// selfReport is what the current incarnation of an endpoint has stated in its notices.
type selfReport struct {
	leaving     bool
	pausedUntil time.Time // end of its last pause or rate limit; zero if there was none
	limit       statedLimit
}

// formerNotice is the selfReport of an endpoint that is no longer listed.
type formerNotice struct {
	run    digest.Run
	report selfReport
	lostAt time.Time
}

// open reports whether the endpoint takes new requests as far as its notices say.
func (r selfReport) open(now time.Time) bool { return !r.leaving && !now.Before(r.pausedUntil) }

// rampLimit lowers the limit of concurrent requests after a pause or a rate limit.
func (r selfReport) rampLimit(now time.Time, limit int) int {
	since := now.Sub(r.pausedUntil)
	if r.pausedUntil.IsZero() || since >= pauseRampUp {
		return limit
	}
	return max(1, int(float64(limit)*float64(since)/float64(pauseRampUp)))
}

// ApplyNotice applies the notice in a response to p. It reports false if the notice is of an
// incarnation that has ended or of an endpoint that was removed. Requests queued at the
// endpoint are placed again.
func (c *Core) ApplyNotice(now time.Time, p *Pending, n Notice) bool {
	s := p.state
	if n.Empty() || !c.isCurrent(p, n) {
		return false
	}
	if until := now.Add(n.UnreachableFor); n.UnreachableFor > 0 && until.After(s.downUntil) {
		s.downUntil = until
	}
	if n.Leaving && s.run == 0 {
		n.PauseFor = maxPause // a later incarnation could not be told from this one
	} else {
		s.selfReport.leaving = s.selfReport.leaving || n.Leaving
	}
	if n.PauseFor > 0 {
		if until := now.Add(min(n.PauseFor, maxPause)); until.After(s.selfReport.pausedUntil) {
			s.selfReport.pausedUntil = until
			c.beginStart(until, s, startedPause)
		}
	}
	c.placeQueuedAgain(now, s)
	return true
}

// placeQueuedAgain selects endpoints anew for the requests that wait at one.
func (c *Core) placeQueuedAgain(now time.Time, s *State) {
	for _, queued := range s.queue.RemoveSubmittedBefore(now.Add(time.Nanosecond)) {
		queued.state = nil
		c.place(now, queued)
	}
}

// isCurrent reports whether a notice in a response to p is of the current incarnation of an
// endpoint that still exists.
func (c *Core) isCurrent(p *Pending, n Notice) bool {
	s := p.state
	if s == nil || s.removed {
		return false
	}
	if n.Incarnation == "" {
		return p.run == s.run
	}
	return c.RecordIncarnation(s, n.Incarnation)
}

// keepNotice keeps the notices of an endpoint that is no longer listed.
func (c *Core) keepNotice(now time.Time, s *State) {
	if s.selfReport == (selfReport{}) || s.run == 0 {
		return
	}
	if len(c.formerNotices) >= maxFormerNotices {
		maps.DeleteFunc(c.formerNotices, func(_ string, f formerNotice) bool { return now.Sub(f.lostAt) > formerNoticeTTL })
	}
	if len(c.formerNotices) < maxFormerNotices {
		c.formerNotices[s.Name] = formerNotice{run: s.run, report: s.selfReport, lostAt: now}
	}
}

// restoreNotice restores the notices of an endpoint that is listed again in the same
// incarnation.
func (c *Core) restoreNotice(now time.Time, s *State) {
	former, ok := c.formerNotices[s.Name]
	if !ok || s.run == 0 {
		return
	}
	delete(c.formerNotices, s.Name)
	if former.run == s.run && now.Sub(former.lostAt) <= formerNoticeTTL {
		s.selfReport = former.report
	}
}

// hasSlot reports whether the request, another one of this VM, may run at the endpoint now.
func (c *Core) hasSlot(now time.Time, s *State, r *Request) bool {
	inFlight, limit := c.visibleLoad(now, s, r)
	return s.selfReport.open(now) && s.hasPermit(now) && inFlight < s.selfReport.rampLimit(now, limit)
}

// spreadRetryAfter adds a share of the wait that depends on the request, so that requests
// refused together do not return together.
func spreadRetryAfter(r *Request, wait time.Duration) time.Duration {
	const buckets = 1024
	share := float64(rendezvous.Weight(prefix.Hash(rendezvous.Name(r.ID)), 0)%buckets) / buckets
	return wait + time.Duration(retryAfterSpread*share*float64(wait))
}

// pausedRefusal refuses a request because every endpoint that could serve it pauses.
func pausedRefusal(r *Request, wait time.Duration) *errkind.Error {
	return errkind.New(errkind.Overloaded, "every endpoint has asked for a pause").WithRetryAfter(spreadRetryAfter(r, wait))
}
