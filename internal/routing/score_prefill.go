package routing

// prefillScorer predicts the time to compute the uncached tokens.
type prefillScorer struct {
	weight     float64
	maxExtraMS float64 // upper bound on the cost added by a weight above 1
}

// Name implements Scorer.
func (prefillScorer) Name() string { return "prefill" }

// Score implements Scorer.
func (p prefillScorer) Score(_ *Evaluation, candidates []Candidate, out []float64) {
	for i := range candidates {
		cost := float64(candidates[i].UncachedTokens) * milliseconds(candidates[i].State.PrefillPerToken)
		out[i] = cost + min((p.weight-1)*cost, p.maxExtraMS)
	}
}
