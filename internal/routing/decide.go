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
	k := Case{Now: now, Request: r, VMs: c.vms}
	if len(r.Chain) > 0 {
		c.matches = c.index.Find(r.Chain, now, c.matches)
		k.Kept = c.kept()
		if c.policy.PeerImports {
			k.Peers = c.holders(now, group)
			c.addStores(now, r, k.Peers, group)
		}
	}
	k.FailedDomains = c.failedDomains(r)
	c.filter(&k, group)
	for len(c.candidates) == 0 && len(r.Exclude) > 0 && k.Relax < Anywhere {
		k.Relax++
		c.filter(&k, group)
	}
	if len(c.candidates) == 0 {
		return nil
	}
	c.preferRoomy(r)
	for i := range c.candidates {
		k.Held = max(k.Held, c.candidates[i].Match.Depth)
	}
	if len(r.Chain) > 0 {
		key := levelKey(r.Chain, k.Held)
		k.Rate = c.index.Rate(key, now)
		for i := range c.candidates {
			c.candidates[i].home = rendezvous(key, c.candidates[i].State.hash)
		}
	}
	c.score(&k)
	return &c.candidates[c.policy.Picker.Pick(&k, c.candidates)]
}

// holders finds the endpoint that holds most of the chain, for each weights.
func (c *Core) holders(now time.Time, group []*State) map[string]Kept {
	best := map[string]Kept{}
	for _, s := range group {
		depth := c.matches[s.index].Depth
		if depth > best[s.Weights].Depth && !s.Leaving && !s.gone && !now.Before(s.downUntil) {
			best[s.Weights] = Kept{Address: s.Address, Depth: depth}
		}
	}
	return best
}

// addStores puts a store in the place of an endpoint where it holds more. Stores keep
// what was saved of earlier weights, so their entries carry the weights.
func (c *Core) addStores(now time.Time, r *Request, best map[string]Kept, group []*State) {
	if len(c.stores) == 0 {
		return
	}
	seen := map[string]bool{}
	for _, s := range group {
		if seen[s.Weights] {
			continue
		}
		seen[s.Weights] = true
		c.stored = c.index.Find(chainUnder(r.Chain, s.Weights), now, c.stored)
		for _, store := range c.stores {
			if c.crowded(now, store) {
				continue
			}
			if depth := c.stored[store.index].Depth; depth > best[s.Weights].Depth {
				best[s.Weights] = Kept{Address: store.Address, Depth: depth, Store: true}
			}
		}
	}
}

// storeShare is the part of a store's link that is used. Transfers between failure
// domains take twice their time, and one that waits delays its request by up to 2 s.
const storeShare = 0.4

// crowded reports whether further transfers would wait at a store.
func (c *Core) crowded(now time.Time, s *storeState) bool {
	return s.TokensPerSecond > 0 && s.moved.now(now)*float64(c.vms) > storeShare*s.TokensPerSecond
}

// chainUnder names a chain's pieces as made by some weights.
func chainUnder(chain []prefix.Hash, weights string) []prefix.Hash {
	under := make([]prefix.Hash, len(chain))
	for i, h := range chain {
		under[i] = h ^ prefix.Hash(nameHash(weights))
	}
	return under
}

// savedTokens is the least shared prefix, in tokens, that is worth a copy in a store:
// less is computed sooner than it is fetched.
const savedTokens = 2000

// blindFor is how long after its start a VM asks the store for shared prefixes that it
// knows no holder of: what was saved before is there, and a miss costs a millisecond.
const blindFor = 20 * time.Second

// importFrom is the source to copy a request's cached pieces from.
func (c *Core) importFrom(now time.Time, p *Pending, best *Candidate) string {
	r := &p.Request
	shared := len(r.Chain) - 1
	if best.ImportFrom != "" || !c.policy.PeerImports || len(c.stores) == 0 || now.Sub(c.began) > blindFor ||
		shared < 1 || best.Match.Depth > 0 || r.tokensOf(shared) < savedTokens || c.crowded(now, c.stores[0]) {
		return best.ImportFrom
	}
	return c.stores[0].Address
}

// saveTo names the store that an endpoint shall save a request's prompt to: its shared
// pieces are about to be computed, and no store has them. The caller's request is sent.
func (c *Core) saveTo(now time.Time, p *Pending) string {
	r, s := &p.Request, p.state
	shared := len(r.Chain) - 1 // the last piece is the request's own
	if !c.policy.PeerImports || len(c.stores) == 0 || shared < 1 || r.tokensOf(shared) < savedTokens ||
		p.match.Depth >= shared || p.Decision.ImportFrom != "" && p.Decision.ImportFrom != c.stores[0].Address {
		return ""
	}
	under := chainUnder(r.Chain[:shared], s.Weights)
	store := c.stores[0]
	c.stored = c.index.Find(under, now, c.stored)
	if c.stored[store.index].Depth >= shared {
		return ""
	}
	if !c.index.Seen(r.Chain[shared-1]) || c.crowded(now, store) {
		return "" // nobody has asked for it twice yet, or it would wait
	}
	store.moved.add(r.PromptTokens, now)
	store.saved.add(r.PromptTokens, now)
	c.believe(store.index, &store.saved, store.Tokens, now)
	c.Exported(now, store.Name, under)
	return store.Address
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

func (c *Core) filter(k *Case, group []*State) {
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

func (c *Core) keep(k *Case, s *State) bool {
	for _, f := range c.policy.Filters {
		if !f.Keep(k, s) {
			return false
		}
	}
	return true
}

func (c *Core) candidate(r *Request, s *State) Candidate {
	k := Candidate{State: s, Missed: r.PromptTokens}
	if len(r.Chain) > 0 {
		k.Match = c.matches[s.index]
		if c.policy.Truth != nil {
			depth := c.policy.Truth.Cached(s.Name, r.Chain)
			k.Match = cacheindex.Match{Depth: depth, RawDepth: depth}
		}
		k.Missed -= r.tokensOf(k.Match.Depth)
		if k.Match.Age < doubtfulAges*c.index.Lifetime(s.index) {
			k.Missed -= (r.tokensOf(k.Match.RawDepth) - r.tokensOf(k.Match.Depth)) / 2
		}
	}
	return k
}

func (c *Core) score(k *Case) {
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
	present := c.Incarnation(s, r.Incarnation)
	if r.Err != nil {
		c.learnFailure(now, s, r)
		return
	}
	s.succeeded()
	actual := max(r.PromptTokens-r.CachedTokens, 0)
	if r.CacheUnknown {
		actual = p.missed
	}
	s.observe(p.work-p.missed+actual, r.FirstToken, now.Sub(p.sent))
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

// Incarnation records which run of the endpoint's process is the present one and
// reports whether the given one is it. A new run has an empty cache; one that was
// seen to have ended never comes back.
func (c *Core) Incarnation(s *State, incarnation string) bool {
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
	s.Incarnation, s.run, s.eventSeq, s.told = "", run, 0, false
	s.PeerInFlight, s.PeerPending = 0, 0
	c.byAt[digest.Of(s.id, run)] = s
	return true
}
