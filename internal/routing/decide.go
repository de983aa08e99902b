package routing

import (
	"slices"
	"time"

	"eelgrasshollow/internal/cacheindex"
	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/permits"
	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/rendezvous"
	"eelgrasshollow/internal/speed"
)

// halfCreditLifetimes is the age, in entry lifetimes, up to which an expired index entry
// still counts as half cached. Requests sent on such entries test the estimated lifetime
// and let it grow again.
const halfCreditLifetimes = 2

// decide filters, samples and scores the endpoints for a request and returns the picked
// candidate, or nil if no endpoint passes the filters. The candidate is valid until the
// next call of decide.
func (c *Core) decide(now time.Time, p *Pending) *Candidate {
	r := &p.Request
	group := c.endpointsFor(r)
	eval := Evaluation{Now: now, Request: r, VMs: c.vmCount, PermitTokens: c.workloads[r.group()].permitPrice()}
	if k := c.competitions[r.Service]; k != nil && k.Crowded(now) {
		eval.visible = func(s *State) (int, int) { return c.visibleLoad(now, s, r) }
	}
	if len(r.Chain) > 0 {
		c.matches = c.index.Find(r.Chain, now, c.matches)
		eval.StoreSource = c.storeSource()
		if c.policy.PeerImports {
			eval.PeerSources = c.peerSources(now, group)
			c.addStoreSources(now, r, eval.PeerSources, group)
		}
	}
	eval.FailedDomains = c.failedDomains(r)
	c.filterEndpoints(&eval, group)
	for len(c.candidates) == 0 && len(r.Exclude) > 0 && eval.Relaxation < AllowAnyEndpoint {
		eval.Relaxation++
		c.filterEndpoints(&eval, group)
	}
	if len(c.candidates) == 0 {
		return nil
	}
	c.preferTier(now, p)
	c.preferWithCapacity(now, p)
	for i := range c.candidates {
		eval.CachedPieces = max(eval.CachedPieces, c.candidates[i].Match.CachedPieces)
	}
	key := prefix.Hash(rendezvous.Name(r.ID)) // without a chain, no endpoint is preferred
	if len(r.Chain) > 0 {
		key = homeKey(r, eval.CachedPieces)
		eval.PrefixRate = c.index.Rate(key, now)
	}
	for i := range c.candidates {
		c.candidates[i].home = c.candidates[i].State.homeWeight(key)
	}
	c.spareStarted(now, p, group)
	c.sampleCandidates(r)
	c.score(&eval)
	return &c.candidates[c.policy.Picker.Pick(&eval, c.candidates)]
}

// failedDomains lists the failure domains of the endpoints that failed the request.
func (c *Core) failedDomains(r *Request) []string {
	var domains []string
	for _, name := range r.Exclude {
		if s := c.byName[name]; s != nil && s.FailureDomain != "" {
			domains = append(domains, s.FailureDomain)
		}
	}
	return domains
}

func (c *Core) endpointsFor(r *Request) []*State {
	if r.Service != "" {
		return c.byService[r.Service]
	}
	return c.byModel[r.Model]
}

func (c *Core) filterEndpoints(eval *Evaluation, group []*State) {
	c.candidates = c.candidates[:0]
	for _, s := range group {
		if c.passesFilters(eval, s) {
			c.candidates = append(c.candidates, c.newCandidate(eval.Request, s))
		}
	}
}

// preferWithCapacity drops the candidates that would refuse the request if at least one
// other candidate would accept it.
func (c *Core) preferWithCapacity(now time.Time, p *Pending) {
	withCapacity := 0
	for i := range c.candidates {
		if c.hasCapacity(now, p, c.candidates[i].State) {
			c.candidates[withCapacity], c.candidates[i] = c.candidates[i], c.candidates[withCapacity]
			withCapacity++
		}
	}
	if withCapacity > 0 {
		c.candidates = c.candidates[:withCapacity]
	}
}

func (c *Core) passesFilters(eval *Evaluation, s *State) bool {
	for _, filter := range c.policy.Filters {
		if !filter.Keep(eval, s) {
			return false
		}
	}
	return true
}

func (c *Core) newCandidate(r *Request, s *State) Candidate {
	candidate := Candidate{State: s, UncachedTokens: r.PromptTokens}
	if len(r.Chain) > 0 {
		candidate.Match = c.matches[s.index]
		if c.policy.GroundTruth != nil {
			depth := c.policy.GroundTruth.CachedPieces(s.Name, r.Chain)
			candidate.Match = cacheindex.Match{CachedPieces: depth, RecordedPieces: depth}
		}
		candidate.UncachedTokens -= r.tokensOf(candidate.Match.CachedPieces)
		if candidate.Match.Age < halfCreditLifetimes*c.index.Lifetime(s.index) {
			candidate.UncachedTokens -= (r.tokensOf(candidate.Match.RecordedPieces) - r.tokensOf(candidate.Match.CachedPieces)) / 2
		}
	}
	return candidate
}

