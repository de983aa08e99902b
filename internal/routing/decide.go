package routing

import (
	"slices"
	"time"

	"eelgrasshollow/internal/cacheindex"
	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/prefix"
)

// doubtfulAges is up to how many lifetimes an entry counts by half, so that the
// lifetime is put to the test and can grow again.
const doubtfulAges = 2

// decide filters and scores the endpoints; nil when none is left. The candidate is
// valid until the next call.
func (c *Core) decide(now time.Time, p *Pending) *Candidate {
	r := &p.Request
	group := c.group(r)
	k := Evaluation{Now: now, Request: r, VMs: c.vms}
	if len(r.Chain) > 0 {
		c.matches = c.index.Find(r.Chain, now, c.matches)
		k.StoreSource = c.kept()
		if c.policy.PeerImports {
			k.PeerSources = c.holders(now, group)
			c.addStores(now, r, k.PeerSources, group)
		}
	}
	k.FailedDomains = c.failedDomains(r)
	c.filter(&k, group)
	for len(c.candidates) == 0 && len(r.Exclude) > 0 && k.Relaxation < AllowAnyEndpoint {
		k.Relaxation++
		c.filter(&k, group)
	}
	if len(c.candidates) == 0 {
		return nil
	}
	c.preferRoomy(r)
	for i := range c.candidates {
		k.CachedPieces = max(k.CachedPieces, c.candidates[i].Match.Depth)
	}
	key := prefix.Hash(nameHash(r.ID)) // any endpoint is as good
	if len(r.Chain) > 0 {
		key = levelKey(r.Chain, k.CachedPieces)
		k.PrefixRate = c.index.Rate(key, now)
	}
	for i := range c.candidates {
		c.candidates[i].home = rendezvous(key, c.candidates[i].State.hash)
	}
	c.sample(r)
	c.score(&k)
	return &c.candidates[c.policy.Picker.Pick(&k, c.candidates)]
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

func (c *Core) group(r *Request) []*State {
	if r.Service != "" {
		return c.byService[r.Service]
	}
	return c.byModel[r.Model]
}

func (c *Core) filter(k *Evaluation, group []*State) {
	c.candidates = c.candidates[:0]
	for _, s := range group {
		if c.keep(k, s) {
			c.candidates = append(c.candidates, c.candidate(k.Request, s))
		}
	}
}

// preferRoomy drops candidates that would refuse the request while others would not.
func (c *Core) preferRoomy(r *Request) {
	roomy := 0
	for i := range c.candidates {
		if c.roomy(r, c.candidates[i].State) {
			c.candidates[roomy], c.candidates[i] = c.candidates[i], c.candidates[roomy]
			roomy++
		}
	}
	if roomy > 0 {
		c.candidates = c.candidates[:roomy]
	}
}

func (c *Core) keep(k *Evaluation, s *State) bool {
	for _, f := range c.policy.Filters {
		if !f.Keep(k, s) {
			return false
		}
	}
	return true
}

func (c *Core) candidate(r *Request, s *State) Candidate {
	k := Candidate{State: s, UncachedTokens: r.PromptTokens}
	if len(r.Chain) > 0 {
		k.Match = c.matches[s.index]
		if c.policy.GroundTruth != nil {
			depth := c.policy.GroundTruth.CachedPieces(s.Name, r.Chain)
			k.Match = cacheindex.Match{Depth: depth, RawDepth: depth}
		}
		k.UncachedTokens -= r.tokensOf(k.Match.Depth)
		if k.Match.Age < doubtfulAges*c.index.Lifetime(s.index) {
			k.UncachedTokens -= (r.tokensOf(k.Match.RawDepth) - r.tokensOf(k.Match.Depth)) / 2
		}
	}
	return k
}

func (c *Core) score(k *Evaluation) {
	if cap(c.out) < len(c.candidates) {
		c.out = make([]float64, len(c.candidates))
	}
	for n, scorer := range c.policy.Scorers {
		out := c.out[:len(c.candidates)]
		clear(out)
		scorer.Score(k, c.candidates, out)
		for i, ms := range out {
			c.candidates[i].parts[n] = ms
			c.candidates[i].Total += ms
		}
	}
}

func (c *Core) parts(best *Candidate) []ScorePart {
	parts := make([]ScorePart, len(c.policy.Scorers))
	for n, scorer := range c.policy.Scorers {
		parts[n] = ScorePart{Name: scorer.Name(), Milliseconds: best.parts[n]}
	}
	return parts
}

// learn takes an answer into the index and the endpoint's measures.
func (c *Core) learn(now time.Time, p *Pending, r Result) {
	s := p.state
	if s.gone {
		return // its number may be another endpoint's by now
	}
	present := c.RecordIncarnation(s, r.Incarnation)
	if r.Err != nil {
		c.learnFailure(now, s, r)
		return
	}
	s.succeeded()
	actual := max(r.PromptTokens-r.CachedTokens, 0)
	if r.CacheUnknown {
		actual = p.missed
	}
	if perToken := s.observe(p.work-p.missed+actual, r.FirstToken, now.Sub(p.sent)); perToken > 0 {
		c.shareCost(s.Endpoint.Service, perToken)
	}
	if len(p.Request.Chain) == 0 || !present {
		return
	}
	if p.run == s.run && !r.CacheUnknown {
		cached := r.CachedTokens / prefix.PieceTokens
		c.index.Learn(s.index, p.match, cached)
	}
	c.index.Stored(s.index, p.Request.Chain, now)
}

// refusedPause is how long an endpoint that refused a request gets no other: it is full,
// or loads other weights, and its cache is as it was.
const refusedPause = 250 * time.Millisecond

func (c *Core) learnFailure(now time.Time, s *State, r Result) {
	switch r.Err.Kind {
	case errkind.Overloaded:
		s.downUntil = now.Add(refusedPause)
	case errkind.NoEndpoint, errkind.EndpointFailed, errkind.StreamBroken, errkind.Timeout:
		s.failed(now)
		c.index.Forget(s.index)
	}
}

// RecordIncarnation records which run of the endpoint's process is the present one and
// reports whether the given one is it. A new run has an empty cache; one that was
// seen to have ended never comes back.
func (c *Core) RecordIncarnation(s *State, incarnation string) bool {
	if incarnation == "" || !c.adopt(s, digest.RunOf(incarnation)) {
		return false
	}
	s.Incarnation = incarnation
	return true
}

func (c *Core) adopt(s *State, run digest.Run) bool {
	switch {
	case s.gone:
		return false
	case s.run == run:
		return true
	case slices.Contains(s.ended[:], run):
		return false
	case s.run != 0:
		c.index.Forget(s.index)
		copy(s.ended[1:], s.ended[:])
		s.ended[0] = s.run
	}
	delete(c.byAt, digest.Of(s.id, s.run))
	s.Incarnation, s.run, s.eventSeq, s.announced = "", run, 0, false
	s.told, s.PeerInFlight, s.PeerPendingTokens = peerWork{}, 0, 0
	c.byAt[digest.Of(s.id, run)] = s
	return true
}
