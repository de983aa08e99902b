package routing

// prefillScorer predicts the time to compute the uncached tokens. A weight above 1 stands for the
// delay of other requests at the endpoint. An endpoint that states a rate limit has few others;
// there, it stands for the use of a permit. So the permits go to long prompts rather than to short
// ones, which the other endpoints serve more easily.
type prefillScorer struct {
	weight     float64
	maxExtraMS float64 // upper bound on the cost added by a weight above 1
}

// Name implements Scorer.
func (prefillScorer) Name() string { return "prefill" }

// Score implements Scorer.
func (p prefillScorer) Score(eval *Evaluation, candidates []Candidate, out []float64) {
	for i := range candidates {
		s := candidates[i].State
		cost := float64(candidates[i].UncachedTokens) * milliseconds(s.perToken())
		others := cost
		if s.limited() {
			others = eval.PermitTokens * milliseconds(s.perToken())
		}
		out[i] = cost + min((p.weight-1)*others, p.maxExtraMS)
	}
}
