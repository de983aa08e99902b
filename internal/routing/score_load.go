package routing

// loadScorer counts requests, for the least-load baseline.
type loadScorer struct{}

// Name implements Scorer.
func (loadScorer) Name() string { return "load" }

// Score counts the requests of this VM and of its peers.
func (loadScorer) Score(_ *Evaluation, candidates []Candidate, out []float64) {
	for i := range candidates {
		s := candidates[i].State
		out[i] = float64(s.InFlight + s.PeerInFlight + s.queue.Len())
	}
}
