package routing

import "slices"

// available keeps endpoints that may get new work: not leaving, not just failed, not
// excluded by the request unless no other is left, not known to run other weights.
type available struct{}

// Name names the filter.
func (available) Name() string { return "available" }

// Keep applies the filter.
func (available) Keep(c *Evaluation, s *State) bool {
	if s.Leaving || s.gone || c.Now.Before(s.downUntil) {
		return false
	}
	if c.Relaxation < AllowAnyEndpoint && slices.Contains(c.Request.Exclude, s.Name) {
		return false
	}
	return s.runs(c.Request.Model, c.Request.Version, c.Now)
}
