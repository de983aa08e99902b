package routing

import (
	"math"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/pace"
	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/rendezvous"
)

// Causes for which an endpoint starts at a pace.
const (
	startedNew      = "new endpoint"
	startedProcess  = "new process"
	startedPause    = "end of a pause"
	startedLimit    = "end of a rate limit"
	startedFailures = "recovery from failures"
)

const (
	// minFailures is the number of consecutive failures after which a success is a recovery. A single
	// one may concern its request.
	minFailures = 2
	// maxStartedShare is the share of a service's endpoints up to which those that have started are
	// spared. If more do, the others lack the capacity.
	maxStartedShare = 0.5
	// maxStartChanges bounds the changes that wait to be logged.
	maxStartChanges = 64
)

// startLimit limits the requests to an endpoint that has started. pace.Start implements it.
type startLimit interface {
	Allows(now time.Time, inFlight int, mean float64) bool
	Send()
	Finish(took time.Duration, o pace.Outcome)
	Done(now time.Time) bool
}

// newStart returns the limit of an endpoint from a time on; tests replace it to compare others.
type newStart func(since time.Time, phase float64, usual time.Duration) startLimit

func defaultStart(since time.Time, phase float64, usual time.Duration) startLimit {
	return pace.NewStart(since, phase, usual)
}

// starts is the part of a Core that spares endpoints that have just started or recovered.
type starts struct {
	enabled    bool // see Settings.PaceEndpoints
	create     newStart
	vm         uint64                     // differs between VMs
	count      int                        // endpoints with a limit
	references map[string]*pace.Reference // by service
	processes  []*State                   // got another process, not begun yet
	elsewhere  int                        // requests that went to another endpoint
	changes    []StartChange              // not yet taken, see TakeStartChanges
}

// StartChange is the begin or end of the restriction of an endpoint.
type StartChange struct {
	Endpoint string
	Cause    string        // of the start, or "" at the end
	After    time.Duration // at the end, the time since the start
	Spared   int           // at the end, the requests of this VM that went elsewhere
}

// endpointStart is the restriction of one endpoint.
type endpointStart struct {
	limit   startLimit
	since   time.Time
	allowed bool // the request that is placed now
	spared  int
}

func newStarts() starts {
	return starts{create: defaultStart, references: map[string]*pace.Reference{}}
}

// beginStart restricts the requests to an endpoint that starts or recovers at a time. A load of weights in
// a running process is no start.
func (c *Core) beginStart(since time.Time, s *State, cause string) {
	if !c.starts.enabled || s.Service == "" || s.removed {
		return
	}
	if s.start == nil {
		c.starts.count++
	}
	phase := float64(rendezvous.Weight(prefix.Hash(c.starts.vm), s.nameHash)) / math.MaxUint64
	s.start = &endpointStart{limit: c.starts.create(since, min(phase, 0.999), c.meanServiceTime(s)), since: since}
	c.addStartChange(StartChange{Endpoint: s.Name, Cause: cause})
}

// endStart ends the restriction of an endpoint.
func (c *Core) endStart(now time.Time, s *State) {
	if s.start == nil {
		return
	}
	c.starts.count--
	c.addStartChange(StartChange{Endpoint: s.Name, After: now.Sub(s.start.since), Spared: s.start.spared})
	s.start = nil
}

func (c *Core) addStartChange(change StartChange) {
	if len(c.starts.changes) < maxStartChanges {
		c.starts.changes = append(c.starts.changes, change)
	}
}

// TakeStartChanges returns the changes since the last call, and how many requests went to another endpoint.
func (c *Core) TakeStartChanges() ([]StartChange, int) {
	changes, elsewhere := c.starts.changes, c.starts.elsewhere
	c.starts.changes, c.starts.elsewhere = nil, 0
	return changes, elsewhere
}

// beginProcesses begins the starts of the endpoints whose process has been replaced.
func (c *Core) beginProcesses(now time.Time) {
	for _, s := range c.starts.processes {
		c.beginStart(now, s, startedProcess)
	}
	c.starts.processes = c.starts.processes[:0]
}

// expireStarts ends the restrictions that are over.
func (c *Core) expireStarts(now time.Time) {
	c.beginProcesses(now)
	if c.starts.count == 0 {
		return
	}
	for _, s := range c.endpoints {
		if s.start != nil && s.start.limit.Done(now) {
			c.endStart(now, s)
		}
	}
}

