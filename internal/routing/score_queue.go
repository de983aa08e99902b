package routing

// queueScorer predicts the wait behind work that was sent or admitted before.
type queueScorer struct{}

// Name names the scorer.
func (queueScorer) Name() string { return "queue" }

// Score predicts the wait at each candidate.
func (queueScorer) Score(c *Evaluation, candidates []Candidate, out []float64) {
	for i := range candidates {
		s := candidates[i].State
		pending := s.PendingTokens + s.PeerPendingTokens
		out[i] = float64(pending)*milliseconds(s.PrefillPerToken) + admissionWait(c, s)
	}
}

// admissionWait is the wait for a place, with those queued ahead.
func admissionWait(c *Evaluation, s *State) float64 {
	limit := s.limit(c.VMs)
	ahead := s.InFlight + s.queue.Len() + s.foreign(c.Now) - limit + 1
	if ahead <= 0 {
		return 0
	}
	return float64(ahead) * milliseconds(s.ServiceTime) / float64(limit)
}
