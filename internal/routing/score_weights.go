package routing

// weightsScorer charges endpoints that run older weights than are named, so that new
// requests go to the new ones as far as these keep up and the cache is not worth more.
type weightsScorer struct {
	older float64 // milliseconds
}

// Name names the scorer.
func (weightsScorer) Name() string { return "weights" }

// Score charges older weights.
func (w weightsScorer) Score(_ *Evaluation, candidates []Candidate, out []float64) {
	for i := range candidates {
		if candidates[i].State.Outdated {
			out[i] = w.older
		}
	}
}
