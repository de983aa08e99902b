package routing

import "slices"

// available keeps the endpoints that may receive new requests. It drops those that are
// leaving, backing off after a failure, or known to run other weights, and those excluded
// by the request unless no other endpoint is left.
type available struct{}

// Name implements Filter.
func (available) Name() string { return "available" }

// Keep implements Filter.
func (available) Keep(eval *Evaluation, s *State) bool {
	if s.Leaving || s.removed || eval.Now.Before(s.downUntil) || !s.selfReport.open(eval.Now) {
		return false
	}
	if eval.Relaxation < AllowAnyEndpoint && slices.Contains(eval.Request.Exclude, s.Name) {
		return false
	}
	return s.mayServe(eval.Request.Model, eval.Request.Version, eval.Now)
}