func (c *Core) score(eval *Evaluation) {
	if cap(c.scoreBuffer) < len(c.candidates) {
		c.scoreBuffer = make([]float64, len(c.candidates))
	}
	for n, scorer := range c.policy.Scorers {
		scores := c.scoreBuffer[:len(c.candidates)]
		clear(scores)
		scorer.Score(eval, c.candidates, scores)
		for i, ms := range scores {
			c.candidates[i].scores[n] = ms
			c.candidates[i].Total += ms
		}
	}
}

func (c *Core) scoreParts(best *Candidate) []ScorePart {
	parts := make([]ScorePart, len(c.policy.Scorers))
	for n, scorer := range c.policy.Scorers {
		parts[n] = ScorePart{Name: scorer.Name(), Milliseconds: best.scores[n]}
	}
	return parts
}

// recordResult updates the cache index and the endpoint's measurements from a response.
func (c *Core) recordResult(now time.Time, p *Pending, r Result) {
	s := p.state
	if s.removed {
		return // s.index may have been reassigned to another endpoint
	}
	current := c.RecordIncarnation(s, r.Incarnation)
	if r.Err != nil {
		c.recordFailure(now, s, r)
		return
	}
	if s.recordSuccess() {
		c.beginStart(now, s, startedFailures)
	}
	uncachedTokens := max(r.PromptTokens-r.CachedTokens, 0)
	if r.CacheUnknown && !r.NothingShared {
		uncachedTokens = p.uncachedTokens
	}
	work := p.tokensAhead - p.uncachedTokens + uncachedTokens
	if c.measuresWait(now, p, uncachedTokens, work) {
		work = 0
	}
	if perToken := s.observe(work, r.FirstToken, now.Sub(p.sentAt)); perToken > 0 {
		c.shareTokenCost(s.Endpoint.Service, perToken)
	}
	if len(p.Request.Chain) == 0 || !current || r.NothingShared {
		return
	}
	if p.run == s.run && !r.CacheUnknown {
		cached := r.CachedTokens / prefix.PieceTokens
		c.index.AdjustLifetime(s.index, p.match, cached)
	}
	c.index.RecordStored(s.index, p.Request.Chain, now)
}

// refusalBackoff is how long an endpoint that refused a request as overloaded receives no
// further requests. It is full or loads other weights; its cache is unchanged.
const refusalBackoff = 250 * time.Millisecond

func (c *Core) recordFailure(now time.Time, s *State, r Result) {
	switch r.Err.Kind {
	case errkind.Overloaded:
		s.downUntil = now.Add(refusalBackoff)
	case errkind.NoEndpoint, errkind.EndpointFailed, errkind.StreamBroken, errkind.Timeout:
		s.recordFailure(now)
		c.index.ClearEndpoint(s.index)
	}
}

// RecordIncarnation records the current incarnation of an endpoint's process and reports
// whether the given one is current. A new incarnation starts with an empty cache. An
// incarnation that was replaced never becomes current again.
func (c *Core) RecordIncarnation(s *State, incarnation string) bool {
	if incarnation == "" || !c.adoptRun(s, digest.RunOf(incarnation)) {
		return false
	}
	s.Incarnation = incarnation
	return true
}

// adoptRun makes run the current run of the endpoint and reports whether it is current
// then. A run that has ended is not adopted.
func (c *Core) adoptRun(s *State, run digest.Run) bool {
	switch {
	case s.removed:
		return false
	case s.run == run:
		return true
	case slices.Contains(s.endedRuns[:], run):
		return false
	case s.run != 0:
		c.index.ClearEndpoint(s.index)
		copy(s.endedRuns[1:], s.endedRuns[:])
		s.endedRuns[0] = s.run
		s.selfReport, s.permits = selfReport{}, permits.Queue{}
		s.speed, s.weighed = speed.Estimate{}, weighedTimes{}
		if c.starts.enabled {
			c.starts.processes = append(c.starts.processes, s)
		}
	}
	delete(c.byRun, digest.EndpointRunOf(s.id, s.run))
	s.Incarnation, s.run, s.eventSeq, s.announced = "", run, 0, false
	s.peerReported, s.PeerInFlight, s.PeerPendingTokens = reportedLoad{}, 0, 0
	c.byRun[digest.EndpointRunOf(s.id, run)] = s
	return true
}
