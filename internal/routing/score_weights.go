package routing

// weightsScorer charges endpoints that run previous weights. New requests prefer endpoints
// with the target weights as long as these keep up and the cached prefix is not worth
// more.
type weightsScorer struct {
	penaltyMS float64
}

// Name implements Scorer.
func (weightsScorer) Name() string { return "weights" }

// Score implements Scorer.
func (scorer weightsScorer) Score(_ *Evaluation, candidates []Candidate, out []float64) {
	for i := range candidates {
		if candidates[i].State.Outdated {
			out[i] = scorer.penaltyMS
		}
	}
}
