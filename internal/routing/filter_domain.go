package routing

import "slices"

// otherDomain sends a second try to another failure domain: what failed one endpoint may
// have failed its neighbours.
type otherDomain struct{}

// Name names the filter.
func (otherDomain) Name() string { return "other-domain" }

// Keep applies the filter.
func (otherDomain) Keep(c *Evaluation, s *State) bool {
	return c.Relaxation > RequireOtherDomain || !slices.Contains(c.FailedDomains, s.FailureDomain)
}
