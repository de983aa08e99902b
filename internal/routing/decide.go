package routing

import (
	"slices"
	"time"

	"eelgrasshollow/internal/cacheindex"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/prefix"
)

// decide filters and scores the endpoints; nil when none is left. It returns the depth
// of the chain's shared level too. The candidate is valid until the next call.
func (c *Core) decide(now time.Time, p *Pending) (*Candidate, int) {
	r := &p.Request
	group := c.byModel[r.Model]
	if r.Service != "" {
		group = c.byService[r.Service]
	}
	k := Case{Now: now, Request: r, VMs: c.vms, Stores: c.stores}
	if len(r.Chain) > 0 {
		c.matches = c.index.Find(r.Chain, now, c.matches)
		k.Level = c.index.Level(r.Chain, now)
	}
	c.candidates = c.candidates[:0]
	for _, s := range group {
		if c.keep(&k, s) {
			c.candidates = append(c.candidates, c.candidate(r, s))
		}
	}
	if len(c.candidates) == 0 {
		return nil, 0
	}
	c.score(&k)
	return &c.candidates[c.policy.Picker.Pick(&k, c.candidates)], k.Level.Depth
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
			k.Match = cacheindex.Match{Depth: c.policy.Truth.Cached(s.Name, r.Chain)}
		}
		k.Missed -= cachedTokens(k.Match.Depth, r.PromptTokens)
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
	present := r.Incarnation != "" && c.Incarnation(s, r.Incarnation)
	if r.Err != nil {
		c.learnFailure(now, s, r)
		return
	}
	s.succeeded()
	actual := max(r.PromptTokens-r.CachedTokens, 0)
	s.observe(p.work-p.missed+actual, r.FirstToken, now.Sub(p.sent))
	if len(p.Request.Chain) == 0 || !present || s.gone {
		return
	}
	if p.Decision.Incarnation == r.Incarnation {
		cached := r.CachedTokens / prefix.PieceTokens
		c.index.Learn(s.index, p.match, cached)
	}
	c.index.Stored(s.index, p.Request.Chain, now)
}

func (c *Core) learnFailure(now time.Time, s *State, r Result) {
	switch r.Err.Kind {
	case errkind.EndpointFailed, errkind.StreamBroken, errkind.Timeout:
		s.failed(now)
		c.index.Forget(s.index)
	}
}

// Incarnation records which run of the endpoint's process is the present one and
// reports whether the given one is it. A new run has an empty cache; one that was
// seen to have ended never comes back.
func (c *Core) Incarnation(s *State, incarnation string) bool {
	switch {
	case s.Incarnation == incarnation:
		return true
	case slices.Contains(s.ended[:], incarnation):
		return false
	case s.Incarnation != "":
		c.index.Forget(s.index)
		copy(s.ended[1:], s.ended[:])
		s.ended[0] = s.Incarnation
	}
	s.Incarnation, s.eventSeq = incarnation, 0
	return true
}
