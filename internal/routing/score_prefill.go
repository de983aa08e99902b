package routing

// prefillScorer predicts the time to compute what the endpoint has not cached.
type prefillScorer struct {
	weight    float64
	mostExtra float64 // milliseconds that the weight beyond 1 may add
}

// Name names the scorer.
func (prefillScorer) Name() string { return "prefill" }

// Score predicts the prefill time at each candidate.
func (p prefillScorer) Score(_ *Evaluation, candidates []Candidate, out []float64) {
	for i := range candidates {
		cost := float64(candidates[i].UncachedTokens) * milliseconds(candidates[i].State.PrefillPerToken)
		out[i] = cost + min((p.weight-1)*cost, p.mostExtra)
	}
}
