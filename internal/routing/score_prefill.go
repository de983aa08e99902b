package routing

// prefillScorer predicts the time to compute what the endpoint has not cached.
type prefillScorer struct {
	weight float64
}

// Name names the scorer.
func (prefillScorer) Name() string { return "prefill" }

// Score predicts the prefill time at each candidate.
func (p prefillScorer) Score(_ *Case, candidates []Candidate, out []float64) {
	for i := range candidates {
		out[i] = p.weight * float64(candidates[i].Missed) * milliseconds(candidates[i].State.PrefillPerToken)
	}
}
