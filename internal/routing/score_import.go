package routing

import "time"

// importScorer credits a candidate with what an import saves, from a kept-cache store or
// from an endpoint with the same weights, where the import is cheaper than computing.
type importScorer struct {
	fixed     time.Duration // of one import
	perToken  time.Duration // from a store
	peerToken time.Duration // from an endpoint
	prefill   float64       // weight of uncached work
}

// Name names the scorer.
func (importScorer) Name() string { return "import" }

// Score credits imports that pay.
func (s importScorer) Score(c *Evaluation, candidates []Candidate, out []float64) {
	for i := range candidates {
		k := &candidates[i]
		s.credit(c, k, c.StoreSource, s.perToken, &out[i])
		if peer := c.PeerSources[k.State.Weights]; peer.Address != k.State.Address {
			perToken := s.peerToken
			if peer.Store {
				perToken = s.perToken
			}
			s.credit(c, k, peer, perToken, &out[i])
		}
	}
}

// credit takes a source over where it saves more than what was found so far.
func (s importScorer) credit(c *Evaluation, k *Candidate, from ImportSource, perToken time.Duration, out *float64) {
	tokens := min(c.Request.tokensOf(from.Depth)-c.Request.tokensOf(k.Match.Depth), k.UncachedTokens)
	if tokens <= 0 {
		return
	}
	saved := s.prefill * float64(tokens) * milliseconds(k.State.PrefillPerToken)
	cost := milliseconds(s.fixed) + float64(tokens)*milliseconds(perToken)
	if cost-saved < *out {
		*out = cost - saved
		k.ImportTokens, k.ImportFrom = tokens, from.Address
	}
}
