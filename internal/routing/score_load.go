package routing

// loadScorer counts requests: the least-load baseline.
type loadScorer struct{}

// Name names the scorer.
func (loadScorer) Name() string { return "load" }

// Score counts own requests and the peers'.
func (loadScorer) Score(_ *Evaluation, candidates []Candidate, out []float64) {
	for i := range candidates {
		s := candidates[i].State
		out[i] = float64(s.InFlight + s.PeerInFlight + s.queue.Len())
	}
}
