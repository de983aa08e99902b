package routing

import "time"

// usable drops the endpoints that the request may not use at all.
type usable struct{}

// Name implements Filter.
func (usable) Name() string { return "usable" }

// Keep implements Filter.
func (usable) Keep(eval *Evaluation, s *State) bool { return eval.Request.tierOf(s) >= 0 }

// tierOf returns the endpoint's tier for the request, see Request.Tier.
func (r *Request) tierOf(s *State) int {
	if r.Tier == nil {
		return 0
	}
	return r.Tier(s.Name, s.Release)
}

// preferTier keeps the candidates of the lowest tier that has one with capacity for the request, or of
// the highest tier if none has.
func (c *Core) preferTier(now time.Time, p *Pending) {
	if p.Request.Tier == nil {
		return
	}
	chosen, highest, found := 0, 0, false
	for i := range c.candidates {
		tier := p.Request.tierOf(c.candidates[i].State)
		c.candidates[i].tier = tier
		highest = max(highest, tier)
		if (!found || tier < chosen) && c.hasCapacity(now, p, c.candidates[i].State) {
			chosen, found = tier, true
		}
	}
	if !found {
		chosen = highest
	}
	kept := 0
	for i := range c.candidates {
		if c.candidates[i].tier == chosen {
			c.candidates[kept], c.candidates[i] = c.candidates[i], c.candidates[kept]
			kept++
		}
	}
	if kept > 0 { // none has the tier if all tiers have become negative since the filter
		c.candidates = c.candidates[:kept]
	}
}
