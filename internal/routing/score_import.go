package routing

import "time"

// importScorer credits a candidate with the time saved by importing a cached prefix from a
// kept-cache store or from an endpoint with the same weights, where the import is cheaper
// than computing.
type importScorer struct {
	overhead      time.Duration // fixed time of one import
	storePerToken time.Duration // from a store
	peerPerToken  time.Duration // from an endpoint, unless its link is slower
	prefillWeight float64       // weight of uncached tokens
}

// Name implements Scorer.
func (importScorer) Name() string { return "import" }

// Score implements Scorer. It also sets ImportFrom and ImportTokens of the candidates.
func (s importScorer) Score(eval *Evaluation, candidates []Candidate, out []float64) {
	for i := range candidates {
		candidate := &candidates[i]
		s.applySource(eval, candidate, eval.StoreSource, s.storePerToken, &out[i])
		if peer := eval.PeerSources[candidate.State.Weights]; peer.Address != candidate.State.Address {
			perToken := max(s.peerPerToken, candidate.State.ImportLink.PerToken(peer.FailureDomain == candidate.State.FailureDomain))
			if peer.Store {
				perToken = s.storePerToken
			}
			s.applySource(eval, candidate, peer, perToken, &out[i])
		}
	}
}

// applySource selects a source if it saves more than the sources considered before it.
func (s importScorer) applySource(eval *Evaluation, candidate *Candidate, source ImportSource, perToken time.Duration, out *float64) {
	tokens := min(eval.Request.tokensOf(source.Depth)-eval.Request.tokensOf(candidate.Match.CachedPieces), candidate.UncachedTokens)
	if tokens <= 0 {
		return
	}
	saved := s.prefillWeight * float64(tokens) * milliseconds(candidate.State.perToken())
	cost := milliseconds(s.overhead) + float64(tokens)*milliseconds(perToken)
	if cost-saved < *out {
		*out = cost - saved
		candidate.ImportTokens, candidate.ImportFrom = tokens, source.Address
	}
}