// spareStarted drops the candidates that have just started and have as many requests of this VM as they
// should, if another candidate has room now. A candidate stays if it is the home of the request's shared
// part, on which all VMs agree, or if it holds more of the prompt than the others: the part would be computed
// twice. It reads c.candidates with their homes.
func (c *Core) spareStarted(now time.Time, p *Pending, group []*State) {
	c.beginProcesses(now)
	if c.starts.count == 0 || len(c.candidates) < 2 {
		return
	}
	mean, spare := c.meanInFlight(now, group)
	if !spare {
		return
	}
	for _, s := range group {
		if s.start != nil {
			s.start.allowed = s.start.limit.Allows(now, s.InFlight+s.queue.Len(), mean)
		}
	}
	leastUncached, home, found := math.MaxInt, 0, false
	for i := range c.candidates {
		candidate := &c.candidates[i]
		if candidate.home > c.candidates[home].home {
			home = i
		}
		if !candidate.State.atStartLimit(now) && c.hasRoom(now, &p.Request, candidate.State) {
			leastUncached, found = min(leastUncached, candidate.UncachedTokens), true
		}
	}
	if !found {
		return
	}
	homeEndpoint := c.candidates[home].State
	kept := 0
	for i := range c.candidates {
		s := c.candidates[i].State
		if s.atStartLimit(now) && (len(p.Request.Chain) == 0 || s != homeEndpoint && c.candidates[i].UncachedTokens+minAffinityTokens > leastUncached) {
			s.start.spared++
			continue
		}
		c.candidates[kept], c.candidates[i] = c.candidates[i], c.candidates[kept]
		kept++
	}
	if kept < len(c.candidates) {
		c.starts.elsewhere++
	}
	c.candidates = c.candidates[:kept]
}

// meanInFlight returns the requests of this VM, with the one that is placed now, per endpoint of the group that
// has not just started, and whether there are enough of these to spare the others.
func (c *Core) meanInFlight(now time.Time, group []*State) (mean float64, spare bool) {
	inFlight, others, started := 1, 0, 0
	for _, s := range group {
		switch {
		case s.Leaving || now.Before(s.downUntil) || !s.selfReport.open(now):
		case s.start != nil && !s.start.limit.Done(now):
			started++
		default:
			inFlight += s.InFlight + s.queue.Len()
			others++
		}
	}
	return float64(inFlight) / float64(max(others, 1)), others > 0 && float64(started) <= maxStartedShare*float64(started+others)
}

// atStartLimit reports whether an endpoint that has just started has as many requests of this VM as it should.
func (s *State) atStartLimit(now time.Time) bool {
	return s.start != nil && !s.start.allowed && !s.start.limit.Done(now)
}

// hasRoom reports whether the endpoint would run the request at once, as far as this VM knows: all VMs together
// have fewer requests there than it has slots.
func (c *Core) hasRoom(now time.Time, r *Request, s *State) bool {
	return c.hasSlot(now, s, r) && s.queue.Len() == 0 && s.InFlight+s.PeerInFlight+s.currentForeign(now) < s.slots()
}

// observeStart records the result of a request for the restriction of its endpoint, or for the time that the
// other endpoints of the service take.
func (c *Core) observeStart(now time.Time, p *Pending, r Result) {
	s := p.state
	if !c.starts.enabled || s.Service == "" || s.removed {
		return
	}
	uncached := p.uncachedTokens
	if !r.CacheUnknown {
		uncached = r.PromptTokens - r.CachedTokens
	}
	uncached = max(uncached, 0)
	reference := c.starts.references[s.Service]
	if reference == nil {
		reference = &pace.Reference{}
		c.starts.references[s.Service] = reference
	}
	switch {
	case p.run != s.run || s.start != nil && p.sentAt.Before(s.start.since):
	case s.start == nil:
		if r.Err == nil && r.FirstToken > 0 {
			reference.Add(r.FirstToken, uncached)
		}
	default:
		s.start.limit.Finish(now.Sub(p.sentAt), outcomeOf(r, reference.Late(r.FirstToken, uncached)))
	}
	if s.start != nil && s.start.limit.Done(now) {
		c.endStart(now, s)
	}
}

// outcomeOf returns what a result shows of the endpoint. An error that says nothing of it, such as that of an
// invalid request, counts as a response.
func outcomeOf(r Result, late bool) pace.Outcome {
	switch {
	case r.Err == nil && late:
		return pace.Late
	case r.Err == nil:
		return pace.InTime
	}
	switch r.Err.Kind {
	case errkind.Overloaded:
		return pace.Rejection
	case errkind.EndpointFailed, errkind.StreamBroken, errkind.Timeout, errkind.NoEndpoint:
		return pace.Failure
	}
	return pace.Late
}
