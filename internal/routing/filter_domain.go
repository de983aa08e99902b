package routing

import "slices"

// otherDomain sends a retry to another failure domain, because the failure of one endpoint
// may affect its whole domain.
type otherDomain struct{}

// Name implements Filter.
func (otherDomain) Name() string { return "other-domain" }

// Keep implements Filter.
func (otherDomain) Keep(eval *Evaluation, s *State) bool {
	return eval.Relaxation > RequireOtherDomain || !slices.Contains(eval.FailedDomains, s.FailureDomain)
}
